//! The inputs from which the weights of all route tables are computed at one point in time.
//!
//! Publication collects a snapshot whenever it publishes; `routing` computes the weights of each table from
//! it, and `changes` the urgency of each change.

use super::candidate::{routable_capacity, Candidate};
use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use super::outliers;
use super::slow_start::{capacity_fraction, slow_start_factor, FleetCondition};
use crate::config::ControllerConfig;
use crate::host::EndpointId;
use crate::time::Moment;
use std::collections::BTreeMap;

/// The inputs from which the weights of all tables are computed at one point in time.
pub(super) struct RoutingSnapshot {
    /// The candidates, in the order of the ring.
    pub(super) candidates: Vec<Candidate>,
    /// The usual request rate of each zone, over all proxies that have ever joined.
    rates_by_zone: BTreeMap<u32, f64>,
    /// The routable capacity of the zones in `rates_by_zone`.
    served_capacity: f64,
    pub(super) max_table_size: usize,
    /// See [`ControllerConfig::collapse_multiple`].
    pub(super) collapse_multiple: f64,
    pub(super) fleet: FleetCondition,
}

impl RoutingSnapshot {
    /// Collects the inputs. `ring_seed` determines the order of the ring.
    pub(super) fn new(
        now: Moment,
        config: &ControllerConfig,
        endpoints: &EndpointRegistry,
        fleet: FleetCondition,
        rates_by_zone: BTreeMap<u32, f64>,
        limits: &ChannelLimits,
        ring_seed: u32,
    ) -> Self {
        let mut candidates = candidates(now, config, endpoints);
        candidates.sort_by_cached_key(|candidate| ring_position(&candidate.id, ring_seed));
        let served = candidates.iter().filter(|candidate| rates_by_zone.contains_key(&candidate.zone));
        RoutingSnapshot {
            served_capacity: routable_capacity(served),
            candidates,
            rates_by_zone,
            max_table_size: limits.max_table_size,
            collapse_multiple: config.collapse_multiple,
            fleet,
        }
    }

    /// A zone's part of the served capacity, which is divided among the zones by request rate.
    pub(super) fn proportional_capacity(&self, zone: u32) -> f64 {
        let rate = self.rates_by_zone.get(&zone).unwrap_or(&0.0);
        let all_rates = self.rates_by_zone.values().sum::<f64>();
        rate / all_rates.max(1e-9) * self.served_capacity
    }

    /// The candidates that a table with these published weights holds.
    fn candidates_in<'a>(
        &'a self,
        weights: &'a BTreeMap<EndpointId, f64>,
    ) -> impl Iterator<Item = &'a Candidate> {
        self.candidates.iter().filter(|candidate| weights.contains_key(&candidate.id))
    }

    /// Whether a table with these published weights holds a ready endpoint that is warm.
    pub(super) fn any_warm(&self, weights: &BTreeMap<EndpointId, f64>) -> bool {
        self.candidates_in(weights).any(Candidate::is_warm)
    }

    /// Whether an endpoint is left out of tables because it is cold and the fleet is degraded.
    pub(super) fn excludes(&self, id: &EndpointId) -> bool {
        self.candidates.iter().any(|candidate| candidate.id == *id && self.fleet.excludes(candidate))
    }
}

/// The ready endpoints with their present weight and slow-start factor, ordered by id.
pub(super) fn candidates(
    now: Moment,
    config: &ControllerConfig,
    endpoints: &EndpointRegistry,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for (id, endpoint) in endpoints.ready() {
        candidates.push(Candidate {
            id: id.clone(),
            zone: endpoint.zone,
            weight: outliers::effective_weight(endpoint),
            listed_weight: endpoint.weight,
            capacity_fraction: capacity_fraction(config, endpoint.started, now),
            slow_start_factor: slow_start_factor(config.slow_start_window, endpoint.started, now),
        });
    }
    candidates
}

/// The position of an endpoint on the ring: a seeded hash of its id.
fn ring_position(id: &str, seed: u32) -> u32 {
    let mut hash = seed;
    for byte in id.bytes() {
        hash = (hash.rotate_left(5) ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    let mix = |hash: u32| (hash ^ hash >> 15).wrapping_mul(0x2c1b_3c6d);
    mix(mix(hash))
}
