//! What an instance of the controller reads once, at its start: the facts and limits of the deployment.

use crate::time::Span;

/// What the decisions read of one request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// A request that takes longer earns nothing.
    pub latency_objective: Span,
    /// The worth of a request that is answered in time, against that of the other classes.
    pub priority_weight: f64,
    /// Its requests must not leave the zone of their proxy.
    pub zone_local: bool,
    /// Its requests change stored data.
    pub writes: bool,
}

/// How the proxies read the admission level that a command sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionMode {
    /// As the part of the requests that is admitted, 0 to 1.
    Fraction,
    /// As requests a second.
    RatePerSecond,
    /// Not at all.
    Unsupported,
}

/// The configuration of one controller. A figure of 0 means that the deployment states no such limit.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerConfig {
    /// The request classes, by position.
    pub request_classes: Vec<RequestClass>,
    /// The endpoint list answers only when it is polled.
    pub polls_endpoint_list: bool,
    /// Requests that cross zones take something off the result.
    pub cross_zone_costs: bool,
    /// How the proxies read an admission level.
    pub admission: AdmissionMode,
    /// A proxy stops using an endpoint by itself after so many failures in a row; 0: never.
    pub proxy_ejection_threshold: u32,
    /// Shards of keys, each with a table of its own; 0: none, and proxies are put on tables.
    pub shards: u32,
    /// At most one endpoint may accept writes for a shard at any time.
    pub single_writer: bool,
    /// How long a proxy that lost its controller may go on writing to the old owner of a shard.
    pub write_lease: Span,
    /// How long a write may still run at an endpoint once it was sent.
    pub write_settle_time: Span,
    /// The interval of load reports.
    pub report_interval: Span,
    /// Proxies in all, whichever controller they are joined to.
    pub proxy_count: u32,
    /// Connections that the smallest endpoints accept; 0: not stated.
    pub min_endpoint_connections: u32,
    /// Endpoints in the table that a proxy draws at its start.
    pub initial_table_size: u32,
    /// Lines a second that the channel to the proxies carries.
    pub channel_rate: f64,
    /// What a message costs the channel besides its lines, in lines.
    pub message_overhead_lines: f64,
    /// Lines that may be queued in the channel.
    pub max_queued_lines: f64,
    /// Messages that one proxy may get within `push_window`; 0: no limit.
    pub max_pushes: u32,
    /// The window of `max_pushes`.
    pub push_window: Span,
    /// The longest transit of a message from the channel to a proxy.
    pub max_transit: Span,
    /// How long an endpoint may be used after it was listed as draining.
    pub drain_grace: Span,
    /// How long an endpoint may take after its start until it bears its full load.
    pub slow_start_window: Span,
    /// The drain grace binds for draining endpoints alone, not for those merely removed from the list.
    pub drain_grace_excludes_removed: bool,
}

impl ControllerConfig {
    /// The lines that leave the channel and still arrive within the drain grace.
    pub fn lines_within_grace(&self) -> f64 {
        (self.drain_grace - self.max_transit).as_secs() * self.channel_rate
    }
}
