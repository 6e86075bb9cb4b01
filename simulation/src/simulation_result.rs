//! The result of a simulation.

use crate::clock::{Time, SECOND};
use crate::endpoint::Endpoint;
use crate::engine::{MAX_IN_FLIGHT, MAX_TIME_AFTER_LOAD};
use crate::results::Results;
use std::fmt;

/// Why a simulation was stopped before all requests had ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Clients were still retrying long after the end of the load.
    EndlessRetries,
    /// Clients retried faster than requests ended.
    TooManyInFlight,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StopReason::EndlessRetries => {
                write!(
                    f,
                    "clients were still retrying {} s after the end of the load",
                    MAX_TIME_AFTER_LOAD / SECOND
                )
            }
            StopReason::TooManyInFlight => write!(f, "more than {MAX_IN_FLIGHT} requests were in flight"),
        }
    }
}

/// The result of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationResult {
    /// The outcomes of the requests.
    pub results: Results,
    /// By endpoint, in the fleet's order.
    pub endpoints: Vec<EndpointResult>,
    /// The number of simulated events.
    pub event_count: u64,
    /// Attempts of proxies at endpoints of another zone.
    pub cross_zone_attempts: u64,
    /// All attempts of proxies at endpoints.
    pub attempts: u64,
    /// The largest number of lines that were queued in the channel of any instance.
    pub peak_queued_lines: f64,
    /// The number of lines that all instances sent.
    pub sent_lines: f64,
    /// The length of the load in seconds.
    pub load_seconds: f64,
    /// Why the simulation was stopped early; `None` if all requests ended.
    pub stop_reason: Option<StopReason>,
}

/// The result for one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointResult {
    /// Its identifier in the endpoint list.
    pub name: String,
    /// The index of its group in the fleet.
    pub group: usize,
    /// The index of its zone in the fleet.
    pub zone: usize,
    /// The fraction of its core time that was in use during the load.
    pub utilisation: f64,
    /// Attempts that it started or queued.
    pub accepted: u64,
    /// Attempts that it rejected because its queue was full.
    pub rejected: u64,
    /// Connections that it refused.
    pub refused_connections: u64,
    /// Whether it collapsed and has not been restarted since.
    pub collapsed: bool,
}

impl EndpointResult {
    pub(crate) fn of(endpoint: &Endpoint, used_core_seconds: f64, measured_time: Time) -> Self {
        EndpointResult {
            name: endpoint.id.to_string(),
            group: endpoint.group,
            zone: endpoint.zone,
            utilisation: used_core_seconds / (f64::from(endpoint.cores) * measured_time as f64 / 1e6),
            accepted: endpoint.accepted,
            rejected: endpoint.rejected,
            refused_connections: endpoint.refused_connections,
            collapsed: endpoint.collapsed,
        }
    }
}
