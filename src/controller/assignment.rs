//! Assignment of joined proxies to their route tables, one for each group of request classes.
//!
//! [`Controller`] assigns proxies whenever it issues commands, and only if no weight change or ejection was
//! deferred because it did not fit into the channel. Each assignment of a proxy waits for
//! [`JOIN_COLLECTION_TIME`] and until its table holds a ready endpoint, it fits into the queue of the channel
//! and the limit on the messages to the proxy permits it; a nearly empty queue accepts an assignment of any
//! size. A proxy that was never assigned waits for a ready endpoint only up to a timeout and is then assigned
//! its tables as they are. An assignment that is in effect is not changed.

use super::channel::ChannelLimits;
use super::urgency::Urgency;
use super::Controller;
use crate::host::{Host, Timer};
use crate::time::{Moment, Span};

/// The mean interval at which assignments that wait for a ready endpoint are retried.
pub(super) const ASSIGNMENT_RETRY_INTERVAL: Span = Span::from_us(3_000_000);
/// The shortest jittered retry interval, as a fraction of the mean.
const RETRY_JITTER_MIN: f64 = 0.8;
/// The width of the uniform jitter of the retry interval, as a fraction of the mean.
const RETRY_JITTER_SPREAD: f64 = 0.4;
/// The longest time that a proxy that was never assigned a table waits for a ready endpoint.
const FIRST_ASSIGNMENT_TIMEOUT: Span = Span::from_us(5_000_000);
/// How long a proxy waits after joining before it is assigned, so that proxies that join at the same time are
/// handled together: the fraction of traffic that a table keeps in its zone depends on all of them.
const JOIN_COLLECTION_TIME: Span = Span::from_us(150_000);
/// The fraction of known endpoints that must be draining or removed before assignments take priority: the
/// stale tables of unassigned proxies may then soon hold no ready endpoint.
const ASSIGNMENT_PRIORITY_FRACTION: f64 = 0.2;
/// A queue of at most this many lines accepts an assignment of any size.
const IDLE_QUEUE_LINES: f64 = 1.0;

/// An assignment that was not made yet.
struct WaitingAssignment {
    proxy: u32,
    table: u32,
}

impl<H: Host> Controller<H> {
    /// Whether assignments take priority over ordinary weight changes, because so many endpoints are draining
    /// or removed that stale tables may soon hold no ready endpoint. Assignments to tables that can't hold
    /// one either don't count.
    pub(super) fn assignments_take_priority(&self) -> bool {
        let unready = self.endpoints.unready_count() as f64;
        unready > self.endpoints.len() as f64 * ASSIGNMENT_PRIORITY_FRACTION
            && self
                .proxies
                .unassigned_tables()
                .iter()
                .any(|table| self.tables.can_hold_ready_endpoint(*table, &self.endpoints))
    }

    /// Makes the waiting assignments that are eligible. Those of proxies that still use their initial table
    /// come first, then those of proxies with the highest request rate.
    pub(super) fn assign_waiting(&mut self, now: Moment, limits: &ChannelLimits) {
        for WaitingAssignment { proxy, table } in self.waiting_assignments() {
            let state = &self.proxies.joined[&proxy];
            let waited = now - state.waiting_since;
            let has_timed_out = state.has_initial_table && waited >= FIRST_ASSIGNMENT_TIMEOUT;
            if waited < JOIN_COLLECTION_TIME || !self.assignment_fits(now, proxy, table, limits) {
                self.schedule_recheck();
            } else if has_timed_out || self.tables.has_ready_endpoint(table, &self.endpoints) {
                self.assign(now, proxy, table, limits);
            } else if self.timers.mark_scheduled(Timer::AssignmentRetry) {
                let jitter = RETRY_JITTER_MIN + RETRY_JITTER_SPREAD * self.rng.next_f64();
                self.host.schedule_timer(ASSIGNMENT_RETRY_INTERVAL * jitter, Timer::AssignmentRetry);
            }
        }
    }

    /// Whether an assignment fits into the queue, and the proxy may be sent a message.
    fn assignment_fits(&mut self, now: Moment, proxy: u32, table: u32, limits: &ChannelLimits) -> bool {
        let queued = self.channel.backlog.queued_lines(now);
        let message = limits.message_overhead + self.tables.by_number[&table].assignment_lines();
        let fits_queue =
            queued <= IDLE_QUEUE_LINES || queued + message <= limits.max_lines(Urgency::Ordinary);
        fits_queue && self.channel.may_push(now, Urgency::Prompt, proxy, limits)
    }

    fn waiting_assignments(&self) -> Vec<WaitingAssignment> {
        let joined = &self.proxies.joined;
        let mut proxies = self.proxies.matching(|proxy| !proxy.is_assigned());
        proxies.sort_by(|a, b| {
            let (a, b) = (&joined[a], &joined[b]);
            b.has_initial_table.cmp(&a.has_initial_table).then(b.rate.total_cmp(&a.rate))
        });
        let mut waiting = Vec::new();
        for proxy in proxies {
            for assignment in &joined[&proxy].assignments {
                if !assignment.is_assigned {
                    waiting.push(WaitingAssignment { proxy, table: assignment.table });
                }
            }
        }
        waiting
    }

    /// Assigns a proxy to one of its tables and records the assignment's lines in the channel backlog.
    pub(super) fn assign(&mut self, now: Moment, proxy: u32, table: u32, limits: &ChannelLimits) {
        let classes = self.proxies.mark_assigned(proxy, table);
        self.host.assign_table(proxy, table, classes);
        let lines = self.tables.by_number[&table].assignment_lines();
        self.channel.backlog.record(now, proxy, lines, limits.message_overhead);
    }
}

#[cfg(test)]
mod tests;
