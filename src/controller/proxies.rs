//! The proxy registry: the joined proxies, the route tables of each, and the usual request rates of all
//! proxies that have ever joined.
//!
//! [`Controller`](super::Controller) records here which proxies join and leave, `assignment` assigns them to
//! their tables, and `publication` reads the request rates of the zones for routing.

use super::placement::TablePlacement;
use crate::host::RequestClassSet;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// A joined proxy.
pub(super) struct Proxy {
    /// Its usual request rate, in requests per second.
    pub(super) rate: f64,
    /// When it joined, or when an assignment of it was last rejected.
    pub(super) waiting_since: Moment,
    /// Whether, when it joined, it had never been assigned a table by any controller and still used the few
    /// endpoints that it selected when it started.
    pub(super) has_initial_table: bool,
    /// The tables that it is or will be assigned to, one for each group of request classes.
    pub(super) assignments: Vec<TableAssignment>,
}

/// The table of a proxy for some request classes.
pub(super) struct TableAssignment {
    pub(super) table: u32,
    pub(super) classes: RequestClassSet,
    /// Whether the proxy was assigned to the table since it last joined or had an assignment rejected. Until
    /// then it may use a stale table from an earlier stream.
    pub(super) is_assigned: bool,
    /// Whether changes of the table are assumed to reach the proxy: it is assigned to the table, or was and
    /// may still be.
    pub(super) receives_updates: bool,
}

impl Proxy {
    /// Whether it is assigned to all of its tables.
    pub(super) fn is_assigned(&self) -> bool {
        self.assignments.iter().all(|assignment| assignment.is_assigned)
    }

    fn receives_updates_of(&self, table: u32) -> bool {
        self.assignments.iter().any(|assignment| assignment.table == table && assignment.receives_updates)
    }
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
        placements: &[TablePlacement],
    ) {
        let was_seen = self.seen.insert(proxy, SeenProxy { zone, rate }).is_some();
        let former = self.joined.get(&proxy);
        let assignment = |placement: &TablePlacement| TableAssignment {
            table: placement.number,
            classes: placement.request_classes.classes,
            is_assigned: false,
            // A proxy that joins again without having left may still have its table. Until it is assigned
            // again, changes of that table still reach it.
            receives_updates: former.is_some_and(|former| former.receives_updates_of(placement.number)),
        };
        let proxy_state = Proxy {
            rate,
            waiting_since: now,
            has_initial_table: has_initial_table && !was_seen,
            assignments: placements.iter().map(assignment).collect(),
        };
        self.joined.insert(proxy, proxy_state);
    }

    /// Removes a proxy that left from the joined ones.
    pub(super) fn leave(&mut self, proxy: u32) {
        self.joined.remove(&proxy);
    }

    /// Marks a proxy as assigned to one of its tables and returns the request classes that it uses it for.
    pub(super) fn mark_assigned(&mut self, proxy: u32, table: u32) -> RequestClassSet {
        let state = self.joined.get_mut(&proxy).expect("only joined proxies are assigned");
        let mut assignments = state.assignments.iter_mut();
        let assignment =
            assignments.find(|assignment| assignment.table == table).expect("proxies have their own tables");
        assignment.is_assigned = true;
        assignment.receives_updates = true;
        assignment.classes
    }

    /// Marks a proxy that had an assignment rejected as unassigned, and restarts its wait for its
    /// assignments. Changes of its tables are still assumed to reach it.
    pub(super) fn unassign(&mut self, now: Moment, proxy: u32) {
        if let Some(state) = self.joined.get_mut(&proxy) {
            state.waiting_since = now;
            for assignment in &mut state.assignments {
                assignment.is_assigned = false;
            }
        }
    }

    /// The numbers of the joined proxies that satisfy a predicate, in ascending order.
    pub(super) fn matching(&self, predicate: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.joined.iter().filter(|(_, proxy)| predicate(proxy)).map(|(number, _)| *number).collect()
    }

    /// Since when each proxy that is not assigned to all of its tables has been waiting for that.
    pub(super) fn unassigned_since(&self) -> Vec<Moment> {
        let unassigned = self.joined.values().filter(|proxy| !proxy.is_assigned());
        unassigned.map(|proxy| proxy.waiting_since).collect()
    }

    /// The proxies that changes of each table are assumed to reach, in ascending order.
    pub(super) fn receivers_by_table(&self) -> BTreeMap<u32, Vec<u32>> {
        let mut receivers = BTreeMap::<u32, Vec<u32>>::new();
        for (number, proxy) in &self.joined {
            for assignment in &proxy.assignments {
                if assignment.receives_updates {
                    receivers.entry(assignment.table).or_default().push(*number);
                }
            }
        }
        receivers
    }

    /// The tables that some joined proxy is not assigned to yet although it belongs to them.
    pub(super) fn unassigned_tables(&self) -> BTreeSet<u32> {
        let assignments = self.joined.values().flat_map(|proxy| &proxy.assignments);
        assignments.filter(|assignment| !assignment.is_assigned).map(|assignment| assignment.table).collect()
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
