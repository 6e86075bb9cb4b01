//! The timers that the controller has scheduled.

use otterwinch::host::Timer;
use otterwinch::time::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers in the order in which they are due; those of one moment in the order in which they were scheduled.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    next_sequence: u64,
}

/// Compared by its fields in their order.
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

    /// When the first timer is due.
    pub fn next_due(&self) -> Option<Moment> {
        self.timers.peek().map(|Reverse(first)| first.due)
    }

    /// Takes the first timer out, if it is due.
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
