//! A candidate for a route table: the state of a ready endpoint at one point in time.

use crate::host::EndpointId;

/// A ready endpoint with its effective weight and its slow-start factor.
#[derive(Clone)]
pub(super) struct Candidate {
    pub(super) id: EndpointId,
    pub(super) zone: u32,
    /// The listed weight after the reductions by outlier detection and zone routing.
    pub(super) weight: f64,
    /// The weight in the endpoint list.
    pub(super) listed_weight: f64,
    /// The fraction of its weight that the endpoint gets at present; 1 once it is warm.
    pub(super) slow_start_factor: f64,
    /// The fraction of its full load that the endpoint can carry at present; 1 once it is warm.
    pub(super) capacity_fraction: f64,
}

impl Candidate {
    /// Whether the endpoint has completed its slow start.
    pub(super) fn is_warm(&self) -> bool {
        self.slow_start_factor >= 1.0
    }

    /// The load that the endpoint should get at present, in units of weight.
    pub(super) fn capacity(&self) -> f64 {
        self.weight * self.slow_start_factor
    }
}

/// The capacity that counts for routing between zones. The slow-start factor applies twice, so that cold
/// endpoints count for less than they can carry.
pub(super) fn routable_capacity<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> f64 {
    candidates.map(|candidate| candidate.capacity() * candidate.slow_start_factor).sum()
}
