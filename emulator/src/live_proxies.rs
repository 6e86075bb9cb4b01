//! The proxies that clients can reach.

use crate::sync::lock;
use std::sync::Mutex;

/// The addresses of the running proxies, by zone.
pub(crate) struct LiveProxies {
    addresses: Mutex<Vec<Vec<String>>>,
}

impl LiveProxies {
    pub(crate) fn new(addresses_by_zone: Vec<Vec<String>>) -> Self {
        LiveProxies { addresses: Mutex::new(addresses_by_zone) }
    }

    /// Picks the address of a proxy for a client in a zone: a proxy of that zone or, if it has none, of any
    /// zone. `sample` is from 0 (included) to 1 (excluded) and selects the proxy.
    pub(crate) fn pick(&self, zone: usize, sample: f64) -> Option<String> {
        let addresses = lock(&self.addresses);
        if let Some(address) = pick_one(&addresses[zone], sample) {
            return Some(address);
        }
        pick_one(&addresses.concat(), sample)
    }

    /// Removes all proxies of a zone.
    pub(crate) fn remove_zone(&self, zone: usize) {
        lock(&self.addresses)[zone].clear();
    }

    /// Adds a proxy to a zone.
    pub(crate) fn add(&self, zone: usize, address: String) {
        lock(&self.addresses)[zone].push(address);
    }
}

fn pick_one(addresses: &[String], sample: f64) -> Option<String> {
    let index = (sample * addresses.len() as f64) as usize;
    addresses.get(index).cloned()
}
