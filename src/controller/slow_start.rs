//! Slow start: the weights of endpoints that are warming up.
//!
//! Routing and sharding ask here for the weight of every candidate. An endpoint starts at a small part of its
//! weight and grows to all of it within the configured window, counted from its start and not from its
//! appearance in the list. A fleet that shrank or rejects requests gives its cold endpoints less than that.

use super::candidate::Candidate;
use super::endpoints::EndpointRegistry;
use super::fleet_load::FleetLoad;
use crate::config::ControllerConfig;
use crate::host::EndpointId;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// The fraction of its weight that an endpoint has at its start. Less than it could carry then: in a burst of
/// load a cold endpoint needs the spare capacity itself.
const INITIAL_FACTOR: f64 = 0.1;
/// The curve of the ramp; 1 would be a straight line.
const RAMP_EXPONENT: f64 = 1.3;
/// The most load on the warm endpoints of a table, as a multiple of their capacity, so that cold ones get
/// less.
const MAX_WARM_LOAD: f64 = 2.0;
/// Endpoints below this factor get no requests from a struggling fleet whose proxies eject endpoints
/// themselves.
const MIN_FACTOR_WHILE_STRUGGLING: f64 = 0.35;
/// The least factor by which the weights of cold endpoints are reduced.
const MIN_COLD_REDUCTION: f64 = 0.05;

/// The weight that a table should give an endpoint.
pub(super) struct EndpointWeight {
    pub(super) weight: f64,
    pub(super) is_warm: bool,
}

/// What of the fleet's state affects its cold endpoints.
pub(super) struct FleetCondition {
    /// The fraction of its recent peak load that the fleet can answer by its size and its answers, 0 to 1.
    answerable_fraction: f64,
    /// Proxies leave failing endpoints for those that they have not tried yet, however small their weight.
    keep_coldest_out: bool,
}

impl FleetCondition {
    /// The fleet's condition now.
    pub(super) fn new(config: &ControllerConfig, endpoints: &EndpointRegistry, load: &FleetLoad) -> Self {
        let answered_fraction = load.answered.max(1.0) / load.attempts.max(1.0);
        let answerable_fraction = endpoints.ready_fraction_of_peak() * answered_fraction;
        FleetCondition {
            answerable_fraction: answerable_fraction.clamp(MIN_COLD_REDUCTION, 1.0),
            keep_coldest_out: config.proxy_ejection_threshold > 0 && load.struggling,
        }
    }
}

/// The fraction of its weight that an endpoint may have at its age; 1 where its start is long past.
pub(super) fn slow_start_factor(window: Span, started: Option<Moment>, now: Moment) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = now - started;
    if age >= window {
        return 1.0;
    }
    let progress = age.as_secs().max(0.0) / window.as_secs();
    INITIAL_FACTOR + (1.0 - INITIAL_FACTOR) * progress.powf(RAMP_EXPONENT)
}

/// The weights of some candidates that share a table, with those of cold ones reduced.
pub(super) fn slow_start_weights(
    candidates: Vec<Candidate>,
    fleet: &FleetCondition,
) -> BTreeMap<EndpointId, EndpointWeight> {
    let capacity =
        |warm: bool| candidates.iter().filter(|c| c.is_warm() == warm).map(Candidate::capacity).sum::<f64>();
    let (cold, warm) = (capacity(false), capacity(true));
    // Cold weights are reduced only as far as the warm endpoints can take over.
    let least = ((cold + warm) / MAX_WARM_LOAD - warm) / cold.max(1e-9);
    let reduction = fleet.answerable_fraction.max(least).min(1.0);
    let keep_coldest_out = fleet.keep_coldest_out && warm > 0.0;
    let mut weights = BTreeMap::new();
    for candidate in candidates {
        let is_warm = candidate.is_warm();
        if keep_coldest_out && candidate.slow_start_factor < MIN_FACTOR_WHILE_STRUGGLING {
            continue;
        }
        let factor = if is_warm { 1.0 } else { candidate.slow_start_factor * reduction };
        let weight = candidate.weight * factor;
        weights.insert(candidate.id, EndpointWeight { weight, is_warm });
    }
    weights
}

#[cfg(test)]
mod tests;
