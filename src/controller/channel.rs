//! Budgets of the channel to the proxies: how many lines may be queued, how many messages each proxy may get,
//! and how large a route table may be so that all of this holds.
//!
//! Every module that sends commands asks here for room first, and records in the [`ChannelBacklog`] what it
//! sent. Urgent commands may use nearly all of the queue; ordinary ones leave room for a part of the fleet to
//! leave at once.

use super::endpoints::EndpointRegistry;
use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;
use crate::time::{Moment, Span};

/// The fraction of the queue that may be used at all.
const MAX_QUEUE_FRACTION: f64 = 0.9;
/// The fraction of the usable queue that ordinary commands may always use.
const MIN_ORDINARY_QUEUE_FRACTION: f64 = 0.08;
/// The fraction of a proxy's messages that ordinary commands may use.
const ORDINARY_PUSH_FRACTION: f64 = 0.5;
/// Messages that urgent commands may send to a proxy without a pause.
const URGENT_BURST: usize = 3;
/// Ordinary commands keep the channel busy for so many transits, until acknowledgements have come back.
const ORDINARY_TRANSITS: f64 = 3.0;
/// The fraction of the channel's stated rate that is relied on without acknowledgements.
const RELIED_ON_RATE_FRACTION: f64 = 0.04;
/// The fraction of the queue from which on acknowledgements are requested.
const ACKNOWLEDGED_QUEUE_FRACTION: f64 = 0.05;
/// The fraction of the fleet that may leave at once, within the drain grace.
const SIMULTANEOUS_LEAVES_FRACTION: f64 = 0.2;
/// The fraction of the lines of a drain grace that leaving endpoints may take.
const LEAVES_GRACE_FRACTION: f64 = 0.78;
/// The least fraction of the queue that one of several batches of urgent commands fills: each batch costs the
/// overhead of its messages again.
const MIN_BATCH_QUEUE_FRACTION: f64 = 0.4;
/// A queue below this many lines is empty.
const EMPTY_QUEUE_LINES: f64 = 1.0;

/// How long a command may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Urgency {
    /// Until the queue is short.
    Urgent,
    /// Until there is room beside what may become urgent.
    Ordinary,
}

/// The channel's budgets at one moment; they depend on the configuration and the size of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChannelLimits {
    /// Endpoints that a route table may hold.
    pub(super) max_table_size: usize,
    /// What a message costs besides its lines, in lines.
    pub(super) message_overhead: f64,
    /// Lines that may be queued for ordinary commands.
    max_ordinary_lines: f64,
    /// Lines that may be queued for urgent commands.
    max_urgent_lines: f64,
    /// Lines of the shortest useful message: one weight and all admission levels.
    min_message_lines: f64,
    max_queued_lines: f64,
    rate: f64,
    max_pushes: usize,
    push_window: Span,
}

impl ChannelLimits {
    /// The budgets for the endpoints known now.
    pub(super) fn new(config: &ControllerConfig, endpoints: &EndpointRegistry) -> Self {
        let max_table_size = max_table_size(config, endpoints);
        let is_unlimited = config.max_queued_lines * MAX_QUEUE_FRACTION <= 0.0 || config.channel_rate <= 0.0;
        let or_unlimited = |lines: f64| if is_unlimited { f64::INFINITY } else { lines };
        let largest_table = max_table_size.min(endpoints.len());
        ChannelLimits {
            max_table_size,
            message_overhead: config.message_overhead_lines,
            max_ordinary_lines: or_unlimited(max_ordinary_lines(config, largest_table)),
            max_urgent_lines: or_unlimited(config.max_queued_lines * MAX_QUEUE_FRACTION),
            min_message_lines: config.message_overhead_lines + config.request_classes.len() as f64 + 1.0,
            max_queued_lines: config.max_queued_lines,
            rate: config.channel_rate,
            max_pushes: config.max_pushes as usize,
            push_window: config.push_window,
        }
    }

    /// Lines that may be queued.
    pub(super) fn max_lines(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::Urgent => self.max_urgent_lines,
            Urgency::Ordinary => self.max_ordinary_lines,
        }
    }

    /// How long the channel takes to carry some lines.
    pub(super) fn time_for(&self, lines: f64) -> Span {
        Span::from_secs(self.secs_for(lines))
    }

    /// How many seconds the channel takes to carry some lines.
    pub(super) fn secs_for(&self, lines: f64) -> f64 {
        lines / self.rate.max(1.0)
    }

    /// Whether so many queued lines are few enough to need no acknowledgement.
    pub(super) fn is_nearly_idle(&self, queued_lines: f64) -> bool {
        queued_lines <= self.max_queued_lines * ACKNOWLEDGED_QUEUE_FRACTION
    }

    /// How many of `total` urgent items fit into the room, where `cost` grows with their number; none where
    /// the batch would be incomplete and small.
    pub(super) fn largest_batch(&self, total: usize, room: f64, cost: impl Fn(usize) -> f64) -> usize {
        let mut fits = 0;
        let mut too_many = total + 1;
        while too_many - fits > 1 {
            let middle = (fits + too_many) / 2;
            if cost(middle) <= room {
                fits = middle;
            } else {
                too_many = middle;
            }
        }
        if fits < total && cost(fits) < self.max_queued_lines * MIN_BATCH_QUEUE_FRACTION {
            return 0;
        }
        fits
    }
}

/// The lines that leaving endpoints may take within the drain grace.
fn lines_for_leaves(config: &ControllerConfig) -> f64 {
    config.lines_within_grace().min(config.max_queued_lines * MAX_QUEUE_FRACTION) * LEAVES_GRACE_FRACTION
}

/// How many endpoints a table may hold so that, with all proxies joined here, a part of the fleet can leave
/// while as many lines are still queued, and so that no endpoint gets more connections than it accepts.
fn max_table_size(config: &ControllerConfig, endpoints: &EndpointRegistry) -> usize {
    let proxies = f64::from(config.proxy_count.max(1));
    let mut by_lines = f64::INFINITY;
    if config.channel_rate * config.max_queued_lines > 0.0 {
        let lines_per_proxy = lines_for_leaves(config) / 2.0 / proxies - config.message_overhead_lines;
        by_lines = lines_per_proxy / SIMULTANEOUS_LEAVES_FRACTION;
    }
    let connections = f64::from(config.min_endpoint_connections) * endpoints.ready().count() as f64 / proxies;
    let by_connections = if connections > 0.0 { connections } else { f64::INFINITY };
    let initial = f64::from(config.initial_table_size.max(1));
    by_lines.min(by_connections).max(initial) as usize
}

fn max_ordinary_lines(config: &ControllerConfig, largest_table: usize) -> f64 {
    let leaves_per_table = largest_table as f64 * SIMULTANEOUS_LEAVES_FRACTION;
    let reserved = f64::from(config.proxy_count) * (config.message_overhead_lines + leaves_per_table);
    let in_transit = (config.max_transit * ORDINARY_TRANSITS).as_secs() * config.channel_rate;
    let least = config.max_queued_lines * MAX_QUEUE_FRACTION * MIN_ORDINARY_QUEUE_FRACTION;
    (lines_for_leaves(config) / LEAVES_GRACE_FRACTION - reserved).min(in_transit).max(least)
}

/// The channel: what is queued in it, and whether more may be sent.
pub(super) struct Channel {
    pub(super) backlog: ChannelBacklog,
}

impl Channel {
    /// An idle channel.
    pub(super) fn new(config: &ControllerConfig) -> Self {
        Channel { backlog: ChannelBacklog::new(config.channel_rate * RELIED_ON_RATE_FRACTION) }
    }

    /// Whether the queue is short enough for urgent commands: behind a long queue they would arrive no
    /// sooner, and what else becomes urgent meanwhile would cost another message to each proxy.
    pub(super) fn is_queue_short(&self, now: Moment, limits: &ChannelLimits) -> bool {
        self.backlog.queued_lines(now) <= limits.max_ordinary_lines
    }

    /// The lines that may be sent now, to all of these proxies together.
    pub(super) fn room(
        &mut self,
        now: Moment,
        urgency: Urgency,
        proxies: &[u32],
        limits: &ChannelLimits,
    ) -> f64 {
        let may_push = proxies.iter().all(|proxy| self.may_push(now, urgency, *proxy, limits));
        if !may_push {
            return 0.0;
        }
        let queued = self.backlog.queued_lines(now);
        // Whatever the limits, an idle channel takes a short message to all.
        let least =
            if queued < EMPTY_QUEUE_LINES { proxies.len() as f64 * limits.min_message_lines } else { 0.0 };
        (limits.max_lines(urgency) - queued).max(least)
    }

    /// Whether a proxy may get a message now. Urgent messages go at once a few times, then at a pace that the
    /// limit bears for ever.
    fn may_push(&mut self, now: Moment, urgency: Urgency, proxy: u32, limits: &ChannelLimits) -> bool {
        if limits.max_pushes == 0 {
            return true;
        }
        let (count, latest) = self.backlog.recent_messages(now, proxy, limits.push_window);
        if count == 0 || latest == Some(now) {
            return true;
        }
        match urgency {
            Urgency::Ordinary => (count as f64) < limits.max_pushes as f64 * ORDINARY_PUSH_FRACTION,
            Urgency::Urgent => {
                let paced_pushes = limits.max_pushes.saturating_sub(URGENT_BURST).max(1);
                let pace = limits.push_window * (1.0 / paced_pushes as f64);
                let is_paced = latest.is_some_and(|latest| now - latest >= pace);
                count < limits.max_pushes && (count < URGENT_BURST || is_paced)
            }
        }
    }

    /// Whether so much is queued that the proxies should acknowledge it.
    pub(super) fn needs_acknowledgement(&self, now: Moment, limits: &ChannelLimits) -> bool {
        !limits.is_nearly_idle(self.backlog.queued_lines(now))
    }
}

#[cfg(test)]
mod tests;
