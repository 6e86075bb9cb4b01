//! The urgent changes of all tables: in which order their endpoints are handled, and what a batch of them
//! costs.
//!
//! `publication` builds a batch whenever it publishes, and sends as many of its endpoints as fit into the
//! channel. Endpoints that stopped being ready first come first, since their drain grace ends first.

use super::changes::{TableChanges, WeightChange};
use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use crate::host::EndpointId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints with urgent changes, and how many of them are sent now.
pub(super) struct UrgentBatch {
    /// The position of each endpoint in the order in which the endpoints were last ready.
    positions: BTreeMap<EndpointId, usize>,
    /// The number of endpoints whose urgent changes are sent now, counted from position 0.
    size: usize,
    /// When the endpoint at position 0 was last ready; `None` if there are no urgent changes.
    pub(super) pending_since: Option<Moment>,
}

impl UrgentBatch {
    /// Finds all endpoints with urgent changes; none is included in the batch yet.
    pub(super) fn new(pending: &[TableChanges], endpoints: &EndpointRegistry) -> Self {
        let mut ordered = BTreeSet::new();
        for change in pending.iter().flat_map(|table| &table.changes) {
            if change.is_urgent {
                let last_ready = endpoints.get(&change.id).map(|endpoint| endpoint.last_ready);
                ordered.insert((last_ready, change.id.clone()));
            }
        }
        let pending_since = ordered.first().and_then(|(last_ready, _)| *last_ready);
        let positions = ordered.into_iter().enumerate().map(|(position, (_, id))| (id, position));
        UrgentBatch { positions: positions.collect(), size: 0, pending_since }
    }

    /// Includes as many endpoints as fit into `available` lines. Returns the lines that their changes take.
    pub(super) fn fill(&mut self, available: f64, pending: &[TableChanges], limits: &ChannelLimits) -> f64 {
        let cost = |size| self.cost(size, pending, limits.message_overhead);
        let size = limits.largest_batch(self.positions.len(), available, cost);
        let lines = if size > 0 { cost(size) } else { 0.0 };
        self.size = size;
        lines
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
        change.is_urgent && self.positions[&change.id] < size
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
            if change.is_urgent {
                return self.includes(change);
            }
            ordinary += 1;
            ordinary <= max_ordinary
        });
    }
}
