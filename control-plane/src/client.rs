//! An HTTP client for a single peer: hyper-util's client with timeouts for connecting, for the response head
//! and for the body. It never retries a request, because only the caller knows whether that is safe.

use crate::call_error::CallError;
use crate::connector::Connector;
use crate::timeout::timeout_with_grace;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tower_service::Service;

/// How long a call waits for a connection. Shorter than the timeout of any call, so that a call that could
/// not connect is known not to have been sent. The connection attempt continues for the next call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an idle connection is kept for reuse. Peers close idle connections; one that has been idle for
/// less than this is unlikely to be closed yet.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens connections to the peer for hyper's client.
#[derive(Clone)]
struct PeerConnector {
    address: SocketAddr,
    connector: Arc<Mutex<Connector<TcpStream>>>,
}

impl Service<Uri> for PeerConnector {
    type Response = TokioIo<TcpStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<TokioIo<TcpStream>>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        Box::pin(self.clone().connect())
    }
}

impl PeerConnector {
    async fn connect(self) -> io::Result<TokioIo<TcpStream>> {
        let mut connector = self.connector.lock().await;
        let connected = connector.connect(TcpStream::connect(self.address), is_usable);
        let stream = timeout_with_grace(CONNECT_TIMEOUT, connected).await.ok_or_else(connect_timed_out)??;
        stream.set_nodelay(true)?;
        Ok(TokioIo::new(stream))
    }
}

fn connect_timed_out() -> io::Error {
    let text = format!("no connection established within {} ms", CONNECT_TIMEOUT.as_millis());
    io::Error::new(io::ErrorKind::TimedOut, text)
}

/// Whether a connection that may have been established a while ago is still open and has nothing to read: a
/// peer must not send anything before the first request.
fn is_usable(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// An HTTP client for one peer.
pub struct PeerClient {
    client: Client<PeerConnector, Full<Bytes>>,
    /// The peer's address.
    pub address: SocketAddr,
}

impl PeerClient {
    /// Creates a client for the peer at `address`. It connects when the first request is sent.
    pub fn new(address: SocketAddr) -> Self {
        let connector = PeerConnector { address, connector: Arc::new(Mutex::new(Connector::new())) };
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        PeerClient { client, address }
    }

    /// Sends a request and waits up to `limit`, plus a short grace period, for the response head.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| CallError::NotConnected(error.into()))?;
        match timeout_with_grace(limit, self.client.request(request)).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) if error.is_connect() || was_never_sent(&error) => {
                Err(CallError::NotConnected(error.into()))
            }
            Some(Err(error)) => Err(CallError::NoResponse(error.into())),
            None => Err(CallError::NoResponse(format!("no response within {} ms", limit.as_millis()).into())),
        }
    }

    /// Sends a request and reads the complete response. The response body may have at most `max_bytes` bytes,
    /// and the whole call may take up to `limit` plus a short grace period.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let started = Instant::now();
        let response = self.send(method, path, body, limit).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), max_bytes).collect();
        match timeout_with_grace(limit.saturating_sub(started.elapsed()), body).await {
            Some(Ok(body)) => Ok((status, body.to_bytes())),
            Some(Err(error)) => Err(CallError::InvalidData(error)),
            None => {
                let text = format!("response body incomplete after {} ms", limit.as_millis());
                Err(CallError::InvalidData(text.into()))
            }
        }
    }
}

/// Whether hyper cancelled the request before sending any of it, as it does when the peer had closed the
/// pooled connection.
fn was_never_sent(error: &legacy::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_canceled)
}

#[cfg(test)]
mod tests;
