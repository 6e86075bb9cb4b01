//! The commands that the relay has not accepted yet: those that still have to be sent, and those of failed
//! calls.
//!
//! Commands with a deadline go before all others, in the order of their deadlines; the others keep the order in
//! which they were issued. A later command replaces an earlier one about the same object, so that the change
//! of order never brings an outdated one into effect.

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
}

impl CommandQueue {
    /// The number of commands.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.failed.len()
    }

    /// Adds commands. An acknowledgement request among them replaces an earlier one that waits, so that the
    /// acknowledgement shows which of several calls arrived. If one has a deadline, those of failed calls that
    /// have one go with it.
    pub fn enqueue(&mut self, commands: VecDeque<Command>) {
        if commands.iter().any(Command::is_acknowledgement_request) {
            self.waiting.retain(|command| !command.is_acknowledgement_request());
        }
        let replaced: BTreeSet<CommandKey> = commands.iter().filter_map(|command| command.key()).collect();
        if !replaced.is_empty() {
            let is_current = |command: &Command| command.key().is_none_or(|key| !replaced.contains(&key));
            self.waiting.retain(is_current);
            self.failed.retain(is_current);
        }
        if commands.iter().any(|command| command.deadline.is_some()) {
            let failed = std::mem::take(&mut self.failed);
            let (mut urgent, others): (VecDeque<Command>, VecDeque<Command>) =
                failed.into_iter().partition(|command| command.deadline.is_some());
            self.failed = others;
            self.waiting.append(&mut urgent);
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

    /// Drops the assignments of proxies that don't satisfy the predicate.
    pub fn retain_assignments(&mut self, is_joined: impl Fn(u32) -> bool) {
        let is_valid = |command: &Command| command.assigned_proxy().is_none_or(&is_joined);
        self.waiting.retain(is_valid);
        self.failed.retain(is_valid);
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
    pub fn next_batch(&self) -> Option<CommandBatch> {
        match self.sendable_len() {
            0 => None,
            sendable => Some(CommandBatch::next(&self.waiting, sendable)),
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
