//! Delivers commands to the relay: one call at a time, in the order in which they were issued.
//!
//! Commands stay unacknowledged until the relay has accepted or declined them. After a call that failed nothing
//! overtakes them: the controller decides when they are sent again.

use crate::call_error::CallError;
use crate::client::Peer;
use crate::command::Command;
use crate::command_batch::CommandBatch;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

const PATH: &str = "/v3/kv/batches";
/// The relay answers within 50 ms or not at all; the rest is for a new connection and a process that is scheduled late.
/// The controller's reaction to a silent relay has to fit into 1.5 s from the call.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// How much of an answer that is not usable goes into the error.
const MAX_QUOTED_CHARS: usize = 120;

/// What became of the unacknowledged commands.
pub enum DeliveryOutcome {
    /// The relay accepted all.
    Accepted,
    /// The relay accepted all before this one and can't use it; the rest is still unacknowledged.
    Declined(Command),
    /// A call failed and may be sent again as it was.
    Failed(CallError),
    /// The relay found the same call invalid twice, so it is not the answer that is damaged.
    Invalid(CallError),
}

/// The commands that the relay has not acknowledged, and the calls that carry them.
pub struct CommandDelivery {
    relay_address: watch::Receiver<SocketAddr>,
    peer: Peer,
    log: Logger,
    unacknowledged: VecDeque<Command>,
    /// The latest call failed.
    failing: bool,
    /// The relay found the latest call invalid.
    found_invalid: bool,
    calls: u64,
    failed_calls: u64,
}

impl CommandDelivery {
    /// Delivers to the relay at this address, and at a new one from the next call on when it changes.
    pub fn new(mut relay_address: watch::Receiver<SocketAddr>, log: Logger) -> Self {
        let peer = Peer::new(*relay_address.borrow_and_update());
        CommandDelivery {
            relay_address,
            peer,
            log,
            unacknowledged: VecDeque::new(),
            failing: false,
            found_invalid: false,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// Whether the latest call failed, so that unacknowledged commands wait until they are to be sent again.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether there is anything to send or to recover from.
    pub fn is_pending(&self) -> bool {
        !self.unacknowledged.is_empty() || self.failing
    }

    /// How many calls were made since the start.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// How many of them failed.
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls
    }

    /// Queues commands behind the unacknowledged ones. An acknowledgement request among them replaces that of the call
    /// that failed, so that its answer tells which of the two calls arrived.
    pub fn enqueue(&mut self, commands: VecDeque<Command>) {
        if commands.iter().any(Command::is_acknowledgement_request) {
            self.unacknowledged.retain(|command| !command.is_acknowledgement_request());
        }
        self.unacknowledged.extend(commands);
    }

    /// Drops what is unacknowledged: the controller that issued it has ended.
    pub fn discard_pending(&mut self) {
        self.unacknowledged.clear();
        self.failing = false;
        self.found_invalid = false;
    }

    /// Sends the unacknowledged commands until all are accepted or something stops it.
    pub async fn deliver(&mut self) -> DeliveryOutcome {
        let found_invalid_before = std::mem::take(&mut self.found_invalid);
        match self.send_batches().await {
            Ok(None) => {
                self.call_succeeded();
                DeliveryOutcome::Accepted
            }
            Ok(Some(declined)) => {
                warn!(self.log, "command declined by the relay"; "command" => &declined.text);
                DeliveryOutcome::Declined(declined)
            }
            Err(error) => {
                self.found_invalid = matches!(error, CallError::Invalid(_));
                if self.found_invalid && found_invalid_before {
                    return DeliveryOutcome::Invalid(error);
                }
                self.call_failed(&error);
                DeliveryOutcome::Failed(error)
            }
        }
    }

    /// Sends one batch after the other; stops at a command that the relay declines, and returns it.
    async fn send_batches(&mut self) -> Result<Option<Command>, CallError> {
        while !self.unacknowledged.is_empty() {
            let batch = CommandBatch::next(&self.unacknowledged);
            self.calls += 1;
            let commands = batch.commands;
            let accepted = self.send(batch).await?;
            self.unacknowledged.drain(..accepted.min(commands));
            if accepted < commands {
                return Ok(self.unacknowledged.pop_front());
            }
        }
        Ok(None)
    }

    /// Makes one call; returns how many of its commands the relay accepted.
    async fn send(&mut self, batch: CommandBatch) -> Result<usize, CallError> {
        self.update_peer();
        let sent = batch.sent_commands();
        let body = Bytes::from(batch.body);
        let (status, answer) =
            self.peer.call(Method::POST, PATH, body, ANSWER_TIMEOUT, MAX_ANSWER_BYTES).await?;
        match accepted_commands(&answer) {
            Some(accepted) if accepted <= sent && status.is_success() => Ok(accepted),
            _ => Err(error_of_answer(status, &answer)),
        }
    }

    /// A relay that has moved gets the next call at its new address, even one that failed at the old address: it is
    /// sent as it was and nothing overtakes it there either.
    fn update_peer(&mut self) {
        if self.relay_address.has_changed().unwrap_or(false) {
            self.peer = Peer::new(*self.relay_address.borrow_and_update());
        }
    }

    fn call_succeeded(&mut self) {
        if self.failing {
            info!(self.log, "command delivery recovered");
        }
        self.failing = false;
    }

    fn call_failed(&mut self, error: &CallError) {
        self.failed_calls += 1;
        if !self.failing {
            warn!(self.log, "command delivery failed"; "why" => #error, "commands" => self.unacknowledged.len());
        }
        self.failing = true;
    }
}

/// How many commands the relay accepted, if its answer says so.
fn accepted_commands(answer: &[u8]) -> Option<usize> {
    let value: Value = serde_json::from_slice(answer).ok()?;
    value.get("taken")?.as_u64().map(|accepted| accepted as usize)
}

/// The error of a call whose answer does not say how many commands were accepted. Only an explicit rejection proves that
/// none was carried out; an internal error of the relay does not.
fn error_of_answer(status: StatusCode, answer: &[u8]) -> CallError {
    let quoted: String = String::from_utf8_lossy(answer).chars().take(MAX_QUOTED_CHARS).collect();
    let cause = format!("status {status}: {quoted}").into();
    if quoted.contains("throttled") || status == StatusCode::TOO_MANY_REQUESTS {
        CallError::Rejected(cause)
    } else if status.is_client_error() && quoted.contains("invalid") {
        CallError::Invalid(cause)
    } else {
        CallError::UnusableAnswer(cause)
    }
}

#[cfg(test)]
mod tests;
