//! Faults that a simulation or an emulation injects.

/// A fault, or the end of one. Endpoints are numbered group by group in the fleet's order, zones as in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The endpoint's process ends; the endpoint list reports it later.
    Crash(u32),
    /// The endpoint's process is started again, cold.
    Restart(u32),
    /// The endpoint list reports the endpoint as draining.
    Drain(u32),
    /// The endpoint is slower by this factor; 1 ends the fault.
    SlowDown(u32, f64),
    /// The endpoint fails this fraction of its requests at once; 0 ends the fault.
    FailRequests(u32, f64),
    /// The endpoint accepts requests and answers none; `false` ends the fault.
    Hang(u32, bool),
    /// All endpoints and proxies of the zone are lost, and its clients use the proxies of the other zones.
    ZoneOutage(usize),
    /// The proxies of the zone are back, and its endpoints are started, cold.
    ZoneRecovery(usize),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Seconds since the load began.
    pub at: f64,
    /// What to inject.
    pub fault: Fault,
}

impl Fault {
    /// Schedules the fault, in seconds since the load began.
    pub fn at(self, at: f64) -> ScheduledFault {
        ScheduledFault { at, fault: self }
    }
}
