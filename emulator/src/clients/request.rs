//! One request of a client: its attempts and the waits between them, until it is answered or the client gives
//! up.

use super::ClientState;
use crate::http::{NOT_EXECUTED_HEADER, REJECTED_HEADER, REQUEST_CLASS_HEADER, REQUEST_PATH, WORK_US_HEADER};
use crate::sync::lock;
use crate::time::duration;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use otterwinch_fleet::model::{Idempotency, RequestClass};
use otterwinch_fleet::ScheduledRequest;
use otterwinch_simulation::results::RequestEnd;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};

/// The outcome of an attempt, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    /// A successful response arrived in time.
    Answered,
    /// A proxy rejected the request.
    Rejected,
    /// No endpoint started to execute the request.
    NotExecuted,
    /// The attempt failed or timed out; the request may have been executed.
    Failed,
}

impl AttemptOutcome {
    /// Whether it is certain that no endpoint executed the request.
    fn is_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::NotExecuted)
    }
}

/// The random numbers for one attempt, each uniformly distributed from 0 to 1.
struct AttemptSamples {
    /// Selects the proxy.
    proxy: f64,
    /// Selects the timeout of the attempt.
    timeout: f64,
    /// Selects the wait before the next attempt.
    retry_wait: f64,
}

/// Sends a request that is due at `due`, retries it where allowed, and records its attempts and its final
/// outcome.
pub(super) async fn run(state: Arc<ClientState>, request: ScheduledRequest, due: Instant) {
    let in_flight = InFlightRequest { state: &state, request: &request, due };
    let end = in_flight.run().await;
    state.record_end(&request, end);
}

struct InFlightRequest<'a> {
    state: &'a ClientState,
    request: &'a ScheduledRequest,
    due: Instant,
}

impl InFlightRequest<'_> {
    async fn run(&self) -> RequestEnd {
        let deadline = self.due + duration(self.class().timeout);
        let mut retries = 0;
        loop {
            let samples = self.state.draw_samples();
            let outcome = self.attempt(&samples, deadline).await;
            let end = match outcome {
                AttemptOutcome::Answered => {
                    return RequestEnd::Answered(self.due.elapsed().as_micros() as u64)
                }
                AttemptOutcome::Rejected => RequestEnd::Rejected,
                AttemptOutcome::NotExecuted | AttemptOutcome::Failed => RequestEnd::Failed,
            };
            let may_retry = self.is_safe_to_retry(outcome);
            let retry_at = Instant::now() + self.retry_wait(&samples);
            if !may_retry || retries >= self.state.fleet.clients.max_retries || retry_at >= deadline {
                return end;
            }
            sleep_until(retry_at).await;
            retries += 1;
        }
    }

    fn class(&self) -> &RequestClass {
        &self.state.fleet.request_classes[self.request.request_class]
    }

    /// Sends the request once, to a randomly selected proxy.
    async fn attempt(&self, samples: &AttemptSamples, deadline: Instant) -> AttemptOutcome {
        let now = Instant::now();
        let attempt_deadline = (now + self.attempt_timeout(samples)).min(deadline);
        self.state.record_attempt(self.request, now);
        let Some(address) = self.state.live_proxies.pick(self.request.zone, samples.proxy) else {
            return AttemptOutcome::NotExecuted;
        };
        let attempt = self.state.send(&address, self.request);
        timeout_at(attempt_deadline, attempt).await.unwrap_or(AttemptOutcome::Failed)
    }

    /// The timeout of one attempt: a random fraction of the timeout of the request class.
    fn attempt_timeout(&self, samples: &AttemptSamples) -> Duration {
        let (min, max) = self.state.fleet.clients.attempt_timeout_fraction;
        duration(self.class().timeout).mul_f64(min + (max - min) * samples.timeout)
    }

    /// The random wait before a retry.
    fn retry_wait(&self, samples: &AttemptSamples) -> Duration {
        let (min, max) = self.state.fleet.clients.retry_wait;
        let (min, max) = (duration(min), duration(max));
        min + (max - min).mul_f64(samples.retry_wait)
    }

    /// Whether the request can be retried without the risk that it takes effect twice.
    fn is_safe_to_retry(&self, outcome: AttemptOutcome) -> bool {
        let class = self.class();
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => {
                outcome.is_not_executed() || self.due.elapsed() < duration(class.deduplication_window)
            }
            Idempotency::NotIdempotent => outcome.is_not_executed(),
        }
    }
}

impl ClientState {
    /// Draws all random numbers of an attempt at once, so that each attempt takes the same number from the
    /// generator whether they are used or not.
    fn draw_samples(&self) -> AttemptSamples {
        let mut rng = lock(&self.rng);
        let proxy = rng.random();
        let timeout = rng.random();
        let retry_wait = rng.random();
        AttemptSamples { proxy, timeout, retry_wait }
    }

    /// Sends a request to a proxy and waits for the response.
    async fn send(&self, address: &str, request: &ScheduledRequest) -> AttemptOutcome {
        let http_request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}{REQUEST_PATH}"))
            .header(REQUEST_CLASS_HEADER, request.request_class)
            .header(WORK_US_HEADER, format!("{:.0}", request.work * 1e6))
            .body(Empty::new())
            .expect("the request's parts are valid");
        let response = match self.http.request(http_request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return AttemptOutcome::NotExecuted,
            Err(_) => return AttemptOutcome::Failed,
        };
        let (head, body) = response.into_parts();
        if body.collect().await.is_err() {
            return AttemptOutcome::Failed;
        }
        if head.status.is_success() {
            AttemptOutcome::Answered
        } else if head.headers.contains_key(REJECTED_HEADER) {
            AttemptOutcome::Rejected
        } else if head.headers.contains_key(NOT_EXECUTED_HEADER) {
            AttemptOutcome::NotExecuted
        } else {
            AttemptOutcome::Failed
        }
    }
}
