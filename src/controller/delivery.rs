//! Delivery: what happens when commands are lost, and how acknowledgements are kept coming.
//!
//! Commands that came to nothing, or of which nobody knows, are sent again as they were, and nothing else is
//! sent before they are accepted: what piled up behind them would arrive in one burst. Where all
//! acknowledgements are lost, with their proxies or with the event stream, one proxy is assigned anew so that
//! it acknowledges.

use super::channel::{ChannelLimits, Urgency};
use super::Controller;
use crate::host::{Host, Timer};
use crate::time::{Moment, Span};

/// The delay before lost commands are sent again.
const RESEND_DELAY: Span = Span::from_us(50_000);
/// Acknowledgements are lost after the time that the queue takes and so many transits.
const ACKNOWLEDGEMENT_TRANSITS: f64 = 2.0;

/// Whether the latest commands were accepted.
#[derive(Default)]
pub(super) struct DeliveryState {
    /// The moment of the latest commands.
    pub(super) last_commands: Moment,
    /// The latest commands were lost and not accepted since.
    pub(super) is_resend_pending: bool,
}

impl<H: Host> Controller<H> {
    /// Schedules the resending of lost commands. `may_have_arrived` says that their fate is not known.
    pub(super) fn schedule_resend(&mut self, now: Moment, may_have_arrived: bool) {
        self.delivery.is_resend_pending = true;
        let mut resend_delay = RESEND_DELAY;
        if may_have_arrived {
            // If they did arrive, their lines are queued twice. An acknowledgement of the resent ones clears
            // both.
            let (lines, number) = self.channel.backlog.record_resend(now, self.delivery.last_commands);
            if let Some(number) = number {
                self.host.request_acknowledgement(number);
                self.delivery.last_commands = now;
            }
            resend_delay = resend_delay + Span::from_secs(lines / self.config.channel_rate.max(1.0));
        }
        self.host.schedule_timer(resend_delay, Timer::Resend);
    }

    /// Assigns one proxy anew where all outstanding acknowledgements must be lost.
    pub(super) fn recover_acknowledgements(&mut self, now: Moment, limits: &ChannelLimits) {
        let queued = self.channel.backlog.queued_lines(now);
        let expected_within = limits.time_for(queued) + self.config.max_transit * ACKNOWLEDGEMENT_TRANSITS;
        let silence = now - self.channel.backlog.last_activity;
        if queued <= limits.max_lines(Urgency::Ordinary) || silence <= expected_within {
            return;
        }
        let usable = self.proxies.matching(|proxy| self.tables.is_usable(proxy.table, &self.endpoints));
        let position = (usable.len() as f64 * self.rng.next_f64()) as usize;
        if let Some(proxy) = usable.get(position) {
            self.assign(now, *proxy, limits);
        }
    }

    /// Asks the proxies to acknowledge this moment's commands where much is queued.
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
