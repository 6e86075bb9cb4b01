//! Handling of lost commands and lost acknowledgements.
//!
//! Commands that were lost, or may have been, are resent; only their acknowledgement request may be added or
//! replaced. Until they are accepted, only commands with a deadline are sent, since all others would queue up
//! and arrive in one burst. If all outstanding acknowledgements are lost while the queue is long, because their
//! proxies left or the event stream broke, one proxy is assigned to a table of its own again so that it sends
//! a new acknowledgement.

use super::channel::ChannelLimits;
use super::urgency::Urgency;
use super::Controller;
use crate::host::{Host, Timer};
use crate::time::{Moment, Span};

/// The delay before lost commands are sent again.
const RESEND_DELAY: Span = Span::from_us(50_000);
/// Outstanding acknowledgements count as lost if no line was recorded or acknowledged for the time that the
/// channel needs to send its queue plus this many maximum transit times.
const ACKNOWLEDGEMENT_TIMEOUT_TRANSITS: f64 = 2.0;

/// The delivery state of the commands issued so far.
#[derive(Default)]
pub(super) struct DeliveryState {
    /// Whether commands were lost, or may have been, and not all have been accepted since.
    pub(super) is_resend_pending: bool,
}

impl<H: Host> Controller<H> {
    /// Schedules a resend of commands whose delivery failed. `may_have_arrived` means that they may have
    /// arrived nevertheless.
    pub(super) fn schedule_resend(&mut self, now: Moment, may_have_arrived: bool) {
        self.delivery.is_resend_pending = true;
        let mut resend_delay = RESEND_DELAY;
        if may_have_arrived {
            // If the commands did arrive, their lines are queued twice. An acknowledgement of the resent
            // commands covers both.
            let (lines, number) = self.channel.backlog.record_resend(now);
            if let Some(number) = number {
                self.host.request_acknowledgement(number);
            }
            // Gives the channel time to carry the possible copy.
            resend_delay = resend_delay + Span::from_secs(lines / self.config.channel_rate.max(1.0));
        }
        self.host.schedule_timer(resend_delay, Timer::Resend);
    }

    /// Assigns a randomly chosen proxy to one of its tables again if the queue exceeds the limit for ordinary
    /// commands and all outstanding acknowledgements must have been lost.
    pub(super) fn recover_acknowledgements(&mut self, now: Moment, limits: &ChannelLimits) {
        let queued = self.channel.backlog.queued_lines(now);
        let timeout =
            limits.transmission_time(queued) + self.config.max_transit * ACKNOWLEDGEMENT_TIMEOUT_TRANSITS;
        let inactive_for = now - self.channel.backlog.last_activity;
        if queued <= limits.max_lines(Urgency::Ordinary) || inactive_for <= timeout {
            return;
        }
        let has_ready_endpoint = |table: &u32| self.tables.has_ready_endpoint(*table, &self.endpoints);
        let mut candidates = Vec::new();
        for (proxy, state) in &self.proxies.joined {
            let mut tables = state.assignments.iter().map(|assignment| assignment.table);
            if let Some(table) = tables.find(has_ready_endpoint) {
                candidates.push((*proxy, table));
            }
        }
        let position = (candidates.len() as f64 * self.rng.next_f64()) as usize;
        if let Some((proxy, table)) = candidates.get(position) {
            self.assign(now, *proxy, *table, limits);
        }
    }

    /// Requests an acknowledgement of the commands issued now if the queue is long.
    pub(super) fn request_acknowledgement(&mut self, now: Moment, limits: &ChannelLimits) {
        if !self.channel.needs_acknowledgement(now, limits) {
            return;
        }
        if let Some(number) = self.channel.backlog.request_acknowledgement(now) {
            self.host.request_acknowledgement(number);
        }
    }
}

#[cfg(test)]
mod tests;
