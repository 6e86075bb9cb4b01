//! A simulated control-plane instance: the real controller, its channel to the proxies, and the reports and
//! messages in transit between them.

use crate::control_messages::Message;
use crate::proxy_channel::ProxyChannel;
use crate::simulated_host::SimulatedHost;
use otterwinch::controller::Controller;
use std::collections::{BTreeMap, VecDeque};

/// The attempts at an endpoint within a report interval, by outcome.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointOutcomes {
    /// All attempts, failed ones included.
    pub attempts: u32,
    pub failed: u32,
    /// The total latency of the attempts that were answered, in microseconds.
    pub latency_us: u64,
}

/// The endpoint of an attempt and the zone of its proxy. Reports are ordered by endpoint, then by zone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    pub endpoint: u32,
    pub zone: u32,
}

/// The load report of all proxies of an instance for one interval.
pub(crate) struct LoadReport {
    /// Outcomes of the proxies' attempts. Keys without attempts are absent.
    pub outcomes: BTreeMap<OutcomeKey, EndpointOutcomes>,
    /// The number of client attempts that reached the proxies, by request class.
    pub demand: Vec<u32>,
}

impl LoadReport {
    pub(crate) fn new(request_class_count: usize) -> Self {
        LoadReport { outcomes: BTreeMap::new(), demand: vec![0; request_class_count] }
    }
}

/// The controller and channel of an instance, with the reports and messages that are in transit.
pub(crate) struct ControlPlaneInstance {
    pub controller: Controller<SimulatedHost>,
    pub channel: ProxyChannel,
    /// The report of the current interval.
    pub open_report: LoadReport,
    /// Reports that were sent and have not arrived yet, oldest first. All have the same delay, so they arrive
    /// in this order.
    pub reports_in_transit: VecDeque<LoadReport>,
    /// Messages that have not reached their proxies yet, oldest first. They are sent in order and have the
    /// same delay, so they arrive in this order.
    pub messages_in_transit: VecDeque<Message>,
    /// Whether sending the commands of the present time is already scheduled.
    pub send_scheduled: bool,
}

impl ControlPlaneInstance {
    pub(crate) fn new(
        controller: Controller<SimulatedHost>,
        channel: ProxyChannel,
        request_class_count: usize,
    ) -> Self {
        ControlPlaneInstance {
            controller,
            channel,
            open_report: LoadReport::new(request_class_count),
            reports_in_transit: VecDeque::new(),
            messages_in_transit: VecDeque::new(),
            send_scheduled: false,
        }
    }

    /// Moves the report of the current interval to those in transit and starts an empty one.
    pub(crate) fn close_report(&mut self) {
        let next = LoadReport::new(self.open_report.demand.len());
        self.reports_in_transit.push_back(std::mem::replace(&mut self.open_report, next));
    }

    /// Adds the outcome of an attempt to the report of the current interval.
    pub(crate) fn record_outcome(&mut self, key: OutcomeKey, answered: bool, latency_us: u64) {
        let outcomes = self.open_report.outcomes.entry(key).or_default();
        outcomes.attempts += 1;
        if answered {
            outcomes.latency_us += latency_us;
        } else {
            outcomes.failed += 1;
        }
    }
}
