//! Connects towards one peer that outlive the call they were begun for. A connect may be slow and still come
//! up: cut off with each call and begun anew by the next, it never would.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::timeout;

/// A connect that takes longer is not coming: its first packet was lost long ago, and a younger one is quicker.
const LONGEST: Duration = Duration::from_secs(3);
/// The oldest go on, for they come up first; the youngest makes room for one that finds a network just mended.
const AT_ONCE: usize = 4;

pub struct Connector<S> {
    running: JoinSet<io::Result<S>>,
    handles: VecDeque<AbortHandle>,
}

impl<S: Send + 'static> Connector<S> {
    pub fn new() -> Self {
        Connector { running: JoinSet::new(), handles: VecDeque::new() }
    }

    /// Begins one more connect and waits for whichever comes up first and is `sound`. Dropped before, it leaves
    /// them all under way for the next. An old one that fails tells nothing of now; the new one's failure does.
    pub async fn up(
        &mut self,
        dial: impl Future<Output = io::Result<S>> + Send + 'static,
        sound: impl Fn(&S) -> bool,
    ) -> io::Result<S> {
        if self.handles.len() >= AT_ONCE {
            self.handles.pop_back().into_iter().for_each(|youngest| youngest.abort());
        }
        let bounded = async { timeout(LONGEST, dial).await.unwrap_or_else(|e| Err(e.into())) };
        let newest = self.running.spawn(bounded);
        let number = newest.id();
        self.handles.push_back(newest);
        loop {
            let (ended, came) = match self.running.join_next_with_id().await {
                Some(Ok((ended, came))) => (ended, came),
                Some(Err(broken)) => (broken.id(), Err(io::Error::other(broken))),
                None => return Err(io::Error::other("no connect is under way")),
            };
            self.forget(ended);
            match came {
                Ok(stream) if sound(&stream) => {
                    // Nobody needs the others any more; each would hold a descriptor.
                    *self = Connector::new();
                    return Ok(stream);
                }
                Err(why) if ended == number => return Err(why),
                _ => {}
            }
        }
    }

    fn forget(&mut self, ended: Id) {
        self.handles.retain(|dial| dial.id() != ended);
    }
}

#[cfg(test)]
mod tests;
