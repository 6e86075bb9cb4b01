//! The counters of an endpoint, and guards that keep them correct when the future of a request or connection
//! is dropped before it completes.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use tokio::time::Instant;

/// Totals since the first start of the endpoint. A restart keeps them.
#[derive(Default)]
pub(super) struct Counters {
    /// Requests whose execution was started.
    pub(super) accepted: AtomicU64,
    /// Requests that were rejected because the queue was full.
    pub(super) rejected: AtomicU64,
    /// Requests that were refused because they came on a connection above the limit.
    pub(super) refused_connections: AtomicU64,
    /// Core time used, in microseconds.
    pub(super) used_core_us: AtomicU64,
}

/// Decrements a gauge when it is dropped.
pub(super) struct GaugeGuard<'a>(pub(super) &'a AtomicU32);

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        // A restart resets the gauge to 0 while guards from before the restart may still exist.
        let _ = self.0.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1));
    }
}

/// Adds the time between its creation and its drop to the used core time.
pub(super) struct CoreTimeGuard<'a> {
    counters: &'a Counters,
    started_at: Instant,
}

impl<'a> CoreTimeGuard<'a> {
    pub(super) fn new(counters: &'a Counters) -> Self {
        CoreTimeGuard { counters, started_at: Instant::now() }
    }
}

impl Drop for CoreTimeGuard<'_> {
    fn drop(&mut self) {
        let used_us = self.started_at.elapsed().as_micros() as u64;
        self.counters.used_core_us.fetch_add(used_us, Ordering::Relaxed);
    }
}
