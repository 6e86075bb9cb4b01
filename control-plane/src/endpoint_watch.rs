//! Watches the endpoint list: reads the whole list once, then polls for changes. After a failed call, or a
//! response that may lack a change, polling stops until the controller requests the watch again or the list
//! has a new address. An invalid entry is skipped, and its endpoint keeps its last state.

use crate::call_error::CallError;
use crate::client::PeerClient;
use crate::deployment_names::DeploymentNames;
use crate::endpoint_list::{EndpointList, InvalidEntry};
use crate::event::{Event, EventSender};
use crate::log::LogRateLimit;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

const LIST_PATH: &str = "/v1/servers";
/// How long the server may hold a poll that finds no change. A server that stops answering is noticed only
/// [`RESPONSE_TIMEOUT`] after that.
const POLL_WAIT: Duration = Duration::from_millis(1_500);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// The task that watches the list. It is cloned for each restart after a panic.
#[derive(Clone)]
pub struct EndpointWatch {
    /// Address of the list's server. When it changes, the whole list is read from the new address at once.
    pub address: watch::Receiver<SocketAddr>,
    /// Size limit of a response, in bytes.
    pub max_response_bytes: usize,
    /// The zones, request classes and proxies in the configuration.
    pub names: Rc<DeploymentNames>,
    /// Notified when the controller requests the watch, which starts or resumes polling.
    pub watch_requests: Rc<Notify>,
    /// Passes changes and failures on to the control loop.
    pub events: EventSender,
    /// The log.
    pub log: Logger,
}

impl EndpointWatch {
    /// Watches the list and never returns.
    pub async fn run(self) {
        // A watch that is restarted after a panic gets no request from the controller, so it starts without
        // one.
        self.watch_requests.notify_one();
        Watcher::new(self).run().await;
    }
}

/// A watch in progress.
struct Watcher {
    /// The parameters and channels of the task.
    context: EndpointWatch,
    client: PeerClient,
    /// The list version of the latest response; the next poll asks for later changes. If there is none, the
    /// whole list is read.
    version: Option<u64>,
    /// Whether to poll. If not, polling resumes when the controller requests the watch or the address
    /// changes.
    polling: bool,
    /// Whether the latest call failed.
    failing: bool,
    invalid_entry_log: LogRateLimit,
}

impl Watcher {
    fn new(mut context: EndpointWatch) -> Self {
        let client = PeerClient::new(*context.address.borrow_and_update());
        Watcher {
            context,
            client,
            version: None,
            polling: false,
            failing: false,
            invalid_entry_log: LogRateLimit::default(),
        }
    }

    async fn run(mut self) {
        loop {
            let response = tokio::select! {
                () = self.context.watch_requests.notified(), if !self.polling => {
                    self.polling = true;
                    continue;
                }
                response = poll(
                    &self.client,
                    self.version,
                    &self.context.names,
                    self.context.max_response_bytes,
                ), if self.polling => response,
                Ok(()) = self.context.address.changed() => {
                    self.move_to_new_address();
                    continue;
                }
            };
            match response {
                Ok(list) => self.list_received(list).await,
                Err(error) => self.call_failed(&error).await,
            }
        }
    }

    fn move_to_new_address(&mut self) {
        self.client = PeerClient::new(*self.context.address.borrow_and_update());
        self.version = None;
        self.polling = true;
    }

    async fn list_received(&mut self, list: EndpointList) {
        if self.failing || self.version.is_none() {
            info!(self.context.log, "endpoint watch established";
                "version" => list.version, "endpoints" => list.updates.len());
        }
        self.failing = false;
        self.version = Some(list.version);
        self.record_invalid_entries(&list.invalid);
        let may_have_missed_change = may_have_missed_change(&list);
        if list.whole || !list.updates.is_empty() {
            self.context.events.send(into_event(list)).await;
        }
        if may_have_missed_change {
            self.stop_polling_and_discard_version().await;
        }
    }

    async fn call_failed(&mut self, error: &CallError) {
        if !self.failing {
            warn!(self.context.log, "endpoint watch failed"; "why" => #error, "version" => self.version);
        }
        self.failing = true;
        // An invalid response may have contained a change, which no later response repeats. A server that
        // lost its state may reject a poll that names a version unknown to it.
        if matches!(error, CallError::NotConnected(_) | CallError::NoResponse(_)) {
            self.stop_polling().await;
        } else {
            self.stop_polling_and_discard_version().await;
        }
    }

    async fn stop_polling_and_discard_version(&mut self) {
        self.version = None;
        self.stop_polling().await;
    }

    async fn stop_polling(&mut self) {
        self.polling = false;
        self.context.events.send(Event::EndpointWatchFailed).await;
    }

    fn record_invalid_entries(&mut self, entries: &[InvalidEntry]) {
        for entry in entries {
            self.context.events.metrics.invalid_inputs.increment();
            if let Some(times) = self.invalid_entry_log.record() {
                warn!(self.context.log, "endpoint list entry skipped"; "why" => %entry, "times" => times);
            }
        }
    }
}

/// Whether the response has an invalid entry that is a change, or one that doesn't name its endpoint. No
/// later response to a poll repeats what such an entry contained.
fn may_have_missed_change(list: &EndpointList) -> bool {
    has_unidentified_entry(list) || (!list.whole && !list.invalid.is_empty())
}

fn has_unidentified_entry(list: &EndpointList) -> bool {
    list.invalid.iter().any(|entry| entry.id.is_none())
}

/// Converts a response to an event. An endpoint with an invalid entry does not count as removed from the
/// list. If an entry does not even name its endpoint, no endpoint counts as removed.
fn into_event(list: EndpointList) -> Event {
    if list.whole && !has_unidentified_entry(&list) {
        let invalid = list.invalid.into_iter().filter_map(|entry| entry.id).collect();
        Event::EndpointListReplaced { updates: list.updates, invalid }
    } else {
        Event::EndpointsUpdated { updates: list.updates }
    }
}

/// Reads the whole list, or waits for the changes since a version.
async fn poll(
    client: &PeerClient,
    version: Option<u64>,
    names: &DeploymentNames,
    max_bytes: usize,
) -> Result<EndpointList, CallError> {
    let (path, timeout) = match version {
        None => (LIST_PATH.to_owned(), RESPONSE_TIMEOUT),
        Some(version) => {
            let wait_ms = POLL_WAIT.as_millis();
            (format!("{LIST_PATH}?since={version}&timeout_ms={wait_ms}"), POLL_WAIT + RESPONSE_TIMEOUT)
        }
    };
    let (status, body) = client.call(Method::GET, &path, Bytes::new(), timeout, max_bytes).await?;
    if status != StatusCode::OK {
        return Err(CallError::Rejected(format!("expected status 200, got {status}").into()));
    }
    let value = serde_json::from_slice(&body).map_err(|error| CallError::InvalidData(error.into()))?;
    let list = EndpointList::decode(&value, names).map_err(|error| CallError::InvalidData(error.into()))?;
    check_version(&list, version)?;
    Ok(list)
}

/// Checks that a response with changes only answers a poll, and is not older than the polled version.
///
/// If it is older, either the response was delayed, or the server has lost its state and counts versions from
/// the start again. Only the whole list shows which. If the whole list was requested, a response with changes
/// only is an error, as polling would continue without the endpoints that the response does not list.
fn check_version(list: &EndpointList, version: Option<u64>) -> Result<(), CallError> {
    if list.whole {
        return Ok(());
    }
    match version {
        None => Err(CallError::InvalidData("expected the whole list, got changes only".into())),
        Some(polled) if list.version < polled => {
            let reason = format!("expected changes since version {polled}, got version {}", list.version);
            Err(CallError::InvalidData(reason.into()))
        }
        Some(_) => Ok(()),
    }
}

#[cfg(test)]
mod tests;
