//! A supervisor in a play: the real rules, the plane that their commands go through, and the sums that they hear.

use crate::queue::Time;
use crate::table::{AdmissionLevel, RouteTable, TableSnapshot};
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_fleet::model::ControlPlane;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// Moments count from here, so that a node that started before the play has a time to have started at.
const ORIGIN: i64 = 1_000_000_000_000;

pub fn moment(at: Time) -> Moment {
    Moment::from_us(ORIGIN + at as i64)
}

/// What the rules order in a moment, and the wake-ups that they ask for.
#[derive(Default)]
pub struct SimulatedHost {
    pub commands: Vec<Command>,
    pub timers: Vec<(Span, Timer)>,
    places: Rc<FxHashMap<EndpointId, u32>>,
}

/// A command, its node by its place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    SetWeight { table_id: u32, endpoint: u32, weight: f64 },
    AssignTable { proxy: u32, table_id: u32 },
    SetEjected { endpoint: u32, ejected: bool },
    SetAdmission { table_id: u32, request_classes: RequestClassSet, admitted: f64, retry: RetryPolicy },
    RequestAcknowledgement(u32),
}

impl SimulatedHost {
    pub fn new(places: Rc<FxHashMap<EndpointId, u32>>) -> Self {
        SimulatedHost { places, ..SimulatedHost::default() }
    }
}

impl Host for SimulatedHost {
    fn set_endpoint_weight(&mut self, table_id: u32, server: &EndpointId, weight: f64) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetWeight { table_id, endpoint, weight });
        }
    }
    fn assign_table(&mut self, proxy: u32, table_id: u32) {
        self.commands.push(Command::AssignTable { proxy, table_id });
    }
    fn eject_endpoint(&mut self, server: &EndpointId) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected: true });
        }
    }
    fn restore_endpoint(&mut self, server: &EndpointId) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected: false });
        }
    }
    fn forget_endpoint(&mut self, _server: &EndpointId) {}
    fn set_admission(
        &mut self,
        table_id: u32,
        request_classes: RequestClassSet,
        admitted: f64,
        retry: RetryPolicy,
    ) {
        self.commands.push(Command::SetAdmission { table_id, request_classes, admitted, retry });
    }
    fn request_acknowledgement(&mut self, number: u32) {
        self.commands.push(Command::RequestAcknowledgement(number));
    }
    // Calls to the relay are not lost in these plays, and the list follows without being asked.
    fn resend_commands(&mut self) {}
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.timers.push((after, timer));
    }
}

/// Sums of what forwarders of one hall met at one node.
#[derive(Clone, Copy, Default)]
pub struct EndpointOutcomes {
    pub attempts: u32,
    pub failed: u32,
    pub latency_us: u64,
}

/// What a supervisor will be told of an interval.
#[derive(Default)]
pub struct Sums {
    /// By hall and node; a sum that was never touched is not there.
    pub met: BTreeMap<(u32, u32), EndpointOutcomes>,
    pub demand: Vec<u32>,
}

impl Sums {
    pub fn new(request_classes: usize) -> Self {
        Sums { met: BTreeMap::new(), demand: vec![0; request_classes] }
    }
}

pub struct ControlPlaneInstance {
    pub controller: Controller<SimulatedHost>,
    pub channel: ProxyChannel,
    pub sums: Sums,
    /// Commands of this instant wait to be gathered.
    pub gathers: bool,
}

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
