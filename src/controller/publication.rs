//! Publication: when the changes of the route tables are sent, and in which order.
//!
//! [`Controller`] publishes at the end of each event. Urgent changes go as soon as the queue is short, in
//! batches that fit, the endpoints that left first in the first batch; they take along what else has changed
//! and fits. Ordinary changes are batched, the longer the more of the channel they take. Nothing is marked as
//! published that was not sent to the host.

use super::admission::RETRY_POLICY;
use super::changes::{self, TableChanges, WeightChange};
use super::channel::{ChannelLimits, Urgency};
use super::endpoints::EndpointRegistry;
use super::routing::RoutingSnapshot;
use super::Controller;
use crate::host::{EndpointId, Host};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The least interval between ordinary changes of one table.
const MIN_PUBLICATION_INTERVAL: Span = Span::from_us(1_000_000);
/// Ordinary changes are batched for so many times as long as the last ones took in the channel.
const BATCHING_FACTOR: f64 = 2.0;

/// Until when ordinary changes are batched.
pub(super) struct PublicationState {
    pub(super) batched_until: Moment,
}

impl PublicationState {
    /// Ordinary changes may go at once.
    pub(super) fn new(now: Moment) -> Self {
        PublicationState { batched_until: now }
    }

    /// Whether the ordinary changes have been batched for long enough.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        now >= self.batched_until
    }

    /// Commands were sent that keep the channel busy for some time.
    fn sent(&mut self, now: Moment, busy_secs: f64) {
        if busy_secs > 0.0 {
            self.batched_until = now + Span::from_secs(busy_secs * BATCHING_FACTOR);
        }
    }
}

/// The endpoints with urgent changes, and how many of them go now.
struct UrgentBatch {
    /// The position of each endpoint: those that left first come first.
    positions: BTreeMap<EndpointId, usize>,
    /// Endpoints up to this position go now.
    size: usize,
}

impl UrgentBatch {
    /// All endpoints with urgent changes, none of which goes yet.
    fn new(pending: &[TableChanges], endpoints: &EndpointRegistry) -> Self {
        let mut ordered = BTreeSet::new();
        for change in pending.iter().flat_map(|table| &table.changes) {
            if change.is_urgent {
                let left = endpoints.get(&change.id).map(|endpoint| endpoint.left);
                ordered.insert((left, change.id.clone()));
            }
        }
        let positions = ordered.into_iter().enumerate().map(|(position, (_, id))| (id, position));
        UrgentBatch { positions: positions.collect(), size: 0 }
    }

    /// Whether every urgent change goes now.
    fn is_complete(&self) -> bool {
        self.size == self.positions.len()
    }

    fn includes(&self, change: &WeightChange) -> bool {
        self.would_include(change, self.size)
    }

    fn would_include(&self, change: &WeightChange, size: usize) -> bool {
        change.is_urgent && self.positions[&change.id] < size
    }

    /// The lines of a batch of some size, to all receivers.
    fn cost(&self, size: usize, pending: &[TableChanges], message_overhead: f64) -> f64 {
        let table_cost = |table: &TableChanges| {
            let lines = table.changes.iter().filter(|change| self.would_include(change, size)).count() as f64;
            let message = if lines > 0.0 { message_overhead + lines } else { 0.0 };
            table.receivers.len() as f64 * message
        };
        pending.iter().map(table_cost).sum::<f64>()
    }

    /// Keeps the urgent changes that go now, and the first `max_ordinary` ordinary ones.
    fn retain_sendable(&self, changes: &mut Vec<WeightChange>, max_ordinary: usize) {
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

impl<H: Host> Controller<H> {
    /// Publishes what has changed and fits. Returns whether something found no room.
    pub(super) fn publish_changes(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        ordinary_due: bool,
        is_queue_short: bool,
    ) -> bool {
        let receivers = self.proxies.matching(|proxy| proxy.receives_updates);
        let mut pending = self.collect_changes(now, limits, &receivers);
        let mut batch = UrgentBatch::new(&pending, &self.endpoints);
        let room = self.channel.room(now, Urgency::Urgent, &receivers, limits);
        let cost = |size| batch.cost(size, &pending, limits.message_overhead);
        let size = if is_queue_short { limits.largest_batch(batch.positions.len(), room, cost) } else { 0 };
        let urgent_lines = if size > 0 { cost(size) } else { 0.0 };
        batch.size = size;

        let lines_before = self.channel.backlog.recorded_lines + urgent_lines;
        let mut found_no_room = !batch.is_complete();
        let ordinary_due = ordinary_due && batch.is_complete();
        // The table that has waited longest goes first, or one that always changes would take all the room.
        pending.sort_by_key(|table| self.tables.by_number[&table.table].last_sent);
        for table in pending {
            found_no_room |= self.publish_table(now, limits, table, &batch, ordinary_due);
        }
        let ordinary_lines = self.channel.backlog.recorded_lines - lines_before;
        self.publication.sent(now, limits.secs_for(ordinary_lines));
        found_no_room
    }

    /// Computes the changes of all tables, and sends those of tables without receivers, which cost nothing.
    fn collect_changes(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        receivers: &[u32],
    ) -> Vec<TableChanges> {
        let snapshot = self.routing_snapshot(now, limits);
        let mut receivers_by_table = BTreeMap::<u32, Vec<u32>>::new();
        for proxy in receivers {
            receivers_by_table.entry(self.proxies.joined[proxy].table).or_default().push(*proxy);
        }
        let mut pending = Vec::new();
        for number in self.tables.by_number.keys().copied().collect::<Vec<_>>() {
            let receivers = receivers_by_table.remove(&number).unwrap_or_default();
            let changes = self.table_changes(now, limits, number, receivers.len(), &snapshot);
            let table = TableChanges { table: number, receivers, changes };
            if table.receivers.is_empty() {
                self.send_changes(now, limits, table, true);
            } else {
                pending.push(table);
            }
        }
        pending
    }

    fn routing_snapshot(&self, now: Moment, limits: &ChannelLimits) -> RoutingSnapshot {
        let rates_by_zone = self.proxies.rates_by_zone();
        self.tables.snapshot(
            self.candidates(now),
            self.fleet_condition(),
            rates_by_zone,
            &self.config,
            limits,
        )
    }

    fn table_changes(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        number: u32,
        receivers: usize,
        snapshot: &RoutingSnapshot,
    ) -> Vec<WeightChange> {
        let Some(table) = self.tables.by_number.get_mut(&number) else { return Vec::new() };
        let desired = table.desired_weights(number, snapshot);
        if desired.is_empty() && changes::is_carried(table, &self.endpoints, &self.config, now) {
            self.recheck_soon();
            return Vec::new();
        }
        table.carried_since = None;
        changes::weight_changes(table, desired, receivers, limits)
    }

    /// Sends the urgent changes of a table that go now, and ordinary ones as far as they are due and fit.
    /// Returns whether ordinary changes found no room.
    fn publish_table(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        mut table: TableChanges,
        batch: &UrgentBatch,
        ordinary_due: bool,
    ) -> bool {
        let urgent = table.changes.iter().filter(|change| batch.includes(change)).count();
        let rest = table.changes.len() - urgent;
        let last_sent = self.tables.by_number[&table.table].last_sent;
        if urgent == 0 && (!ordinary_due || now - last_sent < MIN_PUBLICATION_INTERVAL) {
            self.recheck_soon();
            return false;
        }
        let room = self.room_for_ordinary(now, limits, &table.receivers, urgent);
        let fitting = room as usize;
        let found_no_room = fitting < rest;
        let is_worth_a_message = room >= 0.0 && (!found_no_room || room >= limits.message_overhead);
        if urgent == 0 && !is_worth_a_message {
            return found_no_room;
        }
        let max_ordinary = if batch.is_complete() { fitting } else { 0 };
        batch.retain_sendable(&mut table.changes, max_ordinary);
        self.send_changes(now, limits, table, batch.is_complete());
        found_no_room
    }

    /// The lines for ordinary changes to each receiver of a table, besides its urgent changes and all
    /// admission levels.
    fn room_for_ordinary(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        receivers: &[u32],
        urgent_lines: usize,
    ) -> f64 {
        let total = self.channel.room(now, Urgency::Ordinary, receivers, limits);
        // Ordinary changes alone pay for the message.
        let committed = if urgent_lines == 0 { limits.message_overhead } else { urgent_lines as f64 };
        total / receivers.len() as f64 - committed - self.admission.levels.len() as f64
    }

    /// Sends changes of a table and marks them as published; with them the admission levels that changed.
    pub(super) fn send_changes(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        table_changes: TableChanges,
        with_admission: bool,
    ) {
        let TableChanges { table: number, receivers, changes } = table_changes;
        let Some(table) = self.tables.by_number.get_mut(&number) else { return };
        let mut commands: u32 = 0;
        let mut restored = 0;
        for WeightChange { id, weight, .. } in changes {
            // An endpoint that returns is restored with its first weight and not before: it may be cold.
            let endpoint = self.endpoints.get_mut(&id);
            if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.ejected && endpoint.is_ready()) {
                endpoint.mark_restored();
                self.host.restore_endpoint(&id);
                restored += 1;
            }
            self.host.set_endpoint_weight(number, &id, weight);
            commands += 1;
            table.publish_weight(id, weight);
        }
        if with_admission {
            for (class, level) in self.admission.levels.iter().copied().enumerate() {
                if table.publish_admission_level(class, level) {
                    self.host.set_admission(number, 1 << class, level, RETRY_POLICY);
                    commands += 1;
                }
            }
        }
        if commands == 0 {
            return;
        }
        table.last_sent = now;
        for proxy in receivers {
            self.channel.backlog.record(now, proxy, f64::from(commands), limits.message_overhead);
        }
        self.record_ejections(now, restored, limits);
    }
}

#[cfg(test)]
mod tests;
