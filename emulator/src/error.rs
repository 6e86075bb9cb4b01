//! The error type of the testbed.

use std::io;
use std::path::PathBuf;
use tokio::task::JoinError;

/// An error that prevents a testbed from starting or makes a run fail.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// An emulated server cannot listen on its address.
    #[error("an emulated server cannot listen on its address: {0}")]
    Listen(#[from] io::Error),
    /// The configuration or log file of a control-plane process cannot be written.
    #[error("cannot write control-plane file {}: {source}", path.display())]
    WriteFile {
        /// The path of the file.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The control-plane program cannot be started.
    #[error("cannot start control-plane program {} (has it been built?): {source}", path.display())]
    StartProgram {
        /// The path of the program.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A control-plane process was started but did not answer a health check in time.
    #[error(
        "control-plane program {} does not answer health checks at {address}; see its log {}",
        path.display(),
        log.display()
    )]
    Unresponsive {
        /// The path of the program.
        path: PathBuf,
        /// The address on which it is configured to listen.
        address: String,
        /// The path of its log file.
        log: PathBuf,
    },
    /// Some proxies were not assigned a route table in time.
    #[error("{unassigned} of {proxies} proxies were not assigned a route table within {limit_seconds} s")]
    NoRouteTable {
        /// The number of proxies without an assigned table.
        unassigned: usize,
        /// The number of all proxies.
        proxies: usize,
        /// The time limit in seconds.
        limit_seconds: u64,
    },
    /// A task that injects a fault panicked or was cancelled.
    #[error("fault injection task failed: {0}")]
    FaultInjection(#[from] JoinError),
}
