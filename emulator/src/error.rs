//! The errors of a testbed.

use std::io;
use std::path::PathBuf;
use tokio::task::JoinError;

/// Why a testbed could not be started or a run failed.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// An emulated party can't listen on its address.
    #[error("an emulated party can't listen: {0}")]
    Listen(#[from] io::Error),
    /// The configuration or the log of a control-plane process can't be written.
    #[error("{} can't be written: {source}", path.display())]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The program of the control plane can't be started.
    #[error("{} can't be started: {source}; build it first", path.display())]
    StartProgram {
        /// The program.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A control-plane process was started but doesn't answer health checks.
    #[error("{} does not answer at {address}; its log: {}", path.display(), log.display())]
    Unresponsive {
        /// The program.
        path: PathBuf,
        /// Where it should listen.
        address: String,
        /// Its log file.
        log: PathBuf,
    },
    /// Some proxies were assigned no route table in time.
    #[error("{waiting} of {proxies} proxies were assigned no route table within {limit_seconds} s")]
    NoRouteTable {
        /// Proxies without a table.
        waiting: usize,
        /// All proxies.
        proxies: usize,
        /// How long they were waited for.
        limit_seconds: u64,
    },
    /// A task that injects a fault panicked.
    #[error("a fault injection failed: {0}")]
    FaultInjection(#[from] JoinError),
}
