//! Differences between the desired and the published weights of a route table, and which of them are worth
//! sending.
//!
//! Publication requests the changes of every table from here. Small differences are not worth the lines that
//! they cost. If a table has no desired weights left, but one of its endpoints that was removed from the
//! endpoint list answered recently, the table retains its weights for a limited time: a list that drops all
//! endpoints of a table at once is more likely to be wrong than right.

use super::assignment::ASSIGNMENT_RETRY_INTERVAL;
use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use super::routing::RouteTable;
use super::slow_start::EndpointWeight;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointState};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// A weight change of an endpoint that is warming up is sent only if the old and the new weight differ by
/// more than this factor.
const MIN_WARMING_RATIO: f64 = 1.25;
/// A weight change of a warm endpoint is sent only if the old and the new weight differ by more than this
/// factor.
const MIN_WARM_RATIO: f64 = 1.001;
/// A cold endpoint whose published weight exceeds the desired one by more than this ratio has restarted, so
/// the change is urgent.
const RESTART_RATIO: f64 = 2.0;
/// A change of a published weight is sent only if the difference exceeds the product of this factor, the mean
/// desired weight of the table and the seconds that the channel needs to send one line to every receiver.
const MIN_DIFFERENCE_PER_SEC: f64 = 4.0;

/// The longest time for which a table retains its weights when none is desired. Also the age below which an
/// answer of a removed endpoint counts as recent.
const MAX_RETENTION_TIME: Span = ASSIGNMENT_RETRY_INTERVAL;
/// If the drain grace also applies to removed endpoints, a table retains its weights for at most this
/// fraction of the grace, less the maximum transit time.
const RETENTION_GRACE_FRACTION: f64 = 0.6;

/// A weight to set for one endpoint of a table.
pub(super) struct WeightChange {
    pub(super) id: EndpointId,
    /// The new weight; 0 removes the endpoint.
    pub(super) weight: f64,
    /// Whether the change is urgent: it removes the endpoint, the endpoint restarted, or the table was empty.
    pub(super) is_urgent: bool,
    /// The absolute difference from the published weight.
    difference: f64,
}

/// The pending changes of one table.
pub(super) struct TableChanges {
    pub(super) table: u32,
    /// The proxies to which the changes are sent.
    pub(super) receivers: Vec<u32>,
    /// The changes, urgent ones first, then by decreasing difference.
    pub(super) changes: Vec<WeightChange>,
}

/// The changes from the published to the desired weights that are worth sending to this number of receivers.
pub(super) fn weight_changes(
    table: &RouteTable,
    desired: BTreeMap<EndpointId, EndpointWeight>,
    receiver_count: usize,
    limits: &ChannelLimits,
) -> Vec<WeightChange> {
    let secs_per_line = limits.transmission_secs(receiver_count as f64);
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
            let restarted = !is_warm && published > RESTART_RATIO * weight;
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

/// Whether a table without desired weights retains its published weights for now, because one of its
/// endpoints was removed from the list although it answered recently. Records when the retention began.
pub(super) fn retains_weights(
    table: &mut RouteTable,
    endpoints: &EndpointRegistry,
    config: &ControllerConfig,
    now: Moment,
) -> bool {
    let within_grace = config.drain_grace * RETENTION_GRACE_FRACTION - config.max_transit;
    let max_time = if config.drain_grace_excludes_removed {
        MAX_RETENTION_TIME
    } else {
        MAX_RETENTION_TIME.min(within_grace)
    };
    let still_answers = |id: &EndpointId| {
        endpoints.get(id).is_some_and(|endpoint| {
            endpoint.state == EndpointState::Removed
                && endpoint.last_answered.is_some_and(|at| now - at < MAX_RETENTION_TIME)
        })
    };
    if table.retained_since.is_none() && table.weights.keys().any(still_answers) {
        table.retained_since = Some(now);
    }
    table.retained_since.is_some_and(|since| now - since < max_time)
}

#[cfg(test)]
mod tests;
