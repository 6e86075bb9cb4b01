//! The HTTP server of an endpoint: accepts connections and answers requests.

use super::condition::{Condition, RequestAction};
use super::counters::{CoreTimeGuard, Counters, GaugeGuard};
use super::executor::Executor;
use crate::http::{
    empty_response, flagged_response, header_text, serve_connection, NOT_EXECUTED_HEADER, WORK_US_HEADER,
};
use crate::network::{Listener, Stream};
use crate::sync::lock;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response, StatusCode};
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::task::JoinSet;

/// The largest accepted value of the work header, in microseconds.
const MAX_WORK_US: f64 = 1e12;

/// The state that the connections of an endpoint share. A restart keeps it.
pub(super) struct EndpointServer {
    pub(super) max_connections: u32,
    /// The work of a new connection, in seconds on a core of speed 1.
    pub(super) connection_work: f64,
    /// Whether execution of a request continues after its client has disconnected.
    pub(super) finishes_abandoned_requests: bool,
    pub(super) open_connections: AtomicU32,
    pub(super) condition: Mutex<Condition>,
    pub(super) executor: Executor,
    pub(super) counters: Counters,
}

/// Accepts connections until the endpoint collapses or the task is aborted, which also closes all
/// connections.
pub(super) async fn run(mut listener: Listener, server: Arc<EndpointServer>) {
    let mut connections = JoinSet::new();
    server.open_connections.store(0, Ordering::SeqCst);
    server.executor.reset_queue();
    let collapse_signal = Arc::new(Notify::new());
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(_) => return,
            },
            Some(_) = connections.join_next() => continue,
            () = collapse_signal.notified() => return,
        };
        let open_connections = server.open_connections.fetch_add(1, Ordering::SeqCst);
        let above_limit = open_connections >= server.max_connections;
        connections.spawn(serve(stream, server.clone(), collapse_signal.clone(), above_limit));
    }
}

/// Serves one connection.
async fn serve(stream: Stream, server: Arc<EndpointServer>, collapse_signal: Arc<Notify>, above_limit: bool) {
    let _open = GaugeGuard(&server.open_connections);
    let is_new = AtomicBool::new(true);
    let handler = |request: Request<Incoming>| {
        let (server, collapse_signal, is_new) = (&server, &collapse_signal, &is_new);
        async move {
            if above_limit {
                return server.refuse_connection();
            }
            let is_first_request = is_new.swap(false, Ordering::SeqCst);
            let connection_work = if is_first_request { server.connection_work } else { 0.0 };
            server.handle(&request, connection_work, collapse_signal).await
        }
    };
    serve_connection(stream, handler).await;
}

impl EndpointServer {
    /// Answers that the request was not executed, and closes the connection. Without the response the client
    /// could not know whether the request was executed.
    fn refuse_connection(&self) -> Response<Full<Bytes>> {
        self.counters.refused_connections.fetch_add(1, Ordering::Relaxed);
        let mut response = not_executed_response();
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Handles one request. The future is dropped when the client closes the connection.
    async fn handle(
        self: &Arc<Self>,
        request: &Request<Incoming>,
        connection_work: f64,
        collapse_signal: &Notify,
    ) -> Response<Full<Bytes>> {
        let Some(request_work) = parse_work(request) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let work = request_work + connection_work;
        let action = lock(&self.condition).action_for(work);
        match action {
            RequestAction::Execute => {}
            RequestAction::Fail => return empty_response(StatusCode::INTERNAL_SERVER_ERROR),
            RequestAction::Hang => return pending().await,
            RequestAction::Collapse => {
                collapse_signal.notify_one();
                return pending().await;
            }
        }
        let Ok(core) = self.executor.acquire_core().await else {
            self.counters.rejected.fetch_add(1, Ordering::Relaxed);
            return not_executed_response();
        };
        self.counters.accepted.fetch_add(1, Ordering::Relaxed);
        if self.finishes_abandoned_requests {
            // A separate task continues when this future is dropped.
            let server = self.clone();
            let _ = tokio::spawn(async move { server.execute(core, work).await }).await;
        } else {
            self.execute(core, work).await;
        }
        empty_response(StatusCode::OK)
    }

    /// Executes a request on an acquired core, which is released at the end.
    async fn execute(&self, _core: OwnedSemaphorePermit, work: f64) {
        let _core_time = CoreTimeGuard::new(&self.counters);
        let seconds = lock(&self.condition).execution_seconds(work);
        self.executor.occupy_core(seconds).await;
    }
}

/// Parses the work header of a request, in seconds on a core of speed 1. `None` if it is missing, invalid or
/// out of range.
fn parse_work(request: &Request<Incoming>) -> Option<f64> {
    let work_us: f64 = header_text(request, WORK_US_HEADER)?.parse().ok()?;
    (0.0..=MAX_WORK_US).contains(&work_us).then_some(work_us / 1e6)
}

fn not_executed_response() -> Response<Full<Bytes>> {
    flagged_response(StatusCode::SERVICE_UNAVAILABLE, NOT_EXECUTED_HEADER)
}
