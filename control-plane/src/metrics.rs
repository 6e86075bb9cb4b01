//! Counters of rejected input, failed connections and reloads. `/state` shows all of them, the summary in the
//! log all but those of reloads.

use std::cell::Cell;

/// Counters since the start of the process.
#[derive(Default)]
pub struct Metrics {
    /// Invalid load reports and endpoint list entries.
    pub invalid_inputs: Counter,
    /// Connections to the listener that ended with an error.
    pub connection_errors: Counter,
    /// Connections that arrived while the listener was full. Each has the oldest unidentified one closed to
    /// make room.
    pub evicted_connections: Counter,
    /// Configurations that were reloaded.
    pub config_reloads: Counter,
    /// Configurations that were rejected at a reload.
    pub config_rejections: Counter,
}

/// A monotonic counter.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds 1.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}
