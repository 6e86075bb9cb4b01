//! The proxy registry: the joined proxies, the route table of each, and the usual request rates of all
//! proxies that have ever joined.
//!
//! [`Controller`](super::Controller) records here which proxies join and leave, `assignment` assigns them to
//! their tables, and `publication` reads the request rates of the zones for routing.

use crate::time::Moment;
use std::collections::BTreeMap;

/// A joined proxy.
pub(super) struct Proxy {
    /// Its usual request rate, in requests per second.
    pub(super) rate: f64,
    /// When it joined, or when its assignment was last rejected.
    pub(super) waiting_since: Moment,
    /// Whether, when it joined, it had never been assigned a table by any controller and still used the few
    /// endpoints that it selected when it started.
    pub(super) has_initial_table: bool,
    /// The table that it is or will be assigned to.
    pub(super) table: u32,
    /// Whether it was assigned to its table since it last joined or had its assignment rejected. Until then
    /// it may use a stale table from an earlier stream.
    pub(super) is_assigned: bool,
    /// Whether changes of its table are assumed to reach it: it is assigned to the table, or was and may
    /// still be.
    pub(super) receives_updates: bool,
}

/// The zone and the usual request rate of a proxy that has joined at least once.
struct SeenProxy {
    zone: u32,
    rate: f64,
}

/// The joined proxies, and the zones and rates of all that have ever joined.
#[derive(Default)]
pub(super) struct ProxyRegistry {
    pub(super) joined: BTreeMap<u32, Proxy>,
    seen: BTreeMap<u32, SeenProxy>,
}

impl ProxyRegistry {
    /// Registers a proxy that joined. `has_initial_table` is as reported by the proxy; it is ignored if the
    /// proxy has joined before.
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
        // A proxy that joins again without having left may still have its table. Until it is assigned again,
        // changes of that table still reach it.
        let receives_updates =
            self.joined.get(&proxy).is_some_and(|former| former.receives_updates && former.table == table);
        let proxy_state = Proxy {
            rate,
            waiting_since: now,
            has_initial_table: has_initial_table && !was_seen,
            table,
            is_assigned: false,
            receives_updates,
        };
        self.joined.insert(proxy, proxy_state);
    }

    /// Removes a proxy that left from the joined ones.
    pub(super) fn leave(&mut self, proxy: u32) {
        self.joined.remove(&proxy);
    }

    /// Marks a proxy as assigned to its table and returns the table's number.
    pub(super) fn mark_assigned(&mut self, proxy: u32) -> u32 {
        let state = self.joined.get_mut(&proxy).expect("only joined proxies are assigned");
        state.is_assigned = true;
        state.receives_updates = true;
        state.table
    }

    /// Marks a proxy whose assignment was rejected as unassigned and restarts its wait for an assignment.
    /// Changes of its table are still assumed to reach it.
    pub(super) fn unassign(&mut self, now: Moment, proxy: u32) {
        if let Some(state) = self.joined.get_mut(&proxy) {
            state.is_assigned = false;
            state.waiting_since = now;
        }
    }

    /// The numbers of the joined proxies that satisfy a predicate, in ascending order.
    pub(super) fn matching(&self, predicate: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.joined.iter().filter(|(_, proxy)| predicate(proxy)).map(|(number, _)| *number).collect()
    }

    /// Whether any joined proxy is not assigned to its table yet.
    pub(super) fn any_unassigned(&self) -> bool {
        self.joined.values().any(|proxy| !proxy.is_assigned)
    }

    /// The total usual request rate of all joined proxies, in requests per second.
    pub(super) fn joined_request_rate(&self) -> f64 {
        self.joined.values().map(|proxy| proxy.rate).sum::<f64>()
    }

    /// The total usual request rate of each zone, over all proxies that have ever joined.
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
