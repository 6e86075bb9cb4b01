//! A fleet as the other packages use it: checked, in halls and products by their places, times as spans.

use otterwinch::time::Span;

/// A whole fleet. Halls, groups and products are named by their places in these lists everywhere else.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub name: String,
    pub network: Network,
    pub zones: Vec<Zone>,
    pub groups: Vec<EndpointGroup>,
    pub request_classes: Vec<RequestClass>,
    pub clients: Clients,
    pub proxies: Proxies,
    pub control_plane: ControlPlane,
    pub goal: Goal,
}

/// One-way times.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    pub client_latency: Span,
    /// From hall to hall, a row a hall; within a hall on the diagonal.
    pub zone_latency: Vec<Vec<Span>>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    pub name: String,
    pub proxy_count: u32,
    /// Its part of all clients; all halls sum to 1.
    pub client_share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointGroup {
    pub name: String,
    pub zone: usize,
    pub count: u32,
    pub cores: u32,
    pub speed: Speed,
    pub weight: f64,
    pub max_queued: u32,
    pub max_connections: u32,
    /// Work of a new connection, in seconds on a core of speed 1.
    pub connection_work: f64,
    pub warm_up: Option<WarmUp>,
    pub overload_collapse: Option<OverloadCollapse>,
    pub finishes_abandoned: bool,
    /// How long before the load begins; long ago where it isn't told.
    pub uptime: Option<Span>,
}

/// Seconds of work that one core does in a second.
#[derive(Clone, Debug, PartialEq)]
pub enum Speed {
    Uniform(f64, f64),
    /// One a node, again from the first where there are more nodes.
    Measured(Vec<f64>),
}

impl Speed {
    pub fn mean(&self) -> f64 {
        match self {
            Speed::Uniform(from, to) => (from + to) / 2.0,
            Speed::Measured(each) => each.iter().sum::<f64>() / each.len().max(1) as f64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    pub initial_speed: f64,
    pub duration: Span,
}

impl WarmUp {
    /// The part of its full speed that a node has at an age.
    ///
    /// ```
    /// use otterwinch::time::Span;
    /// use otterwinch_fleet::model::WarmUp;
    /// let warm_up = WarmUp { initial_speed: 0.25, duration: Span::secs(8.0) };
    /// assert_eq!(warm_up.speed_fraction(Span::secs(4.0)), 0.625);
    /// assert_eq!(warm_up.speed_fraction(Span::secs(60.0)), 1.0);
    /// ```
    pub fn speed_fraction(&self, age: Span) -> f64 {
        let grown = (age.as_secs() / self.duration.as_secs()).clamp(0.0, 1.0);
        self.initial_speed + (1.0 - self.initial_speed) * grown
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCollapse {
    pub overload_factor: f64,
    pub window: Span,
}

/// What a repeat may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    WithIdempotencyKey,
    NotIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub name: String,
    /// Its part of all txns; all products sum to 1.
    pub share: f64,
    pub work: Work,
    pub latency_objective: Span,
    pub timeout: Span,
    pub priority_weight: f64,
    pub late_value: f64,
    pub idempotency: Idempotency,
    pub deduplication_window: Span,
    pub min_admitted: f64,
}

/// Seconds of work on a core of speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    pub from: f64,
    pub to: f64,
    pub costly_share: f64,
    pub costly_from: f64,
    pub costly_to: f64,
}

impl Work {
    /// The mean, and the mean of the square.
    pub fn moments(&self) -> (f64, f64) {
        let even = |a: f64, b: f64| ((a + b) / 2.0, (a * a + a * b + b * b) / 3.0);
        let (plain, factor) = (even(self.from, self.to), even(self.costly_from, self.costly_to));
        let (cheap, dear) = (1.0 - self.costly_share, self.costly_share);
        (plain.0 * (cheap + dear * factor.0), plain.1 * (cheap + dear * factor.1))
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    pub max_retries: u32,
    pub retry_wait: (Span, Span),
    /// Parts of the expiry.
    pub attempt_timeout_fraction: (f64, f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Proxies {
    pub idle_timeout: Span,
    /// One more try by themselves where the first never ran.
    pub retries_unexecuted: bool,
    pub apply_time_per_line: Span,
    pub initial_table_size: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ControlPlane {
    pub instances: u32,
    pub report_interval: Span,
    pub report_delay: Span,
    pub endpoint_list_delay: Span,
    pub channel_rate: f64,
    pub message_overhead_lines: f64,
    pub max_queued_lines: f64,
    pub message_delay: Span,
    pub drain_grace: Span,
    pub slow_start_window: Span,
    pub cross_zone_costs: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    pub service_level: f64,
    pub class_service_level: f64,
}

impl Fleet {
    pub fn endpoint_count(&self) -> u32 {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// Seconds of work a second that all nodes of a hall do when warm.
    pub fn zone_capacity(&self, zone: usize) -> f64 {
        let of_hall = self.groups.iter().filter(|group| group.zone == zone);
        of_hall.map(|g| f64::from(g.count * g.cores) * g.speed.mean()).sum()
    }

    pub fn capacity(&self) -> f64 {
        (0..self.zones.len()).map(|zone| self.zone_capacity(zone)).sum()
    }

    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    pub fn request_class(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|request_class| request_class.name == name)
    }

    pub fn group(&self, name: &str) -> Option<usize> {
        self.groups.iter().position(|group| group.name == name)
    }

    /// Seconds of work that a txn of the described mix costs on a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        self.request_classes
            .iter()
            .map(|request_class| request_class.share * request_class.work.moments().0)
            .sum()
    }
}
