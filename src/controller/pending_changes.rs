//! The changes of all tables at one point in time: what each table should hold, less what it retains,
//! compared with what was published.
//!
//! `publication` asks for them whenever it publishes, and decides which are sent.

use super::changes::{self, ChangeContext, TableChanges};
use super::channel::ChannelLimits;
use super::routing::DesiredWeights;
use super::routing_snapshot::RoutingSnapshot;
use super::Controller;
use crate::host::Host;
use crate::time::Moment;
use std::collections::BTreeMap;

impl<H: Host> Controller<H> {
    /// Computes the changes of all tables.
    pub(super) fn all_changes(&mut self, now: Moment, limits: &ChannelLimits) -> Vec<TableChanges> {
        let snapshot = self.routing_snapshot(now, limits);
        let mut receivers_by_table = self.proxies.receivers_by_table();
        let mut desired_by_table = self.desired_weights(&snapshot);
        self.retain_weights(now, limits, &mut desired_by_table, &receivers_by_table);
        let context =
            ChangeContext { endpoints: &self.endpoints, snapshot: &snapshot, config: &self.config, now };
        let mut all = Vec::new();
        for (number, desired) in desired_by_table {
            let table = &self.tables.by_number[&number];
            let receivers = receivers_by_table.remove(&number).unwrap_or_default();
            let changes = changes::weight_changes(table, desired, receivers.len(), limits, &context);
            all.push(TableChanges { table: number, receivers, changes });
        }
        all
    }

    /// The weights that each table should have now.
    fn desired_weights(&mut self, snapshot: &RoutingSnapshot) -> BTreeMap<u32, DesiredWeights> {
        let mut desired_by_table = BTreeMap::new();
        for (number, table) in &mut self.tables.by_number {
            desired_by_table.insert(*number, table.desired_weights(*number, snapshot));
        }
        if desired_by_table.values().any(|desired| desired.is_held_back) {
            self.schedule_recheck();
        }
        desired_by_table
    }

    fn routing_snapshot(&self, now: Moment, limits: &ChannelLimits) -> RoutingSnapshot {
        RoutingSnapshot::new(
            now,
            &self.config,
            &self.endpoints,
            self.fleet_condition(),
            self.proxies.rates_by_zone(),
            limits,
            self.tables.ring_seed,
        )
    }
}
