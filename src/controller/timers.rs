//! The timers that are scheduled and have not fired, so that none is scheduled twice.

use crate::host::Timer;
use std::collections::BTreeSet;

/// Timers on their way.
#[derive(Default)]
pub(super) struct PendingTimers(BTreeSet<Timer>);

impl PendingTimers {
    /// Marks a timer as scheduled; false where it is on its way already.
    pub(super) fn start(&mut self, timer: Timer) -> bool {
        self.0.insert(timer)
    }

    /// A timer fired.
    pub(super) fn fired(&mut self, timer: Timer) {
        self.0.remove(&timer);
    }
}
