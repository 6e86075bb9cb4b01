//! Ejection of draining and removed endpoints from proxies that hold stale tables.
//!
//! A proxy that is not assigned yet may hold tables that are not ours: the few endpoints that it drew at its
//! start, or a table of an earlier stream. No change of our tables reaches it, only an ejection.
//! [`Controller`] ejects at the end of each event every endpoint that left and is in no table of ours, those
//! that left first first. While many proxies are unassigned, ejections are collected for a part of the drain
//! grace, since assignment makes them unnecessary.

use super::channel::{ChannelLimits, Urgency};
use super::proxies::Proxy;
use super::Controller;
use crate::host::{EndpointId, Host};
use crate::time::Moment;
use std::collections::BTreeSet;

/// The fraction of the drain grace, less a transit, for which ejections are collected.
const COLLECTION_GRACE_FRACTION: f64 = 0.25;
/// The lines of ejections to one proxy, as a multiple of their mean: which endpoints a stale table holds is
/// random.
const STALE_LINES_MARGIN: f64 = 1.5;

/// Which ejections are outstanding.
#[derive(Default)]
pub(super) struct EjectionState {
    /// Since when endpoints wait to be ejected.
    pending_since: Option<Moment>,
}

/// What ejections cost at one proxy with a stale table, in lines.
struct StaleProxyCost {
    proxy: u32,
    lines: f64,
    overhead: f64,
}

impl<H: Host> Controller<H> {
    /// Starts the clock of the drain grace for ejections that can't be sent since commands are waiting to be
    /// resent.
    pub(super) fn note_pending_ejections(&mut self, now: Moment) {
        let is_pending = self.endpoints.iter().any(|(_, endpoint)| endpoint.needs_ejection());
        if is_pending && self.proxies.any_unassigned() {
            self.ejection.pending_since.get_or_insert(now);
        }
    }

    /// Ejects what left from the proxies with stale tables. Returns whether something found no room.
    pub(super) fn eject_from_stale_tables(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        is_queue_short: bool,
    ) -> bool {
        let leaving = self.endpoints_to_eject();
        let total_cost = self.ejection_cost(leaving.len(), limits);
        let since = self.ejection.pending_since.unwrap_or(now);
        let collection_time = (self.config.drain_grace - self.config.max_transit) * COLLECTION_GRACE_FRACTION;
        // On a busy channel the few endpoints of each moment would cost every unassigned proxy a message.
        let is_idle = limits.is_nearly_idle(total_cost + self.channel.backlog.queued_lines(now));
        if !is_idle && total_cost > 0.0 && now - since < collection_time {
            self.ejection.pending_since = Some(since);
            self.recheck_soon();
            return false;
        }
        let unassigned = self.proxies.matching(|proxy| !proxy.is_assigned);
        let room = self.channel.room(now, Urgency::Urgent, &unassigned, limits);
        let cost = |count| self.ejection_cost(count, limits);
        let count = if is_queue_short { limits.largest_batch(leaving.len(), room, cost) } else { 0 };
        for id in &leaving[..count] {
            let endpoint = self.endpoints.get_mut(id).expect("leaving endpoints are registered");
            endpoint.mark_ejected();
            self.host.eject_endpoint(id);
        }
        self.record_ejections(now, count, limits);
        let found_no_room = count < leaving.len();
        self.ejection.pending_since = found_no_room.then_some(since);
        found_no_room
    }

    /// The endpoints that left, are in no table and not ejected everywhere; those that left first first.
    fn endpoints_to_eject(&self) -> Vec<EndpointId> {
        let tables = self.tables.by_number.values();
        let in_tables: BTreeSet<&EndpointId> = tables.flat_map(|table| table.weights.keys()).collect();
        let mut leaving = Vec::new();
        for (id, endpoint) in self.endpoints.iter() {
            if endpoint.needs_ejection() && !in_tables.contains(id) {
                leaving.push((endpoint.last_ready, id.clone()));
            }
        }
        leaving.sort();
        leaving.into_iter().map(|(_, id)| id).collect()
    }

    /// What some ejections or restorations cost at each unassigned proxy. An initial table holds few
    /// endpoints, one of an earlier stream as many as ours.
    fn stale_proxy_costs(
        &self,
        ejections: usize,
        limits: &ChannelLimits,
    ) -> impl Iterator<Item = StaleProxyCost> + '_ {
        let all = ejections as f64;
        let lines_per_entry = all * STALE_LINES_MARGIN / self.endpoints.len().max(1) as f64;
        let initial_entries = f64::from(self.config.initial_table_size);
        let assigned_entries = limits.max_table_size as f64;
        let message_overhead = limits.message_overhead;
        let cost = move |number: u32, proxy: &Proxy| {
            let entries = if proxy.has_initial_table { initial_entries } else { assigned_entries };
            let lines = (lines_per_entry * entries).min(all);
            StaleProxyCost { proxy: number, lines, overhead: message_overhead * lines.min(1.0) }
        };
        let unassigned = self.proxies.joined.iter().filter(|(_, proxy)| !proxy.is_assigned);
        unassigned.filter(move |_| ejections > 0).map(move |(number, proxy)| cost(*number, proxy))
    }

    fn ejection_cost(&self, ejections: usize, limits: &ChannelLimits) -> f64 {
        self.stale_proxy_costs(ejections, limits).map(|cost| cost.lines + cost.overhead).sum()
    }

    /// Records in the backlog what some ejections or restorations cost.
    pub(super) fn record_ejections(&mut self, now: Moment, ejections: usize, limits: &ChannelLimits) {
        for cost in self.stale_proxy_costs(ejections, limits).collect::<Vec<_>>() {
            self.channel.backlog.record(now, cost.proxy, cost.lines, cost.overhead);
        }
    }
}

#[cfg(test)]
mod tests;
