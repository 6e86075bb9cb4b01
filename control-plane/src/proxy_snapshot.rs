//! The proxies that a new event stream names as joined before its first heartbeat.

use std::collections::BTreeSet;

/// Collects the named proxies until they are complete.
pub struct ProxySnapshot {
    /// Nothing once the snapshot is complete or given up.
    present: Option<BTreeSet<u32>>,
}

impl Default for ProxySnapshot {
    fn default() -> Self {
        ProxySnapshot { present: Some(BTreeSet::new()) }
    }
}

impl ProxySnapshot {
    /// A proxy was named.
    pub fn proxy_present(&mut self, proxy: u32) {
        if let Some(present) = &mut self.present {
            present.insert(proxy);
        }
    }

    /// A proxy left.
    pub fn proxy_left(&mut self, proxy: u32) {
        if let Some(present) = &mut self.present {
            present.remove(&proxy);
        }
    }

    /// Not all named proxies are known, so none may be taken as missing.
    pub fn give_up(&mut self) {
        self.present = None;
    }

    /// The first heartbeat came: all proxies that are joined. Nothing at later heartbeats, or where it was given up.
    pub fn complete(&mut self) -> Option<BTreeSet<u32>> {
        self.present.take()
    }
}

#[cfg(test)]
mod tests;
