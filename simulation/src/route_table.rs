//! What forwarders hold: tables by version. Whoever uses a table at one version shares it.

use otterwinch::host::RetryPolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Lines ready to be picked from, with whoever is barred left out.
#[derive(Clone, Debug, Default)]
pub struct WeightedEndpoints {
    endpoints: Vec<u32>,
    /// Sums of the weights up to and with each.
    sums: Vec<f64>,
}

impl WeightedEndpoints {
    pub fn new(lines: impl Iterator<Item = (u32, f64)>) -> WeightedEndpoints {
        let mut picked = WeightedEndpoints::default();
        let mut sum = 0.0;
        for (endpoint, weight) in lines.filter(|line| line.1 > 0.0) {
            sum += weight;
            picked.endpoints.push(endpoint);
            picked.sums.push(sum);
        }
        picked
    }

    /// The line that a draw of 0 to 1 falls on.
    ///
    /// ```
    /// use otterwinch_simulation::route_table::WeightedEndpoints;
    /// let endpoints = WeightedEndpoints::new([(7, 1.0), (8, 3.0), (9, 0.0)].into_iter());
    /// assert_eq!([0.0, 0.24, 0.26, 0.99].map(|u| endpoints.pick(u)), [Some(7), Some(7), Some(8), Some(8)]);
    /// ```
    pub fn pick(&self, unit: f64) -> Option<u32> {
        let at = self.sums.last()? * unit;
        let place = self.sums.partition_point(|sum| *sum <= at);
        Some(self.endpoints[place.min(self.endpoints.len() - 1)])
    }

    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Nodes with their weights.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let before = std::iter::once(0.0).chain(self.sums.iter().copied());
        self.endpoints
            .iter()
            .zip(&self.sums)
            .zip(before)
            .map(|((endpoint, sum), before)| (*endpoint, sum - before))
    }
}

/// What is let in of one product, and when its forwarder tries again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLevel {
    pub admitted: f64,
    pub retry: RetryPolicy,
}

/// A table as it was when a message was written.
#[derive(Clone, Debug)]
pub struct TableSnapshot {
    pub endpoints: WeightedEndpoints,
    pub admission: Vec<Option<AdmissionLevel>>,
}

/// A table as its supervisor has ordered it so far.
#[derive(Default)]
pub struct RouteTable {
    pub weights: BTreeMap<u32, f64>,
    pub admission: Vec<Option<AdmissionLevel>>,
    snapshot: Option<Arc<TableSnapshot>>,
}

impl RouteTable {
    pub fn new(request_classes: usize) -> Self {
        RouteTable { admission: vec![None; request_classes], ..RouteTable::default() }
    }

    pub fn invalidate(&mut self) {
        self.snapshot = None;
    }

    /// The table as it stands, barred nodes left out.
    pub fn snapshot(&mut self, ejected: &BTreeSet<u32>) -> Arc<TableSnapshot> {
        let RouteTable { weights, admission, snapshot } = self;
        let fresh = || {
            let kept = weights.iter().filter(|(endpoint, _)| !ejected.contains(endpoint));
            let endpoints = WeightedEndpoints::new(kept.map(|(endpoint, weight)| (*endpoint, *weight)));
            Arc::new(TableSnapshot { endpoints, admission: admission.clone() })
        };
        snapshot.get_or_insert_with(fresh).clone()
    }
}
