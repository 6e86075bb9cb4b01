//! The channel between a control-plane instance and its proxies.

use crate::queue::Time;
use crate::route_table::{AdmissionLevel, RouteTable, TableSnapshot};
use crate::simulated_host::Command;
use otterwinch_fleet::model::ControlPlane;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What stands between a supervisor and its forwarders: tables, who is on which, who is barred, and the channel.
pub struct ProxyChannel {
    pub tables: BTreeMap<u32, RouteTable>,
    pub ejected: BTreeSet<u32>,
    /// The table of each forwarder that is bound, by its number.
    pub assigned: BTreeMap<u32, u32>,
    pub connected: BTreeSet<u32>,
    pub send_queue: SendQueue,
    request_classes: usize,
}

/// Messages leave one after the other, at so many lines a second.
pub struct SendQueue {
    lines_per_s: f64,
    head: f64,
    /// When the last message that waits has left.
    free: Time,
    /// The most lines that ever waited, and all that left.
    pub max_queued_lines: f64,
    pub sent_lines: f64,
    pub sent_messages: u64,
}

impl SendQueue {
    /// Puts a message in; tells when it has left.
    pub fn enqueue(&mut self, now: Time, lines: f64) -> Time {
        let lines = lines + self.head;
        self.free = self.free.max(now) + (lines / self.lines_per_s * 1e6) as Time;
        self.max_queued_lines = self.max_queued_lines.max((self.free - now) as f64 / 1e6 * self.lines_per_s);
        self.sent_lines += lines;
        self.sent_messages += 1;
        self.free
    }
}

/// A moment's messages: lines by forwarder, and the mark that they carry.
pub struct MessageBatch {
    pub lines: BTreeMap<u32, f64>,
    pub acknowledgement: Option<u32>,
}

impl ProxyChannel {
    pub fn new(told: &ControlPlane, request_classes: usize) -> Self {
        let (lines_per_s, head) = (told.channel_rate, told.message_overhead_lines);
        let send_queue = SendQueue {
            lines_per_s,
            head,
            free: 0,
            max_queued_lines: 0.0,
            sent_lines: 0.0,
            sent_messages: 0,
        };
        let (tables, ejected) = (BTreeMap::new(), BTreeSet::new());
        ProxyChannel {
            tables,
            ejected,
            assigned: BTreeMap::new(),
            connected: BTreeSet::new(),
            send_queue,
            request_classes,
        }
    }

    fn table(&mut self, table_id: u32) -> &mut RouteTable {
        let request_classes = self.request_classes;
        self.tables.entry(table_id).or_insert_with(|| RouteTable::new(request_classes))
    }

    pub fn connect(&mut self, proxy: u32) {
        self.connected.insert(proxy);
    }

    pub fn disconnect(&mut self, proxy: u32) {
        self.connected.remove(&proxy);
        self.assigned.remove(&proxy);
    }

    /// Takes a moment's commands into the tables as they stand here, and counts the lines that each forwarder will be
    /// sent. `standing` tells whether an unbound forwarder's own table has a node.
    pub fn apply(&mut self, commands: Vec<Command>, standing: impl Fn(u32, u32) -> bool) -> MessageBatch {
        let mut lines: BTreeMap<u32, f64> = BTreeMap::new();
        let mut marks = Vec::new();
        let users = |assigned: &BTreeMap<u32, u32>, table_id: u32| -> Vec<u32> {
            assigned.iter().filter(|(_, t)| **t == table_id).map(|(f, _)| *f).collect()
        };
        for command in commands {
            match command {
                Command::SetWeight { table_id, endpoint, weight } => {
                    let table = self.table(table_id);
                    if weight > 0.0 {
                        table.weights.insert(endpoint, weight);
                    } else {
                        table.weights.remove(&endpoint);
                    }
                    table.invalidate();
                    users(&self.assigned, table_id)
                        .into_iter()
                        .for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Command::AssignTable { proxy, table_id } => {
                    if !self.connected.contains(&proxy) {
                        continue;
                    }
                    let table = self.table(table_id);
                    let held = table.weights.len() + table.admission.iter().flatten().count();
                    let on: Vec<u32> = table.weights.keys().copied().collect();
                    let ejected = on.iter().filter(|endpoint| self.ejected.contains(endpoint)).count();
                    *lines.entry(proxy).or_default() += (1 + held + ejected) as f64;
                    self.assigned.insert(proxy, table_id);
                }
                Command::SetEjected { endpoint, ejected } => {
                    if ejected {
                        self.ejected.insert(endpoint);
                    } else {
                        self.ejected.remove(&endpoint);
                    }
                    self.tables.values_mut().for_each(RouteTable::invalidate);
                    for f in &self.connected {
                        let has = match self.assigned.get(f).and_then(|table_id| self.tables.get(table_id)) {
                            Some(table) => table.weights.contains_key(&endpoint),
                            None => standing(*f, endpoint),
                        };
                        if has {
                            *lines.entry(*f).or_default() += 1.0;
                        }
                    }
                }
                Command::SetAdmission { table_id, request_classes, admitted, retry } => {
                    let count = self.request_classes;
                    let table = self.table(table_id);
                    let of = (0..count).filter(|k| request_classes == 0 || request_classes >> k & 1 == 1);
                    of.for_each(|k| table.admission[k] = Some(AdmissionLevel { admitted, retry }));
                    table.invalidate();
                    users(&self.assigned, table_id)
                        .into_iter()
                        .for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Command::RequestAcknowledgement(number) => marks.push(number),
            }
        }
        lines.values_mut().for_each(|lines| *lines += marks.len() as f64);
        MessageBatch { lines, acknowledgement: marks.pop() }
    }

    /// What a forwarder holds by now: its table, if it is bound.
    pub fn table_snapshot(&mut self, proxy: u32) -> Option<Arc<TableSnapshot>> {
        let table_id = self.assigned.get(&proxy)?;
        let ProxyChannel { tables, ejected, .. } = self;
        tables.get_mut(table_id).map(|table| table.snapshot(ejected))
    }
}
