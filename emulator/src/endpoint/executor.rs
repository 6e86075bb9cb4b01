//! The cores of an endpoint and the queue before them. Execution is a sleep for as long as the work takes.

use super::counters::GaugeGuard;
use crate::sync::lock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant};

/// The most that one late timer adds to the timer debt, in seconds. A longer delay is the machine's load, not the
/// timer's granularity.
const MAX_TIMER_DEBT_STEP_SECS: f64 = 0.01;

/// Executes requests on a number of cores.
pub(super) struct Executor {
    cores: Arc<Semaphore>,
    queued: AtomicU32,
    max_queued: u32,
    /// Seconds by which sleeps were too long. Timers have a granularity of a millisecond; later sleeps are shortened by
    /// the debt, so that the core time in use is right on average.
    timer_debt: Mutex<f64>,
}

/// The queue is full.
pub(super) struct QueueFull;

impl Executor {
    pub(super) fn new(cores: u32, max_queued: u32) -> Self {
        Executor {
            cores: Arc::new(Semaphore::new(cores as usize)),
            queued: AtomicU32::new(0),
            max_queued,
            timer_debt: Mutex::new(0.0),
        }
    }

    /// Forgets the queue of a former incarnation.
    pub(super) fn reset_queue(&self) {
        self.queued.store(0, Ordering::SeqCst);
    }

    /// Takes a free core, or queues for one.
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

    /// Sleeps for a number of seconds, less the timer debt.
    pub(super) async fn occupy(&self, seconds: f64) {
        let requested = self.repay_timer_debt(seconds);
        let began = Instant::now();
        sleep(Duration::from_secs_f64(requested)).await;
        let excess = began.elapsed().as_secs_f64() - requested;
        *lock(&self.timer_debt) += excess.clamp(0.0, MAX_TIMER_DEBT_STEP_SECS);
    }

    /// Shortens a sleep by the timer debt, as far as it goes; returns what remains to sleep.
    fn repay_timer_debt(&self, seconds: f64) -> f64 {
        let mut timer_debt = lock(&self.timer_debt);
        let remaining = (seconds - *timer_debt).max(0.0);
        *timer_debt -= seconds - remaining;
        remaining
    }
}
