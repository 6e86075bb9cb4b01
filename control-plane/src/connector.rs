//! Connection attempts to one peer, which outlive the call that started them. A peer may take longer to
//! accept a connection than a call waits: if each call cancelled its own attempt, no attempt would ever
//! succeed.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::timeout;

/// An attempt that takes longer has probably lost its first packets, and a newer one will be faster.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ATTEMPTS: usize = 4;

/// The attempts in progress.
pub struct Connector<S> {
    attempts: JoinSet<io::Result<S>>,
    /// Handles of the attempts, oldest first.
    handles: VecDeque<AbortHandle>,
}

/// An attempt that has ended.
struct FinishedAttempt<S> {
    attempt: Id,
    result: io::Result<S>,
}

impl<S: Send + 'static> Connector<S> {
    /// A connector without attempts.
    pub fn new() -> Self {
        Connector { attempts: JoinSet::new(), handles: VecDeque::new() }
    }

    /// Starts another attempt and waits for the first one that yields a usable connection. If the returned
    /// future is dropped before, all attempts continue for the next call.
    ///
    /// # Errors
    /// The new attempt failed. A failure of an older one is ignored, as it does not reflect the current
    /// state of the peer.
    pub async fn connect(
        &mut self,
        attempt: impl Future<Output = io::Result<S>> + Send + 'static,
        is_usable: impl Fn(&S) -> bool,
    ) -> io::Result<S> {
        let newest = self.start_attempt(attempt);
        loop {
            let finished = self.next_finished().await?;
            match finished.result {
                Ok(connection) if is_usable(&connection) => {
                    // Aborts the other attempts, each of which holds a file descriptor.
                    *self = Connector::new();
                    return Ok(connection);
                }
                Err(error) if finished.attempt == newest => return Err(error),
                _ => {}
            }
        }
    }

    /// Starts an attempt. If there are too many, it replaces the newest: the older ones are closer to
    /// success, and a new one is needed in case the network has just recovered.
    fn start_attempt(&mut self, attempt: impl Future<Output = io::Result<S>> + Send + 'static) -> Id {
        if self.handles.len() >= MAX_ATTEMPTS {
            if let Some(newest) = self.handles.pop_back() {
                newest.abort();
            }
        }
        let bounded = async { timeout(ATTEMPT_TIMEOUT, attempt).await.unwrap_or_else(|e| Err(e.into())) };
        let handle = self.attempts.spawn(bounded);
        let newest = handle.id();
        self.handles.push_back(handle);
        newest
    }

    async fn next_finished(&mut self) -> io::Result<FinishedAttempt<S>> {
        let finished = match self.attempts.join_next_with_id().await {
            Some(Ok((attempt, result))) => FinishedAttempt { attempt, result },
            Some(Err(panicked)) => {
                FinishedAttempt { attempt: panicked.id(), result: Err(io::Error::other(panicked)) }
            }
            None => return Err(io::Error::other("no connection attempt is in progress")),
        };
        self.handles.retain(|handle| handle.id() != finished.attempt);
        Ok(finished)
    }
}

#[cfg(test)]
mod tests;
