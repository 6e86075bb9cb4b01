//! Simulated proxies. A proxy admits or rejects client attempts, chooses endpoints by weight, reuses
//! connections, retries attempts that are known not to have been executed, and counts outcomes for the load
//! report.

use crate::clock::{micros, Time};
use crate::control_plane_instance::OutcomeKey;
use crate::endpoint_work::AttemptStage;
use crate::engine::Engine;
use crate::event::{AttemptOutcome, Event};
use crate::request_sampling::Purpose;
use crate::results::RequestEnd;
use crate::route_table::{TableSnapshot, WeightedEndpoints};
use crate::slab::Handle;
use otterwinch::host::RetryPolicy;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The state of a proxy.
pub(crate) struct Proxy {
    /// The index of the proxy's zone in the fleet.
    pub zone: usize,
    /// The control-plane instance that the proxy connects to; `None` if its table is fixed.
    pub instance: Option<u32>,
    /// The endpoints in the initial table, which the proxy uses until a table is assigned.
    pub initial_endpoints: Vec<u32>,
    /// The table that the proxy uses at present.
    pub table: Arc<TableSnapshot>,
    /// Whether `table` is fixed or was assigned, as opposed to the initial table.
    pub has_assigned_table: bool,
    /// When the proxy has finished applying messages. It handles no client attempts before then.
    pub paused_until: Time,
    /// The idle connections to each endpoint.
    pub pools: FxHashMap<u32, ConnectionPool>,
    /// The number of the proxy's stream to its control-plane instance, increased on every connect and
    /// disconnect. Messages that were sent on an earlier stream are lost.
    pub stream: u32,
    pub up: bool,
}

/// The idle connections of a proxy to an endpoint.
pub(crate) struct ConnectionPool {
    /// The incarnation of the endpoint when the connections were opened.
    pub incarnation: u32,
    /// When each connection was last used.
    pub idle_since: Vec<Time>,
}

/// A proxy's attempt at an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub request: Handle,
    pub proxy: u32,
    pub endpoint: u32,
    /// The incarnation of the endpoint when the connection was opened.
    pub endpoint_incarnation: u32,
    /// The work of the attempt, in seconds on a core of speed 1.
    pub work: f64,
    pub started: Time,
    /// Whether the attempt opens a new connection instead of reusing an idle one.
    pub opens_connection: bool,
    /// Whether the connection is established, so that the endpoint counts it as open.
    pub connected: bool,
    /// Whether the outcome no longer matters, because the client timed out or the proxy was lost.
    pub abandoned: bool,
    /// Whether this is the proxy's retry of an earlier attempt.
    pub is_retry: bool,
    pub stage: AttemptStage,
}

impl Proxy {
    /// Creates a proxy that is up. Without a control-plane instance, `table` is never replaced.
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

    /// Takes an idle connection to this incarnation of an endpoint, and returns whether there was one.
    fn take_idle_connection(&mut self, endpoint: u32, incarnation: u32) -> bool {
        let Some(pool) = self.pools.get_mut(&endpoint) else { return false };
        pool.incarnation == incarnation && pool.idle_since.pop().is_some()
    }

    /// Adds a connection to the pool, and discards any to an earlier incarnation of the endpoint.
    fn add_idle_connection(&mut self, endpoint: u32, incarnation: u32, now: Time) {
        let pool = self.pools.entry(endpoint);
        let pool = pool.or_insert_with(|| ConnectionPool { incarnation, idle_since: Vec::new() });
        if pool.incarnation != incarnation {
            *pool = ConnectionPool { incarnation, idle_since: Vec::new() };
        }
        pool.idle_since.push(now);
    }
}

impl Engine<'_> {
    /// Handles the arrival of a client's attempt at its proxy, or postpones it while the proxy applies a
    /// message.
    pub(crate) fn attempt_at_proxy(&mut self, request: Handle, attempt_number: u32) {
        if !self.is_attempt_in_progress(request, attempt_number) {
            return;
        }
        let slot = request.slot;
        let class = self.requests[slot].class;
        let Some(proxy_index) = self.requests[slot].proxy else { return };
        let proxy = &self.proxies[proxy_index as usize];
        if !proxy.up {
            return self.send_failure_to_client(slot, RequestEnd::Failed, true);
        }
        if proxy.paused_until > self.now {
            return self.schedule(proxy.paused_until, Event::AttemptAtProxy { request, attempt_number });
        }
        if let Some(instance) = proxy.instance {
            self.instances[instance as usize].open_report.demand[class] += 1;
        }
        let sampler = self.sampler(slot);
        let table = &self.proxies[proxy_index as usize].table;
        let admitted =
            table.admission[class].is_none_or(|level| sampler.sample(Purpose::Admission) < level.admitted);
        match table.endpoints.pick(sampler.sample(Purpose::Endpoint)) {
            Some(endpoint) if admitted => self.forward(slot, proxy_index, endpoint, false),
            _ => self.send_failure_to_client(slot, RequestEnd::Rejected, true),
        }
    }

    /// Returns the one-way network latency between a proxy and an endpoint.
    pub(crate) fn one_way_latency(&self, proxy: u32, endpoint: u32) -> Time {
        let from = self.proxies[proxy as usize].zone;
        let to = self.endpoints[endpoint as usize].zone;
        micros(self.fleet.network.zone_latency[from][to])
    }

    /// Forwards a request to an endpoint, over an idle connection if there is one.
    fn forward(&mut self, slot: u32, proxy_index: u32, endpoint: u32, is_retry: bool) {
        let latency = self.one_way_latency(proxy_index, endpoint);
        let target = &self.endpoints[endpoint as usize];
        let proxy = &mut self.proxies[proxy_index as usize];
        let connected = proxy.take_idle_connection(endpoint, target.incarnation);
        self.cross_zone_attempts += u64::from(target.zone != proxy.zone);
        self.proxy_attempts += 1;
        let attempt = self.attempts.insert(Attempt {
            request: self.requests.handle(slot),
            proxy: proxy_index,
            endpoint,
            endpoint_incarnation: target.incarnation,
            work: self.requests[slot].work,
            started: self.now,
            opens_connection: !connected,
            connected,
            abandoned: false,
            is_retry,
            stage: AttemptStage::InTransit,
        });
        self.requests[slot].proxy_attempt = Some(attempt);
        // Opening a connection takes one round trip before the request can be sent.
        let arrival = self.now + if connected { latency } else { 3 * latency };
        self.schedule(arrival, Event::AttemptAtEndpoint { attempt });
    }

    /// Handles the outcome of an attempt when it reaches the proxy: answers the client, retries at another
    /// endpoint, or reports the failure to the client.
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
            AttemptOutcome::Answered => self.send_answer_to_client(request),
            AttemptOutcome::NotExecuted => {
                if attempt.is_retry || !self.retry_at_another_endpoint(request, &attempt) {
                    self.send_failure_to_client(request, RequestEnd::Failed, true);
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken => {
                self.send_failure_to_client(request, RequestEnd::Failed, false)
            }
        }
    }

    /// Returns the connection of an attempt to the pool, or closes it if the attempt was abandoned or failed.
    /// Does nothing if the connection was never established or the endpoint has crashed since.
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
            proxy.add_idle_connection(attempt.endpoint, endpoint.incarnation, self.now);
        }
    }

    /// Adds the outcome of an attempt to the load report at the time at which it reaches the proxy.
    fn record_outcome(&mut self, attempt: &Attempt, answered: bool) {
        let proxy = &self.proxies[attempt.proxy as usize];
        let Some(instance) = proxy.instance else { return };
        let key = OutcomeKey { endpoint: attempt.endpoint, zone: proxy.zone as u32 };
        let latency = self.now - attempt.started;
        self.instances[instance as usize].record_outcome(key, answered, latency);
    }

    /// Retries, at another endpoint, an attempt that was not executed. Returns false if the retry policy
    /// forbids it or the table has no other endpoint.
    fn retry_at_another_endpoint(&mut self, slot: u32, failed_attempt: &Attempt) -> bool {
        let table = &self.proxies[failed_attempt.proxy as usize].table;
        let policy = match table.admission[self.requests[slot].class] {
            Some(level) => level.retry,
            None if self.fleet.proxies.retries_unexecuted_attempts => RetryPolicy::IfNotExecuted,
            None => RetryPolicy::Never,
        };
        if policy == RetryPolicy::Never {
            return false;
        }
        let other_endpoints =
            table.endpoints.iter().filter(|(endpoint, _)| *endpoint != failed_attempt.endpoint);
        let sample = self.sampler(slot).sample(Purpose::RetryEndpoint);
        let Some(endpoint) = WeightedEndpoints::new(other_endpoints).pick(sample) else { return false };
        self.forward(slot, failed_attempt.proxy, endpoint, true);
        true
    }

    /// Abandons an attempt whose client has timed out. It counts as failed now; the proxy closes the
    /// connection to the endpoint at `closed_at_proxy`.
    pub(crate) fn abandon_attempt(&mut self, slot: u32, closed_at_proxy: Time) {
        self.attempts[slot].abandoned = true;
        let attempt = self.attempts[slot];
        let closed_at_endpoint = closed_at_proxy + self.one_way_latency(attempt.proxy, attempt.endpoint);
        let handle = self.attempts.handle(slot);
        self.schedule(closed_at_endpoint, Event::ConnectionClosed { attempt: handle });
        self.record_outcome(&attempt, false);
    }
}
