//! Timeouts for waiting on peers.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

/// The extra time to read data that arrived while this process was not scheduled.
const GRACE_PERIOD: Duration = Duration::from_millis(15);

/// Returns the future's output, or `None` if the future takes longer than `limit`.
///
/// A process that shares its core may have been suspended itself. Its timer then expires before it has read
/// the data that arrived in the meantime, so the future gets a grace period after the limit.
pub async fn timeout_with_grace<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    match timeout(limit, &mut future).await {
        Ok(output) => Some(output),
        Err(_) => timeout(GRACE_PERIOD, future).await.ok(),
    }
}

#[cfg(test)]
mod tests;
