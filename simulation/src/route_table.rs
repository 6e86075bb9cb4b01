//! Route tables: as a control-plane instance has ordered them, and as immutable snapshots that proxies hold and share.

use otterwinch::host::RetryPolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Endpoints to choose from at random by weight.
#[derive(Clone, Debug, Default)]
pub struct WeightedEndpoints {
    endpoints: Vec<u32>,
    /// For each endpoint, the sum of the weights up to and including its own.
    cumulative_weights: Vec<f64>,
}

impl WeightedEndpoints {
    /// Endpoints with their weights; those without a weight above 0 are left out.
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

    /// The endpoint that a sample from 0 (included) to 1 (excluded) selects; `None` if there is none to select.
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

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The endpoints with their weights.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let sums = &self.cumulative_weights;
        let previous_sums = std::iter::once(0.0).chain(sums.iter().copied());
        let weights = sums.iter().zip(previous_sums).map(|(sum, previous)| sum - previous);
        self.endpoints.iter().copied().zip(weights)
    }
}

/// How a proxy treats the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    /// The fraction of requests that it admits.
    pub admitted: f64,
    /// When it retries them.
    pub retry: RetryPolicy,
}

/// A table as it was when a message was sent.
#[derive(Clone, Debug)]
pub struct TableSnapshot {
    /// The endpoints that weren't ejected.
    pub endpoints: WeightedEndpoints,
    /// The admission level of each request class; `None` where none was set.
    pub admission: Vec<Option<AdmissionLevel>>,
}

/// A table as its control-plane instance has ordered it so far.
#[derive(Default)]
pub struct RouteTable {
    /// The weight of each endpoint in the table, all above 0.
    pub weights: BTreeMap<u32, f64>,
    /// The admission level of each request class; `None` where none was set.
    pub admission: Vec<Option<AdmissionLevel>>,
    snapshot: Option<Arc<TableSnapshot>>,
}

impl RouteTable {
    /// An empty table.
    pub fn new(request_classes: usize) -> Self {
        RouteTable { admission: vec![None; request_classes], ..RouteTable::default() }
    }

    /// Discards the cached snapshot; to be called after each change of the table or of the ejected endpoints.
    pub fn invalidate(&mut self) {
        self.snapshot = None;
    }

    /// The table as it stands, without the ejected endpoints.
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
