//! The channel between a control-plane instance and its proxies: turns the commands of an instant into one message for
//! each proxy that they concern, and sends messages one after the other at a limited rate.

use crate::clock::{secs, Time};
use crate::route_table::{AdmissionLevel, RouteTable, TableSnapshot};
use crate::simulated_host::Command;
use otterwinch_fleet::model::ControlPlane;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The tables of an instance, which proxy uses which, and the queue of messages to the proxies.
pub struct ProxyChannel {
    /// Endpoints that are ejected from all tables.
    pub ejected: BTreeSet<u32>,
    /// Proxies that are connected.
    pub connected: BTreeSet<u32>,
    /// Messages to the proxies.
    pub send_queue: SendQueue,
    tables: BTreeMap<u32, RouteTable>,
    /// The table that each proxy was assigned.
    assigned: BTreeMap<u32, u32>,
    request_classes: usize,
}

/// Messages that leave one after the other, at a limited rate of lines.
pub struct SendQueue {
    lines_per_second: f64,
    message_overhead_lines: f64,
    /// When the last queued message has left.
    idle_at: Time,
    /// The most lines that were ever queued.
    pub max_queued_lines: f64,
    /// Lines of all messages so far, with their overhead.
    pub sent_lines: f64,
}

impl SendQueue {
    fn new(control_plane: &ControlPlane) -> Self {
        SendQueue {
            lines_per_second: control_plane.channel_rate,
            message_overhead_lines: control_plane.message_overhead_lines,
            idle_at: 0,
            max_queued_lines: 0.0,
            sent_lines: 0.0,
        }
    }

    /// Queues a message of so many lines; returns when it has left.
    pub fn enqueue(&mut self, now: Time, lines: f64) -> Time {
        let lines = lines + self.message_overhead_lines;
        self.idle_at = self.idle_at.max(now) + (lines / self.lines_per_second * 1e6) as Time;
        let queued_lines = secs(self.idle_at - now) * self.lines_per_second;
        self.max_queued_lines = self.max_queued_lines.max(queued_lines);
        self.sent_lines += lines;
        self.idle_at
    }
}

/// The messages that the commands of an instant make.
pub struct MessageBatch {
    /// The length of each proxy's message, in lines.
    pub lines: BTreeMap<u32, f64>,
    /// The number with which the proxies acknowledge the batch, if the controller asks for it.
    pub acknowledgement: Option<u32>,
}

impl MessageBatch {
    fn add_lines(&mut self, proxy: u32, lines: f64) {
        *self.lines.entry(proxy).or_default() += lines;
    }
}

impl ProxyChannel {
    /// A channel without proxies and tables.
    pub fn new(control_plane: &ControlPlane, request_classes: usize) -> Self {
        ProxyChannel {
            ejected: BTreeSet::new(),
            connected: BTreeSet::new(),
            send_queue: SendQueue::new(control_plane),
            tables: BTreeMap::new(),
            assigned: BTreeMap::new(),
            request_classes,
        }
    }

    /// Adds a proxy, which has no table yet.
    pub fn connect(&mut self, proxy: u32) {
        self.connected.insert(proxy);
    }

    /// Removes a proxy and forgets its table.
    pub fn disconnect(&mut self, proxy: u32) {
        self.connected.remove(&proxy);
        self.assigned.remove(&proxy);
    }

    /// Applies the commands of an instant to the tables, and counts the lines that each proxy is sent.
    /// `in_initial_table` tells whether the table that a proxy starts with has an endpoint.
    pub fn apply(
        &mut self,
        commands: Vec<Command>,
        in_initial_table: impl Fn(u32, u32) -> bool,
    ) -> MessageBatch {
        let mut batch = MessageBatch { lines: BTreeMap::new(), acknowledgement: None };
        let mut acknowledgement_lines = 0.0;
        for command in commands {
            match command {
                Command::SetWeight { table_id, endpoint, weight } => {
                    self.set_weight(table_id, endpoint, weight);
                    self.add_line_to_users(table_id, &mut batch);
                }
                Command::AssignTable { proxy, table_id } => self.assign(proxy, table_id, &mut batch),
                Command::SetEjected { endpoint, ejected } => {
                    self.set_ejected(endpoint, ejected);
                    self.add_line_to_holders(endpoint, &in_initial_table, &mut batch);
                }
                Command::SetAdmission { table_id, request_classes, admitted, retry } => {
                    self.set_admission(table_id, request_classes, AdmissionLevel { admitted, retry });
                    self.add_line_to_users(table_id, &mut batch);
                }
                Command::RequestAcknowledgement(number) => {
                    batch.acknowledgement = Some(number);
                    acknowledgement_lines += 1.0;
                }
            }
        }
        for lines in batch.lines.values_mut() {
            *lines += acknowledgement_lines;
        }
        batch
    }

    /// The present state of a proxy's table; `None` if it was assigned none.
    pub fn table_snapshot(&mut self, proxy: u32) -> Option<Arc<TableSnapshot>> {
        let table_id = self.assigned.get(&proxy)?;
        let table = self.tables.get_mut(table_id)?;
        Some(table.snapshot(&self.ejected))
    }

    fn table(&mut self, table_id: u32) -> &mut RouteTable {
        let request_classes = self.request_classes;
        self.tables.entry(table_id).or_insert_with(|| RouteTable::new(request_classes))
    }

    fn set_weight(&mut self, table_id: u32, endpoint: u32, weight: f64) {
        let table = self.table(table_id);
        if weight > 0.0 {
            table.weights.insert(endpoint, weight);
        } else {
            table.weights.remove(&endpoint);
        }
        table.invalidate();
    }

    fn set_admission(&mut self, table_id: u32, request_classes: u64, level: AdmissionLevel) {
        let table = self.table(table_id);
        for (class, current) in table.admission.iter_mut().enumerate() {
            if request_classes == 0 || request_classes >> class & 1 == 1 {
                *current = Some(level);
            }
        }
        table.invalidate();
    }

    fn set_ejected(&mut self, endpoint: u32, ejected: bool) {
        if ejected {
            self.ejected.insert(endpoint);
        } else {
            self.ejected.remove(&endpoint);
        }
        for table in self.tables.values_mut() {
            table.invalidate();
        }
    }

    /// Assigns a table, all of whose content the proxy is sent. A proxy that isn't connected is ignored.
    fn assign(&mut self, proxy: u32, table_id: u32, batch: &mut MessageBatch) {
        if !self.connected.contains(&proxy) {
            return;
        }
        let table = self.table(table_id);
        let content = table.weights.len() + table.admission.iter().flatten().count();
        let table = &self.tables[&table_id];
        let ejected = table.weights.keys().filter(|endpoint| self.ejected.contains(endpoint)).count();
        batch.add_lines(proxy, (1 + content + ejected) as f64);
        self.assigned.insert(proxy, table_id);
    }

    /// Adds a line for each proxy that uses a table.
    fn add_line_to_users(&self, table_id: u32, batch: &mut MessageBatch) {
        for (proxy, assigned) in &self.assigned {
            if *assigned == table_id {
                batch.add_lines(*proxy, 1.0);
            }
        }
    }

    /// Adds a line for each connected proxy whose table has an endpoint.
    fn add_line_to_holders(
        &self,
        endpoint: u32,
        in_initial_table: &impl Fn(u32, u32) -> bool,
        batch: &mut MessageBatch,
    ) {
        for proxy in &self.connected {
            let table = self.assigned.get(proxy).and_then(|table_id| self.tables.get(table_id));
            let holds = match table {
                Some(table) => table.weights.contains_key(&endpoint),
                None => in_initial_table(*proxy, endpoint),
            };
            if holds {
                batch.add_lines(*proxy, 1.0);
            }
        }
    }
}
