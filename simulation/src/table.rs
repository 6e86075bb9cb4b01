//! What forwarders hold: tables by version. Whoever uses a table at one version shares it.

use otterwinch::host::RetryPolicy;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Lines ready to be picked from, with whoever is barred left out.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    nodes: Vec<u32>,
    /// Sums of the weights up to and with each.
    sums: Vec<f64>,
}

impl Lines {
    pub fn of(lines: impl Iterator<Item = (u32, f64)>) -> Lines {
        let mut picked = Lines::default();
        let mut sum = 0.0;
        for (node, weight) in lines.filter(|line| line.1 > 0.0) {
            sum += weight;
            picked.nodes.push(node);
            picked.sums.push(sum);
        }
        picked
    }

    /// The line that a draw of 0 to 1 falls on.
    ///
    /// ```
    /// use otterwinch_simulation::table::Lines;
    /// let lines = Lines::of([(7, 1.0), (8, 3.0), (9, 0.0)].into_iter());
    /// assert_eq!([0.0, 0.24, 0.26, 0.99].map(|u| lines.pick(u)), [Some(7), Some(7), Some(8), Some(8)]);
    /// ```
    pub fn pick(&self, unit: f64) -> Option<u32> {
        let at = self.sums.last()? * unit;
        let place = self.sums.partition_point(|sum| *sum <= at);
        Some(self.nodes[place.min(self.nodes.len() - 1)])
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Nodes with their weights.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        let before = std::iter::once(0.0).chain(self.sums.iter().copied());
        self.nodes.iter().zip(&self.sums).zip(before).map(|((node, sum), before)| (*node, sum - before))
    }
}

/// What is let in of one product, and when its forwarder tries again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    pub share: f64,
    pub retry: RetryPolicy,
}

/// A table as it was when a message was written.
#[derive(Clone, Debug)]
pub struct Version {
    pub lines: Lines,
    pub levels: Vec<Option<Level>>,
}

/// A table as its supervisor has ordered it so far.
#[derive(Default)]
pub struct Table {
    pub lines: BTreeMap<u32, f64>,
    pub levels: Vec<Option<Level>>,
    version: Option<Arc<Version>>,
}

impl Table {
    pub fn new(products: usize) -> Self {
        Table { levels: vec![None; products], ..Table::default() }
    }

    pub fn changed(&mut self) {
        self.version = None;
    }

    /// The table as it stands, barred nodes left out.
    pub fn version(&mut self, barred: &BTreeSet<u32>) -> Arc<Version> {
        let Table { lines, levels, version } = self;
        let fresh = || {
            let kept = lines.iter().filter(|(node, _)| !barred.contains(node));
            let lines = Lines::of(kept.map(|(node, weight)| (*node, *weight)));
            Arc::new(Version { lines, levels: levels.clone() })
        };
        version.get_or_insert_with(fresh).clone()
    }
}
