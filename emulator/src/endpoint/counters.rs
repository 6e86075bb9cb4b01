//! What an endpoint counts, and guards that keep the counts right when a request or connection is dropped half-way.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use tokio::time::Instant;

/// Totals since the endpoint was first started; they survive a restart.
#[derive(Default)]
pub(super) struct Counters {
    /// Requests that were executed.
    pub(super) accepted: AtomicU64,
    /// Requests that found the queue full.
    pub(super) rejected: AtomicU64,
    /// Requests on connections above the limit.
    pub(super) refused_connections: AtomicU64,
    /// Core time in use, in microseconds.
    pub(super) used_core_us: AtomicU64,
}

/// Decrements a gauge when it is dropped.
pub(super) struct GaugeGuard<'a>(pub(super) &'a AtomicU32);

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        // A restart resets the gauge while guards of the former incarnation may still exist.
        let _ = self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1));
    }
}

/// Adds the time from its creation to its drop to the core time in use.
pub(super) struct CoreTimeGuard<'a> {
    counters: &'a Counters,
    began: Instant,
}

impl<'a> CoreTimeGuard<'a> {
    pub(super) fn new(counters: &'a Counters) -> Self {
        CoreTimeGuard { counters, began: Instant::now() }
    }
}

impl Drop for CoreTimeGuard<'_> {
    fn drop(&mut self) {
        let used_us = self.began.elapsed().as_micros() as u64;
        self.counters.used_core_us.fetch_add(used_us, Ordering::Relaxed);
    }
}
