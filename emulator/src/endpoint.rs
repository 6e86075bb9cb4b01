//! An emulated endpoint: an HTTP/1.1 server that holds each request for its execution time. It has a number
//! of cores, a bounded queue, a connection limit, a warm-up during which overload makes it collapse, and
//! injectable faults.
//!
//! `server.rs` accepts connections and answers requests, `executor.rs` models the cores and the queue,
//! `condition.rs` the warm-up, the collapse and the faults; `counters.rs` has the counters.

mod condition;
mod counters;
mod executor;
mod server;

use crate::network::Network;
use crate::sync::lock;
use crate::task::ServerTask;
use condition::Condition;
use counters::Counters;
use executor::Executor;
use otterwinch_fleet::model::EndpointGroup;
use otterwinch_fleet::sampling::random_stream;
use server::EndpointServer;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// The parameters of a new endpoint.
pub(crate) struct EndpointSpec<'a> {
    pub(crate) group: &'a EndpointGroup,
    /// The index of the group in the fleet.
    pub(crate) group_index: usize,
    /// The index of the endpoint in the group.
    pub(crate) index: u32,
    /// The speed of one core: seconds of work that it completes per second.
    pub(crate) speed: f64,
    /// When the warm-up started; `None` if that was long ago.
    pub(crate) started: Option<Instant>,
    /// The seed of the testbed.
    pub(crate) seed: u64,
}

/// A running endpoint. It stops when it is dropped.
pub(crate) struct Endpoint {
    /// The identifier in the endpoint list.
    pub(crate) name: String,
    /// The index of the zone in the fleet.
    pub(crate) zone: usize,
    /// The index of the group in the fleet.
    pub(crate) group: usize,
    /// The listen address. A restart keeps it.
    pub(crate) address: String,
    cores: u32,
    network: Network,
    server: Arc<EndpointServer>,
    /// Runs the server.
    task: ServerTask,
}

impl Endpoint {
    /// Starts an endpoint on a new address.
    pub(crate) fn start(network: &Network, spec: EndpointSpec) -> io::Result<Endpoint> {
        let EndpointSpec { group, group_index, index, seed, .. } = spec;
        let name = format!("{}-{index}", group.name);
        let (listener, address) = network.listen(&name)?;
        let rng = random_stream(seed, "node", (group_index as u64) << 32 | u64::from(index));
        let server = Arc::new(EndpointServer {
            max_connections: group.max_connections,
            connection_work: group.connection_work,
            finishes_abandoned_requests: group.finishes_abandoned_requests,
            open_connections: AtomicU32::new(0),
            condition: Mutex::new(Condition::new(group, spec.speed, spec.started, rng)),
            executor: Executor::new(group.cores, group.max_queued),
            counters: Counters::default(),
        });
        let task = ServerTask::spawn(server::run(listener, server.clone()));
        Ok(Endpoint {
            name,
            zone: group.zone,
            group: group_index,
            address,
            cores: group.cores,
            network: network.clone(),
            server,
            task,
        })
    }

    pub(crate) fn cores(&self) -> u32 {
        self.cores
    }

    /// Requests whose execution was started.
    pub(crate) fn accepted(&self) -> u64 {
        self.server.counters.accepted.load(Ordering::Relaxed)
    }

    /// Requests that were rejected because the queue was full.
    pub(crate) fn rejected(&self) -> u64 {
        self.server.counters.rejected.load(Ordering::Relaxed)
    }

    /// Requests that were refused because they came on a connection above the limit.
    pub(crate) fn refused_connections(&self) -> u64 {
        self.server.counters.refused_connections.load(Ordering::Relaxed)
    }

    /// Core time used so far, in microseconds.
    pub(crate) fn used_core_us(&self) -> u64 {
        self.server.counters.used_core_us.load(Ordering::Relaxed)
    }

    /// Whether the endpoint has collapsed since its last start.
    pub(crate) fn collapsed(&self) -> bool {
        lock(&self.server.condition).collapsed
    }

    /// Stops the endpoint at once: open connections break, and new ones are refused.
    pub(crate) fn crash(&self) {
        self.task.abort();
    }

    /// Restarts the endpoint on its address, without faults and at the start of its warm-up.
    pub(crate) fn restart(&self) -> io::Result<()> {
        self.crash();
        let listener = self.network.rebind(&self.address)?;
        lock(&self.server.condition).restart();
        self.task.restart(server::run(listener, self.server.clone()));
        Ok(())
    }

    /// Multiplies the execution time of requests by a factor; 1 ends the fault.
    pub(crate) fn set_slowdown(&self, factor: f64) {
        lock(&self.server.condition).slowdown = factor;
    }

    /// Makes a fraction of the requests fail at once; 0 ends the fault.
    pub(crate) fn set_failure_fraction(&self, fraction: f64) {
        lock(&self.server.condition).failure_fraction = fraction;
    }

    /// Leaves requests unanswered while `hanging` is set.
    pub(crate) fn set_hanging(&self, hanging: bool) {
        lock(&self.server.condition).hanging = hanging;
    }
}
