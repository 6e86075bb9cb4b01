//! The queue of events, ordered by time, then by class, then in the order in which they were scheduled. Nothing depends
//! on hashing or on addresses.

use crate::clock::Time;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The order of events at one time: the fleet changes first, then control-plane instances learn of it, and then their
/// commands are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    Fleet = 0,
    ControlPlane = 1,
    Commands = 2,
}

#[derive(Clone, Copy, Debug)]
struct Entry<E> {
    at: Time,
    /// The class in the top byte, then a number that increases with each event.
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
    /// Reversed, since the heap yields its greatest entry and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The number of slots of the timing wheel, a power of two.
const SLOTS: usize = 8192;
/// A slot spans 2^10 microseconds, and the wheel 8.4 s: most events are nearer than that.
const SLOT_BITS: u32 = 10;

/// A timing wheel for events that are near, with a heap for those that are far.
pub(crate) struct Queue<E> {
    /// Events by slot, in no order.
    wheel: Vec<Vec<Entry<E>>>,
    /// Events up to the end of the open slot. A heap, since an event may schedule another in the same slot.
    open: BinaryHeap<Entry<E>>,
    /// Events beyond the wheel.
    far: BinaryHeap<Entry<E>>,
    /// The number of the open slot, counted from time 0.
    open_slot: u64,
    /// The number of events in the wheel.
    in_wheel: usize,
    /// The number of events scheduled so far.
    scheduled: u64,
}

impl<E: Copy> Default for Queue<E> {
    fn default() -> Self {
        Queue {
            wheel: (0..SLOTS).map(|_| Vec::new()).collect(),
            open: BinaryHeap::new(),
            far: BinaryHeap::new(),
            open_slot: 0,
            in_wheel: 0,
            scheduled: 0,
        }
    }
}

impl<E: Copy> Queue<E> {
    /// Whether nothing is scheduled.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.in_wheel == 0 && self.far.is_empty()
    }

    /// Schedules an event. One that is due in the past comes next.
    pub(crate) fn push(&mut self, at: Time, class: Class, event: E) {
        self.scheduled += 1;
        let entry = Entry { at, order: (class as u64) << 56 | self.scheduled, event };
        let slot = at >> SLOT_BITS;
        if slot <= self.open_slot {
            self.open.push(entry);
        } else if slot < self.open_slot + SLOTS as u64 {
            self.in_wheel += 1;
            self.wheel[slot as usize & (SLOTS - 1)].push(entry);
        } else {
            self.far.push(entry);
        }
    }

    /// When the next event is due.
    pub(crate) fn next_at(&mut self) -> Option<Time> {
        self.open_next_slot();
        self.open.peek().map(|entry| entry.at)
    }

    /// Takes the next event, with its time.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.open_next_slot();
        self.open.pop().map(|entry| (entry.at, entry.event))
    }

    /// Opens slots until one has an event, unless none is scheduled.
    fn open_next_slot(&mut self) {
        while self.open.is_empty() {
            if self.in_wheel > 0 {
                self.open_slot += 1;
            } else if let Some(nearest) = self.far.peek() {
                self.open_slot = nearest.at >> SLOT_BITS;
            } else {
                return;
            }
            let slot = &mut self.wheel[self.open_slot as usize & (SLOTS - 1)];
            self.in_wheel -= slot.len();
            self.open.extend(slot.drain(..));
            while let Some(entry) = self.far.peek().filter(|entry| entry.at >> SLOT_BITS <= self.open_slot) {
                self.open.push(*entry);
                self.far.pop();
            }
        }
    }
}

#[cfg(test)]
mod tests;
