//! The pool of connections from a proxy to endpoints. A connection carries one request at a time and is
//! reused for later requests.

use super::EndpointDirectory;
use crate::http::{NOT_EXECUTED_HEADER, REQUEST_PATH, WORK_US_HEADER};
use crate::network::Network;
use crate::sync::lock;
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

type Connection = SendRequest<Empty<Bytes>>;

/// The outcome of an attempt at an endpoint, as the proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// The endpoint sent a complete, successful response.
    Answered,
    /// It is certain that the endpoint did not execute the request.
    NotExecuted,
    /// The attempt failed; the request may have been executed.
    Failed,
}

/// An open connection that carries no request.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// The connections of a proxy to endpoints. Only idle connections are stored.
pub(super) struct ConnectionPool {
    network: Network,
    idle_timeout: Duration,
    directory: Arc<EndpointDirectory>,
    /// By endpoint index; the most recently used connection is last.
    idle: Mutex<BTreeMap<u32, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    pub(super) fn new(network: Network, idle_timeout: Duration, directory: Arc<EndpointDirectory>) -> Self {
        ConnectionPool { network, idle_timeout, directory, idle: Mutex::default() }
    }

    /// The index of the zone of an endpoint.
    pub(super) fn zone_of(&self, endpoint: u32) -> usize {
        self.directory.zones[endpoint as usize]
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Drops connections that have been idle for longer than the idle timeout or that the endpoint has
    /// closed.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        for connections in lock(&self.idle).values_mut() {
            connections
                .retain(|idle| now - idle.idle_since < self.idle_timeout && !idle.connection.is_closed());
        }
    }

    /// Sends a request to an endpoint. `work_us` is the value of the work header.
    pub(super) async fn send(&self, endpoint: u32, work_us: &str) -> AttemptOutcome {
        let Some(mut connection) = self.acquire_connection(endpoint).await else {
            return AttemptOutcome::NotExecuted;
        };
        let request = Request::builder()
            .method("POST")
            .uri(REQUEST_PATH)
            .header("host", "node")
            .header(WORK_US_HEADER, work_us)
            .body(Empty::new())
            .expect("the request's parts are valid");
        let response = match connection.send_request(request).await {
            Ok(response) => response,
            // Hyper reports a request as cancelled only if it has not written any byte of it.
            Err(error) if error.is_canceled() => return AttemptOutcome::NotExecuted,
            Err(_) => return AttemptOutcome::Failed,
        };
        let status = response.status();
        let is_not_executed = response.headers().contains_key(NOT_EXECUTED_HEADER);
        let is_complete = response.into_body().collect().await.is_ok();
        if is_complete && connection.ready().await.is_ok() {
            self.put_idle(endpoint, connection);
        }
        if status == StatusCode::OK && is_complete {
            AttemptOutcome::Answered
        } else if is_not_executed {
            AttemptOutcome::NotExecuted
        } else {
            AttemptOutcome::Failed
        }
    }

    /// Takes the most recently used idle connection or opens a new one; `None` if none can be opened.
    async fn acquire_connection(&self, endpoint: u32) -> Option<Connection> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Some(connection);
        }
        let address = &self.directory.addresses[endpoint as usize];
        let stream = timeout(CONNECT_TIMEOUT, self.network.connect(address)).await.ok()?.ok()?;
        let (connection, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(connection)
    }

    fn take_idle(&self, endpoint: u32) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&endpoint)?;
        while let Some(IdleConnection { connection, .. }) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, endpoint: u32, connection: Connection) {
        let idle = IdleConnection { connection, idle_since: Instant::now() };
        lock(&self.idle).entry(endpoint).or_default().push(idle);
    }
}
