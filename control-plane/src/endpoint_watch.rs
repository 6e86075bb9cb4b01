//! Watches the endpoint list: reads it whole once, then polls for changes. The controller says when a watch begins, at
//! the start and after a call that failed. An invalid entry is left out alone: the endpoint stays in its last state.

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

const PATH: &str = "/v1/servers";
/// How long a poll may wait for a change: a list that has fallen silent is noticed this late.
const POLL_WAIT: Duration = Duration::from_millis(1_500);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// What a watch needs.
#[derive(Clone)]
pub struct EndpointWatch {
    /// Where the list is. At a new address it is read whole at once.
    pub address: watch::Receiver<SocketAddr>,
    /// The longest answer, in bytes.
    pub max_answer_bytes: usize,
    /// The names of the settings.
    pub names: Rc<DeploymentNames>,
    /// Notified when the controller wants the list to be watched.
    pub requests: Rc<Notify>,
    /// Where the answers go.
    pub events: EventSender,
    /// Where to log.
    pub log: Logger,
}

impl EndpointWatch {
    /// Watches for ever.
    pub async fn run(self) {
        // The controller does not know of a watch that panicked, so its successor does not wait for a request.
        self.requests.notify_one();
        Watcher::new(self).run().await;
    }
}

/// A watch that runs.
struct Watcher {
    context: EndpointWatch,
    peer: PeerClient,
    /// The version that changes are polled for since; without one the list is read whole.
    version: Option<u64>,
    /// Whether to poll; else the controller is to request it.
    polling: bool,
    /// The latest call failed.
    failing: bool,
    invalid_entry_log: LogRateLimit,
}

impl Watcher {
    fn new(mut context: EndpointWatch) -> Self {
        let peer = PeerClient::new(*context.address.borrow_and_update());
        Watcher {
            context,
            peer,
            version: None,
            polling: false,
            failing: false,
            invalid_entry_log: LogRateLimit::default(),
        }
    }

    async fn run(mut self) {
        loop {
            let answer = tokio::select! {
                () = self.context.requests.notified(), if !self.polling => {
                    self.polling = true;
                    continue;
                }
                answer = poll(&self.peer, self.version, &self.context.names, self.context.max_answer_bytes), if self.polling => answer,
                Ok(()) = self.context.address.changed() => {
                    self.move_to_new_address();
                    continue;
                }
            };
            match answer {
                Ok(list) => self.list_received(list).await,
                Err(error) => self.call_failed(&error).await,
            }
        }
    }

    fn move_to_new_address(&mut self) {
        self.peer = PeerClient::new(*self.context.address.borrow_and_update());
        self.version = None;
        self.polling = true;
    }

    async fn list_received(&mut self, list: EndpointList) {
        if self.failing || self.version.is_none() {
            info!(self.context.log, "endpoint watch established"; "version" => list.version, "endpoints" => list.updates.len());
        }
        self.failing = false;
        self.version = Some(list.version);
        self.report_invalid(&list.invalid);
        let missed_a_change = misses_a_change(&list);
        if list.whole || !list.updates.is_empty() {
            self.context.events.send(event_of(list)).await;
        }
        if missed_a_change {
            self.read_whole_on_request().await;
        }
    }

    async fn call_failed(&mut self, error: &CallError) {
        if !self.failing {
            warn!(self.context.log, "endpoint watch failed"; "why" => #error, "version" => self.version);
        }
        self.failing = true;
        // An unreadable answer may have held a change, which no later one repeats; a list that has lost its state may
        // reject a poll since a version that it does not know.
        if matches!(error, CallError::NotConnected(_) | CallError::NoResponse(_)) {
            self.wait_for_request().await;
        } else {
            self.read_whole_on_request().await;
        }
    }

    async fn read_whole_on_request(&mut self) {
        self.version = None;
        self.wait_for_request().await;
    }

    async fn wait_for_request(&mut self) {
        self.polling = false;
        self.context.events.send(Event::EndpointWatchFailed).await;
    }

    fn report_invalid(&mut self, entries: &[InvalidEntry]) {
        for entry in entries {
            self.context.events.metrics.invalid_inputs.increment();
            if let Some(times) = self.invalid_entry_log.record() {
                warn!(self.context.log, "endpoint list entry skipped"; "why" => %entry, "times" => times);
            }
        }
    }
}

/// Whether an invalid entry hides something that no later answer repeats: any change, or which endpoint it was about.
fn misses_a_change(list: &EndpointList) -> bool {
    has_unidentified_entry(list) || (!list.whole && !list.invalid.is_empty())
}

fn has_unidentified_entry(list: &EndpointList) -> bool {
    list.invalid.iter().any(|entry| entry.id.is_none())
}

/// An endpoint whose entry is invalid is not missing from the list. Where an entry does not even name its endpoint, no
/// endpoint is taken as missing.
fn event_of(list: EndpointList) -> Event {
    if list.whole && !has_unidentified_entry(&list) {
        let invalid = list.invalid.into_iter().filter_map(|entry| entry.id).collect();
        Event::EndpointListReplaced { updates: list.updates, invalid }
    } else {
        Event::EndpointsUpdated { updates: list.updates }
    }
}

/// Reads the whole list, or waits for what has changed since a version.
async fn poll(
    peer: &PeerClient,
    version: Option<u64>,
    names: &DeploymentNames,
    max_bytes: usize,
) -> Result<EndpointList, CallError> {
    let (path, timeout) = match version {
        None => (PATH.to_owned(), ANSWER_TIMEOUT),
        Some(version) => {
            let wait_ms = POLL_WAIT.as_millis();
            (format!("{PATH}?since={version}&timeout_ms={wait_ms}"), POLL_WAIT + ANSWER_TIMEOUT)
        }
    };
    let (status, body) = peer.call(Method::GET, &path, Bytes::new(), timeout, max_bytes).await?;
    if status != StatusCode::OK {
        return Err(CallError::Rejected(format!("status {status}").into()));
    }
    let value = serde_json::from_slice(&body).map_err(|error| CallError::InvalidData(error.into()))?;
    let list = EndpointList::decode(&value, names).map_err(|error| CallError::InvalidData(error.into()))?;
    check_continues(&list, version)?;
    Ok(list)
}

/// Checks that an answer goes on from the version that was asked for.
///
/// A change older than that was delayed on its way, or the list has lost its state and its versions begin again: only the
/// whole list shows which. Where the whole list was requested, a part would be mistaken for it.
fn check_continues(list: &EndpointList, version: Option<u64>) -> Result<(), CallError> {
    if list.whole {
        return Ok(());
    }
    match version {
        None => Err(CallError::InvalidData("a part where the whole list was asked for".into())),
        Some(known) if list.version < known => {
            Err(CallError::InvalidData(format!("a change of version {}", list.version).into()))
        }
        Some(_) => Ok(()),
    }
}

#[cfg(test)]
mod tests;
