//! The entry of each endpoint in the endpoint list, in one form for an in-process control plane and in
//! another for a control plane in a separate process.

use super::setup::group_start;
use crate::endpoint::Endpoint;
use crate::endpoint_list::ListEntry;
use crate::endpoint_status::EndpointStatus;
use crate::sync::lock;
use otterwinch::host::EndpointState;
use otterwinch_fleet::model::Fleet;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The current entries of all endpoints.
pub(super) struct EndpointRegistry {
    endpoints: Arc<Vec<Endpoint>>,
    /// By endpoint index.
    weights: Vec<f64>,
    zone_names: Vec<String>,
    /// By endpoint index.
    listed: Mutex<Vec<ListedState>>,
}

/// The part of an entry that may change.
#[derive(Clone, Copy)]
struct ListedState {
    state: EndpointState,
    /// When the endpoint was started; `None` if that was long ago.
    started: Option<Instant>,
}

/// An update of the endpoint list, in both forms.
#[derive(Clone)]
pub(super) struct ListUpdate {
    pub(super) statuses: Vec<EndpointStatus>,
    pub(super) entries: Vec<ListEntry>,
}

impl EndpointRegistry {
    /// A registry in which all endpoints are ready.
    pub(super) fn new(fleet: &Fleet, endpoints: Arc<Vec<Endpoint>>, now: Instant) -> Self {
        let mut weights = Vec::new();
        let mut listed = Vec::new();
        for endpoint in endpoints.iter() {
            let group = &fleet.groups[endpoint.group];
            weights.push(group.weight);
            listed.push(ListedState { state: EndpointState::Ready, started: group_start(group, now) });
        }
        EndpointRegistry {
            endpoints,
            weights,
            zone_names: fleet.zones.iter().map(|zone| zone.name.clone()).collect(),
            listed: Mutex::new(listed),
        }
    }

    /// The names of all endpoints, by their index.
    pub(super) fn names(&self) -> Vec<String> {
        self.endpoints.iter().map(|endpoint| endpoint.name.clone()).collect()
    }

    /// Changes the state of some endpoints.
    pub(super) fn set_state(&self, endpoints: &[u32], state: EndpointState) {
        let mut listed = lock(&self.listed);
        for endpoint in endpoints {
            listed[*endpoint as usize].state = state;
        }
    }

    /// Marks some endpoints as ready and started now.
    pub(super) fn set_started(&self, endpoints: &[u32]) {
        let mut listed = lock(&self.listed);
        for endpoint in endpoints {
            listed[*endpoint as usize] =
                ListedState { state: EndpointState::Ready, started: Some(Instant::now()) };
        }
    }

    /// The current entries of all endpoints.
    pub(super) fn whole_list(&self) -> ListUpdate {
        let all: Vec<u32> = (0..self.endpoints.len() as u32).collect();
        self.update_for(&all)
    }

    /// The current entries of some endpoints.
    pub(super) fn update_for(&self, endpoints: &[u32]) -> ListUpdate {
        ListUpdate {
            statuses: endpoints.iter().map(|endpoint| self.status(*endpoint as usize)).collect(),
            entries: endpoints.iter().map(|endpoint| self.entry(*endpoint as usize)).collect(),
        }
    }

    fn status(&self, index: usize) -> EndpointStatus {
        let endpoint = &self.endpoints[index];
        let ListedState { state, started } = lock(&self.listed)[index];
        EndpointStatus {
            name: endpoint.name.clone(),
            zone: endpoint.zone as u32,
            weight: self.weights[index],
            state,
            started,
        }
    }

    fn entry(&self, index: usize) -> ListEntry {
        let endpoint = &self.endpoints[index];
        let ListedState { state, started } = lock(&self.listed)[index];
        ListEntry {
            name: endpoint.name.clone(),
            address: endpoint.address.clone(),
            zone: self.zone_names[endpoint.zone].clone(),
            state,
            weight: self.weights[index],
            started_unix_ms: started.map_or(0, unix_ms),
        }
    }
}

/// Converts an instant in the past to milliseconds of Unix time.
fn unix_ms(at: Instant) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(at.elapsed()).as_millis() as u64
}
