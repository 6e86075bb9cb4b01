//! The state of an endpoint according to the endpoint list.

use otterwinch::host::EndpointState;
use tokio::time::Instant;

/// The current endpoint list entry of an endpoint, with times on the clock of this process.
#[derive(Clone, Debug)]
pub(crate) struct EndpointStatus {
    /// The identifier of the endpoint.
    pub(crate) name: String,
    /// The index of the zone in the fleet.
    pub(crate) zone: u32,
    /// The weight relative to the fleet's other endpoints.
    pub(crate) weight: f64,
    pub(crate) state: EndpointState,
    /// When the endpoint was started; `None` if that was long ago.
    pub(crate) started: Option<Instant>,
}
