//! Route tables: the control plane's modifiable version, and the immutable snapshots that proxies share.

use otterwinch::host::RetryPolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Endpoints to select from at random, with probabilities proportional to their weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedEndpoints {
    endpoints: Vec<u32>,
    /// For each endpoint, the sum of the weights of the endpoints up to and including it.
    cumulative_weights: Vec<f64>,
}

impl WeightedEndpoints {
    /// Creates a selection from endpoints and their weights, leaving out those without a positive weight.
    pub fn new(weights: impl Iterator<Item = (u32, f64)>) -> WeightedEndpoints {
        let mut weighted = WeightedEndpoints::default();
        let mut sum = 0.0;
        for (endpoint, weight) in weights.filter(|(_, weight)| *weight > 0.0) {
            sum += weight;
            weighted.endpoints.push(endpoint);
            weighted.cumulative_weights.push(sum);
        }
        weighted
    }

    /// Returns the endpoint that a sample from 0 (included) to 1 (excluded) selects; `None` if there are no
    /// endpoints.
    ///
    /// ```
    /// use otterwinch_simulation::route_table::WeightedEndpoints;
    /// let endpoints = WeightedEndpoints::new([(7, 1.0), (8, 3.0), (9, 0.0)].into_iter());
    /// assert_eq!([0.0, 0.24, 0.26, 0.99].map(|u| endpoints.pick(u)), [Some(7), Some(7), Some(8), Some(8)]);
    /// ```
    pub fn pick(&self, sample: f64) -> Option<u32> {
        let target = self.cumulative_weights.last()? * sample;
        let position = self.cumulative_weights.partition_point(|sum| *sum <= target);
        Some(self.endpoints[position.min(self.endpoints.len() - 1)])
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Iterates over the endpoints and their weights.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let sums = &self.cumulative_weights;
        let previous_sums = std::iter::once(0.0).chain(sums.iter().copied());
        let weights = sums.iter().zip(previous_sums).map(|(sum, previous)| sum - previous);
        self.endpoints.iter().copied().zip(weights)
    }
}

/// The admission and retry settings of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// The fraction of client attempts that the proxy admits.
    pub admitted: f64,
    /// When the proxy retries an attempt.
    pub retry: RetryPolicy,
}

/// An immutable copy of a table's content, as proxies use it.
#[derive(Clone, Debug)]
pub struct TableSnapshot {
    /// The endpoints of the table, without the ejected ones.
    pub endpoints: WeightedEndpoints,
    /// The admission level of each request class; `None` where none was set.
    pub admission: Vec<Option<AdmissionLevel>>,
}

/// The content of a table after all commands so far, with a cached snapshot.
#[derive(Default)]
pub struct RouteTable {
    /// The weight of each endpoint in the table. All are positive.
    pub weights: BTreeMap<u32, f64>,
    /// The admission level of each request class; `None` where none was set.
    pub admission: Vec<Option<AdmissionLevel>>,
    /// The cached result of [`snapshot`](Self::snapshot); `None` after a change.
    snapshot: Option<Arc<TableSnapshot>>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new(request_class_count: usize) -> Self {
        RouteTable { admission: vec![None; request_class_count], ..RouteTable::default() }
    }

    /// Discards the cached snapshot. Must be called after each change to the table or to the ejected
    /// endpoints.
    pub fn invalidate_snapshot(&mut self) {
        self.snapshot = None;
    }

    /// Returns the present content without the ejected endpoints, from the cache if nothing has changed.
    pub fn snapshot(&mut self, ejected: &BTreeSet<u32>) -> Arc<TableSnapshot> {
        if let Some(snapshot) = &self.snapshot {
            return snapshot.clone();
        }
        let usable = self.weights.iter().filter(|(endpoint, _)| !ejected.contains(endpoint));
        let endpoints = WeightedEndpoints::new(usable.map(|(endpoint, weight)| (*endpoint, *weight)));
        let snapshot = Arc::new(TableSnapshot { endpoints, admission: self.admission.clone() });
        self.snapshot = Some(snapshot.clone());
        snapshot
    }
}
