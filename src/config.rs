//! The configuration of a controller, read once at its start: properties and limits of the deployment.

use crate::host::RequestClassSet;
use crate::time::Span;

/// The properties of a request class that the controller uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// The latency within which a request must be answered; a later answer has no value.
    pub latency_objective: Span,
    /// The value of a request that is answered in time, relative to other classes.
    pub priority_weight: f64,
    /// Whether requests must not leave the zone of their proxy.
    pub zone_local: bool,
    /// Whether requests modify stored data.
    pub writes: bool,
}

/// Request classes that the same endpoints are open to, so that a proxy needs one route table for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClassGroup {
    /// The classes of the group.
    pub classes: RequestClassSet,
    /// Whether requests of these classes must not leave the zone of their proxy.
    pub zone_local: bool,
}

/// How the proxies interpret the admission level that a command sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionMode {
    /// As the fraction of requests that is admitted, 0 to 1.
    Fraction,
    /// As requests per second.
    RatePerSecond,
    /// The proxies do not support admission levels.
    Unsupported,
}

/// The configuration of one controller. A limit of 0 means that the deployment states no such limit.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerConfig {
    /// The request classes; commands refer to them by position.
    pub request_classes: Vec<RequestClass>,
    /// Whether updates of the endpoint list arrive only when it is polled.
    pub polls_endpoint_list: bool,
    /// Whether requests that cross zones have a cost.
    pub has_cross_zone_costs: bool,
    /// How the proxies interpret an admission level.
    pub admission: AdmissionMode,
    /// Consecutive failures after which a proxy ejects an endpoint on its own; 0: never.
    pub proxy_ejection_threshold: u32,
    /// The number of key shards, each with its own table; 0: no sharding, and proxies are assigned tables.
    pub shards: u32,
    /// Whether at most one endpoint may accept writes for a shard at a time.
    pub single_writer: bool,
    /// How long a proxy that lost its controller may continue to write to the previous owner of a shard.
    pub write_lease: Span,
    /// How long a write may still run at an endpoint after it was sent.
    pub write_settle_time: Span,
    /// The interval at which load is reported.
    pub report_interval: Span,
    /// The number of all proxies, whichever controller they have joined.
    pub proxy_count: u32,
    /// The number of connections that the smallest endpoints accept; 0: not stated.
    pub min_endpoint_connections: u32,
    /// The number of endpoints in the table that a proxy draws at its start.
    pub initial_table_size: u32,
    /// The capacity of the channel to the proxies, in lines per second.
    pub channel_rate: f64,
    /// The cost of a message in addition to its own lines, in lines.
    pub message_overhead_lines: f64,
    /// The most lines that may be queued in the channel.
    pub max_queued_lines: f64,
    /// The most messages that one proxy may receive within `push_window`; 0: no limit.
    pub max_pushes: u32,
    /// The window to which `max_pushes` applies.
    pub push_window: Span,
    /// The longest transit time of a message from the channel to a proxy.
    pub max_transit: Span,
    /// How long proxies may use an endpoint after it was listed as draining.
    pub drain_grace: Span,
    /// How long after its start an endpoint may need until it can handle its full load.
    pub slow_start_window: Span,
    /// The fraction of its capacity that an endpoint has at its start at least.
    pub initial_capacity: f64,
    /// The multiple of its present capacity under which an endpoint collapses before the end of its slow
    /// start; 0: not stated.
    pub collapse_multiple: f64,
    /// Whether the drain grace applies only to draining endpoints, not to those that were only removed from
    /// the list.
    pub drain_grace_excludes_removed: bool,
}

impl ControllerConfig {
    /// The groups of request classes that need route tables of their own: the zone-local classes, then all
    /// others. A deployment in which all classes are alike has one group.
    pub fn request_class_groups(&self) -> Vec<RequestClassGroup> {
        let positions = 0..self.request_classes.len();
        let (zone_local, unrestricted): (Vec<usize>, Vec<usize>) =
            positions.partition(|position| self.request_classes[*position].zone_local);
        if zone_local.is_empty() || unrestricted.is_empty() {
            let zone_local = !zone_local.is_empty();
            return vec![RequestClassGroup { classes: RequestClassSet::ALL, zone_local }];
        }
        vec![
            RequestClassGroup { classes: zone_local.into_iter().collect(), zone_local: true },
            RequestClassGroup { classes: unrestricted.into_iter().collect(), zone_local: false },
        ]
    }

    /// The part of the drain grace within which a command must be sent: the rest is for its transit.
    pub fn time_to_send(&self) -> Span {
        self.drain_grace - self.max_transit
    }

    /// The lines that the channel can deliver to the proxies within the drain grace.
    pub fn lines_within_grace(&self) -> f64 {
        self.time_to_send().as_secs() * self.channel_rate
    }
}
