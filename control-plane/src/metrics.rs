//! Counters of rejected input that `/state` and the summary in the log show.

use std::cell::Cell;

/// What was rejected since the start.
#[derive(Default)]
pub struct Metrics {
    /// Load reports and entries of the endpoint list that were invalid.
    pub invalid_inputs: Counter,
    /// Connections to our address that ended with an error.
    pub connection_errors: Counter,
    /// Unidentified connections that were closed to make room.
    pub rejected_connections: Counter,
    /// Configurations that were reloaded.
    pub config_reloads: Counter,
    /// Configurations that were rejected at a reload.
    pub config_rejections: Counter,
}

/// A count that only grows.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Counts one more.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}
