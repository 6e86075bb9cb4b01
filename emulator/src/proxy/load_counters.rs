//! The counters of a proxy: the load since the last report, and all attempts since its first start.

use super::AttemptCounts;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use tokio::time::Instant;

/// The load of a proxy in one report interval.
#[derive(Clone, Debug, Default)]
pub(crate) struct IntervalLoad {
    /// Attempts, by endpoint.
    pub(crate) attempts: BTreeMap<u32, AttemptSums>,
    /// Requests that clients sent to the proxy, by request class.
    pub(crate) requests: Vec<u64>,
}

/// Sums over attempts at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptSums {
    /// All attempts.
    pub(crate) attempts: u64,
    /// Attempts that failed.
    pub(crate) failed: u64,
    /// The total duration of the attempts that did not fail, in microseconds.
    pub(crate) answered_latency_us: u64,
}

impl AttemptSums {
    /// Adds the sums over other attempts.
    pub(crate) fn add(&mut self, other: AttemptSums) {
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.answered_latency_us += other.answered_latency_us;
    }

    /// Attempts that did not fail.
    pub(crate) fn answered(&self) -> u64 {
        self.attempts - self.failed
    }
}

/// The counters of a proxy.
pub(super) struct LoadCounters {
    request_class_count: usize,
    since_report: Mutex<IntervalLoad>,
    attempts: AtomicU64,
    cross_zone_attempts: AtomicU64,
}

impl LoadCounters {
    pub(super) fn new(request_class_count: usize) -> Self {
        LoadCounters {
            request_class_count,
            since_report: Mutex::new(IntervalLoad::empty(request_class_count)),
            attempts: AtomicU64::new(0),
            cross_zone_attempts: AtomicU64::new(0),
        }
    }

    /// Returns the load since the last call, and resets it.
    pub(super) fn take(&self) -> IntervalLoad {
        std::mem::replace(&mut *lock(&self.since_report), IntervalLoad::empty(self.request_class_count))
    }

    pub(super) fn attempt_counts(&self) -> AttemptCounts {
        AttemptCounts {
            total: self.attempts.load(Ordering::Relaxed),
            cross_zone: self.cross_zone_attempts.load(Ordering::Relaxed),
        }
    }

    /// Counts a request from a client. A request class that doesn't exist is ignored.
    pub(super) fn count_request(&self, request_class: usize) {
        if let Some(requests) = lock(&self.since_report).requests.get_mut(request_class) {
            *requests += 1;
        }
    }

    /// Starts an attempt at an endpoint. Its outcome and duration are added to the load when the guard is
    /// dropped.
    pub(super) fn start_attempt(&self, endpoint: u32, is_cross_zone: bool) -> AttemptGuard<'_> {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        if is_cross_zone {
            self.cross_zone_attempts.fetch_add(1, Ordering::Relaxed);
        }
        AttemptGuard { counters: self, endpoint, started_at: Instant::now(), answered: false }
    }
}

impl IntervalLoad {
    fn empty(request_class_count: usize) -> Self {
        IntervalLoad { attempts: BTreeMap::new(), requests: vec![0; request_class_count] }
    }
}

/// An attempt in flight. It counts as failed if the guard is dropped before the attempt is answered, for
/// example because the client disconnected.
pub(super) struct AttemptGuard<'a> {
    counters: &'a LoadCounters,
    endpoint: u32,
    started_at: Instant,
    answered: bool,
}

impl AttemptGuard<'_> {
    /// Marks the attempt as answered, so that it does not count as failed.
    pub(super) fn set_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut load = lock(&self.counters.since_report);
        let sums = load.attempts.entry(self.endpoint).or_default();
        sums.attempts += 1;
        if self.answered {
            sums.answered_latency_us += self.started_at.elapsed().as_micros() as u64;
        } else {
            sums.failed += 1;
        }
    }
}
