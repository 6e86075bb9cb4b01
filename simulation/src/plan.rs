//! What to simulate.

use crate::fault::ScheduledFault;
use otterwinch_fleet::model::Fleet;

/// Who writes the proxies' route tables.
#[derive(Clone, Debug, PartialEq)]
pub enum TableSource {
    /// Control-plane instances that run the real controller.
    Controller,
    /// Nobody: the tables stay as they are given here.
    Fixed {
        /// For each zone, the weight of each endpoint in the tables of the zone's proxies.
        weights: Vec<Vec<f64>>,
        /// The admitted fraction of each request class.
        admitted: Vec<f64>,
    },
}

/// A simulation, but for its load.
#[derive(Clone, Debug)]
pub struct SimulationPlan<'a> {
    /// The fleet to simulate.
    pub fleet: &'a Fleet,
    /// The source of all randomness.
    pub seed: u64,
    /// Who writes the route tables.
    pub table_source: TableSource,
    /// Faults to inject. Those due at the same time are injected in this order.
    pub faults: Vec<ScheduledFault>,
    /// Limits to leave out, so that a comparison shows what they cost.
    pub lifted_limits: LiftedLimits,
}

/// Limits that a simulation leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiftedLimits {
    /// Endpoints accept any number of connections, which cost no work.
    pub connections: bool,
    /// Clients don't retry.
    pub retries: bool,
    /// Endpoints have their full speed from the start and never collapse.
    pub slow_start: bool,
    /// The request queues of endpoints are unbounded.
    pub queueing: bool,
}
