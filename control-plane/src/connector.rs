//! Connection attempts to one peer that outlive the call that began them. An attempt may be slow and still succeed: if
//! each call gave up its own and the next began anew, none ever would.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::timeout;

/// An attempt that takes longer lost its first packet long ago: a younger one is quicker.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ATTEMPTS: usize = 4;

/// The attempts that are under way.
pub struct Connector<S> {
    attempts: JoinSet<io::Result<S>>,
    /// Handles of the attempts, the oldest first.
    handles: VecDeque<AbortHandle>,
}

/// An attempt that is over.
struct Finished<S> {
    attempt: Id,
    result: io::Result<S>,
}

impl<S: Send + 'static> Connector<S> {
    /// A connector without attempts.
    pub fn new() -> Self {
        Connector { attempts: JoinSet::new(), handles: VecDeque::new() }
    }

    /// Begins one more attempt and waits for the first that yields a usable connection. If this is dropped before, all
    /// attempts go on for the next call.
    ///
    /// # Errors
    /// The failure of the new attempt. That of an older one says nothing about the peer's present state.
    pub async fn connect(
        &mut self,
        attempt: impl Future<Output = io::Result<S>> + Send + 'static,
        is_usable: impl Fn(&S) -> bool,
    ) -> io::Result<S> {
        let newest = self.begin(attempt);
        loop {
            let finished = self.next_finished().await?;
            match finished.result {
                Ok(connection) if is_usable(&connection) => {
                    // Ends the other attempts: each holds a descriptor.
                    *self = Connector::new();
                    return Ok(connection);
                }
                Err(error) if finished.attempt == newest => return Err(error),
                _ => {}
            }
        }
    }

    /// Where there are too many attempts the youngest gives way: the older ones are nearer to success, and a new one is
    /// needed for a network that has just recovered.
    fn begin(&mut self, attempt: impl Future<Output = io::Result<S>> + Send + 'static) -> Id {
        if self.handles.len() >= MAX_ATTEMPTS {
            if let Some(youngest) = self.handles.pop_back() {
                youngest.abort();
            }
        }
        let bounded = async { timeout(ATTEMPT_TIMEOUT, attempt).await.unwrap_or_else(|e| Err(e.into())) };
        let handle = self.attempts.spawn(bounded);
        let newest = handle.id();
        self.handles.push_back(handle);
        newest
    }

    async fn next_finished(&mut self) -> io::Result<Finished<S>> {
        let finished = match self.attempts.join_next_with_id().await {
            Some(Ok((attempt, result))) => Finished { attempt, result },
            Some(Err(panicked)) => {
                Finished { attempt: panicked.id(), result: Err(io::Error::other(panicked)) }
            }
            None => return Err(io::Error::other("no connection attempt is under way")),
        };
        self.handles.retain(|handle| handle.id() != finished.attempt);
        Ok(finished)
    }
}

#[cfg(test)]
mod tests;
