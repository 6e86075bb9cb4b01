//! The status snapshot that `/state` returns, and its summary in the log.

use crate::metrics::Metrics;
use otterwinch::time::{Moment, Span};
use serde_json::json;
use slog::{info, Logger};
use std::rc::Rc;
use tokio::sync::watch;

/// How often the snapshot is updated.
pub const SNAPSHOT_INTERVAL: Span = Span::from_us(1_000_000);
const SUMMARY_INTERVAL: Span = Span::from_us(10_000_000);

/// Status of the control loop.
pub struct LoopStatus {
    /// Number of listed endpoints.
    pub endpoints: usize,
    /// Number of joined proxies.
    pub proxies: usize,
    /// Commands that the controller has issued since the start.
    pub commands: u64,
    /// Calls to the relay since the start.
    pub calls: u64,
    /// Calls to the relay that failed since the start.
    pub failed_calls: u64,
    /// Controllers that were started: the first one, and one more at each restart.
    pub controller_starts: u64,
    /// Whether the latest call to the relay failed.
    pub delivery_failing: bool,
}

/// Updates the snapshot and logs the summary.
pub struct StatusReporter {
    snapshot: watch::Sender<String>,
    metrics: Rc<Metrics>,
    log: Logger,
    last_snapshot: Moment,
    last_summary: Moment,
}

impl StatusReporter {
    /// Returns a reporter and the receiver of its snapshots.
    pub fn new(metrics: Rc<Metrics>, log: Logger, now: Moment) -> (Self, watch::Receiver<String>) {
        let (snapshot, receiver) = watch::channel(String::from("{}"));
        (StatusReporter { snapshot, metrics, log, last_snapshot: now, last_summary: now }, receiver)
    }

    /// Whether a new snapshot is due.
    pub fn is_due(&self, now: Moment) -> bool {
        now - self.last_snapshot >= SNAPSHOT_INTERVAL
    }

    /// Updates the snapshot, and logs the summary if it is due.
    pub fn report(&mut self, now: Moment, status: &LoopStatus) {
        self.last_snapshot = now;
        self.snapshot.send_replace(self.snapshot_text(status));
        if now - self.last_summary >= SUMMARY_INTERVAL {
            self.last_summary = now;
            self.log_summary(status);
        }
    }

    fn snapshot_text(&self, status: &LoopStatus) -> String {
        let snapshot = json!({
            "servers": status.endpoints,
            "proxies": status.proxies,
            "commands": status.commands,
            "calls": status.calls,
            "calls_lost": status.failed_calls,
            "opened": status.controller_starts,
            "relay_away": status.delivery_failing,
            "dropped": self.metrics.invalid_inputs.get(),
            "ended": self.metrics.connection_errors.get(),
            "turned_away": self.metrics.evicted_connections.get(),
            "config_read": self.metrics.config_reloads.get(),
            "config_refused": self.metrics.config_rejections.get(),
        });
        snapshot.to_string()
    }

    /// Logs the summary under the same keys as in the snapshot.
    fn log_summary(&self, status: &LoopStatus) {
        info!(self.log, "summary";
            "servers" => status.endpoints,
            "proxies" => status.proxies,
            "commands" => status.commands,
            "calls" => status.calls,
            "calls_lost" => status.failed_calls,
            "opened" => status.controller_starts,
            "dropped" => self.metrics.invalid_inputs.get(),
            "ended" => self.metrics.connection_errors.get(),
            "turned_away" => self.metrics.evicted_connections.get());
    }
}
