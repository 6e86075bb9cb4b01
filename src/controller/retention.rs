//! Retention: which published weights a table keeps for a while although none is desired.
//!
//! A list that drops all endpoints of a table at once is more likely to be wrong than right. So a table that
//! may hold no ready endpoint, but holds one that was removed from the list although it answered recently,
//! does not lose all of its weights at once. Publication asks here before it computes the changes of the
//! tables.
//!
//! Each weight has its own end. Where the drain grace applies to its endpoint, the weight is retained only as
//! long as its removal can still be sent, and applied by all proxies, within the grace. This counts from when
//! the endpoint was first listed as draining (or, if the grace applies to that as well, removed), whatever
//! the list said of it afterwards and whenever the table lost its other endpoints.

use super::assignment::ASSIGNMENT_RETRY_INTERVAL;
use super::channel::{Channel, ChannelLimits};
use super::endpoints::EndpointRegistry;
use super::routing::{DesiredWeights, RouteTable};
use super::urgency::Urgency;
use super::Controller;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, Host};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The longest time for which a table retains weights when none is desired. Also the age below which an
/// answer of a removed endpoint counts as recent.
const MAX_RETENTION_TIME: Span = ASSIGNMENT_RETRY_INTERVAL;
/// The part of the time within which a removal must be sent that is kept free for delays, such as those of
/// the timer that ends the retention and of the call that carries the removal.
const DELAY_FRACTION: f64 = 0.2;

/// What the end of a retention depends on at one point in time.
struct RetentionContext<'a> {
    now: Moment,
    endpoints: &'a EndpointRegistry,
    config: &'a ControllerConfig,
    channel: &'a mut Channel,
    limits: &'a ChannelLimits,
    /// How long before its deadline a removal must be issued; `None` if it must not be put off at all.
    lead_time: Option<Span>,
    /// The proxies that use no table of the controller yet. Once no table holds an endpoint, it is ejected
    /// from them.
    unassigned: Vec<u32>,
}

impl RetentionContext<'_> {
    /// The weights that a table without desired ones retains now. Records when the retention began.
    fn retained_weights(&mut self, table: &mut RouteTable, receivers: &[u32]) -> BTreeSet<EndpointId> {
        if table.retained_since.is_none() && table.weights.keys().any(|id| self.answers_unlisted(id)) {
            table.retained_since = Some(self.now);
        }
        let is_running = table.retained_since.is_some_and(|since| self.now - since < MAX_RETENTION_TIME);
        if !is_running {
            return BTreeSet::new();
        }
        table.weights.keys().filter(|id| self.may_stay(id, receivers)).cloned().collect()
    }

    /// Whether an endpoint was removed from the list although it answered recently.
    fn answers_unlisted(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            !endpoint.listed.is_listed()
                && endpoint.last_answered.is_some_and(|at| self.now - at < MAX_RETENTION_TIME)
        })
    }

    /// Whether an endpoint that is not ready may stay in a table until the next recheck.
    fn may_stay(&mut self, id: &str, receivers: &[u32]) -> bool {
        let Some(endpoint) = self.endpoints.get(id).filter(|endpoint| !endpoint.is_ready()) else {
            return false;
        };
        if endpoint.has_stopped_answering(self.config.report_interval) {
            return false;
        }
        match Urgency::of_unready(endpoint, self.config).deadline() {
            Some(deadline) => self.may_put_off_removal(deadline, receivers),
            None => true,
        }
    }

    /// Whether a removal with this deadline can be put off until the next recheck.
    fn may_put_off_removal(&mut self, deadline: Moment, receivers: &[u32]) -> bool {
        let Some(lead_time) = self.lead_time else { return false };
        let remaining = deadline - self.now - lead_time;
        let until = self.now + remaining;
        let mut proxies = receivers.iter().chain(&self.unassigned);
        remaining > Span::ZERO
            && proxies.all(|proxy| self.channel.may_put_off_push(self.now, until, *proxy, self.limits))
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
        let mut context = RetentionContext {
            now,
            endpoints: &self.endpoints,
            config: &self.config,
            channel: &mut self.channel,
            limits,
            lead_time,
            unassigned: self.proxies.matching(|proxy| !proxy.is_assigned()),
        };
        let mut retains_any = false;
        for number in lacking {
            let receivers = receivers_by_table.get(&number).map_or(&[][..], Vec::as_slice);
            let Some(table) = self.tables.by_number.get_mut(&number) else { continue };
            let retained = context.retained_weights(table, receivers);
            retains_any |= !retained.is_empty();
            let Some(desired) = desired_by_table.get_mut(&number) else { continue };
            desired.retained = retained;
        }
        if retains_any {
            self.schedule_recheck();
        }
    }

    /// How long before its deadline a removal must be issued, so that the channel can send it and all others
    /// of these tables in time. `None` if removals must not be put off at all, because the queue is long or
    /// earlier commands are not accepted yet.
    fn removal_lead_time(
        &self,
        now: Moment,
        limits: &ChannelLimits,
        tables: &[u32],
        receivers_by_table: &BTreeMap<u32, Vec<u32>>,
    ) -> Option<Span> {
        if self.delivery.is_resend_pending || !self.channel.is_queue_short(now, limits) {
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
        Some(limits.transmission_time(lines) + self.config.time_to_send() * DELAY_FRACTION)
    }

    /// The endpoints of a table whose drain grace is running.
    fn weights_within_grace(&self, table: u32) -> Vec<EndpointId> {
        let ids = self.tables.by_number[&table].weights.keys();
        let is_within_grace = |id: &&EndpointId| {
            self.endpoints.get(id).is_some_and(|endpoint| endpoint.grace_since(&self.config).is_some())
        };
        ids.filter(is_within_grace).cloned().collect()
    }
}

#[cfg(test)]
mod tests;
