//! Tasks that go on for as long as the process does.

use slog::{error, Logger};
use std::future::Future;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const REST: Duration = Duration::from_millis(100);

/// Starts a peer's task, and starts it again should it break: a slip there must not cost the supervisor.
pub fn restart_on_panic<F: Future<Output = ()> + 'static>(
    peer: &'static str,
    log: Logger,
    task: impl Fn() -> F + 'static,
) {
    spawn_local(async move {
        loop {
            if let Err(broken) = spawn_local(task()).await {
                error!(log, "a peer's task broke and is started anew"; "peer" => peer, "why" => %broken);
            }
            sleep(REST).await;
        }
    });
}

#[cfg(test)]
mod tests;
