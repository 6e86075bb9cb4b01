//! The log: JSON lines on standard error, written by a separate thread. If its queue is full, lines are
//! dropped and counted, so that a blocked reader never delays the control loop.

use slog::{o, Drain, Logger};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const QUEUE_CAPACITY: usize = 512;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Returns a logger to standard error for the control plane with this name, and the guard to pass to
/// [`flush`].
pub fn stderr_logger(name: &str) -> (Logger, AsyncGuard) {
    let lines = slog_json::Json::default(std::io::stderr()).ignore_res();
    let (drain, guard) = Async::new(lines)
        .chan_size(QUEUE_CAPACITY)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.ignore_res(), o!("instance" => name.to_owned())), guard)
}

/// Writes the queued lines within a time limit, so that a blocked reader does not keep the process alive.
pub fn flush(guard: AsyncGuard) {
    let (done, written) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
}

/// Limits how often an event is logged that may occur with every message.
pub struct LogRateLimit {
    /// The most lines within [`MIN_LOG_INTERVAL`].
    burst: u32,
    unlogged: u64,
    interval_started: Option<Instant>,
    logged_in_interval: u32,
}

impl Default for LogRateLimit {
    fn default() -> Self {
        LogRateLimit::with_burst(1)
    }
}

impl LogRateLimit {
    /// A limit of `burst` lines within [`MIN_LOG_INTERVAL`].
    pub fn with_burst(burst: u32) -> Self {
        LogRateLimit { burst, unlogged: 0, interval_started: None, logged_in_interval: 0 }
    }

    /// Counts an occurrence. If it is to be logged, returns the number of occurrences since the last one that
    /// was logged, including this one.
    pub fn record(&mut self) -> Option<u64> {
        self.unlogged += 1;
        if self.interval_started.is_none_or(|started| started.elapsed() >= MIN_LOG_INTERVAL) {
            self.interval_started = Some(Instant::now());
            self.logged_in_interval = 0;
        }
        if self.logged_in_interval == self.burst {
            return None;
        }
        self.logged_in_interval += 1;
        Some(std::mem::take(&mut self.unlogged))
    }
}
