//! The input of a simulation.

use crate::fault::ScheduledFault;
use otterwinch_fleet::model::Fleet;

/// Where the proxies' route tables come from.
#[derive(Clone, Debug, PartialEq)]
pub enum TableSource {
    /// Control-plane instances that run the real controller.
    Controller,
    /// There is no control plane, and the tables keep the values given here.
    Fixed {
        /// For each zone, the weight of each endpoint in the tables of the zone's proxies.
        weights: Vec<Vec<f64>>,
        /// The admitted fraction of each request class.
        admitted: Vec<f64>,
    },
}

/// Everything that defines a simulation, apart from its load.
#[derive(Clone, Debug)]
pub struct SimulationPlan<'a> {
    /// The fleet to simulate.
    pub fleet: &'a Fleet,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Where the route tables come from.
    pub table_source: TableSource,
    /// Faults to inject. Faults that are due at the same time are injected in this order.
    pub faults: Vec<ScheduledFault>,
    /// Limits that don't apply, so that a comparison with a plain run shows their cost.
    pub lifted_limits: LiftedLimits,
}

/// Limits that don't apply in a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiftedLimits {
    /// Endpoints accept any number of connections, and opening one costs no work.
    pub connections: bool,
    /// Clients don't retry.
    pub retries: bool,
    /// Endpoints run at full speed from the start and never collapse.
    pub slow_start: bool,
    /// The request queues of endpoints are unbounded.
    pub queueing: bool,
}
