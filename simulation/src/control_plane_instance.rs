//! A control-plane instance in a simulation: the controller, its proxy channel and its next load report.

use crate::proxy_channel::ProxyChannel;
use crate::queue::Time;
use crate::simulated_host::SimulatedHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use std::collections::BTreeMap;

/// Moments count from here, so that a node that started before the play has a time to have started at.
const ORIGIN: i64 = 1_000_000_000_000;

pub fn moment(at: Time) -> Moment {
    Moment::from_us(ORIGIN + at as i64)
}

/// Sums of what forwarders of one hall met at one node.
#[derive(Clone, Copy, Default)]
pub struct EndpointOutcomes {
    pub attempts: u32,
    pub failed: u32,
    pub latency_us: u64,
}

/// What a supervisor will be told of an interval.
#[derive(Default)]
pub struct Sums {
    /// By hall and node; a sum that was never touched is not there.
    pub met: BTreeMap<(u32, u32), EndpointOutcomes>,
    pub demand: Vec<u32>,
}

impl Sums {
    pub fn new(request_classes: usize) -> Self {
        Sums { met: BTreeMap::new(), demand: vec![0; request_classes] }
    }
}

pub struct ControlPlaneInstance {
    pub controller: Controller<SimulatedHost>,
    pub channel: ProxyChannel,
    pub sums: Sums,
    /// Commands of this instant wait to be gathered.
    pub gathers: bool,
}
