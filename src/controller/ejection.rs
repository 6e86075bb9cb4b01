//! Ejection of draining and removed endpoints from proxies with stale tables.
//!
//! A proxy that is not assigned yet may use a table that this controller did not publish: the few endpoints
//! that it selected when it started, or a table from an earlier stream. Ejections apply to it in any case,
//! weight changes are sent to it only if it is assumed to hold its present table still (`receives_updates`).
//! Whenever it issues commands, [`Controller`] ejects each endpoint that is no longer ready and is in none of
//! its tables, in the order in which they stopped being ready. While the channel is busy, or the ejections
//! would make it busy, ejections are held back for a part of the drain grace, since assigning the proxies
//! makes them unnecessary.

use super::channel::ChannelLimits;
use super::endpoints::Endpoint;
use super::proxies::Proxy;
use super::urgency::Urgency;
use super::Controller;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, Host};
use crate::time::Moment;
use std::collections::BTreeSet;

/// The fraction of the drain grace, less the maximum transit time, for which ejections are collected.
const COLLECTION_GRACE_FRACTION: f64 = 0.25;
/// The estimated lines of ejections to one proxy, as a multiple of their mean. The margin is needed because
/// the endpoints in a stale table are random.
const STALE_LINES_MARGIN: f64 = 1.5;

/// An ejection that is due. The most urgent one comes first, then the one of the endpoint that stopped being
/// ready first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueEjection {
    urgency: Urgency,
    last_ready: Moment,
    id: EndpointId,
    due_since: Moment,
}

impl DueEjection {
    fn new(id: &EndpointId, endpoint: &Endpoint, config: &ControllerConfig) -> Self {
        // At a proxy that joined after the endpoint stopped being ready, the drain grace counts from the
        // join.
        let grace_since = endpoint.grace_since(config).map(|since| since.max(endpoint.ejection_due_since));
        DueEjection {
            urgency: Urgency::of_grace(grace_since, config),
            last_ready: endpoint.listed.last_ready(),
            id: id.clone(),
            due_since: endpoint.ejection_due_since,
        }
    }
}

/// The cost of ejections at one proxy with a stale table, in lines.
struct StaleProxyCost {
    proxy: u32,
    lines: f64,
    overhead: f64,
}

impl<H: Host> Controller<H> {
    /// Ejects endpoints that are no longer ready from the proxies with stale tables. Returns whether
    /// ejections were deferred because the queue is too long, a proxy may not be sent a message now, or those
    /// that fit would make too small a batch; ejections that are still being collected don't count.
    pub(super) fn eject_from_stale_tables(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        is_queue_short: bool,
    ) -> bool {
        let to_eject = self.due_ejections();
        let total_cost = self.ejection_cost(to_eject.len(), limits);
        let due_since = to_eject.iter().map(|ejection| ejection.due_since).min().unwrap_or(now);
        let collection_time = self.config.time_to_send() * COLLECTION_GRACE_FRACTION;
        // On a busy channel, ejecting the few endpoints of each event separately would cost a message to
        // every unassigned proxy each time.
        let is_idle = limits.is_nearly_idle(total_cost + self.channel.backlog.queued_lines(now));
        if !is_idle && total_cost > 0.0 && now - due_since < collection_time {
            self.schedule_recheck();
            return false;
        }
        let unassigned = self.proxies.matching(|proxy| !proxy.is_assigned());
        let urgency = to_eject.first().map_or(Urgency::Ordinary, |ejection| ejection.urgency);
        let available = self.channel.available_lines(now, urgency, &unassigned, limits);
        let cost = |count| self.ejection_cost(count, limits);
        let count = if is_queue_short { limits.largest_batch(to_eject.len(), available, cost) } else { 0 };
        for DueEjection { id, urgency, .. } in &to_eject[..count] {
            let endpoint = self.endpoints.get_mut(id).expect("endpoints to eject are registered");
            endpoint.mark_ejected();
            self.delivery.record_issued(*urgency);
            self.host.eject_endpoint(id, urgency.deadline());
        }
        self.record_ejections(now, count, limits);
        count < to_eject.len()
    }

    /// The ejections of the endpoints that are no longer ready, are in no table and may still be used by
    /// proxies with stale tables, the most urgent first. While earlier commands are not accepted, only those
    /// with a deadline.
    fn due_ejections(&self) -> Vec<DueEjection> {
        let tables = self.tables.by_number.values();
        let in_tables: BTreeSet<&EndpointId> = tables.flat_map(|table| table.weights.keys()).collect();
        let mut due = Vec::new();
        for (id, endpoint) in self.endpoints.iter() {
            if endpoint.needs_ejection() && !in_tables.contains(id) {
                due.push(DueEjection::new(id, endpoint, &self.config));
            }
        }
        if self.delivery.is_resend_pending {
            due.retain(|ejection| ejection.urgency.deadline().is_some());
        }
        due.sort();
        due
    }

    /// The estimated cost of a number of ejections or restorations at each unassigned proxy. An initial table
    /// holds few endpoints; a table from an earlier stream may hold as many as a current one.
    fn stale_proxy_costs(
        &self,
        ejections: usize,
        limits: &ChannelLimits,
    ) -> impl Iterator<Item = StaleProxyCost> + '_ {
        let all = ejections as f64;
        let lines_per_entry = all * STALE_LINES_MARGIN / self.endpoints.len().max(1) as f64;
        let initial_entries = f64::from(self.config.initial_table_size);
        let former_table_entries = limits.max_table_size as f64;
        let message_overhead = limits.message_overhead;
        let cost = move |number: u32, proxy: &Proxy| {
            let entries = if proxy.has_initial_table { initial_entries } else { former_table_entries };
            let lines = (lines_per_entry * entries).min(all);
            StaleProxyCost { proxy: number, lines, overhead: message_overhead * lines.min(1.0) }
        };
        let unassigned = self.proxies.joined.iter().filter(|(_, proxy)| !proxy.is_assigned());
        unassigned.filter(move |_| ejections > 0).map(move |(number, proxy)| cost(*number, proxy))
    }

    pub(super) fn ejection_cost(&self, ejections: usize, limits: &ChannelLimits) -> f64 {
        self.stale_proxy_costs(ejections, limits).map(|cost| cost.lines + cost.overhead).sum()
    }

    /// Records the estimated cost of a number of ejections or restorations in the backlog.
    pub(super) fn record_ejections(&mut self, now: Moment, ejections: usize, limits: &ChannelLimits) {
        for cost in self.stale_proxy_costs(ejections, limits).collect::<Vec<_>>() {
            self.channel.backlog.record(now, cost.proxy, cost.lines, cost.overhead);
        }
    }
}

#[cfg(test)]
mod tests;
