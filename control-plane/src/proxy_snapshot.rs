//! The joined proxies, as a new event stream lists them before its first heartbeat.

use std::collections::BTreeSet;

/// Collects the listed proxies until the list is complete.
pub struct ProxySnapshot {
    /// `None` once the snapshot has been completed or invalidated.
    joined: Option<BTreeSet<u32>>,
    proxy_count: u32,
}

impl ProxySnapshot {
    /// An empty snapshot of a deployment whose proxies have the numbers below `proxy_count`.
    pub fn new(proxy_count: u32) -> Self {
        ProxySnapshot { joined: Some(BTreeSet::new()), proxy_count }
    }

    /// Adds a proxy that the stream lists as joined. One that does not exist is ignored, so that an invalid
    /// stream can't make the snapshot grow without bound.
    pub fn insert(&mut self, proxy: u32) {
        if proxy >= self.proxy_count {
            return;
        }
        if let Some(joined) = &mut self.joined {
            joined.insert(proxy);
        }
    }

    /// Removes a proxy that left.
    pub fn remove(&mut self, proxy: u32) {
        if let Some(joined) = &mut self.joined {
            joined.remove(&proxy);
        }
    }

    /// Invalidates the snapshot because not all listed proxies are known. No proxy may then be treated as
    /// missing.
    pub fn invalidate(&mut self) {
        self.joined = None;
    }

    /// Completes the snapshot at a heartbeat. Returns all joined proxies at the first heartbeat, and `None`
    /// at later ones or if the snapshot was invalidated.
    pub fn complete(&mut self) -> Option<BTreeSet<u32>> {
        self.joined.take()
    }
}

#[cfg(test)]
mod tests;
