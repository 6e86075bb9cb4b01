//! An emulated proxy: admits or rejects requests by its route table, picks an endpoint by weight, pools
//! connections to endpoints, and counts requests and attempts for the load reports.
//!
//! `request_handler.rs` serves the clients, `routing.rs` holds the route table and picks endpoints from it,
//! `connection_pool.rs` keeps the connections to endpoints, `load_counters.rs` has the counters.

mod connection_pool;
mod load_counters;
mod request_handler;
mod routing;

use crate::network::Network;
use crate::sync::lock;
use crate::task::ServerTask;
use connection_pool::ConnectionPool;
use load_counters::LoadCounters;
pub(crate) use load_counters::{AttemptSums, IntervalLoad};
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

/// The addresses and zones of all endpoints, by endpoint index.
pub(crate) struct EndpointDirectory {
    pub(crate) addresses: Vec<String>,
    /// The index of the zone of each endpoint.
    pub(crate) zones: Vec<usize>,
}

impl EndpointDirectory {
    /// The indices of the endpoints in a zone.
    pub(crate) fn in_zone(&self, zone: usize) -> Vec<u32> {
        (0..).zip(&self.zones).filter(|(_, z)| **z == zone).map(|(endpoint, _)| endpoint).collect()
    }
}

/// The parameters of a new proxy.
pub(crate) struct ProxySpec {
    /// The index of the proxy in the fleet, which also identifies it in the control plane's protocols.
    pub(crate) number: u32,
    /// The index of the zone in the fleet.
    pub(crate) zone: usize,
    /// The number of request classes.
    pub(crate) request_class_count: usize,
    /// The number of endpoints in the initial table, all in the proxy's own zone.
    pub(crate) initial_table_size: usize,
    /// The table that the proxy uses from its start instead of the initial table.
    pub(crate) assigned_table: Option<Arc<TableSnapshot>>,
    /// The retry policy for request classes without an admission level.
    pub(crate) default_retry: RetryPolicy,
    /// How long an idle connection to an endpoint is kept open.
    pub(crate) idle_timeout: Duration,
    /// How long the proxy stops forwarding requests for each line of a message that it applies.
    pub(crate) apply_time_per_line: Duration,
    /// The one-way latency to each zone.
    pub(crate) zone_latency: Vec<Duration>,
    /// The seed of the testbed.
    pub(crate) seed: u64,
}

/// The number of attempts that a proxy has sent to endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptCounts {
    pub(crate) total: u64,
    /// Attempts at endpoints in other zones than the proxy's.
    pub(crate) cross_zone: u64,
}

/// A running proxy. It stops when it is dropped.
pub(crate) struct Proxy {
    /// The index of the proxy in the fleet, which also identifies it in the control plane's protocols.
    pub(crate) number: u32,
    /// The index of the zone in the fleet.
    pub(crate) zone: usize,
    /// The listen address. A restart keeps it.
    pub(crate) address: String,
    network: Network,
    server: Arc<ProxyServer>,
    /// Runs the server.
    task: ServerTask,
}

impl Proxy {
    /// Starts a proxy on a new address.
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
            load_counters: LoadCounters::new(spec.request_class_count),
            connection_pool: ConnectionPool::new(network.clone(), spec.idle_timeout, directory),
        });
        let task = ServerTask::spawn(request_handler::run(listener, server.clone()));
        Ok(Proxy { number, zone, address, network: network.clone(), server, task })
    }

    /// Applies a message of `lines` lines from the control plane. `assigned_table` is the new content of the
    /// assigned table. Without one, and before the first assignment, the endpoints in `ejected` are left out
    /// of the initial table. Returns the time at which the proxy will have applied the message.
    pub(crate) fn apply(
        &self,
        assigned_table: Option<Arc<TableSnapshot>>,
        ejected: &BTreeSet<u32>,
        lines: f64,
    ) -> Instant {
        lock(&self.server.routing).apply(assigned_table, ejected, lines)
    }

    /// The index of the control-plane instance that the proxy joins, out of `instance_count`.
    pub(crate) fn instance_index(&self, instance_count: u32) -> u32 {
        self.number % instance_count
    }

    /// Returns the load since the last call, and resets it.
    pub(crate) fn take_load(&self) -> IntervalLoad {
        self.server.load_counters.take()
    }

    /// The attempts since the proxy was first started.
    pub(crate) fn attempt_counts(&self) -> AttemptCounts {
        self.server.load_counters.attempt_counts()
    }

    /// Whether the proxy has been assigned a table since its last start.
    pub(crate) fn has_assigned_table(&self) -> bool {
        lock(&self.server.routing).is_assigned()
    }

    /// Whether an endpoint is in the initial table.
    pub(crate) fn in_initial_table(&self, endpoint: u32) -> bool {
        lock(&self.server.routing).in_initial_table(endpoint)
    }

    /// Stops the proxy at once: connections from clients break, and new ones are refused. Idle connections to
    /// endpoints stay open until the restart.
    pub(crate) fn crash(&self) {
        self.task.abort();
    }

    /// Restarts the proxy on its address, with its initial table and without connections to endpoints.
    pub(crate) fn restart(&self) -> io::Result<()> {
        self.crash();
        let listener = self.network.rebind(&self.address)?;
        lock(&self.server.routing).reset();
        self.server.connection_pool.clear();
        self.task.restart(request_handler::run(listener, self.server.clone()));
        Ok(())
    }
}
