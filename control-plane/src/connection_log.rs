//! The log lines about connections to the listener. All connections share their rate limits: a peer that
//! reconnects for each message must not be able to write more lines than one that stays.

use crate::call_error::CallError;
use crate::collector_message::InvalidContent;
use crate::log::LogRateLimit;
use slog::{info, warn, Logger};
use std::cell::RefCell;

/// Collectors of all zones may reconnect at the same time.
const MAX_COLLECTOR_LINES: u32 = 64;

/// Rate limits by kind of line.
pub struct ConnectionLog {
    collectors_connected: RefCell<LogRateLimit>,
    collectors_disconnected: RefCell<LogRateLimit>,
    dropped_reports: RefCell<LogRateLimit>,
    failed_connections: RefCell<LogRateLimit>,
}

impl Default for ConnectionLog {
    fn default() -> Self {
        ConnectionLog {
            collectors_connected: RefCell::new(LogRateLimit::with_burst(MAX_COLLECTOR_LINES)),
            collectors_disconnected: RefCell::new(LogRateLimit::with_burst(MAX_COLLECTOR_LINES)),
            dropped_reports: RefCell::default(),
            failed_connections: RefCell::default(),
        }
    }
}

impl ConnectionLog {
    /// A collector of this zone has identified itself.
    pub fn collector_connected(&self, log: &Logger, zone: u32) {
        if let Some(times) = self.collectors_connected.borrow_mut().record() {
            info!(log, "collector connected"; "zone" => zone, "times" => times);
        }
    }

    /// A collector has disconnected.
    pub fn collector_disconnected(&self, log: &Logger) {
        if let Some(times) = self.collectors_disconnected.borrow_mut().record() {
            info!(log, "collector disconnected"; "times" => times);
        }
    }

    /// A message was dropped: an invalid report or identification, or one of an unknown kind.
    pub fn report_dropped(&self, log: &Logger, reason: &InvalidContent) {
        if let Some(times) = self.dropped_reports.borrow_mut().record() {
            warn!(log, "load report dropped"; "why" => %reason, "times" => times);
        }
    }

    /// A connection ended with an error.
    pub fn connection_failed(&self, log: &Logger, error: &CallError) {
        if let Some(times) = self.failed_connections.borrow_mut().record() {
            info!(log, "connection failed"; "why" => #error, "times" => times);
        }
    }
}
