//! A fake endpoint list: answers reads of the whole list and polls for changes.

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

/// What is sent in place of the next answer.
pub enum ListAnswer {
    /// This body.
    Body(String),
    /// The first bytes of the answer.
    Truncated(usize),
    /// Nothing; the connection is reset.
    ConnectionReset,
    /// The answer, twice.
    Twice,
}

/// The list; a clone is the same list.
#[derive(Clone)]
pub struct FakeEndpointList {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// The first lines of the requests.
    requests: Arc<Mutex<Receiver<String>>>,
}

/// What the server's threads share with the test.
#[derive(Default)]
struct Shared {
    state: Mutex<ListState>,
    changed: Condvar,
}

#[derive(Default)]
struct ListState {
    version: u64,
    /// What a read of the whole list answers.
    entries: Vec<Value>,
    /// What a poll answers once.
    changes: Vec<Value>,
    silent: bool,
    /// Polls for changes since a version that is newer than its own are rejected.
    rejects_newer_versions: bool,
    planned: VecDeque<ListAnswer>,
}

/// An entry of the list in zone `north`.
pub fn endpoint_entry(id: &str, health: &str) -> Value {
    json!({"host": id, "dial": "127.0.0.1:9", "site": "north", "class": "m2", "block": 3,
        "health": health, "share": 1.0, "born_ms": 0})
}

/// The parameters of a poll.
struct Poll {
    since: Option<u64>,
    wait: Duration,
}

impl Poll {
    fn of_request(request_line: &str) -> Poll {
        Poll {
            since: query_parameter(request_line, "since="),
            wait: Duration::from_millis(query_parameter(request_line, "timeout_ms=").unwrap_or(0)),
        }
    }
}

fn query_parameter(request_line: &str, name: &str) -> Option<u64> {
    let value = request_line.split(name).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

impl Shared {
    fn serve(&self, request_line: &str, stream: &mut TcpStream) -> ConnectionAction {
        let poll = Poll::of_request(request_line);
        let mut state = self.state.lock().unwrap();
        let body = match poll.since {
            None => json!({"seq": state.version, "whole": true, "hosts": state.entries}),
            Some(since) => {
                state = self.wait_for_change(state, since, poll.wait);
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
        answer(state.planned.pop_front(), &body.to_string(), stream)
    }

    fn wait_for_change<'a>(
        &self,
        state: MutexGuard<'a, ListState>,
        since: u64,
        timeout: Duration,
    ) -> MutexGuard<'a, ListState> {
        let unchanged =
            |state: &mut ListState| state.silent || state.version <= since && state.planned.is_empty();
        self.changed.wait_timeout_while(state, timeout, unchanged).unwrap().0
    }
}

fn answer(planned: Option<ListAnswer>, body: &str, stream: &mut TcpStream) -> ConnectionAction {
    match planned {
        None => send_fragmented_response(stream, body),
        Some(ListAnswer::Body(body)) => send_response(stream, "200 OK", &body),
        Some(ListAnswer::Truncated(bytes)) => send_truncated_response(stream, body, bytes),
        Some(ListAnswer::Twice) => send_response_twice(stream, body),
        Some(ListAnswer::ConnectionReset) => {
            enable_reset_on_close(stream);
            return ConnectionAction::StopReading;
        }
    }
    ConnectionAction::ReadNextRequest
}

impl FakeEndpointList {
    /// A list of these active endpoints.
    pub fn start(endpoints: &[&str]) -> FakeEndpointList {
        let entries = endpoints.iter().map(|id| endpoint_entry(id, "active")).collect();
        let state = ListState { version: 1, entries, ..ListState::default() };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let (sender, requests) = channel();
        let server = shared.clone();
        let address = spawn_http_server(move |request, stream| {
            let _ = sender.send(request.request_line.clone());
            server.serve(&request.request_line, stream)
        });
        FakeEndpointList { address, shared, requests: Arc::new(Mutex::new(requests)) }
    }

    fn state(&self) -> MutexGuard<'_, ListState> {
        self.shared.state.lock().unwrap()
    }

    /// Publishes a change; reads of the whole list answer as before.
    pub fn publish_changes(&self, changes: &[Value]) {
        let mut state = self.state();
        state.version += 1;
        state.changes = changes.to_vec();
        self.shared.changed.notify_all();
    }

    /// Replaces the whole list and publishes the changes that led to it.
    pub fn publish(&self, entries: &[Value], changes: &[Value]) {
        self.state().entries = entries.to_vec();
        self.publish_changes(changes);
    }

    /// The same, and what is sent in place of the answer that tells of it.
    pub fn publish_with_answer(&self, entries: &[Value], changes: &[Value], answer: ListAnswer) {
        let mut state = self.state();
        state.planned.push_back(answer);
        state.entries = entries.to_vec();
        state.version += 1;
        state.changes = changes.to_vec();
        self.shared.changed.notify_all();
    }

    /// Plans what is sent in place of the next answer. A poll that waits is answered at once.
    pub fn plan_answer(&self, answer: ListAnswer) {
        self.state().planned.push_back(answer);
        self.shared.changed.notify_all();
    }

    /// It has lost its state and counts versions from there.
    pub fn restarts_at(&self, version: u64, rejects_newer_versions: bool) {
        let mut state = self.state();
        state.version = version;
        state.rejects_newer_versions = rejects_newer_versions;
    }

    /// Waits for a poll for changes since the present version: everything else has reached the control loop then.
    pub fn wait_until_up_to_date(&self) {
        let since = format!("since={}&", self.state().version);
        wait_for("a poll since the present version", || {
            let request = self.requests.lock().unwrap().recv_timeout(TIMEOUT);
            request.expect("a request to the list").contains(&since).then_some(())
        });
    }

    /// Whether it leaves requests unanswered.

    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
    }

    /// Waits for so many requests.
    pub fn wait_for_requests(&self, count: usize) {
        let requests = self.requests.lock().unwrap();
        for _ in 0..count {
            requests.recv_timeout(TIMEOUT).expect("a request to the list");
        }
    }
}
