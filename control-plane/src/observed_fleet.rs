//! The state of the fleet as known from events and issued commands: the listed endpoints, the ejected
//! endpoints and the joined proxies. A restarted controller is initialized from it.

use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use otterwinch::listed_state::ListedState;
use otterwinch::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// A proxy that has joined the relay.
#[derive(Clone, Copy)]
pub struct JoinedProxy {
    /// The position of the proxy's zone in the configuration.
    pub zone: u32,
    /// The proxy's usual rate, in requests per second.
    pub rate: f64,
}

/// An endpoint that was listed at least once.
struct ObservedEndpoint {
    /// Its latest entry; the state of one that a whole list did not contain is `Removed`.
    entry: EndpointUpdate,
    /// Its state, and since when.
    listed: ListedState,
}

/// The known endpoints and proxies.
#[derive(Default)]
pub struct ObservedFleet {
    /// Every endpoint that was ever listed and has not been forgotten since, with its last known state.
    endpoints: BTreeMap<EndpointId, ObservedEndpoint>,
    /// Endpoints that the controller has ejected, so that no joined proxy uses them.
    ejected: BTreeSet<EndpointId>,
    proxies: BTreeMap<u32, JoinedProxy>,
}

impl ObservedFleet {
    /// Replaces the complete endpoint list. Known endpoints that it does not contain are marked as removed.
    pub fn replace_endpoint_list(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.entry.state = EndpointState::Removed;
            endpoint.listed.update(now, EndpointState::Removed);
        }
        self.update_endpoints(now, updates);
    }

    /// Applies changed entries of the endpoint list.
    pub fn update_endpoints(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        for update in updates {
            let known = self.endpoints.get(&update.id).map(|endpoint| endpoint.listed);
            let mut listed = known.unwrap_or_else(|| ListedState::first_seen(now, update.state));
            listed.update(now, update.state);
            self.endpoints.insert(update.id.clone(), ObservedEndpoint { entry: update.clone(), listed });
        }
    }

    /// Whether an endpoint is listed, or was listed and has not been forgotten since.
    pub fn knows_endpoint(&self, id: &str) -> bool {
        self.endpoints.contains_key(id)
    }

    /// The last listed entries of those of the endpoints `ids` that are listed.
    pub fn last_listed(&self, ids: &[EndpointId]) -> Vec<EndpointUpdate> {
        let known = ids.iter().filter_map(|id| self.endpoints.get(id));
        known.filter(|endpoint| endpoint.listed.is_listed()).map(|endpoint| endpoint.entry.clone()).collect()
    }

    /// All listed endpoints.
    pub fn listed_endpoints(&self) -> Vec<EndpointUpdate> {
        self.listed().map(|endpoint| endpoint.entry.clone()).collect()
    }

    /// The number of listed endpoints.
    pub fn listed_count(&self) -> usize {
        self.listed().count()
    }

    fn listed(&self) -> impl Iterator<Item = &ObservedEndpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.listed.is_listed())
    }

    /// The known endpoints that are not ready, and since when.
    pub fn unready_endpoints(&self) -> Vec<(EndpointId, ListedState)> {
        let unready = self.endpoints.iter().filter(|(_, endpoint)| !endpoint.listed.is_ready());
        unready.map(|(id, endpoint)| (id.clone(), endpoint.listed)).collect()
    }

    /// The removed and the ejected endpoints, all with the state `Removed`. The relay's tables may still
    /// contain them.
    pub fn removed_or_ejected(&self) -> Vec<EndpointUpdate> {
        let affected = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| !endpoint.listed.is_listed() || self.ejected.contains(*id));
        let as_removed =
            |entry: &EndpointUpdate| EndpointUpdate { state: EndpointState::Removed, ..entry.clone() };
        affected.map(|(_, endpoint)| as_removed(&endpoint.entry)).collect()
    }

    /// Records that the controller has ejected an endpoint.
    pub fn endpoint_ejected(&mut self, id: &EndpointId) {
        self.ejected.insert(id.clone());
    }

    /// Records that the controller has lifted the ejection of an endpoint.
    pub fn endpoint_restored(&mut self, id: &EndpointId) {
        self.ejected.remove(id);
    }

    /// Forgets an endpoint that was removed long ago.
    pub fn forget_endpoint(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
        self.ejected.remove(id);
    }

    /// Records that a proxy joined.
    pub fn proxy_joined(&mut self, number: u32, proxy: JoinedProxy) {
        self.proxies.insert(number, proxy);
    }

    /// Records that a proxy left.
    pub fn proxy_left(&mut self, number: u32) {
        self.proxies.remove(&number);
    }

    /// The joined proxies, by number.
    pub fn proxies(&self) -> &BTreeMap<u32, JoinedProxy> {
        &self.proxies
    }
}
