//! What stands outside this process, as far as it was observed or ordered: the listed endpoints, the ejected ones and
//! the joined proxies. A controller that is restarted begins with it.

use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// A proxy that is joined to the relay.
#[derive(Clone, Copy)]
pub struct JoinedProxy {
    /// The position of its zone in the configuration.
    pub zone: u32,
    /// Its usual rate in requests per second.
    pub rate: f64,
}

/// The endpoints and proxies outside.
#[derive(Default)]
pub struct ObservedFleet {
    /// Each endpoint that was listed and is not forgotten, in the state that it was last listed in.
    endpoints: BTreeMap<EndpointId, EndpointUpdate>,
    /// Endpoints that joined proxies are barred from by our command.
    ejected: BTreeSet<EndpointId>,
    proxies: BTreeMap<u32, JoinedProxy>,
}

impl ObservedFleet {
    /// The endpoint list was read whole: endpoints that it does not name were removed.
    pub fn replace_endpoint_list(&mut self, updates: &[EndpointUpdate]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.state = EndpointState::Removed;
        }
        self.update_endpoints(updates);
    }

    /// Entries of the endpoint list changed.
    pub fn update_endpoints(&mut self, updates: &[EndpointUpdate]) {
        for update in updates {
            self.endpoints.insert(update.id.clone(), update.clone());
        }
    }

    /// Whether an endpoint is listed, or was until recently.
    pub fn knows_endpoint(&self, id: &str) -> bool {
        self.endpoints.contains_key(id)
    }

    /// The last listed states of some endpoints, without those that are not listed.
    pub fn last_listed(&self, ids: &[EndpointId]) -> Vec<EndpointUpdate> {
        ids.iter()
            .filter_map(|id| self.endpoints.get(id))
            .filter(|endpoint| is_listed(endpoint))
            .cloned()
            .collect()
    }

    /// All listed endpoints.
    pub fn listed_endpoints(&self) -> Vec<EndpointUpdate> {
        self.endpoints.values().filter(|endpoint| is_listed(endpoint)).cloned().collect()
    }

    /// How many endpoints are listed.
    pub fn listed_count(&self) -> usize {
        self.endpoints.values().filter(|endpoint| is_listed(endpoint)).count()
    }

    /// Endpoints that are removed or ejected, all as removed ones: the relay's tables may still name them.
    pub fn removed_or_ejected(&self) -> Vec<EndpointUpdate> {
        let affected =
            |endpoint: &&EndpointUpdate| !is_listed(endpoint) || self.ejected.contains(&endpoint.id);
        let as_removed =
            |endpoint: &EndpointUpdate| EndpointUpdate { state: EndpointState::Removed, ..endpoint.clone() };
        self.endpoints.values().filter(affected).map(as_removed).collect()
    }

    /// An endpoint was ejected by our command.
    pub fn endpoint_ejected(&mut self, id: &EndpointId) {
        self.ejected.insert(id.clone());
    }

    /// The ejection of an endpoint was lifted.
    pub fn endpoint_restored(&mut self, id: &EndpointId) {
        self.ejected.remove(id);
    }

    /// An endpoint was removed long ago.
    pub fn forget_endpoint(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
        self.ejected.remove(id);
    }

    /// A proxy joined.
    pub fn proxy_joined(&mut self, number: u32, proxy: JoinedProxy) {
        self.proxies.insert(number, proxy);
    }

    /// A proxy left.
    pub fn proxy_left(&mut self, number: u32) {
        self.proxies.remove(&number);
    }

    /// The proxies that are joined, by number.
    pub fn proxies(&self) -> &BTreeMap<u32, JoinedProxy> {
        &self.proxies
    }
}

fn is_listed(endpoint: &EndpointUpdate) -> bool {
    endpoint.state != EndpointState::Removed
}
