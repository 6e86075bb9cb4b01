//! Shutdown: the signals that request it, and the tasks that have to finish before the process ends.

use crate::timeout::timeout_with_grace;
use slog::{warn, Logger};
use std::io;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{JoinError, JoinHandle};

/// How long the tasks may take to finish. The platform kills the process 0.7 s after the signal.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
const LISTENER: &str = "the listener";
const CONTROL_LOOP: &str = "the control loop";

/// A task ended although there was no shutdown, or panicked.
#[derive(Debug, thiserror::Error)]
pub enum TaskError {
    /// The task returned.
    #[error("{task} ended unexpectedly")]
    Ended {
        /// The name of the task.
        task: &'static str,
    },
    /// The task panicked.
    #[error("{task} panicked")]
    Panicked {
        /// The name of the task.
        task: &'static str,
        /// The panic.
        source: JoinError,
    },
}

/// The signals that request a shutdown.
pub struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    /// Installs the signal handlers.
    pub fn install() -> io::Result<Self> {
        Ok(ShutdownSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal and returns its name.
    pub async fn recv(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}

/// The tasks that run until the shutdown, and then finish their work.
pub struct ServerTasks {
    /// Accepts connections.
    pub listener: JoinHandle<()>,
    /// Owns the controller.
    pub control_loop: JoinHandle<()>,
}

impl ServerTasks {
    /// Waits for a task to end without a shutdown.
    pub async fn unexpected_end(&mut self) -> TaskError {
        let (task, ended) = tokio::select! {
            ended = &mut self.control_loop => (CONTROL_LOOP, ended),
            ended = &mut self.listener => (LISTENER, ended),
        };
        match ended {
            Ok(()) => TaskError::Ended { task },
            Err(source) => TaskError::Panicked { task, source },
        }
    }

    /// Waits for all tasks to end, up to the shutdown timeout. A timeout is logged and is not an error.
    ///
    /// # Errors
    /// A task panicked.
    pub async fn finish(self, log: &Logger) -> Result<(), TaskError> {
        let all = async { tokio::join!(self.control_loop, self.listener) };
        let Some((control_loop, listener)) = timeout_with_grace(SHUTDOWN_TIMEOUT, all).await else {
            let timeout = SHUTDOWN_TIMEOUT.as_millis() as u64;
            warn!(log, "shutdown timed out with work pending"; "after_ms" => timeout);
            return Ok(());
        };
        control_loop.map_err(|source| TaskError::Panicked { task: CONTROL_LOOP, source })?;
        listener.map_err(|source| TaskError::Panicked { task: LISTENER, source })?;
        Ok(())
    }
}
