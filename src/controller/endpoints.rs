//! The endpoint registry: every endpoint that the endpoint list has named and that is not yet forgotten.
//!
//! [`Controller`](super::Controller) applies list updates to the registry; every other module reads endpoints
//! from it. The registry guarantees that an endpoint whose listed weight is too small or not finite gets the
//! minimum weight, and that no endpoint is forgotten while proxies may still use it. It also determines the
//! delay before a failed list watch is retried.

use super::outlier_state::OutlierState;
use super::peak_weight::PeakWeight;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointState, EndpointUpdate};
use crate::listed_state::ListedState;
use crate::seeded_rng::SeededRng;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The minimum weight of a listed endpoint, also used if the list gives a weight that is not finite.
const MIN_WEIGHT: f64 = 0.01;

/// The mean delay before the list is watched again after repeated failures.
const WATCH_RETRY_DELAY: Span = Span::from_us(700_000);

/// An endpoint: its list entry, its outcomes from load reports, and whether this controller ejected it.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) zone: u32,
    pub(super) weight: f64,
    /// What the endpoint list says of it, and since when.
    pub(super) listed: ListedState,
    /// When it last started; `None` if that was long ago.
    pub(super) started: Option<Moment>,
    /// When the endpoint list first stated that start.
    pub(super) start_listed: Moment,
    /// When a load report last covered an attempt that it answered.
    pub(super) last_answered: Option<Moment>,
    /// When a load report last covered attempts of which it answered none.
    pub(super) last_unanswered: Option<Moment>,
    /// Whether it stopped being ready and was ejected from the proxies that were joined at the time.
    pub(super) ejected: bool,
    /// Whether the ejection was sent to all proxies with stale tables; false again once another proxy joins.
    pub(super) ejected_everywhere: bool,
    /// Since when an ejection has been due, if one is: it stopped being ready, or a proxy joined after the
    /// last ejection. At that proxy the drain grace counts from the join.
    pub(super) ejection_due_since: Moment,
    /// The state that outlier detection keeps for it.
    pub(super) outlier: OutlierState,
}

impl Endpoint {
    /// Whether the endpoint list names it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.listed.is_ready()
    }

    /// Since when its drain grace has been running; `None` if it is ready, or if it was only removed from the
    /// list and the grace does not apply to that.
    pub(super) fn grace_since(&self, config: &ControllerConfig) -> Option<Moment> {
        if self.is_ready() {
            None
        } else if config.drain_grace_excludes_removed {
            self.listed.draining_since()
        } else {
            Some(self.listed.last_ready())
        }
    }

    /// Whether the latest load reports show that it no longer answers. Reports of several zones arrive one
    /// after the other, so a report without answers counts only if none of the same interval had any.
    pub(super) fn has_stopped_answering(&self, report_interval: Span) -> bool {
        let Some(unanswered) = self.last_unanswered else { return false };
        self.last_answered.is_none_or(|answered| unanswered - answered >= report_interval * 0.5)
    }

    /// Applies a state from the endpoint list.
    pub(super) fn set_state(&mut self, now: Moment, state: EndpointState) {
        if self.is_ready() {
            self.ejection_due_since = now;
        }
        self.listed.update(now, state);
    }

    /// Whether proxies with stale tables may still use it although it is no longer ready.
    pub(super) fn needs_ejection(&self) -> bool {
        !self.is_ready() && !self.ejected_everywhere
    }

    /// Records that it was ejected from all joined proxies.
    pub(super) fn mark_ejected(&mut self) {
        self.ejected = true;
        self.ejected_everywhere = true;
    }

    /// Records that its ejection was lifted.
    pub(super) fn mark_restored(&mut self) {
        self.ejected = false;
        self.ejected_everywhere = false;
    }

    fn apply(&mut self, now: Moment, update: &EndpointUpdate) {
        if update.started > self.started {
            self.started = update.started;
            self.start_listed = now;
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
    /// The ready weight and its recent peak.
    ready_weight: PeakWeight,
    /// When watching the endpoint list last failed.
    last_watch_failure: Option<Moment>,
}

impl EndpointRegistry {
    /// Applies list entries that were added or changed.
    pub(super) fn apply_updates(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        for update in updates {
            let endpoint = self.by_id.entry(update.id.clone()).or_insert_with(|| Endpoint {
                listed: ListedState::first_seen(now, EndpointState::Removed),
                ejection_due_since: now,
                ..Endpoint::default()
            });
            endpoint.apply(now, update);
        }
        self.ready_weight.record(self.ready_weight());
    }

    /// Adds an endpoint that is not ready, with the times that a former controller knew.
    pub(super) fn restore(&mut self, id: EndpointId, listed: ListedState) {
        let endpoint = Endpoint { listed, ejection_due_since: listed.last_ready(), ..Endpoint::default() };
        self.by_id.insert(id, endpoint);
    }

    /// Marks endpoints that are missing from a complete list as removed.
    pub(super) fn remove_unlisted(&mut self, now: Moment, complete_list: &[EndpointUpdate]) {
        let listed: BTreeSet<&EndpointId> = complete_list.iter().map(|update| &update.id).collect();
        for (id, endpoint) in &mut self.by_id {
            if !listed.contains(id) {
                endpoint.set_state(now, EndpointState::Removed);
            }
        }
        self.ready_weight.record(self.ready_weight());
    }

    /// Records a failure to watch the endpoint list and returns the delay before the retry. The first retry
    /// is immediate, because the drain grace of an endpoint whose update was missed may already be running.
    pub(super) fn watch_retry_delay(&mut self, now: Moment, rng: &mut SeededRng) -> Span {
        let previous = self.last_watch_failure.replace(now);
        let failed_recently = previous.is_some_and(|at| now - at < WATCH_RETRY_DELAY * 2.0);
        if failed_recently {
            WATCH_RETRY_DELAY * (0.5 + rng.next_f64())
        } else {
            Span::ZERO
        }
    }

    /// Returns a known endpoint.
    pub(super) fn get(&self, id: &str) -> Option<&Endpoint> {
        self.by_id.get(id)
    }

    /// Returns a known endpoint for modification.
    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        self.by_id.get_mut(id)
    }

    /// Iterates over all known endpoints in the order of their ids.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.by_id.iter()
    }

    /// Iterates mutably over all known endpoints in the order of their ids.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut Endpoint)> {
        self.by_id.iter_mut()
    }

    /// The number of known endpoints in any state.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether an endpoint is known and ready.
    pub(super) fn is_ready(&self, id: &str) -> bool {
        self.get(id).is_some_and(Endpoint::is_ready)
    }

    /// Iterates over the ready endpoints in the order of their ids.
    pub(super) fn ready(&self) -> impl Iterator<Item = (&EndpointId, &Endpoint)> {
        self.by_id.iter().filter(|(_, endpoint)| endpoint.is_ready())
    }

    /// The number of endpoints that are draining or removed.
    pub(super) fn unready_count(&self) -> usize {
        self.by_id.values().filter(|endpoint| !endpoint.is_ready()).count()
    }

    /// The total weight of the ready endpoints.
    pub(super) fn ready_weight(&self) -> f64 {
        self.ready().map(|(_, endpoint)| endpoint.weight).sum()
    }

    /// The ready weight as a fraction of its recent peak.
    pub(super) fn ready_fraction_of_peak(&self) -> f64 {
        self.ready_weight.fraction_of_peak()
    }

    /// Decays the outcomes and the peak of the ready weight; called once per evaluation.
    pub(super) fn decay(&mut self) {
        for endpoint in self.by_id.values_mut() {
            endpoint.outlier.outcomes.halve();
        }
        self.ready_weight.decay();
    }

    /// Called when a proxy joins with stale tables: no endpoint counts as ejected from all proxies any
    /// longer.
    pub(super) fn reset_ejected_everywhere(&mut self, now: Moment) {
        for endpoint in self.by_id.values_mut() {
            if std::mem::take(&mut endpoint.ejected_everywhere) {
                endpoint.ejection_due_since = now;
            }
        }
    }

    /// Removes an endpoint and returns its state.
    pub(super) fn remove(&mut self, id: &EndpointId) -> Option<Endpoint> {
        self.by_id.remove(id)
    }
}

#[cfg(test)]
mod tests;
