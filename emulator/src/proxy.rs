//! An emulated proxy: admits requests by its route table, picks an endpoint by weight, keeps connections to endpoints, and
//! counts what it met for the load reports.
//!
//! `request_handler.rs` serves the clients, `routing.rs` holds the route table and picks from it, `connection_pool.rs`
//! owns the connections to endpoints, `load_counters.rs` the counts.

mod connection_pool;
mod load_counters;
mod request_handler;
mod routing;

use crate::network::Network;
use crate::sync::lock;
use crate::task::ServerTask;
use connection_pool::ConnectionPool;
use load_counters::LoadCounters;
pub(crate) use load_counters::{AttemptSums, Load};
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::sampling::random_stream;
use otterwinch_simulation::route_table::TableSnapshot;
use rand::seq::IndexedRandom;
use request_handler::ProxyServer;
use routing::RoutingState;
use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Where the endpoints are. Both lists are by endpoint index.
pub(crate) struct EndpointDirectory {
    pub(crate) addresses: Vec<String>,
    /// The index of each endpoint's zone.
    pub(crate) zones: Vec<usize>,
}

impl EndpointDirectory {
    /// The endpoints of a zone.
    pub(crate) fn in_zone(&self, zone: usize) -> Vec<u32> {
        (0..).zip(&self.zones).filter(|(_, z)| **z == zone).map(|(endpoint, _)| endpoint).collect()
    }
}

/// What a proxy is started with.
pub(crate) struct ProxySpec {
    /// Its index in the fleet, which is also its number in messages of the control plane.
    pub(crate) number: u32,
    /// The index of its zone.
    pub(crate) zone: usize,
    /// The number of request classes.
    pub(crate) request_classes: usize,
    /// The number of endpoints of its zone that its initial table has.
    pub(crate) initial_table_size: usize,
    /// The table that it holds from its start, in place of the initial table.
    pub(crate) assigned_table: Option<Arc<TableSnapshot>>,
    /// When it retries requests of classes without an admission level.
    pub(crate) default_retry: RetryPolicy,
    /// How long it keeps an idle connection.
    pub(crate) idle_timeout: Duration,
    /// How long each line of a message keeps it from forwarding requests.
    pub(crate) apply_time_per_line: Duration,
    /// One-way latency to each zone.
    pub(crate) zone_latency: Vec<Duration>,
    /// The seed of the whole testbed.
    pub(crate) seed: u64,
}

/// Attempts of a proxy at endpoints since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptCounts {
    pub(crate) total: u64,
    /// Those at endpoints of another zone.
    pub(crate) cross_zone: u64,
}

/// A running proxy. It stops when it is dropped.
pub(crate) struct Proxy {
    /// Its number in messages of the control plane.
    pub(crate) number: u32,
    /// The index of its zone.
    pub(crate) zone: usize,
    /// Where it listens, before and after a restart.
    pub(crate) address: String,
    network: Network,
    server: Arc<ProxyServer>,
    /// Accepts connections.
    task: ServerTask,
}

impl Proxy {
    /// Starts a proxy on an address of its own.
    pub(crate) fn start(
        network: &Network,
        spec: ProxySpec,
        directory: Arc<EndpointDirectory>,
    ) -> io::Result<Proxy> {
        let number = spec.number;
        let zone = spec.zone;
        let (listener, address) = network.listen(&format!("proxy-{number}"))?;
        let mut initial_rng = random_stream(spec.seed, "standing", u64::from(number));
        let zone_endpoints = directory.in_zone(zone);
        let initial_endpoints =
            zone_endpoints.sample(&mut initial_rng, spec.initial_table_size).copied().collect();
        let routing = RoutingState::new(initial_endpoints, &spec);
        let server = Arc::new(ProxyServer {
            zone,
            default_retry: spec.default_retry,
            zone_latency: spec.zone_latency,
            routing: Mutex::new(routing),
            load: LoadCounters::new(spec.request_classes),
            connections: ConnectionPool::new(network.clone(), spec.idle_timeout, directory),
        });
        let task = ServerTask::spawn(request_handler::run(listener, server.clone()));
        Ok(Proxy { number, zone, address, network: network.clone(), server, task })
    }

    /// Applies a message of a number of lines: a new state of the assigned table, or, before the first assignment, the
    /// ejected endpoints, which are left out of the initial table. Returns when the proxy has applied it.
    pub(crate) fn apply(
        &self,
        assigned_table: Option<Arc<TableSnapshot>>,
        ejected: &BTreeSet<u32>,
        lines: f64,
    ) -> Instant {
        lock(&self.server.routing).apply(assigned_table, ejected, lines)
    }

    /// The index of the control-plane instance that it joins, given their number.
    pub(crate) fn instance(&self, instances: u32) -> u32 {
        self.number % instances
    }

    /// The load since it was taken last.
    pub(crate) fn take_load(&self) -> Load {
        self.server.load.take()
    }

    /// Its attempts at endpoints so far.
    pub(crate) fn attempts(&self) -> AttemptCounts {
        self.server.load.attempts()
    }

    /// Whether it was assigned a table since its start.
    pub(crate) fn has_assigned_table(&self) -> bool {
        lock(&self.server.routing).is_assigned()
    }

    /// Whether its initial table has an endpoint.
    pub(crate) fn in_initial_table(&self, endpoint: u32) -> bool {
        lock(&self.server.routing).in_initial_table(endpoint)
    }

    /// Stops it at once: connections break, and new ones are refused.
    pub(crate) fn crash(&self) {
        self.task.abort();
    }

    /// Starts it again on its old address, with its initial table and without connections.
    pub(crate) fn restart(&self) -> io::Result<()> {
        self.crash();
        let listener = self.network.listen_again(&self.address)?;
        lock(&self.server.routing).reset();
        self.server.connections.clear();
        self.task.restart(request_handler::run(listener, self.server.clone()));
        Ok(())
    }
}
