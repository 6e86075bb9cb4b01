//! The timers that the controller has scheduled.

use otterwinch::host::Timer;
use otterwinch::time::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers ordered by due time. Timers that are due at the same time keep the order in which they were
/// scheduled.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    next_sequence: u64,
}

/// Ordered by its fields from first to last: the derived `Ord` relies on their order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    due: Moment,
    sequence: u64,
    timer: Timer,
}

impl TimerQueue {
    /// Adds a timer.
    pub fn schedule(&mut self, due: Moment, timer: Timer) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.timers.push(Reverse(ScheduledTimer { due, sequence, timer }));
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Moment> {
        self.timers.peek().map(|Reverse(first)| first.due)
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now: Moment) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse(first)| first.timer)
    }

    /// Drops all timers.
    pub fn clear(&mut self) {
        self.timers.clear();
    }
}

#[cfg(test)]
mod tests;
