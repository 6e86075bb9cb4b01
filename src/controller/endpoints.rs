//! The endpoint registry: every endpoint that the list named and that is not forgotten yet.
//!
//! [`Controller`](super::Controller) applies list updates here; every other module reads the endpoints from
//! here. The registry guarantees that an endpoint without a usable weight still counts as an endpoint, and
//! that nothing is forgotten that a route table still holds. It also paces the attempts to watch the list
//! again.

use crate::histogram::Histogram;
use crate::host::{EndpointId, EndpointState, EndpointUpdate};
use crate::seeded_rng::SeededRng;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The least weight of a listed endpoint.
const MIN_WEIGHT: f64 = 0.01;

/// How long a removed endpoint is remembered: longer than a proxy is ever cut off with its tables, and longer
/// than any drain grace.
const REMOVED_RETENTION: Span = Span::from_us(60_000_000);

/// The fraction of the peak of ready weight that is kept at each evaluation.
const PEAK_DECAY: f64 = 0.99;

/// The mean delay before the list is watched again after repeated failures.
const WATCH_RETRY_DELAY: Span = Span::from_us(700_000);

/// Bands into which the outcomes of an endpoint's attempts are sorted; the last one is for failed attempts.
pub(super) const OUTCOME_BANDS: usize = 5;

/// An endpoint, with what the list, the load reports and our own commands say about it.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) zone: u32,
    pub(super) weight: f64,
    pub(super) state: EndpointState,
    /// Its latest start; `None` where that is long past.
    pub(super) started: Option<Moment>,
    /// When a load report last covered an answer.
    pub(super) last_answered: Option<Moment>,
    /// When it was ready last.
    pub(super) left: Moment,
    /// It left and was ejected from the proxies that were joined then.
    pub(super) ejected: bool,
    /// Its ejection reached all proxies that hold stale tables, also those that joined since.
    pub(super) ejected_everywhere: bool,
    /// How it fares; written by outlier detection.
    pub(super) outlier: OutlierState,
}

/// How the attempts at an endpoint ended, and how much of its weight that costs it.
#[derive(Default)]
pub(super) struct OutlierState {
    /// Recent attempts, by latency band.
    pub(super) outcomes: Histogram<OUTCOME_BANDS>,
    /// How much of its weight is taken away; 0: nothing.
    pub(super) ejection_level: usize,
    /// How often its weight was lowered since its last full recovery.
    pub(super) ejection_count: u32,
    /// When the ejection level changed last.
    pub(super) level_since: Moment,
}

impl OutlierState {
    /// Changes the ejection level; outcomes under the former level no longer count.
    pub(super) fn set_level(&mut self, level: usize, now: Moment) {
        self.ejection_level = level;
        self.level_since = now;
        self.outcomes = Histogram::default();
    }
}

impl Endpoint {
    /// Whether the list names it as usable.
    pub(super) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Applies a state of the list.
    pub(super) fn set_state(&mut self, now: Moment, state: EndpointState) {
        if self.is_ready() {
            self.left = now;
        }
        self.state = state;
    }

    /// Whether proxies that hold stale tables may still use it although it left.
    pub(super) fn needs_ejection(&self) -> bool {
        !self.is_ready() && !self.ejected_everywhere
    }

    /// It was ejected from all joined proxies.
    pub(super) fn mark_ejected(&mut self) {
        self.ejected = true;
        self.ejected_everywhere = true;
    }

    /// Its ejection was lifted.
    pub(super) fn mark_restored(&mut self) {
        self.ejected = false;
        self.ejected_everywhere = false;
    }

    fn apply(&mut self, now: Moment, update: &EndpointUpdate) {
        if update.started > self.started {
            self.started = update.started;
            self.outlier.set_level(0, now);
            self.outlier.ejection_count = 0;
        }
        self.weight = if update.weight.is_finite() { update.weight.max(MIN_WEIGHT) } else { MIN_WEIGHT };
        self.zone = update.zone;
        self.set_state(now, update.state);
    }
}

/// The known endpoints, by id.
#[derive(Default)]
pub(super) struct EndpointRegistry {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// The most weight that was ready of late.
    peak_ready_weight: f64,
    /// When the list could not be watched last.
    last_watch_failure: Option<Moment>,
}

impl EndpointRegistry {
    /// Applies entries of the list that were added or changed.
    pub(super) fn apply_updates(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        for update in updates {
            let endpoint = self
                .by_id
                .entry(update.id.clone())
                .or_insert_with(|| Endpoint { left: now, ..Endpoint::default() });
            endpoint.apply(now, update);
        }
        self.peak_ready_weight = self.peak_ready_weight.max(self.ready_weight());
    }

    /// Marks the endpoints that a complete list no longer names as removed.
    pub(super) fn remove_unlisted(&mut self, now: Moment, complete_list: &[EndpointUpdate]) {
        let listed: BTreeSet<&EndpointId> = complete_list.iter().map(|update| &update.id).collect();
        for (id, endpoint) in &mut self.by_id {
            if !listed.contains(id) {
                endpoint.set_state(now, EndpointState::Removed);
            }
        }
    }

    /// The delay before the list is watched again after a failure. There is none after a first failure, since
    /// the grace of a drain that was missed meanwhile is running.
    pub(super) fn watch_retry_delay(&mut self, now: Moment, rng: &mut SeededRng) -> Span {
        let previous = self.last_watch_failure.replace(now);
        let failed_lately = previous.is_some_and(|at| now - at < WATCH_RETRY_DELAY * 2.0);
        if failed_lately {
            WATCH_RETRY_DELAY * (0.5 + rng.next_f64())
        } else {
            Span::ZERO
        }
    }

    /// A known endpoint.
    pub(super) fn get(&self, id: &str) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    /// A known endpoint, to change what is known about it.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.by_id.get_mut(id)
    }

    /// All known endpoints, by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.by_id.iter()
    }

    /// All known endpoints by id, to change what is known about them.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut Endpoint)> {
        self.by_id.iter_mut()
    }

    /// The number of known endpoints, whatever their state.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether an endpoint is known and ready.
    pub(super) fn is_ready(&self, id: &str) -> bool {
        self.get(id).is_some_and(Endpoint::is_ready)
    }

    /// The ready endpoints, by id.
    pub(super) fn ready(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready())
    }

    /// The number of endpoints that are draining or removed.
    pub(super) fn unready_count(&self) -> usize {
        self.by_id.values().filter(|endpoint| !endpoint.is_ready()).count()
    }

    /// The summed weight of the ready endpoints.
    pub(super) fn ready_weight(&self) -> f64 {
        self.ready().map(|(_, endpoint)| endpoint.weight).sum()
    }

    /// The ready weight as a fraction of its recent peak.
    pub(super) fn ready_fraction_of_peak(&self) -> f64 {
        self.ready_weight() / self.peak_ready_weight.max(1e-9)
    }

    /// Lets old outcomes and the peak of ready weight fade; called once an evaluation.
    pub(super) fn decay(&mut self) {
        for endpoint in self.by_id.values_mut() {
            endpoint.outlier.outcomes.halve();
        }
        self.peak_ready_weight = (self.peak_ready_weight * PEAK_DECAY).max(self.ready_weight());
    }

    /// A proxy joined with tables of its own: no endpoint counts as ejected from all proxies any more.
    pub(super) fn reset_ejected_everywhere(&mut self) {
        for endpoint in self.by_id.values_mut() {
            endpoint.ejected_everywhere = false;
        }
    }

    /// Forgets the endpoints that were removed long ago and are not `in_use`.
    pub(super) fn forget_removed(
        &mut self,
        now: Moment,
        in_use: impl Fn(&EndpointId) -> bool,
    ) -> Vec<(EndpointId, Endpoint)> {
        let is_expired = |endpoint: &Endpoint| {
            endpoint.state == EndpointState::Removed && now - endpoint.left > REMOVED_RETENTION
        };
        let expired = self.by_id.iter().filter(|(id, endpoint)| is_expired(endpoint) && !in_use(id));
        let expired: Vec<EndpointId> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().filter_map(|id| self.by_id.remove_entry(id)).collect()
    }
}

#[cfg(test)]
mod tests;
