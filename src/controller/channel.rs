//! Limits of the channel to the proxies: how many lines may be queued, and how large a route table may be so
//! that these limits can be kept. The limit on the messages to each proxy is in `push_limit`.
//!
//! Publication, ejection and assignment first check here how many lines may be sent, and record in the
//! [`ChannelBacklog`] the lines that they sent; `sharding` does neither. The channel is the shared queue of
//! messages to all proxies; a line is the unit of its cost: one command sent to one proxy. Urgent commands
//! may use nearly the whole queue. Ordinary commands leave enough of it free for the removals that are sent
//! when a part of the fleet stops being ready at once.

use super::endpoints::EndpointRegistry;
use super::push_limit::PushLimit;
use super::urgency::Urgency;
use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;
use crate::time::{Moment, Span};

/// The fraction of `max_queued_lines` that urgent commands may fill: the usable queue.
const MAX_QUEUE_FRACTION: f64 = 0.9;
/// The lower bound of `max_ordinary_lines`, as a fraction of the usable queue.
const MIN_ORDINARY_QUEUE_FRACTION: f64 = 0.08;
/// The upper bound of the queue that ordinary commands may fill: the lines that the channel sends in this
/// many `max_transit`. That is long enough to keep the channel busy until acknowledgements have returned.
const ORDINARY_QUEUE_TRANSITS: f64 = 3.0;
/// The fraction of the configured channel rate at which lines are assumed to leave the channel while no
/// acknowledgements arrive.
const UNACKNOWLEDGED_RATE_FRACTION: f64 = 0.04;
/// The fraction of the queue above which acknowledgements are requested.
const ACKNOWLEDGED_QUEUE_FRACTION: f64 = 0.05;
/// The fraction of the fleet that may stop being ready at once. The removals must be sent within the drain
/// grace.
const SIMULTANEOUS_REMOVALS_FRACTION: f64 = 0.2;
/// The fraction of the lines that the channel sends within a drain grace, or of the usable queue if that is
/// shorter, that may be used for removals.
const REMOVALS_GRACE_FRACTION: f64 = 0.78;
/// The smallest fraction of the queue that an incomplete batch of urgent commands must fill, since each batch
/// adds message overhead.
const MIN_BATCH_QUEUE_FRACTION: f64 = 0.4;
/// A queue of fewer lines counts as empty.
const EMPTY_QUEUE_LINES: f64 = 1.0;

/// The limits of the channel, computed from the configuration and the current size of the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChannelLimits {
    /// The maximum number of endpoints in a route table.
    pub(super) max_table_size: usize,
    /// The overhead of a message, in lines.
    pub(super) message_overhead: f64,
    /// The queue length up to which ordinary commands may be sent, in lines.
    max_ordinary_lines: f64,
    /// The queue length up to which urgent commands may be sent, in lines.
    max_urgent_lines: f64,
    /// The size of the smallest useful message, in lines: its overhead, one weight and all admission levels.
    min_message_lines: f64,
    /// The configured limit of the queue length, in lines.
    max_queued_lines: f64,
    /// The capacity of the channel, in lines per second.
    rate: f64,
    /// The limit on the messages to each proxy.
    push_limit: PushLimit,
}

impl ChannelLimits {
    /// Computes the limits for the endpoints that are currently known.
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
            push_limit: PushLimit::new(config),
        }
    }

    /// The queue length up to which commands of this urgency may be sent, in lines.
    pub(super) fn max_lines(&self, urgency: Urgency) -> f64 {
        match urgency {
            Urgency::Deadline(_) | Urgency::Prompt => self.max_urgent_lines,
            Urgency::Ordinary => self.max_ordinary_lines,
        }
    }

    /// Whether the messages to each proxy are limited.
    pub(super) fn limits_messages(&self) -> bool {
        self.push_limit.is_limited()
    }

    /// Whether commands of this urgency must not be held back any longer because of the limit on the messages
    /// to each proxy.
    pub(super) fn have_been_held(&self, now: Moment, urgency: Urgency) -> bool {
        self.push_limit.has_been_held(now, urgency)
    }

    /// The time that the channel needs to send some lines.
    pub(super) fn transmission_time(&self, lines: f64) -> Span {
        Span::from_secs(self.transmission_secs(lines))
    }

    /// The time that the channel needs to send some lines, in seconds.
    pub(super) fn transmission_secs(&self, lines: f64) -> f64 {
        lines / self.rate.max(1.0)
    }

    /// Whether a queue of this length is short enough that no acknowledgements are needed.
    pub(super) fn is_nearly_idle(&self, queued_lines: f64) -> bool {
        queued_lines <= self.max_queued_lines * ACKNOWLEDGED_QUEUE_FRACTION
    }

    /// How many of `total` urgent items fit into `available` lines, found by binary search; `cost` must not
    /// decrease with the number of items. Returns 0 if not all items fit and those that do would fill less
    /// than [`MIN_BATCH_QUEUE_FRACTION`] of the queue.
    pub(super) fn largest_batch(&self, total: usize, available: f64, cost: impl Fn(usize) -> f64) -> usize {
        let mut fits = 0;
        let mut too_many = total + 1;
        while too_many - fits > 1 {
            let middle = (fits + too_many) / 2;
            if cost(middle) <= available {
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

/// The number of lines that may be used for removals within the drain grace.
fn removal_lines(config: &ControllerConfig) -> f64 {
    config.lines_within_grace().min(config.max_queued_lines * MAX_QUEUE_FRACTION) * REMOVALS_GRACE_FRACTION
}

/// The maximum number of endpoints in a table. Even if all proxies are joined to this controller, the channel
/// must be able to send the removals of a part of the fleet even behind a queue as long as these removals,
/// and no endpoint may get more connections than it accepts. The result is at least `initial_table_size`.
fn max_table_size(config: &ControllerConfig, endpoints: &EndpointRegistry) -> usize {
    let proxies = f64::from(config.proxy_count.max(1));
    let mut by_lines = f64::INFINITY;
    if config.channel_rate * config.max_queued_lines > 0.0 {
        let lines_per_proxy = removal_lines(config) / 2.0 / proxies - config.message_overhead_lines;
        by_lines = lines_per_proxy / tables_per_proxy(config) / SIMULTANEOUS_REMOVALS_FRACTION;
    }
    let connections = f64::from(config.min_endpoint_connections) * endpoints.ready().count() as f64 / proxies;
    let by_connections = if connections > 0.0 { connections } else { f64::INFINITY };
    let initial = f64::from(config.initial_table_size.max(1));
    by_lines.min(by_connections).max(initial) as usize
}

/// The number of tables that each proxy is assigned to, and so the most lines that a removal takes at one.
fn tables_per_proxy(config: &ControllerConfig) -> f64 {
    config.request_class_groups().len() as f64
}

fn max_ordinary_lines(config: &ControllerConfig, largest_table: usize) -> f64 {
    let removals = largest_table as f64 * SIMULTANEOUS_REMOVALS_FRACTION * tables_per_proxy(config);
    let reserved = f64::from(config.proxy_count) * (config.message_overhead_lines + removals);
    let in_transit = (config.max_transit * ORDINARY_QUEUE_TRANSITS).as_secs() * config.channel_rate;
    let minimum = config.max_queued_lines * MAX_QUEUE_FRACTION * MIN_ORDINARY_QUEUE_FRACTION;
    (removal_lines(config) / REMOVALS_GRACE_FRACTION - reserved).min(in_transit).max(minimum)
}

/// Tracks the lines that are queued in the channel and decides whether more may be sent.
pub(super) struct Channel {
    pub(super) backlog: ChannelBacklog,
}

impl Channel {
    /// Creates a channel with an empty queue.
    pub(super) fn new(config: &ControllerConfig) -> Self {
        Channel { backlog: ChannelBacklog::new(config.channel_rate * UNACKNOWLEDGED_RATE_FRACTION) }
    }

    /// Whether the queue is short enough for urgent commands: at most `max_ordinary_lines`. Sending them
    /// behind a long queue does not make them arrive sooner, and changes that become urgent in the meantime
    /// would need another message to each proxy.
    pub(super) fn is_queue_short(&self, now: Moment, limits: &ChannelLimits) -> bool {
        self.backlog.queued_lines(now) <= limits.max_ordinary_lines
    }

    /// The number of lines that may be sent now, in total for all of these proxies. Returns 0 if one of them
    /// may not be sent a message.
    pub(super) fn available_lines(
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
        // An empty queue accepts a short message to every proxy, whatever the limits.
        let minimum =
            if queued < EMPTY_QUEUE_LINES { proxies.len() as f64 * limits.min_message_lines } else { 0.0 };
        (limits.max_lines(urgency) - queued).max(minimum)
    }

    /// Whether the limit on the messages to each proxy permits one to this proxy now.
    pub(super) fn may_push(
        &mut self,
        now: Moment,
        urgency: Urgency,
        proxy: u32,
        limits: &ChannelLimits,
    ) -> bool {
        let push_limit = &limits.push_limit;
        if !push_limit.is_limited() {
            return true;
        }
        let sent = self.backlog.recent_messages(now, proxy, push_limit.window());
        push_limit.allows(now, urgency, sent)
    }

    /// Whether a message to this proxy may be put off until a later time without exceeding the limit on its
    /// messages then.
    pub(super) fn may_put_off_push(
        &mut self,
        now: Moment,
        until: Moment,
        proxy: u32,
        limits: &ChannelLimits,
    ) -> bool {
        if !limits.limits_messages() {
            return true;
        }
        let sent = self.backlog.recent_messages(now, proxy, limits.push_limit.window());
        limits.push_limit.allows_putting_off(now, until, sent)
    }

    /// Whether the queue is so long that the proxies should acknowledge the commands that they receive.
    pub(super) fn needs_acknowledgement(&self, now: Moment, limits: &ChannelLimits) -> bool {
        !limits.is_nearly_idle(self.backlog.queued_lines(now))
    }
}

#[cfg(test)]
mod tests;
