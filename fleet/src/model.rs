//! The model of a fleet, validated. Zones, endpoint groups and request classes are referred to by their index
//! in the lists of [`Fleet`].

use otterwinch::time::Span;

/// A fleet: its zones, endpoints, clients, proxies and control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Its name in reports.
    pub name: String,
    /// The latencies between clients, proxies and endpoints.
    pub network: Network,
    /// The zones, at least one.
    pub zones: Vec<Zone>,
    /// The endpoint groups, at least one, with at least one endpoint in total.
    pub groups: Vec<EndpointGroup>,
    /// The request classes, at least one.
    pub request_classes: Vec<RequestClass>,
    /// How clients retry and time out.
    pub clients: Clients,
    /// How proxies behave.
    pub proxies: Proxies,
    /// The control plane and its channels to and from the proxies.
    pub control_plane: ControlPlane,
    /// The service-level objectives.
    pub goal: Goal,
}

/// One-way latencies. Opening a connection takes a round trip before the first byte is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Between a client and the proxies of its zone.
    pub client_latency: Span,
    /// Between the machines of two zones, as a symmetric matrix indexed by zone. The diagonal has the
    /// latencies within each zone.
    pub zone_latency: Vec<Vec<Span>>,
}

/// A zone, with its proxies and its share of the clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Its name, unique among the zones.
    pub name: String,
    /// The number of its proxies.
    pub proxy_count: u32,
    /// Its fraction of all clients; the fractions of all zones sum to 1.
    pub client_share: f64,
}

/// Endpoints that differ only in their speed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointGroup {
    /// Its name, unique among the groups.
    pub name: String,
    /// The index of the zone that contains the endpoints.
    pub zone: usize,
    /// The number of endpoints.
    pub count: u32,
    /// The number of requests that one endpoint processes concurrently.
    pub cores: u32,
    /// The speed of one core of each endpoint.
    pub speed: Speed,
    /// The weight of each endpoint in the endpoint list.
    pub weight: f64,
    /// The number of requests that may wait for a core of one endpoint; further ones are rejected.
    pub max_queued: u32,
    /// The number of connections that one endpoint accepts; further ones are refused.
    pub max_connections: u32,
    /// The work of accepting a connection, in seconds on a core of speed 1.
    pub connection_work: f64,
    /// How an endpoint reaches its full speed after a start; `None` if it has full speed from the start.
    pub warm_up: Option<WarmUp>,
    /// The load under which an endpoint collapses while it warms up; `None` if it survives any load.
    pub overload_collapse: Option<OverloadCollapse>,
    /// Whether an endpoint that has started a request finishes it even if its connection is closed. A queued
    /// request is dropped in either case.
    pub finishes_abandoned_requests: bool,
    /// The uptime of the endpoints when the load starts; `None` if it is long enough for them to be warm.
    pub uptime: Option<Span>,
}

/// The speed of one core: seconds of work that it does in a second.
#[derive(Clone, Debug, PartialEq)]
pub enum Speed {
    /// Drawn uniformly for each endpoint, between a lower and an upper bound.
    Uniform(f64, f64),
    /// Measured speeds, one for each endpoint; a group with more endpoints repeats them cyclically.
    Measured(Vec<f64>),
}

impl Speed {
    /// The mean of the distribution, or of the measured speeds.
    pub fn mean(&self) -> f64 {
        match self {
            Speed::Uniform(from, to) => (from + to) / 2.0,
            Speed::Measured(speeds) => speeds.iter().sum::<f64>() / speeds.len().max(1) as f64,
        }
    }
}

/// The growth of an endpoint's speed after a start, linear from a fraction of the full speed to the full
/// speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// The fraction of the full speed at the start.
    pub initial_speed_fraction: f64,
    /// The time from the start to the full speed.
    pub duration: Span,
}

impl WarmUp {
    /// The fraction of its full speed that an endpoint has at an age, the time since its start.
    ///
    /// ```
    /// use otterwinch::time::Span;
    /// use otterwinch_fleet::model::WarmUp;
    /// let warm_up = WarmUp { initial_speed_fraction: 0.25, duration: Span::from_secs(8.0) };
    /// assert_eq!(warm_up.speed_fraction(Span::from_secs(4.0)), 0.625);
    /// assert_eq!(warm_up.speed_fraction(Span::from_secs(60.0)), 1.0);
    /// ```
    pub fn speed_fraction(&self, age: Span) -> f64 {
        let progress = (age.as_secs() / self.duration.as_secs()).clamp(0.0, 1.0);
        self.initial_speed_fraction + (1.0 - self.initial_speed_fraction) * progress
    }
}

/// The load under which an endpoint collapses while it warms up. It collapses if the work offered within
/// `window` exceeds `overload_factor` times what it can do in that time at its current speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadCollapse {
    /// The multiple of the work that the endpoint can do.
    pub overload_factor: f64,
    /// The length of the window.
    pub window: Span,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run more than once.
    Idempotent,
    /// It carries a key by which the endpoints of a zone recognize a duplicate for a limited time.
    WithIdempotencyKey,
    /// It must not run more than once.
    NotIdempotent,
}

/// Requests with the same distribution of work and the same priority.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Its name, unique among the request classes.
    pub name: String,
    /// Its fraction of all requests; the fractions of all classes sum to 1.
    pub share: f64,
    /// The work of a request.
    pub work: Work,
    /// The time within which a response has its full value.
    pub latency_objective: Span,
    /// The time after which the client gives up.
    pub timeout: Span,
    /// The value of a request that is answered within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of its value that a response has after the latency objective.
    pub late_value_fraction: f64,
    /// Whether a request may run more than once, and so may be retried.
    pub idempotency: Idempotency,
    /// How long endpoints recognize a duplicate by its idempotency key.
    pub deduplication_window: Span,
    /// The minimum fraction of requests that is admitted at any load.
    pub min_admitted_fraction: f64,
}

/// The distribution of a request's work, in seconds on a core of speed 1. It is uniform between two bounds;
/// for a fraction of the requests it is multiplied by a factor, which is uniform between two bounds as well.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The lower bound of the work.
    pub min: f64,
    /// The upper bound of the work, without the factor.
    pub max: f64,
    /// The fraction of requests whose work is multiplied by the factor.
    pub costly_share: f64,
    /// The lower bound of the factor.
    pub min_costly_factor: f64,
    /// The upper bound of the factor.
    pub max_costly_factor: f64,
}

impl Work {
    /// The first two moments of the distribution: the mean and the mean square.
    pub fn moments(&self) -> (f64, f64) {
        let (base_mean, base_square) = uniform_moments(self.min, self.max);
        let (factor_mean, factor_square) = uniform_moments(self.min_costly_factor, self.max_costly_factor);
        let plain_share = 1.0 - self.costly_share;
        (
            base_mean * (plain_share + self.costly_share * factor_mean),
            base_square * (plain_share + self.costly_share * factor_square),
        )
    }
}

/// The mean and the mean square of a uniform distribution.
fn uniform_moments(from: f64, to: f64) -> (f64, f64) {
    ((from + to) / 2.0, (from * from + from * to + to * to) / 3.0)
}

/// How clients time out and retry.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// The maximum number of retries of a request.
    pub max_retries: u32,
    /// The shortest and the longest wait before a retry.
    pub retry_wait: (Span, Span),
    /// The shortest and the longest timeout of one attempt, as fractions of the request's timeout.
    pub attempt_timeout_fraction: (f64, f64),
}

/// How proxies behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Proxies {
    /// How long a connection to an endpoint may be idle before it is closed.
    pub idle_timeout: Span,
    /// Whether a proxy, by default, retries an attempt that is known not to have been executed. The control
    /// plane can override this.
    pub retries_unexecuted_attempts: bool,
    /// How long a proxy pauses per line of a message that it applies.
    pub apply_time_per_line: Span,
    /// The number of endpoints, all of its own zone, in the initial table of a proxy.
    pub initial_table_size: u32,
}

/// The control plane and its channels to and from the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlPlane {
    /// The number of instances, among which the proxies are divided.
    pub instance_count: u32,
    /// The interval between load reports.
    pub report_interval: Span,
    /// The delay of a load report, from the end of its interval until it arrives at the instance.
    pub report_delay: Span,
    /// The delay of an update of the endpoint list, from the change of the list until it arrives at an
    /// instance.
    pub endpoint_list_delay: Span,
    /// The rate of the channel of an instance, in lines per second.
    pub channel_rate: f64,
    /// The overhead of each message, in lines that are added to the message's own lines.
    pub message_overhead_lines: f64,
    /// The maximum number of lines that a controller may queue in the channel of its instance. The channel
    /// itself does not enforce it.
    pub max_queued_lines: f64,
    /// The delay of a message to a proxy, from when it has been sent until it arrives.
    pub message_delay: Span,
    /// How long proxies may use an endpoint after it was listed as draining or removed.
    pub drain_grace: Span,
    /// How long after its start an endpoint may need until it can take its full load, as configured in the
    /// control plane.
    pub slow_start_window: Span,
    /// Whether requests that cross zones have a cost, so that each zone prefers its own endpoints.
    pub has_cross_zone_costs: bool,
}

/// The service-level objectives of a fleet. A service level is the priority weight of the requests that are
/// answered within the latency objective, divided by the priority weight of all requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Goal {
    /// The minimum service level over all requests.
    pub service_level: f64,
    /// The minimum service level of each request class; 0 for no such objective.
    pub class_service_level: f64,
}

impl Fleet {
    /// The total number of endpoints.
    pub fn endpoint_count(&self) -> u32 {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// The expected capacity of the endpoints of a zone once they are warm: seconds of work that they do in a
    /// second. It is computed from the mean speed of each group, and so inexact if a group repeats only some
    /// of its measured speeds.
    pub fn zone_capacity(&self, zone: usize) -> f64 {
        let groups = self.groups.iter().filter(|group| group.zone == zone);
        groups.map(|group| f64::from(group.count * group.cores) * group.speed.mean()).sum()
    }

    /// The expected capacity of all endpoints once they are warm: seconds of work that they do in a second.
    pub fn capacity(&self) -> f64 {
        (0..self.zones.len()).map(|zone| self.zone_capacity(zone)).sum()
    }

    /// The index of the zone with this name.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone.name == name)
    }

    /// The index of the request class with this name.
    pub fn request_class_index(&self, name: &str) -> Option<usize> {
        self.request_classes.iter().position(|class| class.name == name)
    }

    /// The index of the endpoint group with this name.
    pub fn group_index(&self, name: &str) -> Option<usize> {
        self.groups.iter().position(|group| group.name == name)
    }

    /// The mean work of a request over the mix of request classes, in seconds on a core of speed 1.
    pub fn mean_work(&self) -> f64 {
        self.request_classes.iter().map(|class| class.share * class.work.moments().0).sum()
    }
}
