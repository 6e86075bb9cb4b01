//! The log: structured, to standard error, written by a thread of its own. What does not fit its queue is
//! dropped and counted, so that a reader who stands still never holds up the decisions.

use slog::{o, Drain, Logger};
use std::time::{Duration, Instant};

const QUEUE: usize = 512;
const FLUSHED_WITHIN: Duration = Duration::from_millis(200);
const AT_MOST_EVERY: Duration = Duration::from_secs(5);

pub fn to_stderr(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let lines = slog_json::Json::default(std::io::stderr()).ignore_res();
    let (drain, guard) = slog_async::Async::new(lines)
        .chan_size(QUEUE)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.ignore_res(), o!("supervisor" => name.to_owned())), guard)
}

/// Writes what is still queued, for a moment: a reader who stands still must not keep the process alive.
pub fn flush(guard: slog_async::AsyncGuard) {
    let (done, written) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        let _ = done.send(());
    });
    let _ = written.recv_timeout(FLUSHED_WITHIN);
}

/// For what may come once a message: tells when to log it, and how many there were since the last time.
#[derive(Default)]
pub struct LogRateLimit {
    unsaid: u64,
    said: Option<Instant>,
}

impl LogRateLimit {
    pub fn due(&mut self) -> Option<u64> {
        self.unsaid += 1;
        let due = self.said.is_none_or(|at| at.elapsed() >= AT_MOST_EVERY);
        due.then(|| {
            self.said = Some(Instant::now());
            std::mem::take(&mut self.unsaid)
        })
    }
}
