//! The proxies: those that are joined, the route table that each is on, and the usual load of all that were
//! ever seen.
//!
//! [`Controller`](super::Controller) enters joins and leaves here, assignment puts the proxies on their
//! tables, and routing reads the usual rates of the zones.

use crate::time::Moment;
use std::collections::BTreeMap;

/// A joined proxy.
pub(super) struct Proxy {
    /// Its usual request rate, in requests a second.
    pub(super) rate: f64,
    /// When it joined, or when its assignment was rejected last.
    pub(super) joined: Moment,
    /// It was never assigned a table, by any controller: it holds the few endpoints that it drew at its
    /// start.
    pub(super) has_initial_table: bool,
    /// The table that it is on, or will be.
    pub(super) table: u32,
    /// It was put on its table in this stream. Until then it may hold stale tables of an earlier stream.
    pub(super) is_assigned: bool,
    /// Changes of its table reach it, as far as is known: it is on it, or was and may be still.
    pub(super) receives_updates: bool,
}

/// The zone and the usual request rate of a proxy that was seen at some time.
struct SeenProxy {
    zone: u32,
    rate: f64,
}

/// All joined proxies, and what is known about those that left.
#[derive(Default)]
pub(super) struct ProxyRegistry {
    pub(super) joined: BTreeMap<u32, Proxy>,
    seen: BTreeMap<u32, SeenProxy>,
}

impl ProxyRegistry {
    /// A proxy joined; `has_initial_table` is what it said itself.
    pub(super) fn join(
        &mut self,
        now: Moment,
        proxy: u32,
        zone: u32,
        rate: f64,
        has_initial_table: bool,
        table: u32,
    ) {
        let was_seen = self.seen.insert(proxy, SeenProxy { zone, rate }).is_some();
        // A proxy that joins again without having left may never have lost its table. Until it is assigned
        // again, changes of that table reach it as before.
        let receives_updates =
            self.joined.get(&proxy).is_some_and(|former| former.receives_updates && former.table == table);
        let proxy_state = Proxy {
            rate,
            joined: now,
            has_initial_table: has_initial_table && !was_seen,
            table,
            is_assigned: false,
            receives_updates,
        };
        self.joined.insert(proxy, proxy_state);
    }

    /// A proxy left.
    pub(super) fn leave(&mut self, proxy: u32) {
        self.joined.remove(&proxy);
    }

    /// A proxy was put on its table; returns the table.
    pub(super) fn mark_assigned(&mut self, proxy: u32) -> u32 {
        let state = self.joined.get_mut(&proxy).expect("only joined proxies are assigned");
        state.is_assigned = true;
        state.receives_updates = true;
        state.table
    }

    /// The assignment of a proxy was rejected: it waits as one that joins now.
    pub(super) fn unassign(&mut self, now: Moment, proxy: u32) {
        if let Some(state) = self.joined.get_mut(&proxy) {
            state.is_assigned = false;
            state.joined = now;
        }
    }

    /// The proxies with some property, in the order of their numbers.
    pub(super) fn matching(&self, property: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.joined.iter().filter(|(_, proxy)| property(proxy)).map(|(number, _)| *number).collect()
    }

    /// Whether a joined proxy is on no table yet.
    pub(super) fn any_unassigned(&self) -> bool {
        self.joined.values().any(|proxy| !proxy.is_assigned)
    }

    /// The usual request rate of all joined proxies, in requests a second.
    pub(super) fn joined_rate(&self) -> f64 {
        self.joined.values().map(|proxy| proxy.rate).sum::<f64>()
    }

    /// The usual request rate of each zone, of all proxies that were ever seen.
    pub(super) fn rates_by_zone(&self) -> BTreeMap<u32, f64> {
        let mut rates = BTreeMap::new();
        for proxy in self.seen.values() {
            *rates.entry(proxy.zone).or_default() += proxy.rate;
        }
        rates
    }
}

#[cfg(test)]
mod tests;
