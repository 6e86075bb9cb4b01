//! Totals and peaks of a load.

use crate::load::ScheduledRequest;
use crate::model::Fleet;

/// A summary of a load for its reader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    /// All requests.
    pub requests: u64,
    /// When the last request is due.
    pub seconds: f64,
    /// Requests by class.
    pub requests_by_class: Vec<u64>,
    /// Requests by the zone of the client.
    pub requests_by_zone: Vec<u64>,
    /// The second with the most requests.
    pub busiest: SecondTotals,
    /// The second with the most work.
    pub heaviest: SecondTotals,
    /// The work of all requests, in seconds on a core of speed 1.
    pub work: f64,
    /// The same by class.
    pub work_by_class: Vec<f64>,
    /// The most work of any request of each class.
    pub max_work_by_class: Vec<f64>,
    current: SecondTotals,
}

/// What is due within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// When the second begins.
    pub second: u64,
    /// Requests.
    pub requests: u64,
    /// Their work, in seconds on a core of speed 1.
    pub work: f64,
}

impl LoadSummary {
    /// The summary of an empty load for a fleet.
    pub fn of(fleet: &Fleet) -> Self {
        let (request_classes, zones) = (fleet.request_classes.len(), fleet.zones.len());
        LoadSummary {
            requests_by_class: vec![0; request_classes],
            requests_by_zone: vec![0; zones],
            work_by_class: vec![0.0; request_classes],
            max_work_by_class: vec![0.0; request_classes],
            ..LoadSummary::default()
        }
    }

    /// Adds a request, which is due no earlier than those before it.
    pub fn add(&mut self, request: &ScheduledRequest) {
        let class = request.request_class;
        self.requests += 1;
        self.seconds = self.seconds.max(request.at);
        self.requests_by_class[class] += 1;
        self.requests_by_zone[request.zone] += 1;
        self.work += request.work;
        self.work_by_class[class] += request.work;
        self.max_work_by_class[class] = self.max_work_by_class[class].max(request.work);
        self.add_to_second(request);
    }

    fn add_to_second(&mut self, request: &ScheduledRequest) {
        let second = request.at.max(0.0) as u64;
        if second != self.current.second {
            self.current = SecondTotals { second, ..SecondTotals::default() };
        }
        self.current.requests += 1;
        self.current.work += request.work;
        if self.current.requests > self.busiest.requests {
            self.busiest = self.current;
        }
        if self.current.work > self.heaviest.work {
            self.heaviest = self.current;
        }
    }
}
