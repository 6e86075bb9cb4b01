//! Totals and peaks of a load.

use crate::load::ScheduledRequest;
use crate::model::Fleet;

/// Totals and peaks of a load, which are updated request by request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// The number of requests.
    pub requests: u64,
    /// The time of the last request, in seconds since the start of the load.
    pub last_request_at: f64,
    /// The number of requests of each class.
    pub requests_by_class: Vec<u64>,
    /// The number of requests from the clients of each zone.
    pub requests_by_zone: Vec<u64>,
    /// The second with the most requests.
    pub peak_requests_second: SecondTotals,
    /// The second with the most work.
    pub peak_work_second: SecondTotals,
    /// The total work of all requests, in seconds on a core of speed 1.
    pub total_work: f64,
    /// The total work of each class.
    pub work_by_class: Vec<f64>,
    /// The greatest work of a single request of each class.
    pub max_work_by_class: Vec<f64>,
    /// The totals of the second of the latest request.
    current_second: SecondTotals,
}

/// The totals of the requests within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// The start of the second, in seconds since the start of the load.
    pub second: u64,
    /// The number of requests.
    pub requests: u64,
    /// Their total work, in seconds on a core of speed 1.
    pub work: f64,
}

impl LoadSummary {
    /// An empty summary of load for a fleet.
    pub fn new(fleet: &Fleet) -> Self {
        let (request_class_count, zone_count) = (fleet.request_classes.len(), fleet.zones.len());
        LoadSummary {
            requests_by_class: vec![0; request_class_count],
            requests_by_zone: vec![0; zone_count],
            work_by_class: vec![0.0; request_class_count],
            max_work_by_class: vec![0.0; request_class_count],
            ..LoadSummary::default()
        }
    }

    /// Adds a request. Requests must be added in order of time.
    pub fn add(&mut self, request: &ScheduledRequest) {
        let class = request.request_class;
        self.requests += 1;
        self.last_request_at = self.last_request_at.max(request.at);
        self.requests_by_class[class] += 1;
        self.requests_by_zone[request.zone] += 1;
        self.total_work += request.work;
        self.work_by_class[class] += request.work;
        self.max_work_by_class[class] = self.max_work_by_class[class].max(request.work);
        self.add_to_second(request);
    }

    fn add_to_second(&mut self, request: &ScheduledRequest) {
        let second = request.at.max(0.0) as u64;
        if second != self.current_second.second {
            self.current_second = SecondTotals { second, ..SecondTotals::default() };
        }
        self.current_second.requests += 1;
        self.current_second.work += request.work;
        if self.current_second.requests > self.peak_requests_second.requests {
            self.peak_requests_second = self.current_second;
        }
        if self.current_second.work > self.peak_work_second.work {
            self.peak_work_second = self.current_second;
        }
    }
}
