//! Slow start: the weights of endpoints that are warming up.
//!
//! Routing and sharding get the weight of every candidate from here. An endpoint starts at a small fraction
//! of its weight and reaches all of it within the configured window, which counts from its start and not from
//! its appearance in the endpoint list. In a fleet that has shrunk or leaves attempts unanswered, the weights
//! of cold endpoints are reduced further.

use super::candidate::Candidate;
use super::endpoints::EndpointRegistry;
use super::fleet_load::FleetLoad;
use crate::config::ControllerConfig;
use crate::host::EndpointId;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// The fraction of its weight that an endpoint has at its start. This is less than its actual capacity at
/// that time, because a cold endpoint needs spare capacity of its own in a burst of load.
const INITIAL_FACTOR: f64 = 0.1;
/// The exponent of the ramp; 1 would be linear.
const RAMP_EXPONENT: f64 = 1.3;
/// The maximum load that the reduction of cold weights may put on the warm endpoints of a table, as a
/// multiple of their load without the reduction.
const MAX_WARM_LOAD: f64 = 2.0;
/// Endpoints below this slow-start factor are left out of tables that have warm endpoints while the fleet is
/// degraded and its proxies eject endpoints themselves.
const MIN_FACTOR_WHILE_DEGRADED: f64 = 0.35;
/// The minimum factor that cold weights are multiplied by because of the fleet's condition.
const MIN_COLD_FACTOR: f64 = 0.05;

/// The weight that an endpoint should have in a table.
pub(super) struct EndpointWeight {
    pub(super) weight: f64,
    /// The weight without the reduction because of the fleet's condition.
    pub(super) unreduced_weight: f64,
    pub(super) is_warm: bool,
}

/// The part of the fleet's state that affects the weights of cold endpoints.
pub(super) struct FleetCondition {
    /// The estimated fraction (0 to 1) of the recent peak load that the fleet can answer, from its ready
    /// weight and its answered attempts.
    capacity_fraction: f64,
    /// Whether the coldest endpoints are left out of tables that have warm ones. Proxies that eject failing
    /// endpoints move on to endpoints that they have not tried yet, however small the weight of those is.
    exclude_coldest: bool,
}

impl FleetCondition {
    /// Derives the condition from the present load and endpoints.
    pub(super) fn new(config: &ControllerConfig, endpoints: &EndpointRegistry, load: &FleetLoad) -> Self {
        let answered_fraction = load.answered.max(1.0) / load.attempts.max(1.0);
        let capacity_fraction = endpoints.ready_fraction_of_peak() * answered_fraction;
        FleetCondition {
            capacity_fraction: capacity_fraction.clamp(MIN_COLD_FACTOR, 1.0),
            exclude_coldest: config.proxy_ejection_threshold > 0 && load.is_degraded,
        }
    }

    /// Whether an endpoint is left out of tables that have warm ones.
    pub(super) fn excludes(&self, candidate: &Candidate) -> bool {
        self.exclude_coldest && candidate.slow_start_factor < MIN_FACTOR_WHILE_DEGRADED
    }
}

/// The fraction of its weight that an endpoint may have at its age; 1 if `started` is `None`.
pub(super) fn slow_start_factor(window: Span, started: Option<Moment>, now: Moment) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = now - started;
    if age >= window {
        return 1.0;
    }
    let progress = age.as_secs().max(0.0) / window.as_secs();
    INITIAL_FACTOR + (1.0 - INITIAL_FACTOR) * progress.powf(RAMP_EXPONENT)
}

/// The fraction of its full load that an endpoint can carry at its age: its capacity grows about evenly from
/// the stated initial one.
pub(super) fn capacity_fraction(config: &ControllerConfig, started: Option<Moment>, now: Moment) -> f64 {
    let Some(started) = started else { return 1.0 };
    let progress = (now - started).as_secs() / config.slow_start_window.as_secs().max(1e-9);
    config.initial_capacity + (1.0 - config.initial_capacity) * progress.clamp(0.0, 1.0)
}

/// The weights of the candidates of one table, with those of cold endpoints reduced.
pub(super) fn slow_start_weights(
    candidates: Vec<Candidate>,
    fleet: &FleetCondition,
) -> BTreeMap<EndpointId, EndpointWeight> {
    let capacity =
        |warm: bool| candidates.iter().filter(|c| c.is_warm() == warm).map(Candidate::capacity).sum::<f64>();
    let (cold_capacity, warm_capacity) = (capacity(false), capacity(true));
    // Cold weights are reduced only as far as the warm endpoints can take over the load.
    let min_cold_factor =
        ((cold_capacity + warm_capacity) / MAX_WARM_LOAD - warm_capacity) / cold_capacity.max(1e-9);
    let cold_factor = fleet.capacity_fraction.max(min_cold_factor).min(1.0);
    let mut weights = BTreeMap::new();
    for candidate in candidates {
        let is_warm = candidate.is_warm();
        if warm_capacity > 0.0 && fleet.excludes(&candidate) {
            continue;
        }
        let factor = if is_warm { 1.0 } else { candidate.slow_start_factor * cold_factor };
        let weight = candidate.weight * factor;
        let unreduced_weight = candidate.capacity();
        weights.insert(candidate.id, EndpointWeight { weight, unreduced_weight, is_warm });
    }
    weights
}

#[cfg(test)]
mod tests;
