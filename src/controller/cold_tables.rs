//! Route tables of which all endpoints are cold.
//!
//! A table gets all requests of its proxies. If a zone or the whole fleet returns cold, the endpoint that is
//! listed first would get them alone, and collapse before the others are listed. So a table whose endpoints
//! are all cold is empty until they can carry its usual load together. A table that may hold a warm endpoint
//! is never concerned.

use super::candidate::Candidate;

/// The fraction of its capacity that the usual load of a fleet is assumed to take at most.
const USUAL_UTILIZATION: f64 = 0.7;

/// The total listed weight of the warm endpoints among these candidates.
pub(super) fn warm_weight<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> f64 {
    candidates.filter(|candidate| candidate.is_warm()).map(|candidate| candidate.listed_weight).sum()
}

/// Whether the endpoints that a table may hold are all cold and together can't carry its usual load yet: each
/// would get more than `collapse_multiple` times its present capacity, under which a cold endpoint collapses
/// (0: not stated). `usual_weight` is the total weight of the warm endpoints that usually carry that load; 0
/// if there never was any.
pub(super) fn lack_capacity<'a>(
    candidates: impl Iterator<Item = &'a Candidate> + Clone,
    usual_weight: f64,
    collapse_multiple: f64,
) -> bool {
    let has_warm = candidates.clone().any(Candidate::is_warm);
    let capacity: f64 =
        candidates.map(|candidate| candidate.listed_weight * candidate.capacity_fraction).sum();
    let is_cold_only = capacity > 0.0 && !has_warm;
    is_cold_only && collapse_multiple > 0.0 && capacity * collapse_multiple < usual_weight * USUAL_UTILIZATION
}

#[cfg(test)]
mod tests;
