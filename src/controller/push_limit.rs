//! The limit on the messages that one proxy may be sent within a time window, and how urgent and ordinary
//! messages share it.
//!
//! [`Channel`](super::channel::Channel) asks here before each message to a proxy. A message is sent
//! immediately if the limit also permits one urgent message per hold time after it. So endpoints that stop
//! being ready one after the other can't use up the limit, and none of their removals waits for longer than
//! the hold time, which is a part of the drain grace. That holds only if nothing but a message with a
//! deadline is ever sent without regard to it. Ordinary messages moreover leave a part of the limit to urgent
//! ones.

use super::urgency::Urgency;
use crate::config::ControllerConfig;
use crate::time::{Moment, Span};

/// Ordinary messages are sent to a proxy only if it was sent fewer messages, of any urgency, than this
/// fraction of the limit.
const ORDINARY_FRACTION: f64 = 0.5;
/// The hold time is such that the limit permits this many messages at once and then one per hold time.
const BURST: usize = 3;
/// The longest hold time, as a fraction of the drain grace less the maximum transit time. The rest is for
/// transmission and for delays before the controller learns of a change.
const MAX_HOLD_FRACTION: f64 = 0.75;

/// The limit on the messages to one proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct PushLimit {
    /// The most messages within `window`; 0 means no limit.
    max_pushes: usize,
    window: Span,
    /// The longest time for which an urgent message is held back so that later ones stay within the limit.
    /// Zero if the limit does not permit one message per such time: holding messages back would then not keep
    /// the drain grace either.
    hold_time: Span,
    /// What remains of the drain grace, less the maximum transit time, after the hold time.
    time_after_hold: Span,
}

impl PushLimit {
    /// Creates the limit of a deployment.
    pub(super) fn new(config: &ControllerConfig) -> Self {
        let max_pushes = config.max_pushes as usize;
        let hold_time = hold_time(config, max_pushes);
        let time_after_hold = config.time_to_send() - hold_time;
        PushLimit { max_pushes, window: config.push_window, hold_time, time_after_hold }
    }

    /// Whether there is a limit.
    pub(super) fn is_limited(&self) -> bool {
        self.max_pushes > 0
    }

    /// The window that the limit applies to.
    pub(super) fn window(&self) -> Span {
        self.window
    }

    /// Whether a message may be sent now. `sent` are the times of the messages within the window that ends
    /// now, oldest first.
    ///
    /// A message with a deadline is not held back for longer than the hold time, also if it was delayed for
    /// other reasons. All others wait until they leave room for those with a deadline.
    pub(super) fn allows(&self, now: Moment, urgency: Urgency, sent: &[Moment]) -> bool {
        if self.is_free(now, sent) {
            return true;
        }
        if sent.len() >= self.max_pushes {
            return false;
        }
        if self.has_been_held(now, urgency) {
            return true;
        }
        match urgency {
            Urgency::Deadline(_) | Urgency::Prompt => self.leaves_room_for_urgent(now, sent),
            Urgency::Ordinary => {
                (sent.len() as f64) < self.max_pushes as f64 * ORDINARY_FRACTION
                    && self.leaves_room_for_urgent(now, sent)
            }
        }
    }

    /// Whether a message of this urgency has been held back for the hold time.
    pub(super) fn has_been_held(&self, now: Moment, urgency: Urgency) -> bool {
        urgency.deadline().is_some_and(|deadline| now + self.time_after_hold >= deadline)
    }

    /// Whether a message that could be sent now may be put off until a later time: even if another one goes
    /// in its place now, the limit permits it then, and one per hold time after it. To be asked only where
    /// there is a limit.
    pub(super) fn allows_putting_off(&self, now: Moment, until: Moment, sent: &[Moment]) -> bool {
        let mut sent: Vec<Moment> =
            sent.iter().copied().filter(|sent_at| until - *sent_at <= self.window).collect();
        if sent.last() != Some(&now) {
            sent.push(now);
        }
        sent.len() < self.max_pushes && self.leaves_room_for_urgent(until, &sent)
    }

    /// Whether a message now counts against no limit: there is none, or the message is the first one, or it
    /// is sent together with the latest one.
    fn is_free(&self, now: Moment, sent: &[Moment]) -> bool {
        !self.is_limited() || sent.is_empty() || sent.last() == Some(&now)
    }

    /// Whether a message now and one per hold time after it stay within the limit. True if nothing is held
    /// back.
    fn leaves_room_for_urgent(&self, now: Moment, sent: &[Moment]) -> bool {
        let unused = self.max_pushes - sent.len();
        self.hold_time == Span::ZERO
            || sent.iter().enumerate().all(|(position, sent_at)| {
                // The first of these messages that the limit permits only once this earlier one is out of the
                // window.
                let needed_at = now + self.hold_time * (unused + position) as f64;
                *sent_at + self.window < needed_at
            })
    }
}

fn hold_time(config: &ControllerConfig, max_pushes: usize) -> Span {
    let after_burst = config.push_window * (1.0 / max_pushes.saturating_sub(BURST).max(1) as f64);
    let within_grace = config.time_to_send() * MAX_HOLD_FRACTION;
    let hold_time = after_burst.min(within_grace);
    if hold_time * max_pushes as f64 > config.push_window {
        hold_time
    } else {
        Span::ZERO
    }
}

#[cfg(test)]
mod tests;
