//! Delivers commands to the relay, which forwards them to the proxies, one call at a time and in the order in
//! which they were issued.
//!
//! Commands stay pending until the relay has accepted or rejected them. After a failed call no other command
//! is sent before those of that call, and the controller decides when they are resent.

use crate::call_error::CallError;
use crate::client::PeerClient;
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
/// The maximum duration of a call. The relay responds within 50 ms or not at all. The rest allows for opening
/// a new connection and for a process that is scheduled late. The controller must react to an unresponsive
/// relay within 1.5 s of the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// The length at which an unusable response is truncated before it is classified and quoted in the error
/// text.
const MAX_QUOTED_CHARS: usize = 120;

/// The outcome of an attempt to deliver the pending commands.
pub enum DeliveryOutcome {
    /// The relay accepted all pending commands.
    Accepted,
    /// The relay rejected this command and accepted all before it. Those after it are still pending.
    Rejected(Command),
    /// A call failed; its commands are still pending and may be resent.
    Failed(CallError),
    /// The relay reported the same call as invalid twice, which rules out a corrupted response.
    Invalid(CallError),
}

/// The commands that the relay has not accepted yet, and the state of the calls that deliver them.
pub struct CommandDelivery {
    relay_address: watch::Receiver<SocketAddr>,
    client: PeerClient,
    log: Logger,
    pending: VecDeque<Command>,
    /// Whether a call has failed since the pending commands were last accepted completely or discarded.
    failing: bool,
    /// Whether the relay reported the latest call as invalid.
    last_call_invalid: bool,
    calls: u64,
    failed_calls: u64,
}

impl CommandDelivery {
    /// Creates a delivery to the relay at `relay_address`. When the address changes, the next call uses the
    /// new one.
    pub fn new(mut relay_address: watch::Receiver<SocketAddr>, log: Logger) -> Self {
        let client = PeerClient::new(*relay_address.borrow_and_update());
        CommandDelivery {
            relay_address,
            client,
            log,
            pending: VecDeque::new(),
            failing: false,
            last_call_invalid: false,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// Whether a call has failed since the pending commands were last accepted completely or discarded.
    /// Pending commands then wait until the controller requests a resend.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether there are commands to send, or a failed call to recover from.
    pub fn needs_delivery(&self) -> bool {
        !self.pending.is_empty() || self.failing
    }

    /// The number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// The number of failed calls since the start, not counting those whose outcome was
    /// [`DeliveryOutcome::Invalid`].
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls
    }

    /// Appends commands to the pending ones. If they include an acknowledgement request, it replaces the one
    /// of the failed call, so that the acknowledgement shows which of the two calls arrived.
    pub fn enqueue(&mut self, commands: VecDeque<Command>) {
        if commands.iter().any(Command::is_acknowledgement_request) {
            self.pending.retain(|command| !command.is_acknowledgement_request());
        }
        self.pending.extend(commands);
    }

    /// Drops the pending commands, because the controller that issued them has been replaced.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
        self.failing = false;
        self.last_call_invalid = false;
    }

    /// Sends the pending commands until all are accepted, one is rejected, or a call fails.
    pub async fn deliver(&mut self) -> DeliveryOutcome {
        let previous_call_invalid = std::mem::take(&mut self.last_call_invalid);
        match self.send_batches().await {
            Ok(None) => {
                self.call_succeeded();
                DeliveryOutcome::Accepted
            }
            Ok(Some(rejected)) => {
                warn!(self.log, "relay rejected a command"; "command" => &rejected.json);
                DeliveryOutcome::Rejected(rejected)
            }
            Err(error) => {
                self.last_call_invalid = matches!(error, CallError::InvalidRequest(_));
                if self.last_call_invalid && previous_call_invalid {
                    return DeliveryOutcome::Invalid(error);
                }
                self.call_failed(&error);
                DeliveryOutcome::Failed(error)
            }
        }
    }

    /// Sends one batch after another. Stops at the first command that the relay rejects, and returns it.
    async fn send_batches(&mut self) -> Result<Option<Command>, CallError> {
        while !self.pending.is_empty() {
            let batch = CommandBatch::next(&self.pending);
            self.calls += 1;
            let queued = batch.queued_commands;
            let accepted = self.send(batch).await?;
            self.pending.drain(..accepted.min(queued));
            if accepted < queued {
                return Ok(self.pending.pop_front());
            }
        }
        Ok(None)
    }

    /// Makes one call and returns how many of its commands the relay accepted.
    async fn send(&mut self, batch: CommandBatch) -> Result<usize, CallError> {
        self.update_relay_address();
        let sent = batch.sent_commands();
        let body = Bytes::from(batch.body);
        let (status, response) =
            self.client.call(Method::POST, PATH, body, RESPONSE_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        match accepted_count(&response) {
            Some(accepted) if accepted <= sent && status.is_success() => Ok(accepted),
            _ => Err(response_error(status, &response)),
        }
    }

    /// Switches to the relay's new address if it has changed. The commands of a call that failed at the old
    /// address are resent to the new one; there, too, no other command is sent before them.
    fn update_relay_address(&mut self) {
        if self.relay_address.has_changed().unwrap_or(false) {
            self.client = PeerClient::new(*self.relay_address.borrow_and_update());
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
            warn!(self.log, "command delivery failed"; "why" => #error, "commands" => self.pending.len());
        }
        self.failing = true;
    }
}

/// The number of commands that the relay accepted, if its response states it.
fn accepted_count(response: &[u8]) -> Option<usize> {
    let value: Value = serde_json::from_slice(response).ok()?;
    value.get("taken")?.as_u64().map(|accepted| accepted as usize)
}

/// The error of a call whose response does not state a possible number of accepted commands, or states one
/// with an error status. Only an explicit rejection proves that none was executed; an internal error of the
/// relay does not.
fn response_error(status: StatusCode, response: &[u8]) -> CallError {
    let quoted: String = String::from_utf8_lossy(response).chars().take(MAX_QUOTED_CHARS).collect();
    let cause = format!("response status {status}, body: {quoted}").into();
    if quoted.contains("throttled") || status == StatusCode::TOO_MANY_REQUESTS {
        CallError::Rejected(cause)
    } else if status.is_client_error() && quoted.contains("invalid") {
        CallError::InvalidRequest(cause)
    } else {
        CallError::InvalidData(cause)
    }
}

#[cfg(test)]
mod tests;
