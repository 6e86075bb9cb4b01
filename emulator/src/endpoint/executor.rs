//! The cores of an endpoint and the queue in front of them. Executing a request is a sleep for its execution
//! time.

use super::counters::GaugeGuard;
use crate::sync::lock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant};

/// The most that one sleep adds to the accumulated overshoot, in seconds. A longer delay is caused by the
/// load of the machine, not by the granularity of its timers.
const MAX_RECORDED_OVERSHOOT_SECS: f64 = 0.01;

/// Executes requests on a fixed number of cores.
pub(super) struct Executor {
    cores: Arc<Semaphore>,
    queued: AtomicU32,
    max_queued: u32,
    /// Seconds by which earlier sleeps were too long, less what has been deducted since. Timers have a
    /// granularity of one millisecond; deducting the overshoot from later sleeps keeps the used core time
    /// correct on average.
    overshoot: Mutex<f64>,
}

/// The error of a request that arrives while the queue is full.
pub(super) struct QueueFull;

impl Executor {
    pub(super) fn new(cores: u32, max_queued: u32) -> Self {
        Executor {
            cores: Arc::new(Semaphore::new(cores as usize)),
            queued: AtomicU32::new(0),
            max_queued,
            overshoot: Mutex::new(0.0),
        }
    }

    /// Resets the queue length at a restart.
    pub(super) fn reset_queue(&self) {
        self.queued.store(0, Ordering::SeqCst);
    }

    /// Takes a free core, or waits in the queue for one.
    pub(super) async fn acquire_core(&self) -> Result<OwnedSemaphorePermit, QueueFull> {
        if let Ok(core) = self.cores.clone().try_acquire_owned() {
            return Ok(core);
        }
        if self.queued.fetch_add(1, Ordering::SeqCst) >= self.max_queued {
            self.queued.fetch_sub(1, Ordering::SeqCst);
            return Err(QueueFull);
        }
        let _queued = GaugeGuard(&self.queued);
        Ok(self.cores.clone().acquire_owned().await.expect("the semaphore is never closed"))
    }

    /// Sleeps for the execution time of a request, less the accumulated overshoot.
    pub(super) async fn occupy_core(&self, seconds: f64) {
        let requested = self.deduct_overshoot(seconds);
        let started_at = Instant::now();
        sleep(Duration::from_secs_f64(requested)).await;
        let excess = started_at.elapsed().as_secs_f64() - requested;
        *lock(&self.overshoot) += excess.clamp(0.0, MAX_RECORDED_OVERSHOOT_SECS);
    }

    /// Deducts the accumulated overshoot from a sleep, at most its whole length. Returns the remaining sleep
    /// in seconds.
    fn deduct_overshoot(&self, seconds: f64) -> f64 {
        let mut overshoot = lock(&self.overshoot);
        let remaining = (seconds - *overshoot).max(0.0);
        *overshoot -= seconds - remaining;
        remaining
    }
}
