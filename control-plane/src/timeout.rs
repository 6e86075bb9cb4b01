//! Time limits on peers.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

/// Time to read what arrived while this process was not scheduled.
const GRACE_PERIOD: Duration = Duration::from_millis(15);

/// The future's output, or nothing where it takes longer than `limit`.
///
/// A process that shares its core may itself have been suspended: its timer is due then before it has read what
/// arrived meanwhile. So the future gets a grace period after the limit.
pub async fn within<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    match timeout(limit, &mut future).await {
        Ok(output) => Some(output),
        Err(_) => timeout(GRACE_PERIOD, future).await.ok(),
    }
}

#[cfg(test)]
mod tests;
