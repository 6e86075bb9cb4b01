//! The route table of a proxy, and how the proxy admits requests and picks endpoints by it.

use super::ProxySpec;
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::sampling::random_stream;
use otterwinch_simulation::route_table::{TableSnapshot, WeightedEndpoints};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The current route table of a proxy.
pub(super) struct RoutingState {
    table: Arc<TableSnapshot>,
    /// Whether the table is an assigned table; otherwise it is the initial table.
    assigned: bool,
    /// The endpoints of the initial table.
    initial_endpoints: Vec<u32>,
    request_class_count: usize,
    apply_time_per_line: Duration,
    /// When all messages received so far are applied. No request is forwarded before.
    applied_at: Instant,
    rng: Pcg64Mcg,
}

/// The routing decision for a request.
pub(super) struct Route {
    /// The endpoint to send it to; `None` if it is rejected.
    pub(super) endpoint: Option<u32>,
    /// The retry policy; `None` if the request class has no admission level.
    pub(super) retry: Option<RetryPolicy>,
}

impl RoutingState {
    pub(super) fn new(initial_endpoints: Vec<u32>, spec: &ProxySpec) -> Self {
        let initial_table = || initial_table(&initial_endpoints, &BTreeSet::new(), spec.request_class_count);
        RoutingState {
            table: spec.assigned_table.clone().unwrap_or_else(initial_table),
            assigned: spec.assigned_table.is_some(),
            initial_endpoints,
            request_class_count: spec.request_class_count,
            apply_time_per_line: spec.apply_time_per_line,
            applied_at: Instant::now(),
            rng: random_stream(spec.seed, "picks", u64::from(spec.number)),
        }
    }

    /// See [`super::Proxy::apply`].
    pub(super) fn apply(
        &mut self,
        assigned_table: Option<Arc<TableSnapshot>>,
        ejected: &BTreeSet<u32>,
        lines: f64,
    ) -> Instant {
        if let Some(table) = assigned_table {
            self.table = table;
            self.assigned = true;
        } else if !self.assigned {
            self.table = initial_table(&self.initial_endpoints, ejected, self.request_class_count);
        }
        let apply_time = self.apply_time_per_line.mul_f64(lines);
        self.applied_at = self.applied_at.max(Instant::now() + apply_time);
        self.applied_at
    }

    /// Returns to the initial table.
    pub(super) fn reset(&mut self) {
        self.table = initial_table(&self.initial_endpoints, &BTreeSet::new(), self.request_class_count);
        self.assigned = false;
    }

    pub(super) fn is_assigned(&self) -> bool {
        self.assigned
    }

    pub(super) fn in_initial_table(&self, endpoint: u32) -> bool {
        self.initial_endpoints.contains(&endpoint)
    }

    /// When all messages received so far are applied.
    pub(super) fn applied_at(&self) -> Instant {
        self.applied_at
    }

    /// Admits or rejects a request, and picks its endpoint.
    pub(super) fn route(&mut self, request_class: usize) -> Route {
        let level = self.table.admission.get(request_class).copied().flatten();
        // Both are drawn for every request, so that a rejection doesn't change the random numbers of later
        // requests.
        let admission_sample = self.rng.random::<f64>();
        let endpoint_sample = self.rng.random::<f64>();
        let is_admitted = level.is_none_or(|level| admission_sample < level.admitted);
        Route {
            endpoint: self.table.endpoints.pick(endpoint_sample).filter(|_| is_admitted),
            retry: level.map(|level| level.retry),
        }
    }

    /// Picks an endpoint for a retry, excluding the endpoint of the first attempt.
    pub(super) fn pick_other(&mut self, first: u32) -> Option<u32> {
        let others = self.table.endpoints.iter().filter(|(endpoint, _)| *endpoint != first);
        let others = WeightedEndpoints::new(others);
        others.pick(self.rng.random::<f64>())
    }
}

/// The table that a proxy uses before its first assignment: equal weights for all endpoints that are not
/// ejected, and no admission levels.
fn initial_table(
    endpoints: &[u32],
    ejected: &BTreeSet<u32>,
    request_class_count: usize,
) -> Arc<TableSnapshot> {
    let usable = endpoints.iter().filter(|endpoint| !ejected.contains(endpoint));
    Arc::new(TableSnapshot {
        endpoints: WeightedEndpoints::new(usable.map(|endpoint| (*endpoint, 1.0))),
        admission: vec![None; request_class_count],
    })
}
