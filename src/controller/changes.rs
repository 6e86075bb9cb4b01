//! Changes: how the desired weights of a route table differ from the published ones, and which differences
//! are worth sending.
//!
//! Publication asks here for the changes of every table. Small differences are not worth the lines that they
//! cost. A table whose endpoints all vanished from the list while they still answer is carried for a while: a
//! list that drops them all at once is more often wrong than right.

use super::assignment::HEARTBEAT_INTERVAL;
use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use super::routing::RouteTable;
use super::slow_start::EndpointWeight;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointState};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// The least ratio between old and new weight of an endpoint that is warming up.
const MIN_WARMING_RATIO: f64 = 1.25;
/// The least ratio between old and new weight of a warm endpoint.
const MIN_WARM_RATIO: f64 = 1.001;
/// A cold endpoint whose weight is too high by more than this ratio restarted: its change is urgent.
const URGENT_COLD_RATIO: f64 = 2.0;
/// The least difference worth sending, as a multiple of the mean weight, for each second that a line to all
/// proxies of the table takes.
const MIN_DIFFERENCE_PER_SEC: f64 = 4.0;

/// The longest time for which a table is carried.
const MAX_CARRY_TIME: Span = HEARTBEAT_INTERVAL;
/// The fraction of the drain grace for which a table is carried at most.
const CARRY_GRACE_FRACTION: f64 = 0.6;

/// A weight to set in a table.
pub(super) struct WeightChange {
    pub(super) id: EndpointId,
    /// The new weight; 0 removes the endpoint.
    pub(super) weight: f64,
    /// It can't wait: the endpoint left or restarted, or the table was empty.
    pub(super) is_urgent: bool,
    /// The difference to the published weight.
    difference: f64,
}

/// The changes of one table.
pub(super) struct TableChanges {
    pub(super) table: u32,
    /// The proxies that the changes reach.
    pub(super) receivers: Vec<u32>,
    /// Urgent changes first, then the largest differences.
    pub(super) changes: Vec<WeightChange>,
}

/// The changes that turn the published weights into the desired ones and are worth sending to some receivers.
pub(super) fn weight_changes(
    table: &RouteTable,
    desired: BTreeMap<EndpointId, EndpointWeight>,
    receivers: usize,
    limits: &ChannelLimits,
) -> Vec<WeightChange> {
    let secs_per_line = limits.secs_for(receivers as f64);
    let sum = desired.values().map(|desired| desired.weight).sum::<f64>();
    let mean = sum / desired.len().max(1) as f64;
    let min_difference = mean * secs_per_line * MIN_DIFFERENCE_PER_SEC;
    let mut changes = removals(table, &desired);
    for (id, EndpointWeight { weight, is_warm }) in desired {
        let published = table.weights.get(&id).copied().unwrap_or(0.0);
        let ratio = (published / weight).max(weight / published);
        let difference = (published - weight).abs();
        let differs = ratio > MIN_WARMING_RATIO || is_warm && ratio > MIN_WARM_RATIO;
        if differs && (difference > min_difference || published == 0.0) {
            let restarted = !is_warm && published > URGENT_COLD_RATIO * weight;
            let is_urgent = table.weights.is_empty() || restarted;
            changes.push(WeightChange { id, weight, is_urgent, difference });
        }
    }
    changes.sort_by(|a, b| b.is_urgent.cmp(&a.is_urgent).then(b.difference.total_cmp(&a.difference)));
    changes
}

fn removals(table: &RouteTable, desired: &BTreeMap<EndpointId, EndpointWeight>) -> Vec<WeightChange> {
    let mut removals = Vec::new();
    for (id, published) in &table.weights {
        if !desired.contains_key(id) {
            let id = id.clone();
            removals.push(WeightChange { id, weight: 0.0, is_urgent: true, difference: *published });
        }
    }
    removals
}

/// Whether a table that should be empty keeps its weights for now.
pub(super) fn is_carried(
    table: &mut RouteTable,
    endpoints: &EndpointRegistry,
    config: &ControllerConfig,
    now: Moment,
) -> bool {
    let within_grace = config.drain_grace * CARRY_GRACE_FRACTION - config.max_transit;
    let max_time =
        if config.drain_grace_excludes_removed { MAX_CARRY_TIME } else { MAX_CARRY_TIME.min(within_grace) };
    let still_answers = |id: &EndpointId| {
        endpoints.get(id).is_some_and(|endpoint| {
            endpoint.state == EndpointState::Removed
                && endpoint.last_answered.is_some_and(|at| now - at < MAX_CARRY_TIME)
        })
    };
    if table.carried_since.is_none() && table.weights.keys().any(still_answers) {
        table.carried_since = Some(now);
    }
    table.carried_since.is_some_and(|since| now - since < max_time)
}

#[cfg(test)]
mod tests;
