//! The HTTP server of a proxy, and how it handles a request.

use super::connection_pool::{AttemptOutcome, ConnectionPool};
use super::load_counters::LoadCounters;
use super::routing::RoutingState;
use crate::http::{
    empty_response, flagged_response, header_text, serve_connection, NOT_EXECUTED_HEADER, REJECTED_HEADER,
    REQUEST_CLASS_HEADER, WORK_US_HEADER,
};
use crate::network::{Listener, Stream};
use crate::sync::lock;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use otterwinch::host::RetryPolicy;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until};

/// The shortest latency that is emulated. Timers are too coarse for shorter ones.
const MIN_EMULATED_LATENCY: Duration = Duration::from_millis(1);
/// How often the pool is checked for expired connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The state that the connections of a proxy share. A restart keeps it.
pub(super) struct ProxyServer {
    pub(super) zone: usize,
    pub(super) default_retry: RetryPolicy,
    /// The one-way latency to each zone.
    pub(super) zone_latency: Vec<Duration>,
    pub(super) routing: Mutex<RoutingState>,
    pub(super) load_counters: LoadCounters,
    pub(super) connection_pool: ConnectionPool,
}

/// Accepts connections until the task is aborted, which also closes all connections from clients.
pub(super) async fn run(mut listener: Listener, server: Arc<ProxyServer>) {
    let mut connections = JoinSet::new();
    let mut idle_check = interval(IDLE_CHECK_INTERVAL);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(_) => return,
            },
            Some(_) = connections.join_next() => continue,
            _ = idle_check.tick() => {
                server.connection_pool.close_expired();
                continue;
            }
        };
        connections.spawn(serve(stream, server.clone()));
    }
}

/// Serves one connection from a client.
async fn serve(stream: Stream, server: Arc<ProxyServer>) {
    let server = &server;
    serve_connection(stream, |request| async move { server.handle(&request).await }).await;
}

impl ProxyServer {
    /// Handles one request: if it is admitted, forwards it to an endpoint and, if that did not execute it and
    /// the retry policy allows, to a second one.
    async fn handle(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let class = header_text(request, REQUEST_CLASS_HEADER).and_then(|text| text.parse().ok());
        let (Some(class), Some(work_us)) = (class, header_text(request, WORK_US_HEADER)) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let applied_at = lock(&self.routing).applied_at();
        sleep_until(applied_at).await;
        self.load_counters.count_request(class);
        let route = lock(&self.routing).route(class);
        let Some(endpoint) = route.endpoint else {
            return flagged_response(StatusCode::TOO_MANY_REQUESTS, REJECTED_HEADER);
        };
        let mut outcome = self.attempt(endpoint, work_us).await;
        let retry = route.retry.unwrap_or(self.default_retry);
        if outcome == AttemptOutcome::NotExecuted && retry != RetryPolicy::Never {
            let other = lock(&self.routing).pick_other(endpoint);
            if let Some(other) = other {
                outcome = self.attempt(other, work_us).await;
            }
        }
        match outcome {
            AttemptOutcome::Answered => empty_response(StatusCode::OK),
            AttemptOutcome::NotExecuted => {
                flagged_response(StatusCode::SERVICE_UNAVAILABLE, NOT_EXECUTED_HEADER)
            }
            AttemptOutcome::Failed => empty_response(StatusCode::BAD_GATEWAY),
        }
    }

    /// Makes one attempt at an endpoint, with the latency between the zones before and after it.
    async fn attempt(&self, endpoint: u32, work_us: &str) -> AttemptOutcome {
        let zone = self.connection_pool.zone_of(endpoint);
        let mut attempt = self.load_counters.start_attempt(endpoint, zone != self.zone);
        let latency = self.zone_latency[zone];
        emulate_latency(latency).await;
        let outcome = self.connection_pool.send(endpoint, work_us).await;
        emulate_latency(latency).await;
        if outcome == AttemptOutcome::Answered {
            attempt.set_answered();
        }
        outcome
    }
}

async fn emulate_latency(latency: Duration) {
    if latency >= MIN_EMULATED_LATENCY {
        sleep(latency).await;
    }
}
