//! The joined proxies, as a new event stream lists them before its first heartbeat.

use std::collections::BTreeSet;

/// Collects the listed proxies until the list is complete.
pub struct ProxySnapshot {
    /// `None` once the snapshot has been completed or invalidated.
    present: Option<BTreeSet<u32>>,
}

impl Default for ProxySnapshot {
    fn default() -> Self {
        ProxySnapshot { present: Some(BTreeSet::new()) }
    }
}

impl ProxySnapshot {
    /// Adds a proxy that the stream lists as joined.
    pub fn proxy_present(&mut self, proxy: u32) {
        if let Some(present) = &mut self.present {
            present.insert(proxy);
        }
    }

    /// Removes a proxy that left.
    pub fn proxy_left(&mut self, proxy: u32) {
        if let Some(present) = &mut self.present {
            present.remove(&proxy);
        }
    }

    /// Gives up on the snapshot because not all listed proxies are known. No proxy may then be treated as
    /// missing.
    pub fn give_up(&mut self) {
        self.present = None;
    }

    /// Completes the snapshot at a heartbeat. Returns all joined proxies at the first heartbeat, and `None`
    /// at later ones or if the snapshot was invalidated.
    pub fn complete(&mut self) -> Option<BTreeSet<u32>> {
        self.present.take()
    }
}

#[cfg(test)]
mod tests;
