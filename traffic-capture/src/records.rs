//! The records of a capture, as a program holds them.

/// What a file begins with. Records name request classes and zones by their positions in these lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CaptureHeader {
    /// The names of the request classes.
    pub request_classes: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The Unix time from which records count, in milliseconds; 0 where it has no meaning.
    pub started_unix_ms: u64,
    /// Which program or person wrote the file, as text.
    pub source: String,
}

/// One request, as it reached the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestRecord {
    /// When it arrived, in microseconds from the start of the capture. It decreases where the clock was set back.
    pub at_us: i64,
    /// The position of its request class.
    pub request_class: u32,
    /// The position of its zone.
    pub zone: u32,
    /// Work on a core of speed 1, in microseconds, where it is known.
    pub work_us: Option<u64>,
    /// A hash that all attempts of the request share; `None` where it carries no reference.
    pub idempotency_key: Option<u64>,
    /// 0 for the first attempt, 1 for the first retry.
    pub attempt: u32,
}

/// What the proxies of one zone met at one endpoint over an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointOutcomes {
    /// The end of the interval, in microseconds from the start of the capture.
    pub at_us: i64,
    /// The length of the interval, in microseconds.
    pub interval_us: u64,
    /// The position of the proxies' zone.
    pub zone: u32,
    /// The name of the endpoint.
    pub endpoint: String,
    /// Attempts that ended.
    pub attempts: u64,
    /// Those of them that failed without an answer.
    pub failures: u64,
    /// The mean latency of those that were answered, in microseconds.
    pub mean_latency_us: u64,
}

/// Requests of one class that reached one proxy over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The end of the interval, in microseconds from the start of the capture.
    pub at_us: i64,
    /// The length of the interval, in microseconds.
    pub interval_us: u64,
    /// The number of the proxy.
    pub proxy: u32,
    /// The position of the request class.
    pub request_class: u32,
    /// How many requests arrived.
    pub requests: u64,
}

/// A load report: figures of an interval instead of single requests.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadReport {
    /// What one endpoint did.
    EndpointOutcomes(EndpointOutcomes),
    /// What one proxy was asked.
    Demand(Demand),
}

/// How many records a file holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Single requests.
    pub requests: u64,
    /// Load reports.
    pub reports: u64,
}
