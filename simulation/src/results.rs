//! The results of a run, counted while it proceeds: by request class, by zone and by time window. Their size
//! doesn't depend on the number of requests.

use crate::clock::Time;
use hdrhistogram::Histogram;
use otterwinch_fleet::model::{Fleet, RequestClass};

/// The maximum number of windows; when a run needs more, the windows become longer.
const MAX_WINDOWS: usize = 4_096;
/// The unit of recorded latencies, in microseconds.
const LATENCY_UNIT_US: Time = 100;
/// The highest recorded latency, ten minutes; longer ones are recorded as this.
const MAX_LATENCY_UNITS: u64 = 6_000_000;
/// The significant decimal digits of recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered; holds the microseconds from its due time to the arrival of the answer.
    Answered(Time),
    /// A proxy rejected it, by admission control or because no endpoint was available.
    Rejected,
    /// Its attempts failed or timed out.
    Failed,
}

/// Sums of the priority weights of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightTotals {
    /// The sum over all requests.
    pub offered: f64,
    /// The sum over the requests answered within their latency objective.
    pub served: f64,
}

impl WeightTotals {
    /// The fraction of the offered weight that was served in time; 1 if none was offered.
    pub fn service_level(&self) -> f64 {
        if self.offered > 0.0 {
            self.served / self.offered
        } else {
            1.0
        }
    }

    fn add(&mut self, other: WeightTotals) {
        self.offered += other.offered;
        self.served += other.served;
    }
}

/// The latency objective, timeout and priority weight of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Objective {
    latency: Time,
    timeout: Time,
    priority_weight: f64,
}

impl Objective {
    fn new(class: &RequestClass) -> Self {
        Objective {
            latency: class.latency_objective.as_us() as Time,
            timeout: class.timeout.as_us() as Time,
            priority_weight: class.priority_weight,
        }
    }

    fn is_met(&self, end: RequestEnd) -> bool {
        matches!(end, RequestEnd::Answered(latency) if latency <= self.latency)
    }

    /// The contribution to the totals of a request that ended this way.
    fn weight(&self, end: RequestEnd) -> WeightTotals {
        let served = if self.is_met(end) { self.priority_weight } else { 0.0 };
        WeightTotals { offered: self.priority_weight, served }
    }
}

/// Counts of requests that have ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestCounts {
    /// All requests.
    pub requests: u64,
    /// Requests answered within the latency objective.
    pub on_time: u64,
    /// Requests answered after the latency objective.
    pub late: u64,
    /// Requests rejected by a proxy.
    pub rejected: u64,
    /// Requests that failed or timed out.
    pub failed: u64,
    /// Attempts of clients, retries included.
    pub attempts: u64,
    /// The priority weight of the requests.
    pub weight: WeightTotals,
    /// Latencies from the due time, in tenths of a millisecond. Failed requests are recorded with their
    /// timeout, rejected ones not at all.
    pub latencies: Histogram<u64>,
}

impl RequestCounts {
    fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_UNITS, LATENCY_SIGNIFICANT_DIGITS);
        RequestCounts {
            requests: 0,
            on_time: 0,
            late: 0,
            rejected: 0,
            failed: 0,
            attempts: 0,
            weight: WeightTotals::default(),
            latencies: latencies.expect("the bounds are valid"),
        }
    }

    /// The fraction of the offered priority weight that was served in time; 1 if none was offered.
    pub fn service_level(&self) -> f64 {
        self.weight.service_level()
    }

    /// The latency within which this fraction of the requests was answered or failed, in seconds.
    pub fn latency_quantile(&self, fraction: f64) -> f64 {
        self.latencies.value_at_quantile(fraction) as f64 / 1e4
    }

    fn record_end(&mut self, end: RequestEnd, objective: &Objective) {
        self.requests += 1;
        self.weight.add(objective.weight(end));
        match end {
            RequestEnd::Answered(latency) if objective.is_met(end) => {
                self.on_time += 1;
                self.record_latency(latency);
            }
            RequestEnd::Answered(latency) => {
                self.late += 1;
                self.record_latency(latency);
            }
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::Failed => {
                self.failed += 1;
                self.record_latency(objective.timeout);
            }
        }
    }

    fn record_latency(&mut self, latency: Time) {
        self.latencies.saturating_record((latency / LATENCY_UNIT_US).max(1));
    }

    /// Adds the counts of another run or group.
    pub fn merge(&mut self, other: &RequestCounts) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.weight.add(other.weight);
        self.latencies.add(&other.latencies).expect("all histograms have the same bounds");
    }
}

/// Counts for a time window. A request counts in the window in which it was due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Window {
    /// All requests.
    pub requests: u64,
    /// Attempts of clients that started in the window.
    pub attempts: u64,
    /// Requests that a proxy rejected.
    pub rejected: u64,
    /// The priority weight of the requests.
    pub weight: WeightTotals,
    /// The priority weight by request class.
    pub weight_by_class: Vec<WeightTotals>,
    /// The priority weight by the zone of the client.
    pub weight_by_zone: Vec<WeightTotals>,
    /// Core-seconds in use in the window, by the zone of the endpoint.
    pub used_core_seconds: Vec<f64>,
}

impl Window {
    fn new(request_class_count: usize, zone_count: usize) -> Self {
        Window {
            weight_by_class: vec![WeightTotals::default(); request_class_count],
            weight_by_zone: vec![WeightTotals::default(); zone_count],
            used_core_seconds: vec![0.0; zone_count],
            ..Window::default()
        }
    }

    /// The fraction of the offered priority weight that was served in time; 1 if none was offered.
    pub fn service_level(&self) -> f64 {
        self.weight.service_level()
    }

    fn merge(&mut self, other: &Window) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.rejected += other.rejected;
        self.weight.add(other.weight);
        for (sum, added) in self.weight_by_class.iter_mut().zip(&other.weight_by_class) {
            sum.add(*added);
        }
        for (sum, added) in self.weight_by_zone.iter_mut().zip(&other.weight_by_zone) {
            sum.add(*added);
        }
        for (sum, added) in self.used_core_seconds.iter_mut().zip(&other.used_core_seconds) {
            *sum += added;
        }
    }
}

/// The results of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Results {
    /// All requests.
    pub total: RequestCounts,
    /// Requests by class.
    pub request_classes: Vec<RequestCounts>,
    /// Requests by the zone of the client.
    pub zones: Vec<RequestCounts>,
    /// Consecutive windows from the start of the load.
    pub windows: Vec<Window>,
    /// The length of a window in seconds.
    pub window_seconds: f64,
    /// By request class.
    objectives: Vec<Objective>,
}

impl Results {
    /// Empty results for a fleet.
    pub fn new(fleet: &Fleet) -> Self {
        Results {
            total: RequestCounts::new(),
            request_classes: fleet.request_classes.iter().map(|_| RequestCounts::new()).collect(),
            zones: fleet.zones.iter().map(|_| RequestCounts::new()).collect(),
            windows: Vec::new(),
            window_seconds: 1.0,
            objectives: fleet.request_classes.iter().map(Objective::new).collect(),
        }
    }

    /// The window that contains a time, given in seconds since the start of the load.
    pub fn window(&mut self, at: f64) -> &mut Window {
        let mut index = (at.max(0.0) / self.window_seconds) as usize;
        while index >= MAX_WINDOWS {
            self.double_window_length();
            index = (at / self.window_seconds) as usize;
        }
        while self.windows.len() <= index {
            self.windows.push(Window::new(self.request_classes.len(), self.zones.len()));
        }
        &mut self.windows[index]
    }

    /// Merges each pair of consecutive windows into one of twice the length.
    fn double_window_length(&mut self) {
        let mut merged: Vec<Window> = Vec::with_capacity(MAX_WINDOWS);
        for (index, window) in std::mem::take(&mut self.windows).into_iter().enumerate() {
            match merged.last_mut() {
                Some(previous) if index % 2 == 1 => previous.merge(&window),
                _ => merged.push(window),
            }
        }
        self.windows = merged;
        self.window_seconds *= 2.0;
    }

    /// Counts an attempt of a client that starts at `at`, in seconds since the start of the load.
    pub fn record_attempt(&mut self, request_class: usize, zone: usize, at: f64) {
        self.total.attempts += 1;
        self.request_classes[request_class].attempts += 1;
        self.zones[zone].attempts += 1;
        self.window(at).attempts += 1;
    }

    /// Counts the end of a request that was due at `due`, in seconds since the start of the load.
    pub fn record_end(&mut self, request_class: usize, zone: usize, due: f64, end: RequestEnd) {
        let objective = self.objectives[request_class];
        self.total.record_end(end, &objective);
        self.request_classes[request_class].record_end(end, &objective);
        self.zones[zone].record_end(end, &objective);
        let weight = objective.weight(end);
        let window = self.window(due);
        window.requests += 1;
        window.rejected += u64::from(end == RequestEnd::Rejected);
        window.weight.add(weight);
        window.weight_by_class[request_class].add(weight);
        window.weight_by_zone[zone].add(weight);
    }

    /// The service level over the windows that overlap a time range, given in seconds since the start of the
    /// load.
    pub fn service_level_between(&self, from: f64, to: f64) -> f64 {
        let mut sum = WeightTotals::default();
        for (index, window) in self.windows.iter().enumerate() {
            let start = index as f64 * self.window_seconds;
            if start + self.window_seconds > from && start < to {
                sum.add(window.weight);
            }
        }
        sum.service_level()
    }

    /// The lowest service level over any time range of this length, rounded up to whole windows.
    pub fn worst_service_level(&self, seconds: f64) -> f64 {
        let window_count = ((seconds / self.window_seconds).ceil() as usize).max(1);
        let ranges = self.windows.windows(window_count.min(self.windows.len().max(1)));
        ranges.map(service_level_of).fold(1.0, f64::min)
    }
}

fn service_level_of(windows: &[Window]) -> f64 {
    let sum = WeightTotals {
        offered: windows.iter().map(|window| window.weight.offered).sum(),
        served: windows.iter().map(|window| window.weight.served).sum(),
    };
    sum.service_level()
}
