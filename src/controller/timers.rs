//! Tracks scheduled timers that have not fired yet, so that none is scheduled twice.

use crate::host::Timer;
use std::collections::BTreeSet;

/// The timers that are scheduled and have not fired yet.
#[derive(Default)]
pub(super) struct PendingTimers(BTreeSet<Timer>);

impl PendingTimers {
    /// Marks a timer as scheduled. Returns false if it is already pending.
    pub(super) fn mark_scheduled(&mut self, timer: Timer) -> bool {
        self.0.insert(timer)
    }

    /// Marks a timer as fired.
    pub(super) fn mark_fired(&mut self, timer: Timer) {
        self.0.remove(&timer);
    }
}
