//! A slab allocator whose handles become stale when their value is released.

use std::ops::{Index, IndexMut};

/// Refers to a value in a [`Slab`] until the value is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Handle {
    pub slot: u32,
    generation: u32,
}

struct Entry<T> {
    value: T,
    /// Incremented each time the slot is released.
    generation: u32,
    occupied: bool,
}

/// Stores values in numbered slots. The slot that was released last is reused first.
pub(crate) struct Slab<T> {
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
}

impl<T> Slab<T> {
    pub(crate) fn new() -> Self {
        Slab { entries: Vec::new(), free: Vec::new() }
    }

    /// Stores a value and returns its slot.
    pub(crate) fn insert(&mut self, value: T) -> u32 {
        if let Some(slot) = self.free.pop() {
            let entry = &mut self.entries[slot as usize];
            entry.value = value;
            entry.occupied = true;
            return slot;
        }
        self.entries.push(Entry { value, generation: 0, occupied: true });
        self.entries.len() as u32 - 1
    }

    /// Frees a slot. Handles to its value become stale.
    pub(crate) fn release(&mut self, slot: u32) {
        let entry = &mut self.entries[slot as usize];
        entry.generation += 1;
        entry.occupied = false;
        self.free.push(slot);
    }

    /// A handle to the current value of a slot.
    pub(crate) fn handle(&self, slot: u32) -> Handle {
        Handle { slot, generation: self.entries[slot as usize].generation }
    }

    /// Whether the value that a handle refers to has not been released.
    pub(crate) fn is_current(&self, handle: Handle) -> bool {
        self.entries[handle.slot as usize].generation == handle.generation
    }

    /// The occupied slots whose values satisfy a condition, in ascending order.
    pub(crate) fn slots_where(&self, condition: impl Fn(&T) -> bool) -> Vec<u32> {
        let occupied = (0..).zip(&self.entries).filter(|(_, entry)| entry.occupied);
        occupied.filter(|(_, entry)| condition(&entry.value)).map(|(slot, _)| slot).collect()
    }
}

impl<T> Index<u32> for Slab<T> {
    type Output = T;

    fn index(&self, slot: u32) -> &T {
        &self.entries[slot as usize].value
    }
}

impl<T> IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, slot: u32) -> &mut T {
        &mut self.entries[slot as usize].value
    }
}

#[cfg(test)]
mod tests;
