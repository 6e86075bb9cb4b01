//! What befalls a fleet during a play, by its time.

/// Nodes are named by their places: groups in the fleet's order, one node after the other.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Its process ends; the list says so later.
    Crash(u32),
    /// It is started again, cold.
    Restart(u32),
    /// The list says that it wants nothing new.
    Drain(u32),
    /// It is slower than it should be by this factor; 1 ends that.
    SlowDown(u32, f64),
    /// It fails this part of its txns at once; 0 ends that.
    FailRequests(u32, f64),
    /// It takes txns and answers none; false ends that.
    Hang(u32, bool),
    /// All of a hall's nodes and forwarders are gone, and its clients come to the other halls' forwarders.
    ZoneOutage(usize),
    /// The hall's forwarders are back and its nodes are started, cold.
    ZoneRecovery(usize),
}

/// A happening and its time, in seconds from the load's beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at: f64,
    pub fault: Fault,
}

impl Fault {
    pub fn at(self, at: f64) -> ScheduledFault {
        ScheduledFault { at, fault: self }
    }
}
