//! A described fleet, validated. Zones, endpoint groups and request classes are named by their index in its lists.

use otterwinch::time::Span;

/// A whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// What reports call it.
    pub name: String,
    /// The latencies between its parts.
    pub network: Network,
    /// At least one.
    pub zones: Vec<Zone>,
    /// At least one, with at least one endpoint in all.
    pub groups: Vec<EndpointGroup>,
    /// At least one.
    pub request_classes: Vec<RequestClass>,
    /// How clients retry and time out.
    pub clients: Clients,
    /// How all proxies behave.
    pub proxies: Proxies,
    /// The control plane and its channels.
    pub control_plane: ControlPlane,
    /// What the operators want of the fleet.
    pub goal: Goal,
}

/// One-way latencies. A new connection takes a round trip before its first byte.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Between a client and the proxies of its zone.
    pub client_latency: Span,
    /// Between machines: a row for each zone, a column for each zone, within a zone on the diagonal.
    pub zone_latency: Vec<Vec<Span>>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Unique among the zones.
    pub name: String,
    /// The number of proxies in it.
    pub proxy_count: u32,
    /// Its fraction of all clients; those of all zones sum to 1.
    pub client_share: f64,
}

/// Endpoints that are alike but for their speed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointGroup {
    /// Unique among the groups.
    pub name: String,
    /// The index of the zone that they are in.
    pub zone: usize,
    /// The number of endpoints.
    pub count: u32,
    /// Requests that one endpoint works on at a time.
    pub cores: u32,
    /// The speed of one core.
    pub speed: Speed,
    /// The weight of each endpoint in the endpoint list.
    pub weight: f64,
    /// Requests that may wait for a core; further ones are rejected.
    pub max_queued: u32,
    /// Connections that one endpoint accepts; further ones are refused.
    pub max_connections: u32,
    /// Work of a new connection, in seconds on a core of speed 1.
    pub connection_work: f64,
    /// How an endpoint reaches its full speed after a start; `None` where it has it at once.
    pub warm_up: Option<WarmUp>,
    /// The load under which an endpoint collapses while it warms up; `None` where it survives any.
    pub overload_collapse: Option<OverloadCollapse>,
    /// Whether an endpoint finishes work that its client doesn't wait for any more. What is only queued is dropped in
    /// any case.
    pub finishes_abandoned: bool,
    /// How long the endpoints have been up when the load begins; `None` for long.
    pub uptime: Option<Span>,
}

/// Seconds of work that one core does in a second.
#[derive(Clone, Debug, PartialEq)]
pub enum Speed {
    /// Drawn for each endpoint, uniformly between two bounds.
    Uniform(f64, f64),
    /// One for each endpoint, cyclically where there are more endpoints.
    Measured(Vec<f64>),
}

impl Speed {
    /// The mean over all endpoints.
    pub fn mean(&self) -> f64 {
        match self {
            Speed::Uniform(from, to) => (from + to) / 2.0,
            Speed::Measured(speeds) => speeds.iter().sum::<f64>() / speeds.len().max(1) as f64,
        }
    }
}

/// Linear growth from a fraction of the full speed to all of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The fraction of the full speed at the start.
    pub initial_speed: f64,
    /// The time from the start to the full speed.
    pub duration: Span,
}

impl WarmUp {
    /// The fraction of its full speed that an endpoint of this age has.
    ///
    /// ```
    /// use otterwinch::time::Span;
    /// use otterwinch_fleet::model::WarmUp;
    /// let warm_up = WarmUp { initial_speed: 0.25, duration: Span::from_secs(8.0) };
    /// assert_eq!(warm_up.speed_fraction(Span::from_secs(4.0)), 0.625);
    /// assert_eq!(warm_up.speed_fraction(Span::from_secs(60.0)), 1.0);
    /// ```
    pub fn speed_fraction(&self, age: Span) -> f64 {
        let progress = (age.as_secs() / self.duration.as_secs()).clamp(0.0, 1.0);
        self.initial_speed + (1.0 - self.initial_speed) * progress
    }
}

/// An endpoint that is warming up collapses when it is offered, within a window, more than a multiple of the work that
/// it can do in that time at its present speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCollapse {
    /// The multiple.
    pub overload_factor: f64,
    /// The window.
    pub window: Span,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// The endpoints of a zone recognize a repetition by its key, for a limited time.
    WithIdempotencyKey,
    /// It must not.
    NotIdempotent,
}

/// Requests that are alike in work and importance.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Unique among the request classes.
    pub name: String,
    /// Its fraction of all requests; those of all classes sum to 1.
    pub share: f64,
    /// What a request costs.
    pub work: Work,
    /// The time within which an answer has its full value.
    pub latency_objective: Span,
    /// The time after which the client gives up.
    pub timeout: Span,
    /// The value of a request that is answered in time, against the other classes.
    pub priority_weight: f64,
    /// The fraction of its value that a late answer has.
    pub late_value: f64,
    /// Whether requests may be retried.
    pub idempotency: Idempotency,
    /// How long endpoints recognize a repetition by its idempotency key.
    pub deduplication_window: Span,
    /// The fraction of requests that is admitted at any load.
    pub min_admitted: f64,
}

/// The distribution of a request's work, in seconds on a core of speed 1: uniform between two bounds, and for some
/// requests multiplied by a factor, which is uniform too.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The least work.
    pub from: f64,
    /// The most work, without the factor.
    pub to: f64,
    /// The fraction of requests that cost more by a factor.
    pub costly_share: f64,
    /// The least factor.
    pub costly_from: f64,
    /// The greatest factor.
    pub costly_to: f64,
}

impl Work {
    /// The mean, and the mean of the square.
    pub fn moments(&self) -> (f64, f64) {
        let (base_mean, base_square) = uniform_moments(self.from, self.to);
        let (factor_mean, factor_square) = uniform_moments(self.costly_from, self.costly_to);
        let plain_share = 1.0 - self.costly_share;
        (
            base_mean * (plain_share + self.costly_share * factor_mean),
            base_square * (plain_share + self.costly_share * factor_square),
        )
    }
}

/// The mean and the mean of the square of a uniform distribution.
fn uniform_moments(from: f64, to: f64) -> (f64, f64) {
    ((from + to) / 2.0, (from * from + from * to + to * to) / 3.0)
}

/// How clients time out and retry.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Retries of a request, at most.
    pub max_retries: u32,
    /// The shortest and the longest wait before a retry.
    pub retry_wait: (Span, Span),
    /// The shortest and the longest timeout of one attempt, as fractions of the request's timeout.
    pub attempt_timeout_fraction: (f64, f64),
}

/// How proxies behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxies {
    /// Connections that are idle for so long are closed.
    pub idle_timeout: Span,
    /// Whether a proxy retries, until the control plane orders otherwise, an attempt that is proven not to have run.
    pub retries_unexecuted: bool,
    /// How long a proxy pauses for each line of a message that it applies.
    pub apply_time_per_line: Span,
    /// The number of endpoints of its own zone in the table that a proxy starts with.
    pub initial_table_size: u32,
}

/// The control plane, and what is between it and the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlPlane {
    /// The number of instances, among which the proxies are divided.
    pub instances: u32,
    /// The time between load reports.
    pub report_interval: Span,
    /// How long a load report takes to arrive.
    pub report_delay: Span,
    /// How long a change of the endpoint list takes to arrive.
    pub endpoint_list_delay: Span,
    /// Lines that the channel of an instance sends in a second.
    pub channel_rate: f64,
    /// Lines that each message counts in addition to its own.
    pub message_overhead_lines: f64,
    /// Lines that may be queued in the channel of an instance.
    pub max_queued_lines: f64,
    /// How long a message to a proxy takes to arrive.
    pub message_delay: Span,
    /// The time within which a draining or removed endpoint has to be avoided.
    pub drain_grace: Span,
    /// The longest warm-up that the control plane is told of.
    pub slow_start_window: Span,
    /// Whether requests that cross zones cost more, so that each zone uses its own endpoints first.
    pub cross_zone_costs: bool,
}

/// What the operators want of the fleet, as fractions of the priority weight that is answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// Over all requests.
    pub service_level: f64,
    /// For each request class by itself; 0 for no such goal.
    pub class_service_level: f64,
}

impl Fleet {
    /// The number of endpoints in all groups.
    pub fn endpoint_count(&self) -> u32 {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// Seconds of work that the warm endpoints of a zone do in a second.
    pub fn zone_capacity(&self, zone: usize) -> f64 {
        let groups = self.groups.iter().filter(|group| group.zone == zone);
        groups.map(|group| f64::from(group.count * group.cores) * group.speed.mean()).sum()
    }

    /// Seconds of work that all endpoints, warm, do in a second.
    pub fn capacity(&self) -> f64 {
        (0..self.zones.len()).map(|zone| self.zone_capacity(zone)).sum()
    }

    /// The index of a zone by its name.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// The index of a request class by its name.
    pub fn request_class(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|class| class.name == name)
    }

    /// The index of an endpoint group by its name.
    pub fn group(&self, name: &str) -> Option<usize> {
        self.groups.iter().position(|group| group.name == name)
    }

    /// The mean work of a request of the described mix, in seconds on a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        self.request_classes.iter().map(|class| class.share * class.work.moments().0).sum()
    }
}
