//! The urgent changes of all tables: in which order their endpoints are handled, and what a batch of them
//! costs.
//!
//! `publication` builds a batch whenever it publishes, and sends as many of its endpoints as fit into the
//! channel. The endpoint with the earliest deadline comes first.

use super::changes::{TableChanges, WeightChange};
use super::channel::ChannelLimits;
use super::urgency::Urgency;
use crate::host::EndpointId;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints with urgent changes, and how many of them are sent now.
pub(super) struct UrgentBatch {
    /// The position of each endpoint in the order of urgency.
    positions: BTreeMap<EndpointId, usize>,
    /// The number of endpoints whose urgent changes are sent now, counted from position 0.
    size: usize,
    /// The lines that the urgent changes that are sent now take, summed over all receivers.
    pub(super) lines: f64,
    /// The urgency of the endpoint at position 0; [`Urgency::Ordinary`] if there are no urgent changes.
    pub(super) urgency: Urgency,
    /// The proxies that urgent changes are sent to, in ascending order.
    pub(super) receivers: Vec<u32>,
}

impl UrgentBatch {
    /// Finds all endpoints with urgent changes; none is included in the batch yet.
    pub(super) fn new(pending: &[TableChanges]) -> Self {
        let mut urgencies = BTreeMap::<&EndpointId, Urgency>::new();
        let mut receivers = BTreeSet::<u32>::new();
        for table in pending {
            for change in table.changes.iter().filter(|change| !change.urgency.is_ordinary()) {
                let urgency = urgencies.entry(&change.id).or_insert(change.urgency);
                *urgency = change.urgency.min(*urgency);
                receivers.extend(&table.receivers);
            }
        }
        let mut ordered: Vec<(Urgency, &EndpointId)> =
            urgencies.into_iter().map(|(id, urgency)| (urgency, id)).collect();
        ordered.sort();
        let urgency = ordered.first().map_or(Urgency::Ordinary, |(urgency, _)| *urgency);
        let positions = ordered.into_iter().enumerate().map(|(position, (_, id))| (id.clone(), position));
        let receivers = receivers.into_iter().collect();
        UrgentBatch { positions: positions.collect(), size: 0, lines: 0.0, urgency, receivers }
    }

    /// Includes as many endpoints as fit into `available` lines.
    pub(super) fn fill(&mut self, available: f64, pending: &[TableChanges], limits: &ChannelLimits) {
        let cost = |size| self.cost(size, pending, limits.message_overhead);
        let size = limits.largest_batch(self.positions.len(), available, cost);
        self.lines = cost(size);
        self.size = size;
    }

    /// Whether all urgent changes are sent now.
    pub(super) fn is_complete(&self) -> bool {
        self.size == self.positions.len()
    }

    /// Whether a change is urgent and sent now.
    pub(super) fn includes(&self, change: &WeightChange) -> bool {
        self.would_include(change, self.size)
    }

    fn would_include(&self, change: &WeightChange, size: usize) -> bool {
        !change.urgency.is_ordinary() && self.positions[&change.id] < size
    }

    /// The lines that a batch of `size` endpoints takes, summed over all receivers. A receiver of changes in
    /// several tables gets one message.
    fn cost(&self, size: usize, pending: &[TableChanges], message_overhead: f64) -> f64 {
        let mut lines = 0;
        let mut receivers = BTreeSet::<u32>::new();
        for table in pending {
            let changes = table.changes.iter().filter(|change| self.would_include(change, size)).count();
            if changes > 0 {
                lines += changes * table.receivers.len();
                receivers.extend(&table.receivers);
            }
        }
        lines as f64 + receivers.len() as f64 * message_overhead
    }

    /// Retains the urgent changes that are sent now and the first `max_ordinary` ordinary ones.
    pub(super) fn retain_sendable(&self, changes: &mut Vec<WeightChange>, max_ordinary: usize) {
        let mut ordinary = 0;
        changes.retain(|change| {
            if !change.urgency.is_ordinary() {
                return self.includes(change);
            }
            ordinary += 1;
            ordinary <= max_ordinary
        });
    }
}
