//! The channel between a control-plane instance and its proxies. It turns the commands issued at one time
//! into one message for each proxy that they affect, and sends messages in order at a limited rate.

use crate::clock::{secs, Time};
use crate::route_table::{AdmissionLevel, RouteTable, TableSnapshot};
use crate::simulated_host::Command;
use otterwinch::host::RequestClassSet;
use otterwinch_fleet::model::ControlPlane;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The route tables of an instance, their assignment to proxies, and the queue of messages to the proxies.
pub struct ProxyChannel {
    /// The endpoints that are ejected from all tables.
    pub ejected_endpoints: BTreeSet<u32>,
    /// The proxies with an open stream to the instance.
    pub connected_proxies: BTreeSet<u32>,
    /// The queue of messages to the proxies.
    pub send_queue: SendQueue,
    /// The route tables by ID.
    tables: BTreeMap<u32, RouteTable>,
    /// The ID of the table assigned to each proxy. Proxies without one are absent.
    assigned_tables: BTreeMap<u32, u32>,
    request_class_count: usize,
}

/// A queue of messages that are sent in order at a limited number of lines per second.
pub struct SendQueue {
    lines_per_second: f64,
    message_overhead_lines: f64,
    /// When the last queued message has been sent completely.
    idle_at: Time,
    /// The most lines that were queued at any time.
    pub peak_queued_lines: f64,
    /// The total lines of all messages so far, including the overhead per message.
    pub sent_lines: f64,
}

impl SendQueue {
    fn new(control_plane: &ControlPlane) -> Self {
        SendQueue {
            lines_per_second: control_plane.channel_rate,
            message_overhead_lines: control_plane.message_overhead_lines,
            idle_at: 0,
            peak_queued_lines: 0.0,
            sent_lines: 0.0,
        }
    }

    /// Queues a message of this length and returns when it will have been sent.
    pub fn enqueue(&mut self, now: Time, lines: f64) -> Time {
        let lines = lines + self.message_overhead_lines;
        self.idle_at = self.idle_at.max(now) + (lines / self.lines_per_second * 1e6) as Time;
        let queued_lines = secs(self.idle_at - now) * self.lines_per_second;
        self.peak_queued_lines = self.peak_queued_lines.max(queued_lines);
        self.sent_lines += lines;
        self.idle_at
    }
}

/// The messages that result from the commands issued at one time.
pub struct MessageBatch {
    /// The length of each proxy's message, in lines.
    pub lines_by_proxy: BTreeMap<u32, f64>,
    /// The number to acknowledge the batch with, if the controller requested an acknowledgement.
    pub acknowledgement: Option<u32>,
}

impl MessageBatch {
    fn add_lines(&mut self, proxy: u32, lines: f64) {
        *self.lines_by_proxy.entry(proxy).or_default() += lines;
    }
}

impl ProxyChannel {
    /// Creates a channel without proxies and tables.
    pub fn new(control_plane: &ControlPlane, request_class_count: usize) -> Self {
        ProxyChannel {
            ejected_endpoints: BTreeSet::new(),
            connected_proxies: BTreeSet::new(),
            send_queue: SendQueue::new(control_plane),
            tables: BTreeMap::new(),
            assigned_tables: BTreeMap::new(),
            request_class_count,
        }
    }

    /// Adds a proxy, which has no assigned table yet.
    pub fn connect(&mut self, proxy: u32) {
        self.connected_proxies.insert(proxy);
    }

    /// Removes a proxy and its table assignment.
    pub fn disconnect(&mut self, proxy: u32) {
        self.connected_proxies.remove(&proxy);
        self.assigned_tables.remove(&proxy);
    }

    /// Applies the commands issued at one time and returns the messages to send. `in_initial_table` returns
    /// whether a proxy's initial table contains an endpoint.
    pub fn apply_commands(
        &mut self,
        commands: Vec<Command>,
        in_initial_table: impl Fn(u32, u32) -> bool,
    ) -> MessageBatch {
        let mut batch = MessageBatch { lines_by_proxy: BTreeMap::new(), acknowledgement: None };
        let mut acknowledgement_lines = 0.0;
        for command in commands {
            match command {
                Command::SetWeight { table_id, endpoint, weight } => {
                    self.set_weight(table_id, endpoint, weight);
                    self.add_line_for_table(table_id, &mut batch);
                }
                Command::AssignTable { proxy, table_id } => self.assign(proxy, table_id, &mut batch),
                Command::SetEjected { endpoint, ejected } => {
                    self.set_ejected(endpoint, ejected);
                    self.add_line_for_endpoint(endpoint, &in_initial_table, &mut batch);
                }
                Command::SetAdmission { table_id, request_classes, admitted, retry } => {
                    self.set_admission(table_id, request_classes, AdmissionLevel { admitted, retry });
                    self.add_line_for_table(table_id, &mut batch);
                }
                Command::RequestAcknowledgement(number) => {
                    batch.acknowledgement = Some(number);
                    acknowledgement_lines += 1.0;
                }
            }
        }
        for lines in batch.lines_by_proxy.values_mut() {
            *lines += acknowledgement_lines;
        }
        batch
    }

    /// Returns the present content of the table assigned to a proxy; `None` if none is assigned.
    pub fn table_snapshot(&mut self, proxy: u32) -> Option<Arc<TableSnapshot>> {
        let table_id = self.assigned_tables.get(&proxy)?;
        let table = self.tables.get_mut(table_id)?;
        Some(table.snapshot(&self.ejected_endpoints))
    }

    /// Returns the table with this ID, which is created if necessary.
    fn table(&mut self, table_id: u32) -> &mut RouteTable {
        let request_class_count = self.request_class_count;
        self.tables.entry(table_id).or_insert_with(|| RouteTable::new(request_class_count))
    }

    /// Sets the weight of an endpoint in a table; a weight of 0 removes it.
    fn set_weight(&mut self, table_id: u32, endpoint: u32, weight: f64) {
        let table = self.table(table_id);
        if weight > 0.0 {
            table.weights.insert(endpoint, weight);
        } else {
            table.weights.remove(&endpoint);
        }
        table.invalidate_snapshot();
    }

    /// Sets the admission level of request classes in a table.
    fn set_admission(&mut self, table_id: u32, request_classes: RequestClassSet, level: AdmissionLevel) {
        let table = self.table(table_id);
        for (class, current) in table.admission.iter_mut().enumerate() {
            if request_classes.contains(class) {
                *current = Some(level);
            }
        }
        table.invalidate_snapshot();
    }

    /// Ejects an endpoint from all tables, or restores it.
    fn set_ejected(&mut self, endpoint: u32, ejected: bool) {
        if ejected {
            self.ejected_endpoints.insert(endpoint);
        } else {
            self.ejected_endpoints.remove(&endpoint);
        }
        for table in self.tables.values_mut() {
            table.invalidate_snapshot();
        }
    }

    /// Assigns a table to a proxy. The message has a line for the assignment, for each weight and admission
    /// level in the table, and for each ejected endpoint in it. Ignored if the proxy isn't connected.
    fn assign(&mut self, proxy: u32, table_id: u32, batch: &mut MessageBatch) {
        if !self.connected_proxies.contains(&proxy) {
            return;
        }
        let table = self.table(table_id);
        let content_lines = table.weights.len() + table.admission.iter().flatten().count();
        let table = &self.tables[&table_id];
        let ejected_lines =
            table.weights.keys().filter(|endpoint| self.ejected_endpoints.contains(endpoint)).count();
        batch.add_lines(proxy, (1 + content_lines + ejected_lines) as f64);
        self.assigned_tables.insert(proxy, table_id);
    }

    /// Adds a line to the message of each proxy that a table is assigned to.
    fn add_line_for_table(&self, table_id: u32, batch: &mut MessageBatch) {
        for (proxy, assigned_table) in &self.assigned_tables {
            if *assigned_table == table_id {
                batch.add_lines(*proxy, 1.0);
            }
        }
    }

    /// Adds a line to the message of each connected proxy whose assigned or initial table contains an
    /// endpoint.
    fn add_line_for_endpoint(
        &self,
        endpoint: u32,
        in_initial_table: &impl Fn(u32, u32) -> bool,
        batch: &mut MessageBatch,
    ) {
        for proxy in &self.connected_proxies {
            let table = self.assigned_tables.get(proxy).and_then(|table_id| self.tables.get(table_id));
            let contains_endpoint = match table {
                Some(table) => table.weights.contains_key(&endpoint),
                None => in_initial_table(*proxy, endpoint),
            };
            if contains_endpoint {
                batch.add_lines(*proxy, 1.0);
            }
        }
    }
}
