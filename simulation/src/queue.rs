//! What happens next. Events of one instant come in a stated order: by class, then in the order in which they were
//! asked for; nothing hangs on hashing or on addresses.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Microseconds from the beginning of a play.
pub type Time = u64;

/// Of one instant, the world moves first, then supervisors hear of it, and what they order is gathered last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    World = 0,
    Word = 1,
    Commands = 2,
}

#[derive(Clone, Copy, Debug)]
struct Entry<E> {
    at: Time,
    /// The class in the top byte, then a number that rises.
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
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap yields its greatest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Slots of near events, a power of two, and the bits of time that one slot spans: 8.4 s in all. Nearly all events of a
/// play are nearer; the rest waits in a heap.
const SLOTS: usize = 8192;
const SLOT_BITS: u32 = 10;

/// A wheel of slots for what is near and a heap for what is far. The slot that is open is a heap of its own, since what
/// happens now may ask for something in this very millisecond.
pub struct Queue<E> {
    slots: Vec<Vec<Entry<E>>>,
    open: BinaryHeap<Entry<E>>,
    far: BinaryHeap<Entry<E>>,
    /// The number of the open slot, counted from the beginning of time.
    slot: u64,
    near: usize,
    order: u64,
}

impl<E: Copy> Default for Queue<E> {
    fn default() -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        Queue { slots, open: BinaryHeap::new(), far: BinaryHeap::new(), slot: 0, near: 0, order: 0 }
    }
}

impl<E: Copy> Queue<E> {
    pub fn len(&self) -> usize {
        self.open.len() + self.near + self.far.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Asks for an event. What is asked for the past comes next.
    pub fn push(&mut self, at: Time, class: Class, event: E) {
        self.order += 1;
        let entry = Entry { at, order: (class as u64) << 56 | self.order, event };
        let slot = at >> SLOT_BITS;
        if slot <= self.slot {
            self.open.push(entry);
        } else if slot < self.slot + SLOTS as u64 {
            self.near += 1;
            self.slots[slot as usize & (SLOTS - 1)].push(entry);
        } else {
            self.far.push(entry);
        }
    }

    /// When the next event is due.
    pub fn next_at(&mut self) -> Option<Time> {
        self.opens().then(|| self.open.peek().expect("opened").at)
    }

    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.opens();
        self.open.pop().map(|entry| (entry.at, entry.event))
    }

    /// Opens slots until one has an event; false where there is none at all.
    fn opens(&mut self) -> bool {
        while self.open.is_empty() {
            if self.near == 0 {
                // Nothing near: to where the far begins.
                let Some(far) = self.far.peek() else { return false };
                self.slot = far.at >> SLOT_BITS;
            } else {
                self.slot += 1;
            }
            let slot = &mut self.slots[self.slot as usize & (SLOTS - 1)];
            self.near -= slot.len();
            self.open.extend(slot.drain(..));
            while let Some(entry) = self.far.peek().filter(|entry| entry.at >> SLOT_BITS <= self.slot) {
                self.open.push(*entry);
                self.far.pop();
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
