//! HTTP towards one peer: hyper-util's client with a limit on each connect, answer and body. It never sends
//! anything twice by itself: only who asked can know whether twice is once too often.

use crate::call_error::{chain, CallError, CallProgress};
use crate::connector::Connector;
use crate::timeout::within;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
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
use tower_service::Service;

/// Shorter than any wait for an answer, so that what was never sent is known not to have been. The connect goes on
/// beyond it, for the next call.
const CONNECT_WITHIN: Duration = Duration::from_millis(150);
/// Peers close what stands idle; one kept for less can hardly be dead when it is used.
const IDLE_KEPT: Duration = Duration::from_secs(3);

/// Hands the client a connection, from whichever connect to the peer comes up first.
#[derive(Clone)]
struct Dialer {
    address: SocketAddr,
    dials: Arc<Mutex<Connector<TcpStream>>>,
}

impl Service<Uri> for Dialer {
    type Response = TokioIo<TcpStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<TokioIo<TcpStream>>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let Dialer { address, dials } = self.clone();
        Box::pin(async move {
            let mut dials = dials.lock().await;
            let up = dials.up(TcpStream::connect(address), unspoilt);
            let stream = within(CONNECT_WITHIN, up).await.ok_or_else(|| {
                io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("not up after {} ms", CONNECT_WITHIN.as_millis()),
                )
            })??;
            stream.set_nodelay(true)?;
            Ok(TokioIo::new(stream))
        })
    }
}

/// Whether a connection that came up a while ago is still open, and silent as one that was never asked is.
fn unspoilt(stream: &TcpStream) -> bool {
    matches!(stream.try_read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

pub struct Peer {
    client: Client<Dialer, Full<Bytes>>,
    pub address: SocketAddr,
}

impl Peer {
    pub fn at(address: SocketAddr) -> Self {
        let dialer = Dialer { address, dials: Arc::new(Mutex::new(Connector::new())) };
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_KEPT)
            .pool_max_idle_per_host(1)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(dialer);
        Peer { client, address }
    }

    /// Sends one message and waits for the head of its answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let message = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| CallError::new(CallProgress::NotConnected, e))?;
        match within(limit, self.client.request(message)).await {
            None => Err(CallError::new(CallProgress::Sent, format!("silent for {} ms", limit.as_millis()))),
            Some(Err(e)) if e.is_connect() || never_begun(&e) => {
                Err(CallError::new(CallProgress::NotConnected, chain(&e)))
            }
            Some(Err(e)) => Err(CallError::new(CallProgress::Sent, chain(&e))),
            Some(Ok(answer)) => Ok(answer),
        }
    }

    /// Sends one message and reads its whole answer, of `most` bytes.
    pub async fn ask(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
        most: usize,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let whole = async {
            let answer = self.send(method, path, body, limit).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), most).collect().await;
            Ok((status, body.map_err(|e| CallError::new(CallProgress::Answered, chain(&*e)))?.to_bytes()))
        };
        let slow =
            || CallError::new(CallProgress::Answered, format!("not whole after {} ms", limit.as_millis()));
        within(limit, whole).await.unwrap_or_else(|| Err(slow()))
    }
}

/// A pooled connection that its peer had closed: hyper hands the message back before a byte of it went out.
fn never_begun(error: &(dyn Error + 'static)) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_canceled)
}
