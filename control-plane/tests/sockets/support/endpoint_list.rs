//! A fake endpoint list: responds to reads of the whole list and to polls for changes.

use super::http::{
    enable_reset_on_close, send_fragmented_response, send_response, send_response_twice,
    send_truncated_response, spawn_http_server, ConnectionAction,
};
use super::{wait_for, TIMEOUT};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// A response that is sent instead of the regular one.
pub enum ListResponse {
    /// A response with this body.
    Body(String),
    /// The regular response, truncated to this number of bytes; the connection is then closed.
    Truncated(usize),
    /// No response; the connection is reset.
    ConnectionReset,
    /// The regular response, twice.
    SentTwice,
}

/// A handle to the fake list. Clones share the same list.
#[derive(Clone)]
pub struct FakeEndpointList {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// The request line of each request, in the order of arrival.
    request_lines: Arc<Mutex<Receiver<String>>>,
}

/// State that the server's threads share with the test.
#[derive(Default)]
struct Shared {
    state: Mutex<ListState>,
    changed: Condvar,
}

#[derive(Default)]
struct ListState {
    version: u64,
    /// The entries in the response to a read of the whole list.
    entries: Vec<Value>,
    /// The changes of the current version. A poll since any older version is sent only these.
    changes: Vec<Value>,
    /// The number of polls that wait for a change.
    waiting_polls: usize,
    /// Whether requests are left without a response.
    silent: bool,
    /// Whether polls for changes since a version newer than the current one are rejected.
    rejects_newer_versions: bool,
    /// Sent instead of the next regular responses.
    queued_responses: VecDeque<ListResponse>,
}

/// Builds a list entry for an endpoint in zone `north`.
pub fn endpoint_entry(id: &str, health: &str) -> Value {
    json!({"host": id, "dial": "127.0.0.1:9", "site": "north", "class": "m2", "block": 3,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// The query parameters of a request for the list.
struct PollParameters {
    /// The version to report changes since; `None` requests the whole list.
    since: Option<u64>,
    /// How long a poll may wait for a change.
    timeout: Duration,
}

impl PollParameters {
    fn from_request_line(request_line: &str) -> PollParameters {
        PollParameters {
            since: query_parameter(request_line, "since="),
            timeout: Duration::from_millis(query_parameter(request_line, "timeout_ms=").unwrap_or(0)),
        }
    }
}

fn query_parameter(request_line: &str, name: &str) -> Option<u64> {
    let value = request_line.split(name).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

impl Shared {
    fn serve(&self, request_line: &str, stream: &mut TcpStream) -> ConnectionAction {
        let poll = PollParameters::from_request_line(request_line);
        let mut state = self.state.lock().unwrap();
        let body = match poll.since {
            None => json!({"seq": state.version, "whole": true, "hosts": state.entries}),
            Some(since) => {
                state = self.wait_for_change(state, since, poll.timeout);
                let changes = if state.version > since { state.changes.clone() } else { vec![] };
                json!({"seq": state.version, "whole": false, "hosts": changes})
            }
        };
        if state.silent {
            return ConnectionAction::ReadNextRequest;
        }
        if state.rejects_newer_versions && poll.since.is_some_and(|since| since > state.version) {
            send_response(stream, "410 Gone", "{}");
            return ConnectionAction::ReadNextRequest;
        }
        respond(state.queued_responses.pop_front(), &body.to_string(), stream)
    }

    fn wait_for_change<'a>(
        &self,
        mut state: MutexGuard<'a, ListState>,
        since: u64,
        timeout: Duration,
    ) -> MutexGuard<'a, ListState> {
        let unchanged = |state: &mut ListState| {
            state.silent || state.version <= since && state.queued_responses.is_empty()
        };
        state.waiting_polls += 1;
        state = self.changed.wait_timeout_while(state, timeout, unchanged).unwrap().0;
        state.waiting_polls -= 1;
        state
    }
}

/// Sends the queued response, or the regular one with `body` if none is queued.
fn respond(queued: Option<ListResponse>, body: &str, stream: &mut TcpStream) -> ConnectionAction {
    match queued {
        None => send_fragmented_response(stream, body),
        Some(ListResponse::Body(body)) => send_response(stream, "200 OK", &body),
        Some(ListResponse::Truncated(bytes)) => send_truncated_response(stream, body, bytes),
        Some(ListResponse::SentTwice) => send_response_twice(stream, body),
        Some(ListResponse::ConnectionReset) => {
            enable_reset_on_close(stream);
            return ConnectionAction::StopReading;
        }
    }
    ConnectionAction::ReadNextRequest
}

impl FakeEndpointList {
    /// Starts a list of these endpoints, all active.
    pub fn start(endpoints: &[&str]) -> FakeEndpointList {
        let entries = endpoints.iter().map(|id| endpoint_entry(id, "active")).collect();
        let state = ListState { version: 1, entries, ..ListState::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (sender, request_lines) = channel();
        let server = shared.clone();
        let address = spawn_http_server(move |request, stream| {
            let _ = sender.send(request.request_line.clone());
            server.serve(&request.request_line, stream)
        });
        FakeEndpointList { address, shared, request_lines: Arc::new(Mutex::new(request_lines)) }
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.shared.state.lock().unwrap()
    }

    /// Publishes changes as a new version, but leaves the response to a read of the whole list as it was.
    pub fn publish_changes(&self, changes: &[Value]) {
        self.publish_changes_to(&mut self.state(), changes);
    }

    /// Publishes changes like `publish_changes` if a poll is waiting, which is then sent them at once.
    /// Returns false if none is.
    pub fn publish_changes_to_waiting_poll(&self, changes: &[Value]) -> bool {
        let mut state = self.state();
        if state.waiting_polls == 0 {
            return false;
        }
        self.publish_changes_to(&mut state, changes);
        true
    }

    fn publish_changes_to(&self, state: &mut ListState, changes: &[Value]) {
        state.version += 1;
        state.changes = changes.to_vec();
        self.shared.changed.notify_all();
    }

    /// Replaces the whole list and publishes the changes that led to it.
    pub fn publish(&self, entries: &[Value], changes: &[Value]) {
        self.state().entries = entries.to_vec();
        self.publish_changes(changes);
    }

    /// Like `publish`, but the next request is sent `response` instead of the published state.
    pub fn publish_with_response(&self, entries: &[Value], changes: &[Value], response: ListResponse) {
        let mut state = self.state();
        state.queued_responses.push_back(response);
        state.entries = entries.to_vec();
        state.version += 1;
        state.changes = changes.to_vec();
        self.shared.changed.notify_all();
    }

    /// Queues a response to be sent instead of the next regular one. A poll that is waiting gets it at once.
    pub fn queue_response(&self, response: ListResponse) {
        self.state().queued_responses.push_back(response);
        self.shared.changed.notify_all();
    }

    /// Simulates a restart that lost the list's state: versions continue from `version`.
    pub fn restart_at_version(&self, version: u64, rejects_newer_versions: bool) {
        let mut state = self.state();
        state.version = version;
        state.rejects_newer_versions = rejects_newer_versions;
    }

    /// Waits until the control plane polls for changes since the current version. By then all earlier changes
    /// have reached the control loop.
    pub fn wait_until_up_to_date(&self) {
        let since = format!("since={}&", self.state().version);
        wait_for("a poll since the current version", || {
            let request_line = self.request_lines.lock().unwrap().recv_timeout(TIMEOUT);
            request_line.expect("no request to the endpoint list").contains(&since).then_some(())
        });
    }

    /// Sets whether requests are left without a response.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
    }

    /// Waits for `count` requests.
    pub fn wait_for_requests(&self, count: usize) {
        let request_lines = self.request_lines.lock().unwrap();
        for _ in 0..count {
            request_lines.recv_timeout(TIMEOUT).expect("no request to the endpoint list");
        }
    }
}
