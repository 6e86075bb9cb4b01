//! Delivers commands to the relay, which forwards them to the proxies, one call at a time.
//!
//! Commands stay queued until the relay has accepted or rejected them. After a failed call, only commands
//! with a deadline are sent before those of that call, and the controller decides when these are resent.

use crate::call_error::CallError;
use crate::client::PeerClient;
use crate::command::Command;
use crate::command_batch::CommandBatch;
use crate::command_queue::CommandQueue;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use otterwinch_adapter_support::quoted;
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

/// The outcome of a call.
pub enum DeliveryOutcome {
    /// The relay accepted the commands of the call; others are still queued.
    PartlyAccepted,
    /// The relay has accepted all commands.
    Accepted,
    /// The relay rejected this command and accepted all before it. Those after it are still queued.
    Rejected(Command),
    /// The call failed; its commands may be resent.
    Failed(CallError),
    /// The relay reported the same call as invalid twice, which rules out a corrupted response.
    Invalid(CallError),
}

/// The commands that the relay has not accepted yet, and the state of the calls that deliver them.
pub struct CommandDelivery {
    relay_address: watch::Receiver<SocketAddr>,
    client: PeerClient,
    log: Logger,
    queue: CommandQueue,
    /// Whether commands were queued since the relay last accepted all.
    has_unaccepted: bool,
    /// Whether a call has failed since the relay last accepted all commands.
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
            queue: CommandQueue::default(),
            has_unaccepted: false,
            failing: false,
            last_call_invalid: false,
            calls: 0,
            failed_calls: 0,
        }
    }

    /// Whether a call has failed since the relay last accepted all commands.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether [`CommandDelivery::deliver_next`] has an outcome.
    pub fn can_deliver(&self) -> bool {
        self.queue.has_sendable() || self.has_accepted_all()
    }

    /// Whether the relay has accepted all commands, which was not reported yet.
    fn has_accepted_all(&self) -> bool {
        self.has_unaccepted && self.queue.len() == 0
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

    /// Queues commands.
    pub fn enqueue(&mut self, commands: VecDeque<Command>) {
        self.has_unaccepted |= !commands.is_empty();
        self.queue.enqueue(commands);
    }

    /// Queues the commands of failed calls again.
    pub fn requeue_failed(&mut self) {
        self.queue.requeue_failed();
    }

    /// Drops the queued assignments of proxies that are not joined: the relay would reject them, and stop at
    /// each.
    pub fn retain_assignments(&mut self, is_joined: impl Fn(u32) -> bool) {
        self.queue.retain_assignments(is_joined);
    }

    /// Handles an acknowledgement: a failed call that requested it has been carried out, and its commands
    /// need not be sent again.
    pub fn acknowledged(&mut self, number: u32) {
        if self.queue.acknowledged(number) {
            info!(self.log, "failed call was carried out"; "acknowledgement" => number);
        }
    }

    /// Drops all commands, because the controller that issued them has been replaced.
    pub fn discard_pending(&mut self) {
        self.queue.clear();
        self.has_unaccepted = false;
        self.failing = false;
        self.last_call_invalid = false;
    }

    /// Makes the next call. Returns `None` if there is nothing to send.
    pub async fn deliver_next(&mut self) -> Option<DeliveryOutcome> {
        if self.has_accepted_all() {
            return Some(self.all_accepted());
        }
        let batch = self.queue.next_batch()?;
        let queued = batch.queued_commands;
        let previous_call_invalid = std::mem::take(&mut self.last_call_invalid);
        self.calls += 1;
        Some(match self.send(batch).await {
            Ok(accepted) if accepted < queued => self.call_stopped_at(accepted),
            Ok(_) => self.call_accepted(queued),
            Err(error) => {
                self.last_call_invalid = matches!(error, CallError::InvalidRequest(_));
                if self.last_call_invalid && previous_call_invalid {
                    return Some(DeliveryOutcome::Invalid(error));
                }
                self.call_failed(queued, error)
            }
        })
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

    fn call_accepted(&mut self, commands: usize) -> DeliveryOutcome {
        self.queue.accept(commands);
        if self.has_accepted_all() {
            return self.all_accepted();
        }
        DeliveryOutcome::PartlyAccepted
    }

    fn all_accepted(&mut self) -> DeliveryOutcome {
        self.has_unaccepted = false;
        if std::mem::take(&mut self.failing) {
            info!(self.log, "command delivery recovered");
        }
        DeliveryOutcome::Accepted
    }

    fn call_stopped_at(&mut self, accepted: usize) -> DeliveryOutcome {
        self.queue.accept(accepted);
        match self.queue.reject_first() {
            Some(rejected) => {
                warn!(self.log, "relay rejected a command"; "command" => &rejected.json);
                DeliveryOutcome::Rejected(rejected)
            }
            None => DeliveryOutcome::PartlyAccepted,
        }
    }

    fn call_failed(&mut self, commands: usize, error: CallError) -> DeliveryOutcome {
        self.failed_calls += 1;
        if !self.failing {
            warn!(self.log, "command delivery failed"; "why" => #&error, "commands" => self.queue.len());
        }
        self.failing = true;
        self.queue.fail(commands);
        DeliveryOutcome::Failed(error)
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
    let text = quoted(&String::from_utf8_lossy(response));
    let cause = format!("response status {status}, body: {text}").into();
    if text.contains("throttled") || status == StatusCode::TOO_MANY_REQUESTS {
        CallError::Rejected(cause)
    } else if status.is_client_error() && text.contains("invalid") {
        CallError::InvalidRequest(cause)
    } else {
        CallError::InvalidData(cause)
    }
}

#[cfg(test)]
mod tests;
