//! The emulated endpoint list. A request gets the whole list, or waits for changes since a version and gets
//! those, as in the published protocol.

use crate::http::serve_connection;
use crate::network::{Listener, Network, Stream};
use crate::sync::lock;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use otterwinch::host::EndpointState;
use serde_json::{json, Value};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

#[cfg(test)]
mod tests;

/// The number of changes that are kept for watchers. A watcher that is further behind gets the whole list.
const MAX_KEPT_CHANGES: usize = 256;
/// The longest time that a request may wait for a change, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;
/// The version of the list when it is started.
pub(crate) const INITIAL_VERSION: u64 = 1;

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ListEntry {
    /// The identifier of the endpoint, unique in the list.
    pub(crate) name: String,
    /// The address that the endpoint listens on.
    pub(crate) address: String,
    /// The name of the endpoint's zone.
    pub(crate) zone: String,
    pub(crate) state: EndpointState,
    pub(crate) weight: f64,
    /// When the endpoint was started, in milliseconds of Unix time; 0 if that was long ago.
    pub(crate) started_unix_ms: u64,
}

impl ListEntry {
    fn to_json(&self) -> Value {
        let health = match self.state {
            EndpointState::Ready => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        };
        json!({
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": "stand-in",
            "block": 0,
            "health": health,
            "share": self.weight,
            "born_ms": self.started_unix_ms,
        })
    }
}

/// A response with the whole list, in the protocol's JSON form.
pub(crate) fn whole_list_json(version: u64, entries: &[ListEntry]) -> Value {
    list_json(version, true, entries.iter())
}

fn list_json<'a>(version: u64, is_whole: bool, entries: impl Iterator<Item = &'a ListEntry>) -> Value {
    let hosts: Vec<Value> = entries.map(ListEntry::to_json).collect();
    json!({"seq": version, "whole": is_whole, "hosts": hosts})
}

/// A change of one entry.
struct Change {
    /// The first version of the list that includes the change.
    version: u64,
    entry: ListEntry,
}

struct ListState {
    version: u64,
    entries: Vec<ListEntry>,
    /// The latest changes, oldest first.
    changes: Vec<Change>,
}

impl ListState {
    fn update(&mut self, entries: Vec<ListEntry>) {
        self.version += 1;
        for entry in entries {
            self.entries.retain(|known| known.name != entry.name);
            if entry.state != EndpointState::Removed {
                self.entries.push(entry.clone());
            }
            self.changes.push(Change { version: self.version, entry });
        }
        let excess = self.changes.len().saturating_sub(MAX_KEPT_CHANGES);
        self.changes.drain(..excess);
    }

    /// The changes since a version; the whole list if no version is given or some of the changes since it are
    /// no longer kept.
    fn response_json(&self, since: Option<u64>) -> Value {
        let Some(since) = since.filter(|since| self.has_changes_since(*since)) else {
            return whole_list_json(self.version, &self.entries);
        };
        let later = self.changes.iter().filter(|change| change.version > since);
        list_json(self.version, false, later.map(|change| &change.entry))
    }

    fn has_changes_since(&self, version: u64) -> bool {
        let oldest = self.changes.first();
        version == self.version || oldest.is_some_and(|oldest| oldest.version <= version + 1)
    }
}

/// A running endpoint list.
pub(crate) struct EndpointList {
    /// The address that it listens on.
    pub(crate) address: String,
    server: Arc<ListServer>,
}

struct ListServer {
    state: Mutex<ListState>,
    /// The current version; notifies the requests that wait for a change.
    version: watch::Sender<u64>,
}

impl EndpointList {
    /// Starts a list with these entries on a new address.
    pub(crate) fn start(network: &Network, entries: Vec<ListEntry>) -> io::Result<EndpointList> {
        let (listener, address) = network.listen("list")?;
        let state = ListState { version: INITIAL_VERSION, entries, changes: Vec::new() };
        let (version, _) = watch::channel(INITIAL_VERSION);
        let server = Arc::new(ListServer { state: Mutex::new(state), version });
        tokio::spawn(accept(listener, server.clone()));
        Ok(EndpointList { address, server })
    }

    /// Adds, changes or removes the given entries, and notifies the watchers.
    pub(crate) fn update(&self, entries: Vec<ListEntry>) {
        let version = {
            let mut state = lock(&self.server.state);
            state.update(entries);
            state.version
        };
        self.server.version.send_replace(version);
    }
}

async fn accept(mut listener: Listener, server: Arc<ListServer>) {
    while let Ok(stream) = listener.accept().await {
        tokio::spawn(serve(stream, server.clone()));
    }
}

async fn serve(stream: Stream, server: Arc<ListServer>) {
    let server = &server;
    serve_connection(stream, |request| async move { server.handle(&request).await }).await;
}

impl ListServer {
    /// Responds at once without `since`; otherwise when there is a later version or `timeout_ms` has passed.
    async fn handle(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let query = request.uri().query().unwrap_or_default();
        let since = query_number(query, "since");
        if let Some(since) = since {
            let wait_ms = query_number(query, "timeout_ms").unwrap_or(0).min(MAX_WATCH_MS);
            let mut version = self.version.subscribe();
            let changed = version.wait_for(|version| *version > since);
            let _ = timeout(Duration::from_millis(wait_ms), changed).await;
        }
        let body = lock(&self.state).response_json(since).to_string();
        Response::new(Full::new(Bytes::from(body)))
    }
}

/// The value of a query parameter; `None` if it is missing or not a number.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
