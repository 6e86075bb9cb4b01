//! Assignment: when a proxy that joined is put on its route table.
//!
//! [`Controller`] assigns at the end of each event, after everything else found room. A proxy waits until its
//! table holds a usable endpoint and the channel has room; one that was never assigned waits for no longer
//! than a budget and then gets what there is. A standing assignment is never touched.

use super::channel::{ChannelLimits, Urgency};
use super::Controller;
use crate::host::{Host, Timer};
use crate::time::{Moment, Span};

/// The mean interval of the heartbeat while an assignment waits for a usable endpoint.
pub(super) const HEARTBEAT_INTERVAL: Span = Span::from_us(3_000_000);
/// The shortest heartbeat, as a fraction of its interval.
const HEARTBEAT_JITTER_MIN: f64 = 0.8;
/// The range over which the heartbeat is spread evenly, as a fraction of its interval.
const HEARTBEAT_JITTER_SPREAD: f64 = 0.4;
/// How long a proxy without any table of a controller waits for a usable endpoint.
const FIRST_ASSIGNMENT_BUDGET: Span = Span::from_us(5_000_000);
/// Joins are collected for so long: what a table keeps in its zone depends on all proxies that join at a
/// time.
const JOIN_COLLECTION_TIME: Span = Span::from_us(150_000);
/// Once this fraction of the known endpoints left, the stale tables of unassigned proxies may soon be empty.
const THIN_TABLES_FRACTION: f64 = 0.2;
/// A queue up to this many lines takes an assignment of any size.
const IDLE_QUEUE_LINES: f64 = 1.0;

impl<H: Host> Controller<H> {
    /// Whether so many endpoints left that stale tables may soon be empty: then assignments go before changes
    /// of tables.
    pub(super) fn assignments_go_first(&self) -> bool {
        let left = self.endpoints.unready_count() as f64;
        left > self.endpoints.len() as f64 * THIN_TABLES_FRACTION && self.proxies.any_unassigned()
    }

    /// Assigns the waiting proxies that may be: those with the poorest tables first, then those with most
    /// traffic.
    pub(super) fn assign_waiting(&mut self, now: Moment, limits: &ChannelLimits) {
        let max_lines = limits.max_lines(Urgency::Ordinary);
        for number in self.waiting_proxies() {
            let proxy = &self.proxies.joined[&number];
            let table = proxy.table;
            let waited = now - proxy.joined;
            let budget_is_spent = proxy.has_initial_table && waited >= FIRST_ASSIGNMENT_BUDGET;
            let queued = self.channel.backlog.queued_lines(now);
            let message = limits.message_overhead + self.tables.by_number[&table].assignment_lines();
            if waited < JOIN_COLLECTION_TIME || queued > IDLE_QUEUE_LINES && queued + message > max_lines {
                self.recheck_soon();
            } else if budget_is_spent || self.tables.is_usable(table, &self.endpoints) {
                self.assign(now, number, limits);
            } else if self.timers.start(Timer::AssignmentRetry) {
                let jitter = HEARTBEAT_JITTER_MIN + HEARTBEAT_JITTER_SPREAD * self.rng.next_f64();
                self.host.schedule_timer(HEARTBEAT_INTERVAL * jitter, Timer::AssignmentRetry);
            }
        }
    }

    fn waiting_proxies(&self) -> Vec<u32> {
        let joined = &self.proxies.joined;
        let mut waiting = self.proxies.matching(|proxy| !proxy.is_assigned);
        waiting.sort_by(|a, b| {
            let (a, b) = (&joined[a], &joined[b]);
            b.has_initial_table.cmp(&a.has_initial_table).then(b.rate.total_cmp(&a.rate))
        });
        waiting
    }

    /// Puts a proxy on its table.
    pub(super) fn assign(&mut self, now: Moment, proxy: u32, limits: &ChannelLimits) {
        let table = self.proxies.mark_assigned(proxy);
        self.host.assign_table(proxy, table);
        let lines = self.tables.by_number[&table].assignment_lines();
        self.channel.backlog.record(now, proxy, lines, limits.message_overhead);
    }
}

#[cfg(test)]
mod tests;
