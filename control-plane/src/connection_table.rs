//! The open connections of the listener, and which of them gives way where there are too many.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Connections that the collectors of one zone may have. A collector that reconnects leaves the old connection silent.
const MAX_COLLECTORS_PER_ZONE: usize = 8;

/// Open connections by number, in the order in which they were accepted.
///
/// Collectors take at most half of the places. So a full table always holds an unidentified connection, and the oldest
/// of those makes room: a collector identifies itself and a health check is answered at once, so one that has done
/// neither for long is not going to.
pub struct ConnectionTable {
    max_connections: usize,
    max_per_zone: usize,
    next_number: u64,
    unidentified: BTreeMap<u64, UnidentifiedConnection>,
    collectors: BTreeMap<u64, CollectorConnection>,
}

/// A connection whose peer has not said what it is.
struct UnidentifiedConnection {
    task: AbortHandle,
    closing: CancellationToken,
}

struct CollectorConnection {
    zone: u32,
    last_heard: Instant,
    closing: CancellationToken,
}

impl ConnectionTable {
    /// An empty table of `max_connections` places for the collectors of `zones` zones and others.
    pub fn new(max_connections: usize, zones: usize) -> Self {
        let max_per_zone = (max_connections / 2 / zones.max(1)).clamp(1, MAX_COLLECTORS_PER_ZONE);
        ConnectionTable {
            max_connections,
            max_per_zone,
            next_number: 0,
            unidentified: BTreeMap::new(),
            collectors: BTreeMap::new(),
        }
    }

    /// Whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.unidentified.len() + self.collectors.len() >= self.max_connections
    }

    /// Ends the task of the oldest unidentified connection; false where there is none.
    pub fn abort_oldest_unidentified(&mut self) -> bool {
        // Whatever it requested was answered long ago.
        match self.unidentified.pop_first() {
            Some((_, oldest)) => {
                oldest.task.abort();
                true
            }
            None => false,
        }
    }

    /// The number of the next connection.
    pub fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds an accepted connection; `closing` asks its task to end.
    pub fn insert(&mut self, number: u64, task: AbortHandle, closing: CancellationToken) {
        self.unidentified.insert(number, UnidentifiedConnection { task, closing });
    }

    /// A connection turned out to be a zone's collector. If the zone has too many then, the one that has been silent for
    /// the longest is asked to end.
    fn identify(&mut self, number: u64, zone: u32) {
        let Some(connection) = self.unidentified.remove(&number) else { return };
        if self.of_zone(zone).count() >= self.max_per_zone {
            self.close_most_silent(zone);
        }
        let collector = CollectorConnection { zone, last_heard: Instant::now(), closing: connection.closing };
        self.collectors.insert(number, collector);
    }

    fn of_zone(&self, zone: u32) -> impl Iterator<Item = (&u64, &CollectorConnection)> {
        self.collectors.iter().filter(move |(_, collector)| collector.zone == zone)
    }

    fn close_most_silent(&mut self, zone: u32) {
        let most_silent = self.of_zone(zone).min_by_key(|(_, collector)| collector.last_heard);
        let Some(number) = most_silent.map(|(number, _)| *number) else { return };
        if let Some(collector) = self.collectors.remove(&number) {
            collector.closing.cancel();
        }
    }

    fn heard(&mut self, number: u64) {
        if let Some(collector) = self.collectors.get_mut(&number) {
            collector.last_heard = Instant::now();
        }
    }

    fn remove(&mut self, number: u64) {
        self.unidentified.remove(&number);
        self.collectors.remove(&number);
    }
}

/// A connection's place in the table. It is free again once this is dropped, so also after a panic or an abort.
pub struct ConnectionSlot {
    number: u64,
    table: Rc<RefCell<ConnectionTable>>,
}

impl ConnectionSlot {
    /// The place of connection `number`.
    pub fn new(number: u64, table: Rc<RefCell<ConnectionTable>>) -> Self {
        ConnectionSlot { number, table }
    }

    /// The peer is the collector of a zone.
    pub fn identify(&self, zone: u32) {
        self.table.borrow_mut().identify(self.number, zone);
    }

    /// The collector has sent something.
    pub fn heard(&self) {
        self.table.borrow_mut().heard(self.number);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.borrow_mut().remove(self.number);
    }
}

#[cfg(test)]
mod tests;
