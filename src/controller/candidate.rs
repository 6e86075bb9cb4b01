//! A candidate for a route table: a ready endpoint as it stands at one moment.

use crate::host::EndpointId;

/// A ready endpoint with its effective weight and its slow-start factor.
#[derive(Clone)]
pub(super) struct Candidate {
    pub(super) id: EndpointId,
    pub(super) zone: u32,
    /// Its listed weight, less what outlier detection and zone routing take away.
    pub(super) weight: f64,
    /// The fraction of its load that it can carry by now; 1 once it is warm.
    pub(super) slow_start_factor: f64,
}

impl Candidate {
    /// Whether its slow start is over.
    pub(super) fn is_warm(&self) -> bool {
        self.slow_start_factor >= 1.0
    }

    /// The load that it can carry by now.
    pub(super) fn capacity(&self) -> f64 {
        self.weight * self.slow_start_factor
    }
}
