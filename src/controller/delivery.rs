//! Handling of lost commands and lost acknowledgements.
//!
//! Commands that were lost, or may have been, are resent; only their acknowledgement request may be added or
//! replaced. Until they are accepted, only commands with a deadline are sent, since all others would queue up
//! and arrive in one burst. A copy that is sent again is a message like any other: it waits until the limit
//! on messages permits it, and until an acknowledgement would have shown whether the one before it counts.
//!
//! If all outstanding acknowledgements are lost while the queue is long, because their proxies left or the
//! event stream broke, one proxy is assigned to a table of its own again so that it sends a new
//! acknowledgement.

use super::channel::ChannelLimits;
use super::urgency::Urgency;
use super::{Controller, RECHECK_DELAY};
use crate::channel_backlog::EarlierDelivery;
use crate::host::{Host, Timer};
use crate::time::{Moment, Span};

/// The shortest delay before lost commands are sent again.
const RESEND_DELAY: Span = Span::from_us(50_000);
/// Outstanding acknowledgements count as lost if no line was recorded or acknowledged for the time that the
/// channel needs to send its queue plus this many maximum transit times.
const ACKNOWLEDGEMENT_TIMEOUT_TRANSITS: f64 = 2.0;

/// The delivery state of the commands issued so far.
#[derive(Default)]
pub(super) struct DeliveryState {
    /// Whether commands were lost, or may have been, and not all have been accepted since.
    pub(super) is_resend_pending: bool,
    /// Whether any of the lost commands may have arrived.
    may_have_arrived: bool,
    /// When the lost commands are to be resent; `None` if they are not waiting for that.
    resend_at: Option<Moment>,
    /// The earliest deadline of the commands that are not accepted yet.
    earliest_deadline: Option<Moment>,
}

impl DeliveryState {
    /// Records the urgency of a command that is issued.
    pub(super) fn record_issued(&mut self, urgency: Urgency) {
        let deadlines = self.earliest_deadline.into_iter().chain(urgency.deadline());
        self.earliest_deadline = deadlines.min();
    }

    fn urgency(&self) -> Urgency {
        self.earliest_deadline.map_or(Urgency::Prompt, Urgency::Deadline)
    }
}

impl<H: Host> Controller<H> {
    /// Schedules a resend of commands whose delivery failed. `may_have_arrived` means that they may have
    /// arrived nevertheless.
    pub(super) fn schedule_resend(&mut self, now: Moment, may_have_arrived: bool) {
        self.delivery.is_resend_pending = true;
        self.delivery.may_have_arrived |= may_have_arrived;
        let delay = self.resend_delay();
        self.delivery.resend_at = Some(now + delay);
        self.host.schedule_timer(delay, Timer::Resend);
    }

    /// If the lost commands may have arrived, the channel gets time to carry the possible copy. Where the
    /// number of messages is limited, their acknowledgement gets time to arrive as well: it shows whether the
    /// copy counts.
    fn resend_delay(&self) -> Span {
        let lines: f64 = self.channel.backlog.undelivered_lines().iter().map(|(_, lines)| lines).sum();
        if !self.delivery.may_have_arrived || lines == 0.0 {
            return RESEND_DELAY;
        }
        let transmission = Span::from_secs(lines / self.config.channel_rate.max(1.0));
        let transit = if self.config.max_pushes > 0 { self.config.max_transit } else { Span::ZERO };
        RESEND_DELAY + transmission + transit
    }

    /// Resends lost commands if that is due and the limit on messages permits it.
    pub(super) fn resend(&mut self, now: Moment) {
        if self.delivery.resend_at.is_none_or(|resend_at| now < resend_at) {
            return;
        }
        if !self.may_resend(now) {
            self.delivery.resend_at = Some(now + RECHECK_DELAY);
            self.host.schedule_timer(RECHECK_DELAY, Timer::Resend);
            return;
        }
        self.delivery.resend_at = None;
        let earlier =
            if self.delivery.may_have_arrived { EarlierDelivery::Unknown } else { EarlierDelivery::Failed };
        // An acknowledgement of the resent commands covers both if they arrived twice.
        if let Some(number) = self.channel.backlog.record_resend(now, earlier) {
            self.host.request_acknowledgement(number);
        }
        self.host.resend_commands();
    }

    fn may_resend(&mut self, now: Moment) -> bool {
        let limits = ChannelLimits::new(&self.config, &self.endpoints);
        let urgency = self.delivery.urgency();
        let receivers = self.channel.backlog.undelivered_lines();
        receivers.iter().all(|(proxy, _)| self.channel.may_push(now, urgency, *proxy, &limits))
    }

    /// Handles the confirmation that all commands issued so far were accepted. Returns whether some had been
    /// lost.
    pub(super) fn record_accepted(&mut self) -> bool {
        self.channel.backlog.delivered();
        std::mem::take(&mut self.delivery).is_resend_pending
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
        let Some((proxy, table)) = candidates.get(position).copied() else { return };
        // If this proxy may not be sent a message now, another one may be chosen the next time.
        if self.channel.may_push(now, Urgency::Prompt, proxy, limits) {
            self.assign(now, proxy, table, limits);
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
