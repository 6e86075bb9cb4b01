//! Differences between the desired and the published weights of a route table, and which of them are worth
//! sending.
//!
//! Publication requests the changes of every table from here. Small differences are not worth the lines that
//! they cost. Weights that are not desired are removed, except for those that `retention` keeps for a while.
//!
//! Each change carries its urgency. Only what an endpoint did by itself sets a deadline: it stopped being
//! ready or restarted. A change that follows from a decision of routing, such as an arc that moves on to
//! other endpoints, can wait.

use super::channel::ChannelLimits;
use super::endpoints::{Endpoint, EndpointRegistry};
use super::routing::{DesiredWeights, RouteTable};
use super::routing_snapshot::RoutingSnapshot;
use super::slow_start::EndpointWeight;
use super::urgency::Urgency;
use crate::config::ControllerConfig;
use crate::host::EndpointId;
use crate::time::Moment;

/// A weight change of an endpoint that is warming up is sent only if the old and the new weight differ by
/// more than this factor.
const MIN_WARMING_RATIO: f64 = 1.25;
/// A weight change of a warm endpoint is sent only if the old and the new weight differ by more than this
/// factor.
const MIN_WARM_RATIO: f64 = 1.001;
/// A cold endpoint whose published weight exceeds the desired one by more than this ratio has restarted.
const RESTART_RATIO: f64 = 2.0;
/// A change of a published weight is sent only if the difference exceeds the product of this factor, the mean
/// desired weight of the table and the seconds that the channel needs to send one line to every receiver.
const MIN_DIFFERENCE_PER_SEC: f64 = 4.0;

/// A weight to set for one endpoint of a table.
pub(super) struct WeightChange {
    pub(super) id: EndpointId,
    /// The new weight; 0 removes the endpoint.
    pub(super) weight: f64,
    pub(super) urgency: Urgency,
    /// The absolute difference from the published weight.
    difference: f64,
}

/// The pending changes of one table.
pub(super) struct TableChanges {
    pub(super) table: u32,
    /// The proxies to which the changes are sent.
    pub(super) receivers: Vec<u32>,
    /// The changes, ordinary ones last, then by decreasing difference.
    pub(super) changes: Vec<WeightChange>,
}

impl TableChanges {
    /// The most urgent one of the changes; `None` if there are only ordinary ones.
    pub(super) fn urgency(&self) -> Option<Urgency> {
        let urgencies = self.changes.iter().map(|change| change.urgency);
        urgencies.filter(|urgency| !urgency.is_ordinary()).min()
    }
}

/// What the urgency of a change depends on.
pub(super) struct ChangeContext<'a> {
    pub(super) endpoints: &'a EndpointRegistry,
    pub(super) snapshot: &'a RoutingSnapshot,
    pub(super) config: &'a ControllerConfig,
    pub(super) now: Moment,
}

impl ChangeContext<'_> {
    /// The urgency of a removal: the drain grace of the endpoint is running, the endpoint was removed from
    /// the list, or it is cold and may be overloaded.
    fn removal_urgency(&self, id: &EndpointId, is_held_back: bool) -> Urgency {
        match self.endpoints.get(id).filter(|endpoint| !endpoint.is_ready()) {
            Some(unready) => Urgency::of_unready(unready, self.config),
            None if is_held_back || self.snapshot.excludes(id) => Urgency::Prompt,
            None => Urgency::Ordinary,
        }
    }

    /// The urgency of a weight that replaces the published one, in a table that may hold no warm endpoint. An
    /// endpoint that has restarted may be overloaded by its former weight. If a table holds cold endpoints
    /// only, each further endpoint takes load from them.
    fn weight_urgency(
        &self,
        id: &EndpointId,
        published: f64,
        desired: &EndpointWeight,
        lacks_warm: bool,
    ) -> Urgency {
        let is_overloaded = !desired.is_warm && published > RESTART_RATIO * desired.weight;
        let has_restarted = !desired.is_warm && published > RESTART_RATIO * desired.unreduced_weight;
        match self.endpoints.get(id) {
            Some(endpoint) if has_restarted && self.is_new_start(endpoint) => {
                Urgency::within_grace(endpoint.start_listed, self.config)
            }
            _ if is_overloaded || lacks_warm && published == 0.0 => Urgency::Prompt,
            _ => Urgency::Ordinary,
        }
    }

    /// Whether the drain grace that counts from the latest start of an endpoint is running.
    fn is_new_start(&self, endpoint: &Endpoint) -> bool {
        self.now - endpoint.start_listed <= self.config.drain_grace
    }
}

/// The changes from the published to the desired weights that are worth sending to this number of receivers.
pub(super) fn weight_changes(
    table: &RouteTable,
    desired: DesiredWeights,
    receiver_count: usize,
    limits: &ChannelLimits,
    context: &ChangeContext,
) -> Vec<WeightChange> {
    let secs_per_line = limits.transmission_secs(receiver_count as f64);
    let sum = desired.weights.values().map(|desired| desired.weight).sum::<f64>();
    let mean = sum / desired.weights.len().max(1) as f64;
    let min_difference = mean * secs_per_line * MIN_DIFFERENCE_PER_SEC;
    let lacks_warm = !context.snapshot.any_warm(&table.weights);
    let mut changes = removals(table, &desired, context);
    for (id, desired) in desired.weights {
        let EndpointWeight { weight, is_warm, .. } = desired;
        let published = table.weights.get(&id).copied().unwrap_or(0.0);
        let ratio = (published / weight).max(weight / published);
        let difference = (published - weight).abs();
        let differs = ratio > MIN_WARMING_RATIO || is_warm && ratio > MIN_WARM_RATIO;
        if differs && (difference > min_difference || published == 0.0) {
            let urgency = context.weight_urgency(&id, published, &desired, lacks_warm);
            changes.push(WeightChange { id, weight, urgency, difference });
        }
    }
    changes.sort_by(|a, b| {
        let ordinary_last = a.urgency.is_ordinary().cmp(&b.urgency.is_ordinary());
        ordinary_last.then(b.difference.total_cmp(&a.difference))
    });
    changes
}

fn removals(table: &RouteTable, desired: &DesiredWeights, context: &ChangeContext) -> Vec<WeightChange> {
    let mut removals = Vec::new();
    for (id, published) in &table.weights {
        if !desired.weights.contains_key(id) && !desired.retained.contains(id) {
            let urgency = context.removal_urgency(id, desired.is_held_back);
            removals.push(WeightChange { id: id.clone(), weight: 0.0, urgency, difference: *published });
        }
    }
    removals
}

#[cfg(test)]
mod tests;
