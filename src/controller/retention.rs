//! Retention: which published weights a table keeps for a while although none is desired.
//!
//! A list that drops all endpoints of a table at once is more likely to be wrong than right. So a table that
//! may hold no ready endpoint, but holds one that was removed from the list although it answered recently,
//! does not lose all of its weights at once. Publication asks here before it computes the changes of the
//! tables.
//!
//! Each weight has its own end. Where the drain grace applies to its endpoint, the weight is retained only as
//! long as its removal can still be sent, and applied by all proxies, within the grace. This counts from when
//! the endpoint was first listed as draining (or, if the grace applies to that as well, removed), whatever the
//! list said of it afterwards and whenever the table lost its other endpoints.

use super::assignment::ASSIGNMENT_RETRY_INTERVAL;
use super::channel::ChannelLimits;
use super::endpoints::EndpointRegistry;
use super::routing::{DesiredWeights, RouteTable};
use super::urgency::{time_to_send, Urgency};
use super::Controller;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, Host};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The longest time for which a table retains weights when none is desired. Also the age below which an
/// answer of a removed endpoint counts as recent.
const MAX_RETENTION_TIME: Span = ASSIGNMENT_RETRY_INTERVAL;
/// The part of the time within which a removal must be sent that is kept free for delays, such as those of the
/// timer that ends the retention and of the call that carries the removal.
const DELAY_FRACTION: f64 = 0.2;

/// What the end of a retention depends on, apart from the table.
struct RetentionContext<'a> {
    now: Moment,
    endpoints: &'a EndpointRegistry,
    config: &'a ControllerConfig,
    /// How long before its deadline a removal must be issued; `None` if it must not be put off at all.
    lead_time: Option<Span>,
}

impl RetentionContext<'_> {
    /// The weights that a table without desired ones retains now. Records when the retention began.
    fn retained_weights(&self, table: &mut RouteTable) -> BTreeSet<EndpointId> {
        if table.retained_since.is_none() && table.weights.keys().any(|id| self.answers_unlisted(id)) {
            table.retained_since = Some(self.now);
        }
        let is_running = table.retained_since.is_some_and(|since| self.now - since < MAX_RETENTION_TIME);
        if !is_running {
            return BTreeSet::new();
        }
        table.weights.keys().filter(|id| self.may_stay(id)).cloned().collect()
    }

    /// Whether an endpoint was removed from the list although it answered recently.
    fn answers_unlisted(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            !endpoint.listed.is_listed()
                && endpoint.last_answered.is_some_and(|at| self.now - at < MAX_RETENTION_TIME)
        })
    }

    /// Whether the removal of an endpoint that is not ready can be put off until the next recheck.
    fn may_stay(&self, id: &str) -> bool {
        let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| !endpoint.is_ready()) else {
            return false;
        };
        if endpoint.has_stopped_answering(self.config.report_interval) {
            return false;
        }
        let deadline = Urgency::of_unready(endpoint, self.config).deadline();
        match (deadline, self.lead_time) {
            (None, _) => true,
            (Some(deadline), Some(lead_time)) => self.now + lead_time < deadline,
            (Some(_), None) => false,
        }
    }
}

impl<H: Host> Controller<H> {
    /// Determines the weights that each table retains, and records them in its desired weights.
    pub(super) fn retain_weights(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        desired_by_table: &mut BTreeMap<u32, DesiredWeights>,
        receivers_by_table: &BTreeMap<u32, Vec<u32>>,
    ) {
        let mut lacking = Vec::new();
        for (number, table) in &mut self.tables.by_number {
            let lacks_endpoints = desired_by_table[number].lack_endpoints();
            if lacks_endpoints && !table.weights.is_empty() {
                lacking.push(*number);
            } else {
                table.retained_since = None;
            }
        }
        if lacking.is_empty() {
            return;
        }
        let lead_time = self.removal_lead_time(now, limits, &lacking, receivers_by_table);
        for number in lacking {
            let receivers = receivers_by_table.get(&number).map_or(&[][..], Vec::as_slice);
            let may_wait = self.may_put_off_pushes(now, receivers, limits);
            let lead_time = lead_time.filter(|_| may_wait);
            let context =
                RetentionContext { now, endpoints: &self.endpoints, config: &self.config, lead_time };
            let Some(table) = self.tables.by_number.get_mut(&number) else { continue };
            let retained = context.retained_weights(table);
            let Some(desired) = desired_by_table.get_mut(&number) else { continue };
            desired.retained = retained;
        }
        if desired_by_table.values().any(|desired| !desired.retained.is_empty()) {
            self.schedule_recheck();
        }
    }

    /// How long before its deadline a removal must be issued, so that the channel can send it and all others
    /// of these tables in time. `None` if removals must not be put off at all: the queue is long, earlier
    /// commands are not accepted yet, or a proxy with stale tables, from which the endpoint is ejected once no
    /// table holds it, has few messages left.
    fn removal_lead_time(
        &mut self,
        now: Moment,
        limits: &ChannelLimits,
        tables: &[u32],
        receivers_by_table: &BTreeMap<u32, Vec<u32>>,
    ) -> Option<Span> {
        let unassigned = self.proxies.matching(|proxy| !proxy.is_assigned());
        let may_wait = self.channel.is_queue_short(now, limits)
            && !self.delivery.is_resend_pending
            && self.may_put_off_pushes(now, &unassigned, limits);
        if !may_wait {
            return None;
        }
        let mut removed = BTreeSet::new();
        let mut lines = self.channel.backlog.queued_lines(now);
        for number in tables {
            let bound = self.weights_within_grace(*number);
            let receivers = receivers_by_table.get(number).map_or(0, Vec::len);
            lines += receivers as f64 * (bound.len() as f64 + limits.message_overhead);
            removed.extend(bound);
        }
        lines += self.ejection_cost(removed.len(), limits);
        Some(limits.transmission_time(lines) + time_to_send(&self.config) * DELAY_FRACTION)
    }

    /// The endpoints of a table whose drain grace is running.
    fn weights_within_grace(&self, table: u32) -> Vec<EndpointId> {
        let ids = self.tables.by_number[&table].weights.keys();
        let is_within_grace = |id: &&EndpointId| {
            self.endpoints.get(id).is_some_and(|endpoint| endpoint.grace_since(&self.config).is_some())
        };
        ids.filter(is_within_grace).cloned().collect()
    }

    fn may_put_off_pushes(&mut self, now: Moment, proxies: &[u32], limits: &ChannelLimits) -> bool {
        proxies.iter().all(|proxy| self.channel.may_put_off_push(now, *proxy, limits))
    }
}

#[cfg(test)]
mod tests;
