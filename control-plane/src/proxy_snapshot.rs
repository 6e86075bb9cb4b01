//! The joined proxies, as a new event stream lists them before its first heartbeat.

use std::collections::BTreeSet;

/// Collects the listed proxies until the list is complete.
pub struct ProxySnapshot {
    /// `None` once the snapshot has been completed or invalidated.
    joined: Option<BTreeSet<u32>>,
}

impl Default for ProxySnapshot {
    fn default() -> Self {
        ProxySnapshot { joined: Some(BTreeSet::new()) }
    }
}

impl ProxySnapshot {
    /// Adds a proxy that the stream lists as joined.
    pub fn insert(&mut self, proxy: u32) {
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
