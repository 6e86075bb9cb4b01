//! Supervision of tasks that run until the process ends.

use slog::{error, Logger};
use std::future::Future;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Starts a task and restarts it whenever it ends, so that a panic in it does not end the process. `name`
/// identifies the task in the log.
pub fn restart_on_panic<F: Future<Output = ()> + 'static>(
    name: &'static str,
    log: Logger,
    task: impl Fn() -> F + 'static,
) {
    spawn_local(async move {
        loop {
            if let Err(panicked) = spawn_local(task()).await {
                error!(log, "task panicked, restarting it"; "task" => name, "why" => %panicked);
            }
            sleep(RESTART_DELAY).await;
        }
    });
}

#[cfg(test)]
mod tests;
