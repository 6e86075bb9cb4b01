//! Proxies: they admit or reject the attempts of clients, choose an endpoint by weight, reuse connections, retry where
//! an attempt is proven not to have run, and count outcomes for the load report.

use crate::clock::{micros, Time};
use crate::control_plane_instance::OutcomeKey;
use crate::endpoint_work::Stage;
use crate::engine::Engine;
use crate::event::{AttemptOutcome, Event};
use crate::request_sampling::Purpose;
use crate::results::RequestEnd;
use crate::route_table::{TableSnapshot, WeightedEndpoints};
use crate::slab::Handle;
use otterwinch::host::RetryPolicy;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// A proxy.
pub(crate) struct Proxy {
    /// The index of its zone in the fleet.
    pub zone: usize,
    /// The control-plane instance that it belongs to.
    pub instance: Option<u32>,
    /// The endpoints of the table that it starts with.
    pub initial_endpoints: Vec<u32>,
    pub table: Arc<TableSnapshot>,
    /// Whether it uses a table that it was assigned.
    pub has_assigned_table: bool,
    /// It handles no attempt before this time: it applies a message.
    pub paused_until: Time,
    /// Its idle connections, by endpoint.
    pub pools: FxHashMap<u32, ConnectionPool>,
    /// The number of its stream to the control plane. What was sent on an earlier stream is lost.
    pub stream: u32,
    pub up: bool,
}

/// The idle connections of a proxy to an endpoint.
pub(crate) struct ConnectionPool {
    /// The incarnation of the endpoint that the connections lead to.
    pub incarnation: u32,
    /// When each connection was used last.
    pub idle_since: Vec<Time>,
}

/// A proxy's attempt at an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub request: Handle,
    pub proxy: u32,
    pub endpoint: u32,
    /// The incarnation of the endpoint that its connection leads to.
    pub endpoint_incarnation: u32,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    pub began: Time,
    /// Whether it opens a connection of its own.
    pub opens_connection: bool,
    /// Whether the endpoint counts its connection as open.
    pub connected: bool,
    /// Whether its client or proxy doesn't wait for it any more.
    pub abandoned: bool,
    /// Whether it is the proxy's retry of another.
    pub is_retry: bool,
    pub stage: Stage,
}

impl Proxy {
    /// A proxy that is up. Without an instance it keeps its table.
    pub(crate) fn new(
        zone: usize,
        instance: Option<u32>,
        initial_endpoints: Vec<u32>,
        table: Arc<TableSnapshot>,
    ) -> Self {
        Proxy {
            zone,
            instance,
            initial_endpoints,
            table,
            has_assigned_table: instance.is_none(),
            paused_until: 0,
            pools: FxHashMap::default(),
            stream: 0,
            up: true,
        }
    }

    /// Takes an idle connection to an incarnation of an endpoint; tells whether there was one.
    fn take_connection(&mut self, endpoint: u32, incarnation: u32) -> bool {
        let Some(pool) = self.pools.get_mut(&endpoint) else { return false };
        pool.incarnation == incarnation && pool.idle_since.pop().is_some()
    }

    /// Keeps a connection for later attempts.
    fn keep_connection(&mut self, endpoint: u32, incarnation: u32, now: Time) {
        let pool = self.pools.entry(endpoint);
        let pool = pool.or_insert_with(|| ConnectionPool { incarnation, idle_since: Vec::new() });
        if pool.incarnation != incarnation {
            *pool = ConnectionPool { incarnation, idle_since: Vec::new() };
        }
        pool.idle_since.push(now);
    }
}

impl Engine<'_> {
    /// An attempt of a client reaches its proxy.
    pub(crate) fn attempt_at_proxy(&mut self, request: Handle, attempt_number: u32) {
        if !self.is_under_way(request, attempt_number) {
            return;
        }
        let slot = request.slot;
        let class = self.requests[slot].class;
        let Some(number) = self.requests[slot].proxy else { return };
        let proxy = &self.proxies[number as usize];
        if !proxy.up {
            return self.fail_client(slot, RequestEnd::Failed, true);
        }
        if proxy.paused_until > self.now {
            return self.schedule(proxy.paused_until, Event::AttemptAtProxy { request, attempt_number });
        }
        if let Some(instance) = proxy.instance {
            self.instances[instance as usize].open_report.demand[class] += 1;
        }
        let sampler = self.sampler(slot);
        let table = &self.proxies[number as usize].table;
        let admitted =
            table.admission[class].is_none_or(|level| sampler.sample(Purpose::Admission) < level.admitted);
        match table.endpoints.pick(sampler.sample(Purpose::Endpoint)) {
            Some(endpoint) if admitted => self.forward(slot, number, endpoint, false),
            _ => self.fail_client(slot, RequestEnd::Rejected, true),
        }
    }

    /// The one-way time between a proxy and an endpoint.
    pub(crate) fn latency(&self, proxy: u32, endpoint: u32) -> Time {
        let from = self.proxies[proxy as usize].zone;
        let to = self.endpoints[endpoint as usize].zone;
        micros(self.fleet.network.zone_latency[from][to])
    }

    /// The proxy forwards a request to an endpoint, over an idle connection or a new one.
    fn forward(&mut self, slot: u32, number: u32, endpoint: u32, is_retry: bool) {
        let latency = self.latency(number, endpoint);
        let target = &self.endpoints[endpoint as usize];
        let proxy = &mut self.proxies[number as usize];
        let connected = proxy.take_connection(endpoint, target.incarnation);
        self.cross_zone_attempts += u64::from(target.zone != proxy.zone);
        self.proxy_attempts += 1;
        let attempt = self.attempts.insert(Attempt {
            request: self.requests.handle(slot),
            proxy: number,
            endpoint,
            endpoint_incarnation: target.incarnation,
            work: self.requests[slot].work,
            began: self.now,
            opens_connection: !connected,
            connected,
            abandoned: false,
            is_retry,
            stage: Stage::InTransit,
        });
        self.requests[slot].proxy_attempt = Some(attempt);
        // A new connection takes a round trip before its first byte.
        let arrives = self.now + if connected { latency } else { 3 * latency };
        self.schedule(arrives, Event::AttemptAtEndpoint { attempt });
    }

    /// The outcome of an attempt reaches its proxy.
    pub(crate) fn outcome_at_proxy(&mut self, slot: u32, outcome: AttemptOutcome) {
        let attempt = self.attempts[slot];
        self.keep_or_close_connection(&attempt, outcome);
        self.attempts.release(slot);
        if attempt.abandoned || !self.requests.is_current(attempt.request) {
            return;
        }
        self.record_outcome(&attempt, outcome == AttemptOutcome::Answered);
        let request = attempt.request.slot;
        self.requests[request].proxy_attempt = None;
        match outcome {
            AttemptOutcome::Answered => self.answer_client(request),
            AttemptOutcome::NotExecuted => {
                if attempt.is_retry || !self.retry_elsewhere(request, &attempt) {
                    self.fail_client(request, RequestEnd::Failed, true);
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken => {
                self.fail_client(request, RequestEnd::Failed, false)
            }
        }
    }

    fn keep_or_close_connection(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        if !attempt.connected || attempt.endpoint_incarnation != endpoint.incarnation {
            return;
        }
        let reusable = matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::NotExecuted);
        if attempt.abandoned || !reusable {
            endpoint.open_connections -= 1;
        } else {
            let proxy = &mut self.proxies[attempt.proxy as usize];
            proxy.keep_connection(attempt.endpoint, endpoint.incarnation, self.now);
        }
    }

    /// Counts an outcome, which the proxy knows now, for the load report.
    fn record_outcome(&mut self, attempt: &Attempt, answered: bool) {
        let proxy = &self.proxies[attempt.proxy as usize];
        let Some(instance) = proxy.instance else { return };
        let key = OutcomeKey { endpoint: attempt.endpoint, zone: proxy.zone as u32 };
        let latency = self.now - attempt.began;
        self.instances[instance as usize].record_outcome(key, answered, latency);
    }

    /// Retries at another endpoint an attempt that never ran; tells whether the policy and the table allow it.
    fn retry_elsewhere(&mut self, slot: u32, failed: &Attempt) -> bool {
        let table = &self.proxies[failed.proxy as usize].table;
        let policy = match table.admission[self.requests[slot].class] {
            Some(level) => level.retry,
            None if self.fleet.proxies.retries_unexecuted => RetryPolicy::IfNeverRan,
            None => RetryPolicy::Never,
        };
        if policy == RetryPolicy::Never {
            return false;
        }
        let others = table.endpoints.iter().filter(|(endpoint, _)| *endpoint != failed.endpoint);
        let sample = self.sampler(slot).sample(Purpose::RetryEndpoint);
        let Some(endpoint) = WeightedEndpoints::new(others).pick(sample) else { return false };
        self.forward(slot, failed.proxy, endpoint, true);
        true
    }

    /// Nobody waits for an attempt any more: its proxy closes the connection to the endpoint at `closed_at_proxy`, and
    /// reports it as failed now.
    pub(crate) fn abandon_attempt(&mut self, slot: u32, closed_at_proxy: Time) {
        self.attempts[slot].abandoned = true;
        let attempt = self.attempts[slot];
        let closed = closed_at_proxy + self.latency(attempt.proxy, attempt.endpoint);
        let handle = self.attempts.handle(slot);
        self.schedule(closed, Event::ConnectionClosed { attempt: handle });
        self.record_outcome(&attempt, false);
    }
}
