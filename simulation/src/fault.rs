//! Faults that can be injected into a simulation or an emulation.

/// A fault, or the end of one. Endpoints are numbered group by group in the fleet's order, and a zone is
/// given by its index in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The endpoint's process terminates; the endpoint list reports it after a delay.
    Crash(u32),
    /// The endpoint's process is restarted, with a cold start.
    Restart(u32),
    /// The endpoint list reports the endpoint as draining.
    Drain(u32),
    /// The endpoint is slowed down by this factor; 1 ends the fault.
    SlowDown(u32, f64),
    /// The endpoint fails this fraction of its requests as soon as they arrive; 0 ends the fault.
    FailRequests(u32, f64),
    /// The endpoint accepts requests but answers none; `false` ends the fault.
    Hang(u32, bool),
    /// All endpoints and proxies of the zone crash, and its clients use the proxies of the other zones.
    ZoneOutage(usize),
    /// The proxies of the zone are up again, and its endpoints are restarted, with a cold start.
    ZoneRecovery(usize),
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Seconds since the start of the load.
    pub at: f64,
    /// The fault to inject.
    pub fault: Fault,
}

impl Fault {
    /// Schedules the fault `at` seconds after the start of the load.
    pub fn at(self, at: f64) -> ScheduledFault {
        ScheduledFault { at, fault: self }
    }
}
