//! The commands that the relay has not accepted yet: those that still have to be sent, and those of failed
//! calls.
//!
//! Commands with a deadline go before all others, in the order of their deadlines; the others keep the order
//! in which they were issued. A later command replaces an earlier one about the same object, so that the
//! change of order never brings an outdated one into effect.
//!
//! A failed call may have been carried out. If it requested an acknowledgement and a proxy sends that, it
//! was.

use crate::command::{Command, CommandKey};
use crate::command_batch::CommandBatch;
use std::collections::{BTreeSet, VecDeque};

/// Commands in the order in which they are to be sent, and those of failed calls.
#[derive(Default)]
pub struct CommandQueue {
    /// Commands that have to be sent.
    waiting: VecDeque<Command>,
    /// The commands of failed calls, oldest first. They wait until they are requeued.
    failed: VecDeque<Command>,
    /// The acknowledgement that the latest call with any requested.
    latest_acknowledgement: Option<u32>,
}

impl CommandQueue {
    /// The number of commands.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.failed.len()
    }

    /// Adds commands. An acknowledgement request among them replaces an earlier one that waits, so that the
    /// acknowledgement shows which of several calls arrived. If one has a deadline, those of failed calls
    /// that have one go with it.
    pub fn enqueue(&mut self, commands: VecDeque<Command>) {
        if commands.iter().any(Command::is_acknowledgement_request) {
            self.waiting.retain(|command| !command.is_acknowledgement_request());
        }
        let replaced: BTreeSet<CommandKey> = commands.iter().filter_map(|command| command.key()).collect();
        if !replaced.is_empty() {
            self.retain(|command| command.key().is_none_or(|key| !replaced.contains(&key)));
        }
        if commands.iter().any(|command| command.deadline.is_some()) {
            self.requeue_failed_with_deadline();
        }
        self.waiting.extend(commands);
        sort_by_deadline(&mut self.waiting);
    }

    /// Makes the commands of failed calls wait to be sent again.
    pub fn requeue_failed(&mut self) {
        let mut commands = std::mem::take(&mut self.failed);
        if self.waiting.iter().any(Command::is_acknowledgement_request) {
            commands.retain(|command| !command.is_acknowledgement_request());
        }
        commands.append(&mut self.waiting);
        self.waiting = commands;
        sort_by_deadline(&mut self.waiting);
    }

    fn requeue_failed_with_deadline(&mut self) {
        let failed = std::mem::take(&mut self.failed);
        let (mut urgent, others): (VecDeque<Command>, VecDeque<Command>) =
            failed.into_iter().partition(|command| command.deadline.is_some());
        self.failed = others;
        self.waiting.append(&mut urgent);
    }

    /// Drops the assignments of proxies that don't satisfy the predicate.
    pub fn retain_assignments(&mut self, is_joined: impl Fn(u32) -> bool) {
        self.retain(|command| command.assigned_proxy().is_none_or(&is_joined));
    }

    /// Drops the commands of failed calls that requested this acknowledgement: a proxy has sent it, so the
    /// relay has carried them out. Returns whether there were any.
    pub fn acknowledged(&mut self, number: u32) -> bool {
        let commands = self.len();
        self.retain(|command| !command.requested_acknowledgements.contains(&number));
        let is_confirmed = self.len() < commands;
        let only_requests_are_left =
            self.waiting.iter().chain(&self.failed).all(Command::is_acknowledgement_request);
        if is_confirmed && only_requests_are_left {
            self.clear();
        }
        is_confirmed
    }

    fn retain(&mut self, keep: impl Fn(&Command) -> bool) {
        self.waiting.retain(&keep);
        self.failed.retain(&keep);
    }

    /// Drops all commands.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.failed.clear();
    }

    /// Whether a call can be made: while commands of a failed call wait, only for commands with a deadline.
    pub fn has_sendable(&self) -> bool {
        self.sendable_len() > 0
    }

    fn sendable_len(&self) -> usize {
        if self.failed.is_empty() {
            self.waiting.len()
        } else {
            self.waiting.iter().take_while(|command| command.deadline.is_some()).count()
        }
    }

    /// The commands of the next call, which stay in the queue until they are accepted, rejected or failed.
    pub fn next_batch(&mut self) -> Option<CommandBatch> {
        let sendable = self.sendable_len();
        if sendable == 0 {
            return None;
        }
        let batch = CommandBatch::next(&self.waiting, sendable);
        if let Some(number) = batch.acknowledgement {
            self.record_requested(number, batch.queued_commands);
        }
        Some(batch)
    }

    /// Records that a call with the first commands requests an acknowledgement. One that an earlier call
    /// requested as well does not show which of them was carried out.
    fn record_requested(&mut self, number: u32, commands: usize) {
        if self.latest_acknowledgement.replace(number) == Some(number) {
            for command in self.waiting.iter_mut().chain(&mut self.failed) {
                command.requested_acknowledgements.retain(|requested| *requested != number);
            }
            return;
        }
        for command in self.waiting.iter_mut().take(commands) {
            command.record_requested_acknowledgement(number);
        }
    }

    /// Removes the first commands of the latest batch: the relay accepted them.
    pub fn accept(&mut self, commands: usize) {
        self.waiting.drain(..commands);
    }

    /// Removes the first command, which the relay rejected.
    pub fn reject_first(&mut self) -> Option<Command> {
        self.waiting.pop_front()
    }

    /// Keeps the first commands of the latest batch as those of a failed call.
    pub fn fail(&mut self, commands: usize) {
        self.failed.extend(self.waiting.drain(..commands));
    }
}

fn sort_by_deadline(commands: &mut VecDeque<Command>) {
    commands.make_contiguous().sort_by_key(|command| (command.deadline.is_none(), command.deadline));
}

#[cfg(test)]
mod tests;
