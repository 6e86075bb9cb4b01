//! A control-plane instance: the real controller, the channel to its proxies, and what is on its way between them.

use crate::control_messages::Message;
use crate::proxy_channel::ProxyChannel;
use crate::simulated_host::SimulatedHost;
use otterwinch::controller::Controller;
use std::collections::{BTreeMap, VecDeque};

/// Outcomes of attempts, summed over a report interval.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointOutcomes {
    pub attempts: u32,
    pub failed: u32,
    /// Total latency of the attempts that didn't fail, in microseconds.
    pub latency_us: u64,
}

/// Where outcomes were seen: at an endpoint, by the proxies of a zone. Reports list them in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OutcomeKey {
    pub endpoint: u32,
    pub zone: u32,
}

/// What the proxies of an instance report of an interval.
pub(crate) struct LoadReport {
    /// Outcomes of attempts; a key without attempts is absent.
    pub outcomes: BTreeMap<OutcomeKey, EndpointOutcomes>,
    /// Requests that reached the proxies, by request class.
    pub demand: Vec<u32>,
}

impl LoadReport {
    pub(crate) fn new(request_classes: usize) -> Self {
        LoadReport { outcomes: BTreeMap::new(), demand: vec![0; request_classes] }
    }
}

/// One instance of the control plane.
pub(crate) struct ControlPlaneInstance {
    pub controller: Controller<SimulatedHost>,
    pub channel: ProxyChannel,
    /// The report of the interval that is under way.
    pub open_report: LoadReport,
    /// Closed reports that haven't arrived yet. All take the same time, so the first arrives first.
    pub reports_in_transit: VecDeque<LoadReport>,
    /// Messages that have not reached their proxies yet. They leave one after the other and all take the same time, so
    /// the first arrives first.
    pub messages_in_transit: VecDeque<Message>,
    /// Whether the commands of this instant are already due to be sent.
    pub send_scheduled: bool,
}

impl ControlPlaneInstance {
    pub(crate) fn new(
        controller: Controller<SimulatedHost>,
        channel: ProxyChannel,
        request_classes: usize,
    ) -> Self {
        ControlPlaneInstance {
            controller,
            channel,
            open_report: LoadReport::new(request_classes),
            reports_in_transit: VecDeque::new(),
            messages_in_transit: VecDeque::new(),
            send_scheduled: false,
        }
    }

    /// Closes the open report and sends it on its way.
    pub(crate) fn close_report(&mut self) {
        let next = LoadReport::new(self.open_report.demand.len());
        self.reports_in_transit.push_back(std::mem::replace(&mut self.open_report, next));
    }

    /// Counts the outcome of an attempt.
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
