//! Simulated clients. A client sends each request to a proxy in its own zone at the scheduled time, times out
//! attempts that take too long, and retries within the limits of the request class and of the client
//! configuration.

use crate::clock::{micros, Time};
use crate::engine::Engine;
use crate::event::Event;
use crate::request_sampling::{AttemptSampler, Purpose};
use crate::results::RequestEnd;
use crate::slab::Handle;
use otterwinch_fleet::model::Idempotency;
use otterwinch_fleet::ScheduledRequest;

/// A request in flight: one that has started and not ended.
pub(crate) struct Request {
    /// The request's position in the load, starting at 1.
    pub sequence: u64,
    /// The scheduled time. Latency and the request timeout are measured from it.
    pub due: Time,
    /// The index of the request class in the fleet.
    pub class: usize,
    /// The index of the client's zone in the fleet.
    pub zone: usize,
    /// The work of one execution, in seconds on a core of speed 1.
    pub work: f64,
    /// The number of the client's latest attempt, starting at 1; 0 before the first.
    pub attempt_number: u32,
    /// When the attempt in progress times out; `None` between attempts.
    pub attempt_deadline: Option<Time>,
    /// The proxy that the latest attempt was sent to; `None` if no proxy was up.
    pub proxy: Option<u32>,
    /// The slot of the proxy's attempt at an endpoint, while there is one.
    pub proxy_attempt: Option<u32>,
}

impl Engine<'_> {
    /// Starts a request that is due now.
    pub(crate) fn start_request(&mut self, sequence: u64, scheduled: &ScheduledRequest) {
        self.in_flight += 1;
        let slot = self.requests.insert(Request {
            sequence,
            due: self.now,
            class: scheduled.request_class,
            zone: scheduled.zone,
            work: scheduled.work,
            attempt_number: 0,
            attempt_deadline: None,
            proxy: None,
            proxy_attempt: None,
        });
        self.send_attempt(slot);
    }

    /// Returns the source of the random choices for a request's latest attempt.
    pub(crate) fn sampler(&self, slot: u32) -> AttemptSampler {
        let request = &self.requests[slot];
        AttemptSampler { seed: self.seed, sequence: request.sequence, attempt_number: request.attempt_number }
    }

    /// Sends the client's next attempt at a request to a proxy.
    fn send_attempt(&mut self, slot: u32) {
        self.requests[slot].attempt_number += 1;
        let sampler = self.sampler(slot);
        let deadline = self.attempt_deadline(slot, &sampler);
        let proxy = self.choose_proxy(self.requests[slot].zone, sampler.sample(Purpose::Proxy));
        let request = &mut self.requests[slot];
        request.attempt_deadline = Some(deadline);
        request.proxy = proxy;
        let (class, zone, attempt_number) = (request.class, request.zone, request.attempt_number);
        let started = self.load_seconds(self.now);
        self.results.record_attempt(class, zone, started);
        if proxy.is_none() {
            return self.retry_or_end(slot, RequestEnd::Failed, true, self.now);
        }
        let request = self.requests.handle(slot);
        self.schedule(deadline, Event::AttemptTimeout { request, attempt_number });
        let arrival = self.now + micros(self.fleet.network.client_latency);
        self.schedule(arrival, Event::AttemptAtProxy { request, attempt_number });
    }

    /// Returns when an attempt that is sent now times out: after a random fraction of the request's timeout,
    /// and no later than the request itself.
    fn attempt_deadline(&self, slot: u32, sampler: &AttemptSampler) -> Time {
        let request = &self.requests[slot];
        let timeout = micros(self.fleet.request_classes[request.class].timeout);
        let (min_fraction, max_fraction) = self.fleet.clients.attempt_timeout_fraction;
        let fraction = min_fraction + (max_fraction - min_fraction) * sampler.sample(Purpose::AttemptTimeout);
        let attempt_deadline = self.now + (timeout as f64 * fraction) as Time;
        attempt_deadline.min(request.due + timeout)
    }

    /// Chooses a live proxy in the zone at random, or in any zone if this one has none.
    fn choose_proxy(&self, zone: usize, sample: f64) -> Option<u32> {
        choose_uniformly(&self.live_proxies[zone], sample).or_else(|| {
            let all_proxies: Vec<u32> = self.live_proxies.iter().flatten().copied().collect();
            choose_uniformly(&all_proxies, sample)
        })
    }

    /// Returns whether the client still waits for this attempt of the request.
    pub(crate) fn is_attempt_in_progress(&self, request: Handle, attempt_number: u32) -> bool {
        let current = self.requests.is_current(request);
        let request = &self.requests[request.slot];
        current && request.attempt_number == attempt_number && request.attempt_deadline.is_some()
    }

    /// Sends the answer of an attempt from the proxy to the client. It ends the request if it arrives before
    /// the attempt times out; otherwise the timeout takes effect.
    pub(crate) fn send_answer_to_client(&mut self, slot: u32) {
        let arrival = self.now + micros(self.fleet.network.client_latency);
        let request = &self.requests[slot];
        if request.attempt_deadline.is_none_or(|deadline| arrival <= deadline) {
            self.end_request(slot, RequestEnd::Answered(arrival - request.due));
        }
    }

    /// Sends the failure of an attempt from the proxy to the client, which then retries or ends the request.
    pub(crate) fn send_failure_to_client(&mut self, slot: u32, end: RequestEnd, not_executed: bool) {
        let arrival = self.now + micros(self.fleet.network.client_latency);
        self.retry_or_end(slot, end, not_executed, arrival);
    }

    /// Handles an attempt whose failure the client notices at `at`: schedules a retry if one is allowed and
    /// would start before the request times out, and ends the request otherwise.
    pub(crate) fn retry_or_end(&mut self, slot: u32, end: RequestEnd, not_executed: bool, at: Time) {
        let request = &self.requests[slot];
        let request_deadline = request.due + micros(self.fleet.request_classes[request.class].timeout);
        let retry_at = at + self.retry_wait(slot);
        if !self.may_retry(slot, not_executed, at) || retry_at >= request_deadline {
            return self.end_request(slot, end);
        }
        let request = &mut self.requests[slot];
        request.proxy_attempt = None;
        request.attempt_deadline = None;
        let request = self.requests.handle(slot);
        self.schedule(retry_at, Event::Retry { request });
    }

    /// Returns the random wait before a request's next attempt.
    fn retry_wait(&self, slot: u32) -> Time {
        let (shortest, longest) = self.fleet.clients.retry_wait;
        let (shortest, longest) = (micros(shortest), micros(longest));
        let sample = self.sampler(slot).sample(Purpose::RetryWait);
        shortest + ((longest - shortest) as f64 * sample) as Time
    }

    /// Returns whether the request class and the client's limits allow a retry at `at`. A request that is not
    /// idempotent may be retried only if it is known not to have been executed; one with an idempotency key
    /// also as long as endpoints recognize a repetition.
    fn may_retry(&self, slot: u32, not_executed: bool, at: Time) -> bool {
        let request = &self.requests[slot];
        let class = &self.fleet.request_classes[request.class];
        let safe_to_retry = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => {
                not_executed || at - request.due < micros(class.deduplication_window)
            }
            Idempotency::NotIdempotent => not_executed,
        };
        safe_to_retry
            && !self.lifted_limits.retries
            && request.attempt_number <= self.fleet.clients.max_retries
    }

    /// Sends the next attempt once the wait before a retry is over.
    pub(crate) fn retry(&mut self, request: Handle) {
        if self.requests.is_current(request) {
            self.send_attempt(request.slot);
        }
    }

    /// Handles the timeout of a client's attempt. The client closes its connection to the proxy, which then
    /// closes the one to the endpoint.
    pub(crate) fn attempt_timed_out(&mut self, request: Handle, attempt_number: u32) {
        if !self.is_attempt_in_progress(request, attempt_number) {
            return;
        }
        if let Some(attempt) = self.requests[request.slot].proxy_attempt {
            let closed_at_proxy = self.now + micros(self.fleet.network.client_latency);
            self.abandon_attempt(attempt, closed_at_proxy);
        }
        self.retry_or_end(request.slot, RequestEnd::Failed, false, self.now);
    }

    /// Records the result of a request and releases its slot.
    fn end_request(&mut self, slot: u32, end: RequestEnd) {
        let request = &self.requests[slot];
        let due = self.load_seconds(request.due);
        self.results.record_end(request.class, request.zone, due, end);
        self.requests.release(slot);
        self.in_flight -= 1;
    }
}

/// Returns the proxy that a sample from 0 (included) to 1 (excluded) selects; `None` if there are none.
fn choose_uniformly(proxies: &[u32], sample: f64) -> Option<u32> {
    proxies.get((sample * proxies.len() as f64) as usize).copied()
}
