//! A supervisor in a play: the real rules, the plane that their commands go through, and the sums that they hear.

use crate::queue::Time;
use crate::table::{Level, Table, Version};
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
pub struct Desk {
    pub commands: Vec<Command>,
    pub wakes: Vec<(Span, Timer)>,
    places: Rc<FxHashMap<EndpointId, u32>>,
}

/// A command, its node by its place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    Line { tbl: u32, node: u32, weight: f64 },
    Bind { forwarder: u32, tbl: u32 },
    Withdraw { node: u32, out: bool },
    Level { tbl: u32, products: RequestClassSet, share: f64, retry: RetryPolicy },
    Mark(u32),
}

impl Desk {
    pub fn new(places: Rc<FxHashMap<EndpointId, u32>>) -> Self {
        Desk { places, ..Desk::default() }
    }
}

impl Host for Desk {
    fn set_endpoint_weight(&mut self, tbl: u32, server: &EndpointId, weight: f64) {
        if let Some(node) = self.places.get(server).copied() {
            self.commands.push(Command::Line { tbl, node, weight });
        }
    }
    fn assign_table(&mut self, proxy: u32, tbl: u32) {
        self.commands.push(Command::Bind { forwarder: proxy, tbl });
    }
    fn eject_endpoint(&mut self, server: &EndpointId) {
        if let Some(node) = self.places.get(server).copied() {
            self.commands.push(Command::Withdraw { node, out: true });
        }
    }
    fn restore_endpoint(&mut self, server: &EndpointId) {
        if let Some(node) = self.places.get(server).copied() {
            self.commands.push(Command::Withdraw { node, out: false });
        }
    }
    fn forget_endpoint(&mut self, _server: &EndpointId) {}
    fn set_admission(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        self.commands.push(Command::Level { tbl, products, share: admitted, retry });
    }
    fn request_acknowledgement(&mut self, number: u32) {
        self.commands.push(Command::Mark(number));
    }
    // Calls to the relay are not lost in these plays, and the list follows without being asked.
    fn resend_commands(&mut self) {}
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.wakes.push((after, timer));
    }
}

/// Sums of what forwarders of one hall met at one node.
#[derive(Clone, Copy, Default)]
pub struct Met {
    pub tries: u32,
    pub voided: u32,
    pub took_us: u64,
}

/// What a supervisor will be told of an interval.
#[derive(Default)]
pub struct Sums {
    /// By hall and node; a sum that was never touched is not there.
    pub met: BTreeMap<(u32, u32), Met>,
    pub asked: Vec<u32>,
}

impl Sums {
    pub fn new(products: usize) -> Self {
        Sums { met: BTreeMap::new(), asked: vec![0; products] }
    }
}

pub struct Supervisor {
    pub controller: Controller<Desk>,
    pub plane: Plane,
    pub sums: Sums,
    /// Commands of this instant wait to be gathered.
    pub gathers: bool,
}

/// What stands between a supervisor and its forwarders: tables, who is on which, who is barred, and the channel.
pub struct Plane {
    pub tables: BTreeMap<u32, Table>,
    pub barred: BTreeSet<u32>,
    /// The table of each forwarder that is bound, by its number.
    pub bound: BTreeMap<u32, u32>,
    pub joined: BTreeSet<u32>,
    pub channel: Channel,
    products: usize,
}

/// Messages leave one after the other, at so many lines a second.
pub struct Channel {
    lines_per_s: f64,
    head: f64,
    /// When the last message that waits has left.
    free: Time,
    /// The most lines that ever waited, and all that left.
    pub most: f64,
    pub lines: f64,
    pub messages: u64,
}

impl Channel {
    /// Puts a message in; tells when it has left.
    pub fn put(&mut self, now: Time, lines: f64) -> Time {
        let lines = lines + self.head;
        self.free = self.free.max(now) + (lines / self.lines_per_s * 1e6) as Time;
        self.most = self.most.max((self.free - now) as f64 / 1e6 * self.lines_per_s);
        self.lines += lines;
        self.messages += 1;
        self.free
    }
}

/// A moment's messages: lines by forwarder, and the mark that they carry.
pub struct Gathered {
    pub lines: BTreeMap<u32, f64>,
    pub mark: Option<u32>,
}

impl Plane {
    pub fn new(told: &ControlPlane, products: usize) -> Self {
        let (lines_per_s, head) = (told.channel_rate, told.message_overhead_lines);
        let channel = Channel { lines_per_s, head, free: 0, most: 0.0, lines: 0.0, messages: 0 };
        let (tables, barred) = (BTreeMap::new(), BTreeSet::new());
        Plane { tables, barred, bound: BTreeMap::new(), joined: BTreeSet::new(), channel, products }
    }

    fn table(&mut self, tbl: u32) -> &mut Table {
        let products = self.products;
        self.tables.entry(tbl).or_insert_with(|| Table::new(products))
    }

    pub fn leaves(&mut self, forwarder: u32) {
        self.joined.remove(&forwarder);
        self.bound.remove(&forwarder);
    }

    /// Takes a moment's commands into the tables as they stand here, and counts the lines that each forwarder will be
    /// sent. `standing` tells whether an unbound forwarder's own table has a node.
    pub fn take(&mut self, commands: Vec<Command>, standing: impl Fn(u32, u32) -> bool) -> Gathered {
        let mut lines: BTreeMap<u32, f64> = BTreeMap::new();
        let mut marks = Vec::new();
        let users = |bound: &BTreeMap<u32, u32>, tbl: u32| -> Vec<u32> {
            bound.iter().filter(|(_, t)| **t == tbl).map(|(f, _)| *f).collect()
        };
        for command in commands {
            match command {
                Command::Line { tbl, node, weight } => {
                    let table = self.table(tbl);
                    if weight > 0.0 {
                        table.lines.insert(node, weight);
                    } else {
                        table.lines.remove(&node);
                    }
                    table.changed();
                    users(&self.bound, tbl).into_iter().for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Command::Bind { forwarder, tbl } => {
                    if !self.joined.contains(&forwarder) {
                        continue;
                    }
                    let table = self.table(tbl);
                    let held = table.lines.len() + table.levels.iter().flatten().count();
                    let on: Vec<u32> = table.lines.keys().copied().collect();
                    let barred = on.iter().filter(|node| self.barred.contains(node)).count();
                    *lines.entry(forwarder).or_default() += (1 + held + barred) as f64;
                    self.bound.insert(forwarder, tbl);
                }
                Command::Withdraw { node, out } => {
                    if out {
                        self.barred.insert(node);
                    } else {
                        self.barred.remove(&node);
                    }
                    self.tables.values_mut().for_each(Table::changed);
                    for f in &self.joined {
                        let has = match self.bound.get(f).and_then(|tbl| self.tables.get(tbl)) {
                            Some(table) => table.lines.contains_key(&node),
                            None => standing(*f, node),
                        };
                        if has {
                            *lines.entry(*f).or_default() += 1.0;
                        }
                    }
                }
                Command::Level { tbl, products, share, retry } => {
                    let count = self.products;
                    let table = self.table(tbl);
                    let of = (0..count).filter(|k| products == 0 || products >> k & 1 == 1);
                    of.for_each(|k| table.levels[k] = Some(Level { share, retry }));
                    table.changed();
                    users(&self.bound, tbl).into_iter().for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Command::Mark(number) => marks.push(number),
            }
        }
        lines.values_mut().for_each(|lines| *lines += marks.len() as f64);
        Gathered { lines, mark: marks.pop() }
    }

    /// What a forwarder holds by now: its table, if it is bound.
    pub fn version(&mut self, forwarder: u32) -> Option<Arc<Version>> {
        let tbl = self.bound.get(&forwarder)?;
        let Plane { tables, barred, .. } = self;
        tables.get_mut(tbl).map(|table| table.version(barred))
    }
}
