//! Assignment of key shards to endpoints, and the handover of shards with a single writer.
//!
//! If the deployment has shards, [`Controller`] publishes them whenever it issues commands, instead of the
//! route tables of zones. A shard moves once none of its published endpoints is usable. With a single writer,
//! writes to a shard are stopped before it moves, until writes that are in flight or were sent under a lease
//! have ended; a handover that began is completed even if the former endpoint becomes usable again.

use super::admission::RETRY_POLICY;
use super::slow_start::{slow_start_weights, EndpointWeight};
use super::urgency::Urgency;
use super::Controller;
use crate::host::{EndpointId, Host, RequestClassSet};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// How long writes are stopped for a handover, as a multiple of the longest time for which a write may be in
/// flight or be sent under a lease.
const HANDOVER_MARGIN: f64 = 1.5;

/// The published state of a shard.
#[derive(Default)]
pub(super) struct Shard {
    weights: BTreeMap<EndpointId, f64>,
    /// When its writes were stopped for a handover; `None` if none is in progress.
    handover_since: Option<Moment>,
}

/// The shards that this controller publishes, by shard number.
#[derive(Default)]
pub(super) struct ShardMap {
    by_number: BTreeMap<u32, Shard>,
}

impl ShardMap {
    /// Adds a shard that this controller is to publish, without any weights.
    pub(super) fn assign(&mut self, shard: u32) {
        self.by_number.insert(shard, Shard::default());
    }

    /// Records an already published weight of a shard.
    pub(super) fn restore_weight(&mut self, shard: u32, id: &EndpointId, weight: f64) {
        self.by_number.entry(shard).or_default().weights.insert(id.clone(), weight);
    }

    /// Whether any shard names an endpoint.
    pub(super) fn any_contains(&self, id: &EndpointId) -> bool {
        self.by_number.values().any(|shard| shard.weights.contains_key(id))
    }

    /// Removes a shard that this controller no longer publishes.
    pub(super) fn revoke(&mut self, shard: u32) {
        self.by_number.remove(&shard);
    }
}

/// The endpoints that a shard may be assigned to, for selection by weight.
struct UsableEndpoints {
    weights: BTreeMap<EndpointId, EndpointWeight>,
    total: f64,
}

impl UsableEndpoints {
    /// The endpoint at a fraction, from 0 to 1, of the cumulative weight.
    fn endpoint_at(&self, fraction: f64) -> Option<&EndpointId> {
        let mut remaining = self.total * fraction;
        for (id, endpoint) in &self.weights {
            remaining -= endpoint.weight;
            if remaining < 0.0 {
                return Some(id);
            }
        }
        None
    }
}

impl<H: Host> Controller<H> {
    /// Ejects and restores endpoints, and moves the shards that no longer have a usable endpoint.
    pub(super) fn publish_shards(&mut self, now: Moment) {
        self.update_ejections();
        let usable = self.usable_endpoints(now);
        for number in self.shards.by_number.keys().copied().collect::<Vec<_>>() {
            self.publish_shard(now, number, &usable);
        }
    }

    fn update_ejections(&mut self) {
        for (id, endpoint) in self.endpoints.iter_mut() {
            let should_be_ejected = !endpoint.is_ready();
            if endpoint.ejected == should_be_ejected {
                continue;
            }
            endpoint.ejected = should_be_ejected;
            if should_be_ejected {
                let urgency = Urgency::of_unready(endpoint, &self.config);
                self.host.eject_endpoint(id, urgency.deadline());
            } else {
                self.host.restore_endpoint(id);
            }
        }
    }

    fn usable_endpoints(&self, now: Moment) -> UsableEndpoints {
        let weights = slow_start_weights(self.candidates(now), &self.fleet_condition());
        let total = weights.values().map(|endpoint| endpoint.weight).sum::<f64>();
        UsableEndpoints { weights, total }
    }

    fn publish_shard(&mut self, now: Moment, number: u32, usable: &UsableEndpoints) {
        let handover_time = self.handover_time();
        let write_classes = self.write_classes();
        let Some(shard) = self.shards.by_number.get_mut(&number) else { return };
        let has_usable_endpoint = shard.weights.keys().any(|id| usable.weights.contains_key(id));
        if shard.handover_since.is_none() && has_usable_endpoint {
            return;
        }
        let Some(id) = usable.endpoint_at(self.rng.next_f64()) else { return };
        if self.config.single_writer && !shard.weights.is_empty() {
            let since = *shard.handover_since.get_or_insert(now);
            if since == now {
                self.host.set_admission(number, write_classes, 0.0, RETRY_POLICY);
            }
            if now - since < handover_time {
                return;
            }
            shard.handover_since = None;
            self.host.set_admission(number, write_classes, 1.0, RETRY_POLICY);
        }
        let former = std::mem::take(&mut shard.weights);
        if !self.config.single_writer {
            for id in former.keys() {
                self.host.set_endpoint_weight(number, id, 0.0, None);
            }
        }
        self.host.set_endpoint_weight(number, id, 1.0, None);
        shard.weights.insert(id.clone(), 1.0);
    }

    /// The time for which writes are stopped before a shard with a single writer moves.
    fn handover_time(&self) -> Span {
        let in_flight = self.config.max_transit + self.config.write_lease + self.config.write_settle_time;
        in_flight * HANDOVER_MARGIN
    }

    fn write_classes(&self) -> RequestClassSet {
        let classes = self.config.request_classes.iter().enumerate();
        classes.filter(|(_, class)| class.writes).map(|(position, _)| position).collect()
    }
}

#[cfg(test)]
mod tests;
