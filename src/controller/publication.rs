//! Publication of route table changes: when they are sent, and in which order.
//!
//! [`Controller`] publishes whenever it issues commands. Urgent changes (an endpoint stopped being ready or
//! has restarted, or the table was empty) are sent as soon as the queue is short, in batches that fit into
//! it; those with the earliest deadline are in the first batch. If the batch holds all urgent changes, each
//! of its messages also carries the ordinary changes of its table that fit. The more channel time the
//! previous ordinary changes took, the longer new ones are collected. Only changes that were sent through the
//! host are marked as published.

use super::admission::RETRY_POLICY;
use super::changes::{TableChanges, WeightChange};
use super::channel::ChannelLimits;
use super::urgency::Urgency;
use super::urgent_batch::UrgentBatch;
use super::Controller;
use crate::host::{Host, RequestClassSet};
use crate::time::{Moment, Span};

/// The minimum time between the last commands for a table and a message with only ordinary changes.
const MIN_PUBLICATION_INTERVAL: Span = Span::from_us(1_000_000);
/// How long ordinary changes are collected, as a multiple of the channel time that the previous ones took.
const COLLECTION_FACTOR: f64 = 2.0;

/// The collection state of ordinary changes.
pub(super) struct PublicationState {
    /// Ordinary changes that accompany no urgent ones are held back until this time.
    pub(super) collected_until: Moment,
}

impl PublicationState {
    /// Creates a state in which ordinary changes may be sent immediately.
    pub(super) fn new(now: Moment) -> Self {
        PublicationState { collected_until: now }
    }

    /// Whether the ordinary changes have been collected for long enough.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        now >= self.collected_until
    }

    /// Restarts the collection after ordinary changes were sent that occupy the channel for `busy_secs`.
    fn record_sent(&mut self, now: Moment, busy_secs: f64) {
        if busy_secs > 0.0 {
            self.collected_until = now + Span::from_secs(busy_secs * COLLECTION_FACTOR);
        }
    }
}

impl<H: Host> Controller<H> {
    /// Publishes the changes that are due and fit into the channel. Returns whether changes were deferred
    /// because they did not fit.
    pub(super) fn publish_changes(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        ordinary_due: bool,
        is_queue_short: bool,
    ) -> bool {
        let mut pending = self.collect_changes(now, limits);
        let is_any_blocked = self.remove_blocked(now, limits, &mut pending);
        let batch = self.urgent_batch(now, limits, &pending, is_queue_short);
        let lines_before = self.channel.backlog.recorded_lines + batch.lines;
        let mut has_deferred = is_any_blocked || !batch.is_complete();
        let ordinary_due = ordinary_due && !has_deferred;
        // The table whose last commands are the oldest goes first. Otherwise a table that changes constantly
        // would use up the channel.
        pending.sort_by_key(|table| self.tables.by_number[&table.table].last_sent);
        for table in pending {
            has_deferred |= self.publish_table(now, limits, table, &batch, ordinary_due);
        }
        // Ordinary changes, admission levels and restorations, with the overhead of messages without urgent
        // changes.
        let non_urgent_lines = self.channel.backlog.recorded_lines - lines_before;
        self.publication.record_sent(now, limits.transmission_secs(non_urgent_lines));
        has_deferred
    }

    /// Publishes the changes with a deadline that fit into the channel, and nothing else. Used while earlier
    /// commands are not accepted yet. Returns whether changes were deferred because they did not fit.
    pub(super) fn publish_changes_with_deadline(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        is_queue_short: bool,
    ) -> bool {
        let mut pending = self.all_changes(now, limits);
        for table in &mut pending {
            table.changes.retain(|change| change.urgency.deadline().is_some());
        }
        let is_any_blocked = self.remove_blocked(now, limits, &mut pending);
        let batch = self.urgent_batch(now, limits, &pending, is_queue_short);
        for mut table in pending {
            batch.retain_sendable(&mut table.changes, 0);
            self.send_changes(now, limits, table, false);
        }
        is_any_blocked || !batch.is_complete()
    }

    /// The batch of the urgent changes that fit into the channel; empty while the queue is long.
    fn urgent_batch(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        pending: &[TableChanges],
        is_queue_short: bool,
    ) -> UrgentBatch {
        let mut batch = UrgentBatch::new(pending);
        if is_queue_short {
            let available = self.channel.available_lines(now, batch.urgency, &batch.receivers, limits);
            batch.fill(available, pending, limits);
        }
        batch
    }

    /// Computes the changes of all tables. Returns those of tables with receivers; the others cost no lines
    /// and are sent immediately.
    fn collect_changes(&mut self, now: Moment, limits: &ChannelLimits) -> Vec<TableChanges> {
        let mut pending = Vec::new();
        for table in self.all_changes(now, limits) {
            if table.receivers.is_empty() {
                self.send_changes(now, limits, table, true);
            } else {
                pending.push(table);
            }
        }
        pending
    }

    /// Sends the urgent changes of a table that are in the batch, and the ordinary changes that fit. Without
    /// urgent changes in the batch, ordinary ones are sent only if they are due and worth a message. Returns
    /// whether ordinary changes were deferred because they did not fit.
    fn publish_table(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        mut table: TableChanges,
        batch: &UrgentBatch,
        ordinary_due: bool,
    ) -> bool {
        let urgent = table.changes.iter().filter(|change| batch.includes(change)).count();
        let ordinary = table.changes.len() - urgent;
        let last_sent = self.tables.by_number[&table.table].last_sent;
        if urgent == 0 && (!ordinary_due || now - last_sent < MIN_PUBLICATION_INTERVAL) {
            self.schedule_recheck();
            return false;
        }
        let available = self.available_ordinary_lines(now, limits, &table.receivers, urgent);
        let fitting_changes = available as usize;
        let has_deferred = fitting_changes < ordinary;
        // A message with only a part of the ordinary changes must carry at least as many lines as its
        // overhead.
        let is_worth_sending = available >= 0.0 && (!has_deferred || available >= limits.message_overhead);
        if urgent == 0 && !is_worth_sending {
            return has_deferred;
        }
        let max_ordinary = if batch.is_complete() { fitting_changes } else { 0 };
        batch.retain_sendable(&mut table.changes, max_ordinary);
        self.send_changes(now, limits, table, batch.is_complete());
        has_deferred
    }

    /// The number of lines per receiver that are available for ordinary changes of a table, after its urgent
    /// changes and all admission levels. Negative if not even these fit.
    fn available_ordinary_lines(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        receivers: &[u32],
        urgent_lines: usize,
    ) -> f64 {
        let total = self.channel.available_lines(now, Urgency::Ordinary, receivers, limits);
        // The message overhead counts against ordinary changes only if they are sent alone.
        let committed = if urgent_lines == 0 { limits.message_overhead } else { urgent_lines as f64 };
        total / receivers.len() as f64 - committed - self.admission.levels.len() as f64
    }

    /// Sends changes of a table and marks them as published. `with_admission` includes the admission levels
    /// that changed.
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
        for WeightChange { id, weight, urgency, .. } in changes {
            // A returning endpoint may be cold, so its ejection is lifted only together with its new weight.
            let endpoint = self.endpoints.get_mut(&id);
            if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.ejected && endpoint.is_ready()) {
                endpoint.mark_restored();
                self.host.restore_endpoint(&id);
                restored += 1;
            }
            self.delivery.record_issued(urgency);
            self.host.set_endpoint_weight(number, &id, weight, urgency.deadline());
            commands += 1;
            table.publish_weight(id, weight);
        }
        if with_admission {
            for (class, level) in self.admission.levels.iter().copied().enumerate() {
                if table.publish_admission_level(class, level) {
                    let classes = RequestClassSet::from_iter([class]);
                    self.host.set_admission(number, classes, level, RETRY_POLICY);
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
