//! The records of a capture in memory.

/// The file header. Records refer to request classes and zones by their positions in these lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CaptureHeader {
    /// The names of the request classes.
    pub request_classes: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The start of the capture as a Unix time in milliseconds, to which the times of records are relative; 0
    /// if it has no meaning.
    pub started_unix_ms: u64,
    /// A free-form name of the program or person that wrote the file.
    pub source: String,
}

/// One request that reached the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestRecord {
    /// The arrival time, in microseconds since the start of the capture. It decreases from one request to the
    /// next if the clock was set back.
    pub at_us: i64,
    /// The position of the request class in the header.
    pub request_class: u32,
    /// The position of the zone in the header.
    pub zone: u32,
    /// The work of the request, in microseconds on a core of speed 1; `None` if unknown.
    pub work_us: Option<u64>,
    /// A hash of the idempotency key, which all attempts of the request share; `None` if it has no key.
    pub idempotency_key: Option<u64>,
    /// The number of the attempt: 0 for the first attempt, 1 for the first retry.
    pub attempt: u32,
}

/// The outcomes of the attempts that the proxies of one zone made at one endpoint during an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointOutcomes {
    /// The end of the interval, in microseconds from the start of the capture.
    pub at_us: i64,
    /// The length of the interval, in microseconds.
    pub interval_us: u64,
    /// The position of the proxies' zone in the header.
    pub zone: u32,
    /// The name of the endpoint.
    pub endpoint: String,
    /// How many attempts ended.
    pub attempts: u64,
    /// How many of these attempts failed without an answer.
    pub failures: u64,
    /// The mean latency of the attempts that were answered, in microseconds.
    pub mean_latency_us: u64,
}

/// The requests of one class that reached one proxy during an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The end of the interval, in microseconds from the start of the capture.
    pub at_us: i64,
    /// The length of the interval, in microseconds.
    pub interval_us: u64,
    /// The number of the proxy.
    pub proxy: u32,
    /// The position of the request class in the header.
    pub request_class: u32,
    /// How many requests arrived at the proxy.
    pub requests: u64,
}

/// A load report: totals over an interval instead of individual requests.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadReport {
    /// Outcomes at one endpoint.
    EndpointOutcomes(EndpointOutcomes),
    /// Requests that arrived at one proxy.
    Demand(Demand),
}

/// The number of records in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordCounts {
    /// Individual requests.
    pub requests: u64,
    /// Load reports.
    pub reports: u64,
}
