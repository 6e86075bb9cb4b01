//! What a simulation came to.

use crate::clock::{Time, SECOND};
use crate::endpoint::Endpoint;
use crate::engine::{MAX_IN_FLIGHT, MAX_TAIL};
use crate::results::Results;
use std::fmt;

/// Why a simulation was ended before all requests had ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Clients still retried long after the load's end.
    EndlessRetries,
    /// Clients retried faster than requests ended.
    TooManyInFlight,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StopReason::EndlessRetries => {
                write!(f, "clients still came again {} s after the load's end", MAX_TAIL / SECOND)
            }
            StopReason::TooManyInFlight => write!(f, "more than {MAX_IN_FLIGHT} txns were in flight"),
        }
    }
}

/// What a simulation came to.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationResult {
    /// What became of the requests.
    pub results: Results,
    /// By endpoint, in the fleet's order.
    pub endpoints: Vec<EndpointResult>,
    /// The number of simulated events.
    pub events: u64,
    /// Attempts of proxies at endpoints of another zone.
    pub cross_zone_attempts: u64,
    /// All attempts of proxies at endpoints.
    pub attempts: u64,
    /// The most lines that were ever queued in the channel of an instance.
    pub max_queued_lines: f64,
    /// The lines that all instances sent.
    pub sent_lines: f64,
    /// The length of the load in seconds.
    pub load_seconds: f64,
    /// Why the simulation was ended early, if it was.
    pub ended_early: Option<StopReason>,
}

/// What one endpoint did.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointResult {
    /// Its identifier in the endpoint list.
    pub name: String,
    /// The index of its group in the fleet.
    pub group: usize,
    /// The index of its zone in the fleet.
    pub zone: usize,
    /// The fraction of its core time in use while the load lasted.
    pub utilisation: f64,
    /// Attempts that it worked on or queued.
    pub accepted: u64,
    /// Attempts that found its queue full.
    pub rejected: u64,
    /// Connections that it didn't accept.
    pub refused_connections: u64,
    /// Whether it collapsed, and wasn't started again since.
    pub collapsed: bool,
}

impl EndpointResult {
    pub(crate) fn of(endpoint: &Endpoint, used_core_seconds: f64, measured: Time) -> Self {
        EndpointResult {
            name: endpoint.id.to_string(),
            group: endpoint.group,
            zone: endpoint.zone,
            utilisation: used_core_seconds / (f64::from(endpoint.cores) * measured as f64 / 1e6),
            accepted: endpoint.accepted,
            rejected: endpoint.rejected,
            refused_connections: endpoint.refused_connections,
            collapsed: endpoint.collapsed,
        }
    }
}
