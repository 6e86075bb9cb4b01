//! Clients: they send each request to a proxy of their zone when it is due, give up attempts that take too long, and
//! retry as far as the request class and their own limits allow.

use crate::clock::{micros, Time};
use crate::engine::Engine;
use crate::event::Event;
use crate::request_sampling::{AttemptSampler, Purpose};
use crate::results::RequestEnd;
use crate::slab::Handle;
use otterwinch_fleet::model::Idempotency;
use otterwinch_fleet::ScheduledRequest;

/// A request that has begun and not ended.
pub(crate) struct Request {
    /// Its position in the load, from 1.
    pub sequence: u64,
    pub due: Time,
    /// The index of its class in the fleet.
    pub class: usize,
    /// The index of its client's zone in the fleet.
    pub zone: usize,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    /// The client's attempts so far.
    pub attempt_number: u32,
    /// When the client gives up the attempt that is under way; `None` between attempts.
    pub attempt_deadline: Option<Time>,
    /// The proxy of the latest attempt; `None` where none was up.
    pub proxy: Option<u32>,
    /// The proxy's attempt at an endpoint, while it is under way.
    pub proxy_attempt: Option<u32>,
}

impl Engine<'_> {
    /// Begins a request that is due now.
    pub(crate) fn begin_request(&mut self, sequence: u64, scheduled: &ScheduledRequest) {
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

    /// The random choices of a request's present attempt.
    pub(crate) fn sampler(&self, slot: u32) -> AttemptSampler {
        let request = &self.requests[slot];
        AttemptSampler { seed: self.seed, sequence: request.sequence, attempt_number: request.attempt_number }
    }

    /// The client sends its next attempt.
    fn send_attempt(&mut self, slot: u32) {
        self.requests[slot].attempt_number += 1;
        let sampler = self.sampler(slot);
        let deadline = self.attempt_deadline(slot, &sampler);
        let proxy = self.choose_proxy(self.requests[slot].zone, sampler.sample(Purpose::Proxy));
        let request = &mut self.requests[slot];
        request.attempt_deadline = Some(deadline);
        request.proxy = proxy;
        let (class, zone, attempt_number) = (request.class, request.zone, request.attempt_number);
        let began = self.load_seconds(self.now);
        self.results.record_attempt(class, zone, began);
        if proxy.is_none() {
            return self.retry_or_end(slot, RequestEnd::Failed, true, self.now);
        }
        let request = self.requests.handle(slot);
        self.schedule(deadline, Event::AttemptTimeout { request, attempt_number });
        let arrives = self.now + micros(self.fleet.network.client_latency);
        self.schedule(arrives, Event::AttemptAtProxy { request, attempt_number });
    }

    fn attempt_deadline(&self, slot: u32, sampler: &AttemptSampler) -> Time {
        let request = &self.requests[slot];
        let timeout = micros(self.fleet.request_classes[request.class].timeout);
        let (least, most) = self.fleet.clients.attempt_timeout_fraction;
        let fraction = least + (most - least) * sampler.sample(Purpose::AttemptTimeout);
        let attempt_deadline = self.now + (timeout as f64 * fraction) as Time;
        attempt_deadline.min(request.due + timeout)
    }

    /// A proxy of a zone, or of all others where the zone has none that is up.
    fn choose_proxy(&self, zone: usize, sample: f64) -> Option<u32> {
        choose_uniformly(&self.live_proxies[zone], sample).or_else(|| {
            let all: Vec<u32> = self.live_proxies.iter().flatten().copied().collect();
            choose_uniformly(&all, sample)
        })
    }

    /// Whether a request's attempt is still under way.
    pub(crate) fn is_under_way(&self, request: Handle, attempt_number: u32) -> bool {
        let current = self.requests.is_current(request);
        let request = &self.requests[request.slot];
        current && request.attempt_number == attempt_number && request.attempt_deadline.is_some()
    }

    /// The answer to an attempt leaves the proxy now. It ends the request if it reaches the client in time.
    pub(crate) fn answer_client(&mut self, slot: u32) {
        let arrives = self.now + micros(self.fleet.network.client_latency);
        let request = &self.requests[slot];
        if request.attempt_deadline.is_none_or(|deadline| arrives <= deadline) {
            self.end_request(slot, RequestEnd::Answered(arrives - request.due));
        }
    }

    /// The failure of an attempt leaves the proxy now.
    pub(crate) fn fail_client(&mut self, slot: u32, end: RequestEnd, never_ran: bool) {
        let arrives = self.now + micros(self.fleet.network.client_latency);
        self.retry_or_end(slot, end, never_ran, arrives);
    }

    /// The client knows at `at` that its attempt has failed: it retries if it may, or the request ends.
    pub(crate) fn retry_or_end(&mut self, slot: u32, end: RequestEnd, never_ran: bool, at: Time) {
        let request = &self.requests[slot];
        let expires = request.due + micros(self.fleet.request_classes[request.class].timeout);
        let retry_at = at + self.retry_wait(slot);
        if !self.may_retry(slot, never_ran, at) || retry_at >= expires {
            return self.end_request(slot, end);
        }
        let request = &mut self.requests[slot];
        request.proxy_attempt = None;
        request.attempt_deadline = None;
        let request = self.requests.handle(slot);
        self.schedule(retry_at, Event::Retry { request });
    }

    fn retry_wait(&self, slot: u32) -> Time {
        let (shortest, longest) = self.fleet.clients.retry_wait;
        let (shortest, longest) = (micros(shortest), micros(longest));
        let sample = self.sampler(slot).sample(Purpose::RetryWait);
        shortest + ((longest - shortest) as f64 * sample) as Time
    }

    fn may_retry(&self, slot: u32, never_ran: bool, at: Time) -> bool {
        let request = &self.requests[slot];
        let class = &self.fleet.request_classes[request.class];
        let is_safe = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => {
                never_ran || at - request.due < micros(class.deduplication_window)
            }
            Idempotency::NotIdempotent => never_ran,
        };
        is_safe && !self.lifted_limits.retries && request.attempt_number <= self.fleet.clients.max_retries
    }

    /// The wait before a retry is over.
    pub(crate) fn retry(&mut self, request: Handle) {
        if self.requests.is_current(request) {
            self.send_attempt(request.slot);
        }
    }

    /// The client gives up its attempt and closes the connection to the proxy, which closes its own to the endpoint.
    pub(crate) fn attempt_timed_out(&mut self, request: Handle, attempt_number: u32) {
        if !self.is_under_way(request, attempt_number) {
            return;
        }
        if let Some(attempt) = self.requests[request.slot].proxy_attempt {
            let closed_at_proxy = self.now + micros(self.fleet.network.client_latency);
            self.abandon_attempt(attempt, closed_at_proxy);
        }
        self.retry_or_end(request.slot, RequestEnd::Failed, false, self.now);
    }

    fn end_request(&mut self, slot: u32, end: RequestEnd) {
        let request = &self.requests[slot];
        let due = self.load_seconds(request.due);
        self.results.record_end(request.class, request.zone, due, end);
        self.requests.release(slot);
        self.in_flight -= 1;
    }
}

fn choose_uniformly(proxies: &[u32], sample: f64) -> Option<u32> {
    proxies.get((sample * proxies.len() as f64) as usize).copied()
}
