//! Routing: which endpoints a route table should hold, and how much of the traffic leaves the home zone.
//!
//! Publication gets the desired weights of every table from here. A table holds the whole fleet as long as
//! the channel can notify all proxies of a change in time; a larger fleet is placed on a hash ring, and each
//! of several tables holds an arc of it. The table of request classes that must not leave their zone holds
//! the endpoints of that zone only. Which proxies use a table is decided in `placement`.

use super::candidate::{routable_capacity, Candidate};
use super::cold_tables;
use super::endpoints::EndpointRegistry;
use super::peak_weight::PeakWeight;
use super::placement::{arc_start, TablePlacement};
use super::routing_snapshot::RoutingSnapshot;
use super::slow_start::{slow_start_weights, EndpointWeight};
use crate::config::RequestClassGroup;
use crate::host::EndpointId;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// One in this many entries of a table is reserved for endpoints of other zones.
const REMOTE_ENDPOINTS_DIVISOR: usize = 4;
/// An arc keeps an endpoint that it holds until the endpoint is beyond either end by more than the arc's
/// length divided by this. Otherwise each endpoint that is added or removed would move others into or out of
/// the arc.
const ARC_SLACK_DIVISOR: usize = 8;
/// The maximum fraction of a zone's requests that stays in the zone if cross-zone requests have a cost.
const MAX_HOME_FRACTION: f64 = 0.9;
/// A table's remote factor is changed only by more than this ratio. Otherwise each weight reduction by
/// outlier detection would change the weights of all remote endpoints.
const MIN_REMOTE_FACTOR_CHANGE: f64 = 1.5;
/// The minimum remote factor.
const MIN_REMOTE_FACTOR: f64 = 0.01;

/// The published state of a route table.
pub(super) struct RouteTable {
    /// The zone of its proxies; `None` if the table serves all zones.
    pub(super) home_zone: Option<u32>,
    /// The request classes that its proxies use it for.
    request_classes: RequestClassGroup,
    /// The published weights.
    pub(super) weights: BTreeMap<EndpointId, f64>,
    /// The published admission level of each request class.
    admission_levels: BTreeMap<usize, f64>,
    /// The factor applied to the weights of endpoints of other zones.
    remote_factor: f64,
    /// The total weight of the warm endpoints that the table may hold.
    warm_weight: PeakWeight,
    /// When the table started to retain weights although none is desired (see `retention`); `None` if it did
    /// not, or if weights were desired since.
    pub(super) retained_since: Option<Moment>,
    /// When commands for this table were last sent.
    pub(super) last_sent: Moment,
}

impl RouteTable {
    /// Creates an empty table.
    pub(super) fn new(home_zone: Option<u32>, request_classes: RequestClassGroup) -> Self {
        RouteTable {
            home_zone,
            request_classes,
            weights: BTreeMap::new(),
            admission_levels: BTreeMap::new(),
            remote_factor: 1.0,
            warm_weight: PeakWeight::default(),
            retained_since: None,
            last_sent: Moment::default(),
        }
    }

    /// The number of lines sent to a proxy that is assigned this table, without the message overhead.
    pub(super) fn assignment_lines(&self) -> f64 {
        (self.weights.len() + self.admission_levels.len() + 1) as f64
    }

    /// Records a published weight; 0 removes the endpoint.
    pub(super) fn publish_weight(&mut self, id: EndpointId, weight: f64) {
        if weight > 0.0 {
            self.weights.insert(id, weight);
        } else {
            self.weights.remove(&id);
        }
    }

    /// Records a published admission level of a class that the table serves; returns whether it differs from
    /// the one published before. Levels of other classes are ignored.
    pub(super) fn publish_admission_level(&mut self, class: usize, level: f64) -> bool {
        self.request_classes.classes.contains(class)
            && self.admission_levels.insert(class, level) != Some(level)
    }

    /// Whether the table's request classes may use the endpoints of a zone.
    pub(super) fn may_use_zone(&self, zone: u32) -> bool {
        !self.request_classes.zone_local || self.home_zone == Some(zone)
    }

    /// The weights that the table should have: endpoints of the home zone at their own weight and, unless its
    /// classes are zone-local, remote ones scaled by the remote factor, as many as the table may hold.
    /// Without a home zone, all endpoints count as remote and the factor is 1.
    pub(super) fn desired_weights(&mut self, number: u32, snapshot: &RoutingSnapshot) -> DesiredWeights {
        let usable = snapshot.candidates.iter().filter(|candidate| self.may_use_zone(candidate.zone));
        let (home, remote): (Vec<&Candidate>, Vec<&Candidate>) =
            usable.partition(|candidate| self.home_zone == Some(candidate.zone));
        let whole_fleet = ZoneCapacity::new(&home, &remote);
        let max = snapshot.max_table_size;
        let reserved = (max / REMOTE_ENDPOINTS_DIVISOR).min(remote.len());
        let home = self.ring_arc(number, home, max - reserved);
        let remote = self.ring_arc(number, remote, max.saturating_sub(home.len()));
        self.update_remote_factor(&whole_fleet, &ZoneCapacity::new(&home, &remote), snapshot);

        let selected = home.iter().chain(&remote).copied();
        self.warm_weight.record(cold_tables::warm_weight(selected.clone()));
        if cold_tables::lack_capacity(selected, self.warm_weight.peak(), snapshot.collapse_multiple) {
            return DesiredWeights { is_held_back: true, ..DesiredWeights::default() };
        }
        let mut candidates: Vec<Candidate> = home.into_iter().cloned().collect();
        for candidate in remote {
            let weight = candidate.weight * self.remote_factor;
            candidates.push(Candidate { weight, ..candidate.clone() });
        }
        let weights = slow_start_weights(candidates, &snapshot.fleet);
        DesiredWeights { weights, ..DesiredWeights::default() }
    }

    /// Updates the remote factor so that remote endpoints take the load beyond the capacity of the home zone,
    /// and at least a small part of the load in any case. The home fraction is computed from all endpoints
    /// and applied to the selected ones.
    fn update_remote_factor(
        &mut self,
        whole_fleet: &ZoneCapacity,
        selected: &ZoneCapacity,
        snapshot: &RoutingSnapshot,
    ) {
        let mut factor = 1.0;
        if let Some(home_zone) = self.home_zone {
            let share = snapshot.proportional_capacity(home_zone);
            if selected.home > 0.0 && selected.remote > 0.0 && share > 0.0 {
                let home_fraction = (whole_fleet.home / share).min(1.0) * MAX_HOME_FRACTION;
                // The factor at which home and remote endpoints share the load in proportion to the capacity
                // of the whole fleet.
                let proportional = whole_fleet.remote / selected.remote * selected.home / whole_fleet.home;
                let needed = selected.home * (1.0 - home_fraction) / (home_fraction * selected.remote);
                factor = needed.min(proportional).max(MIN_REMOTE_FACTOR);
            }
        }
        let ratio = (factor / self.remote_factor).max(self.remote_factor / factor);
        if ratio > MIN_REMOTE_FACTOR_CHANGE {
            self.remote_factor = factor;
        }
    }

    /// The arc of a ring of endpoints that belongs to this table: at most `max` endpoints, plus endpoints
    /// just beyond either end that the table already holds.
    fn ring_arc<'a>(&self, number: u32, ring: Vec<&'a Candidate>, max: usize) -> Vec<&'a Candidate> {
        let len = ring.len();
        if len <= max {
            return ring;
        }
        let slack = max.div_ceil(ARC_SLACK_DIVISOR);
        let start = arc_start(number, len);
        let mut arc = Vec::new();
        for (index, candidate) in ring.into_iter().enumerate() {
            let position = (index + len - start) % len;
            let is_near = position < max + slack || position + slack >= len;
            if position < max || is_near && self.weights.contains_key(&candidate.id) {
                arc.push(candidate);
            }
        }
        arc
    }
}

/// What a route table should hold.
#[derive(Default)]
pub(super) struct DesiredWeights {
    pub(super) weights: BTreeMap<EndpointId, EndpointWeight>,
    /// Whether the table should be empty for now, because its endpoints are cold and can't carry its load
    /// yet.
    pub(super) is_held_back: bool,
    /// Published weights that stay as they are for now although none is desired.
    pub(super) retained: BTreeSet<EndpointId>,
}

impl DesiredWeights {
    /// Whether no endpoint is ready that the table may hold.
    pub(super) fn lack_endpoints(&self) -> bool {
        self.weights.is_empty() && !self.is_held_back
    }
}

/// The total routable capacity of endpoints inside and outside a table's home zone.
struct ZoneCapacity {
    home: f64,
    remote: f64,
}

impl ZoneCapacity {
    fn new(home: &[&Candidate], remote: &[&Candidate]) -> Self {
        ZoneCapacity {
            home: routable_capacity(home.iter().copied()),
            remote: routable_capacity(remote.iter().copied()),
        }
    }
}

/// All route tables, by number.
pub(super) struct RouteTables {
    pub(super) by_number: BTreeMap<u32, RouteTable>,
    /// Determines the order of the ring, so that it differs between controllers.
    pub(super) ring_seed: u32,
}

impl RouteTables {
    /// Creates an empty set of tables.
    pub(super) fn new(ring_seed: u32) -> Self {
        RouteTables { by_number: BTreeMap::new(), ring_seed }
    }

    /// Creates a table if it doesn't exist.
    pub(super) fn create_if_missing(&mut self, placement: &TablePlacement) {
        self.by_number
            .entry(placement.number)
            .or_insert_with(|| RouteTable::new(placement.home_zone, placement.request_classes));
    }

    /// Whether any table holds an endpoint.
    pub(super) fn any_contains(&self, id: &EndpointId) -> bool {
        self.by_number.values().any(|table| table.weights.contains_key(id))
    }

    /// Whether any endpoint that a table may hold is ready, so that the table can be published with it.
    pub(super) fn can_hold_ready_endpoint(&self, number: u32, endpoints: &EndpointRegistry) -> bool {
        let table = &self.by_number[&number];
        endpoints.ready().any(|(_, endpoint)| table.may_use_zone(endpoint.zone))
    }

    /// Whether a table holds at least one ready endpoint.
    pub(super) fn has_ready_endpoint(&self, number: u32, endpoints: &EndpointRegistry) -> bool {
        self.by_number[&number].weights.keys().any(|id| endpoints.is_ready(id))
    }

    /// Decays the peaks of the warm weights; called once per evaluation.
    pub(super) fn decay(&mut self) {
        for table in self.by_number.values_mut() {
            table.warm_weight.decay();
        }
    }

    /// Removes a published weight that was rejected.
    pub(super) fn remove_weight(&mut self, number: u32, id: &EndpointId) {
        if let Some(table) = self.by_number.get_mut(&number) {
            table.weights.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
