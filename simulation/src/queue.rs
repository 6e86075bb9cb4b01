//! The event queue, ordered by time, then by phase, then by the order of scheduling. The order doesn't depend
//! on hashing or on memory addresses, so that a simulation is reproducible.

use crate::clock::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events that are due at the same time are handled in phases: first the changes of the fleet, then the
/// events of control-plane instances, then the sending of the commands that these issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Events that change the fleet.
    Fleet = 0,
    /// Timers and report intervals of control-plane instances, and deliveries to them.
    ControlPlane = 1,
    /// Sending the commands of control-plane instances.
    Commands = 2,
}

#[derive(Clone, Copy, Debug)]
struct Entry<E> {
    at: Time,
    /// The phase in the top byte, then a sequence number.
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> Ord for Entry<E> {
    /// Reversed, since `BinaryHeap` is a max-heap and the earliest entry has to come first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The number of slots of the timing wheel; must be a power of two.
const SLOTS: usize = 8192;
/// A slot spans 2^10 microseconds and the whole wheel 8.4 s. Most events are due sooner than that.
const SLOT_BITS: u32 = 10;

/// A timing wheel for events that are due soon, with a heap for those that are due beyond its range.
pub(crate) struct EventQueue<E> {
    /// Events by slot, unordered within a slot.
    wheel: Vec<Vec<Entry<E>>>,
    /// Events due by the end of the current slot. A heap, since an event may schedule another one in the same
    /// slot.
    current: BinaryHeap<Entry<E>>,
    /// Events beyond the range of the wheel.
    overflow: BinaryHeap<Entry<E>>,
    /// The number of the current slot, counted from time 0.
    current_slot: u64,
    /// The number of events in the wheel.
    wheel_len: usize,
    /// The number of events scheduled so far.
    scheduled_count: u64,
}

impl<E: Copy> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            wheel: (0..SLOTS).map(|_| Vec::new()).collect(),
            current: BinaryHeap::new(),
            overflow: BinaryHeap::new(),
            current_slot: 0,
            wheel_len: 0,
            scheduled_count: 0,
        }
    }
}

impl<E: Copy> EventQueue<E> {
    /// Whether no event is scheduled.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.current.is_empty() && self.wheel_len == 0 && self.overflow.is_empty()
    }

    /// Schedules an event. An event that is due in the past is returned next.
    pub(crate) fn push(&mut self, at: Time, phase: Phase, event: E) {
        self.scheduled_count += 1;
        let entry = Entry { at, order: (phase as u64) << 56 | self.scheduled_count, event };
        let slot = at >> SLOT_BITS;
        if slot <= self.current_slot {
            self.current.push(entry);
        } else if slot < self.current_slot + SLOTS as u64 {
            self.wheel_len += 1;
            self.wheel[slot as usize & (SLOTS - 1)].push(entry);
        } else {
            self.overflow.push(entry);
        }
    }

    /// When the next event is due.
    pub(crate) fn next_at(&mut self) -> Option<Time> {
        self.advance_to_next_event();
        self.current.peek().map(|entry| entry.at)
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.advance_to_next_event();
        self.current.pop().map(|entry| (entry.at, entry.event))
    }

    /// Advances the current slot until it has an event, or returns if no event is scheduled.
    fn advance_to_next_event(&mut self) {
        while self.current.is_empty() {
            if self.wheel_len > 0 {
                self.current_slot += 1;
            } else if let Some(nearest) = self.overflow.peek() {
                self.current_slot = nearest.at >> SLOT_BITS;
            } else {
                return;
            }
            let slot = &mut self.wheel[self.current_slot as usize & (SLOTS - 1)];
            self.wheel_len -= slot.len();
            self.current.extend(slot.drain(..));
            while let Some(entry) =
                self.overflow.peek().filter(|entry| entry.at >> SLOT_BITS <= self.current_slot)
            {
                self.current.push(*entry);
                self.overflow.pop();
            }
        }
    }
}

#[cfg(test)]
mod tests;
