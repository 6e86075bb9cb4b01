//! The open connections of the listener, and the choice of the one to close if there are too many.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Upper limit of the collector connections of one zone; a small table has a lower limit. There may be
/// several per collector, since one that reconnects can leave its old connection open and silent.
const MAX_COLLECTORS_PER_ZONE: usize = 8;

/// Open connections by number, in the order in which they were accepted.
///
/// Collectors take at most half of the slots, or one slot per zone if that is more. So a full table has a
/// connection that is closing or unidentified, unless there are at least as many zones as slots, and the
/// oldest of those is closed to make room. Collectors identify themselves and health checks are answered
/// right after the accept, so the oldest is least likely to still identify itself or await an answer.
pub struct ConnectionTable {
    max_connections: usize,
    max_per_zone: usize,
    next_number: u64,
    unidentified: BTreeMap<u64, UnidentifiedConnection>,
    collectors: BTreeMap<u64, CollectorConnection>,
    /// Collectors that were asked to end and still handle what they had received.
    closing: BTreeMap<u64, AbortHandle>,
}

/// A connection whose peer has not identified itself as a collector; HTTP clients never do.
struct UnidentifiedConnection {
    task: AbortHandle,
    closing: CancellationToken,
}

struct CollectorConnection {
    zone: u32,
    last_activity: Instant,
    task: AbortHandle,
    closing: CancellationToken,
}

impl ConnectionTable {
    /// An empty table with `max_connections` slots, for a deployment with `zone_count` zones.
    pub fn new(max_connections: usize, zone_count: usize) -> Self {
        let max_per_zone = (max_connections / 2 / zone_count.max(1)).clamp(1, MAX_COLLECTORS_PER_ZONE);
        ConnectionTable {
            max_connections,
            max_per_zone,
            next_number: 0,
            unidentified: BTreeMap::new(),
            collectors: BTreeMap::new(),
            closing: BTreeMap::new(),
        }
    }

    /// Whether all slots are taken.
    pub fn is_full(&self) -> bool {
        self.unidentified.len() + self.collectors.len() + self.closing.len() >= self.max_connections
    }

    /// Aborts the task of the oldest closing connection, or else of the oldest unidentified one, whose
    /// request, if any, has probably been answered. Returns false if there is neither.
    pub fn abort_oldest(&mut self) -> bool {
        let closing = self.closing.pop_first().map(|(_, task)| task);
        let oldest = closing.or_else(|| self.unidentified.pop_first().map(|(_, oldest)| oldest.task));
        let Some(task) = oldest else { return false };
        task.abort();
        true
    }

    /// Returns the number for the next connection.
    pub fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds an accepted connection. Cancelling `closing` asks its task to end.
    pub fn insert(&mut self, number: u64, task: AbortHandle, closing: CancellationToken) {
        self.unidentified.insert(number, UnidentifiedConnection { task, closing });
    }

    /// Marks a connection as that of a zone's collector. If the zone already has the maximum, the one that
    /// has been silent for the longest is asked to end.
    fn identify(&mut self, number: u64, zone: u32) {
        let Some(connection) = self.unidentified.remove(&number) else { return };
        if self.collectors_in_zone(zone).count() >= self.max_per_zone {
            self.close_longest_silent(zone);
        }
        let UnidentifiedConnection { task, closing } = connection;
        let collector = CollectorConnection { zone, last_activity: Instant::now(), task, closing };
        self.collectors.insert(number, collector);
    }

    fn collectors_in_zone(&self, zone: u32) -> impl Iterator<Item = (&u64, &CollectorConnection)> {
        self.collectors.iter().filter(move |(_, collector)| collector.zone == zone)
    }

    fn close_longest_silent(&mut self, zone: u32) {
        let longest_silent =
            self.collectors_in_zone(zone).min_by_key(|(_, collector)| collector.last_activity);
        let Some(number) = longest_silent.map(|(number, _)| *number) else { return };
        if let Some(collector) = self.collectors.remove(&number) {
            collector.closing.cancel();
            self.closing.insert(number, collector.task);
        }
    }

    fn record_activity(&mut self, number: u64) {
        if let Some(collector) = self.collectors.get_mut(&number) {
            collector.last_activity = Instant::now();
        }
    }

    fn remove(&mut self, number: u64) {
        self.unidentified.remove(&number);
        self.collectors.remove(&number);
        self.closing.remove(&number);
    }
}

/// A connection's slot in the table. Dropping it frees the slot, also after a panic or an abort.
pub struct ConnectionSlot {
    number: u64,
    table: Rc<RefCell<ConnectionTable>>,
}

impl ConnectionSlot {
    /// The slot of the connection with this number.
    pub fn new(number: u64, table: Rc<RefCell<ConnectionTable>>) -> Self {
        ConnectionSlot { number, table }
    }

    /// Marks the peer as a collector of a zone.
    pub fn identify(&self, zone: u32) {
        self.table.borrow_mut().identify(self.number, zone);
    }

    /// Records that the collector has sent a frame.
    pub fn record_activity(&self) {
        self.table.borrow_mut().record_activity(self.number);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(self.number);
    }
}

#[cfg(test)]
mod tests;
