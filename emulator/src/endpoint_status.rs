//! What the endpoint list says of an endpoint.

use otterwinch::host::EndpointState;
use tokio::time::Instant;

/// The present entry of an endpoint, on the clock of this process.
#[derive(Clone, Debug)]
pub(crate) struct EndpointStatus {
    /// Its identifier.
    pub(crate) name: String,
    /// The index of its zone in the fleet.
    pub(crate) zone: u32,
    /// Its weight among the fleet's endpoints.
    pub(crate) weight: f64,
    pub(crate) state: EndpointState,
    /// When it was started; `None` if that is long ago.
    pub(crate) started: Option<Instant>,
}
