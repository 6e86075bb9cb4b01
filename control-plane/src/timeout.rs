//! Time limits on peers.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::timeout;

/// What a process that stood still gets to read what came meanwhile.
const GRACE: Duration = Duration::from_millis(15);

/// What the future yields, or nothing where the peer stays silent for so long. A process that shares its core
/// may itself have stood still: its timer is due then before it has read what came, and that is no silence.
pub async fn within<F: Future>(limit: Duration, awaited: F) -> Option<F::Output> {
    let mut awaited = pin!(awaited);
    match timeout(limit, &mut awaited).await {
        Ok(came) => Some(came),
        Err(_) => timeout(GRACE, awaited).await.ok(),
    }
}

#[cfg(test)]
mod tests;
