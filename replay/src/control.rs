//! A supervisor in a play: the real rules, the channel that their orders go through, and the sums that they hear.

use crate::queue::Time;
use crate::table::{Level, Table};
use otterwinch::host::{Host, Id, Products, Retry};
use otterwinch::rules::Rules;
use otterwinch::time::{Moment, Span};
use otterwinch_fleet::model::Supervisors;
use std::collections::{BTreeMap, BTreeSet};

/// Moments count from here, so that a node that started before the play has a time to have started at.
const ORIGIN: i64 = 1_000_000_000_000;

pub fn moment(at: Time) -> Moment {
    Moment::from_us(ORIGIN + at as i64)
}

/// What the rules order in a moment, and the wake-ups that they ask for.
#[derive(Default)]
pub struct Desk {
    pub orders: Vec<Order>,
    pub wakes: Vec<(Span, u64)>,
}

pub enum Order {
    Line(u32, Id, f64),
    Bind(u32, u32),
    Withdraw(Id, bool),
    Level(u32, Products, f64, Retry),
    Mark(u32),
}

impl Host for Desk {
    fn line(&mut self, tbl: u32, server: &Id, weight: f64) {
        self.orders.push(Order::Line(tbl, server.clone(), weight));
    }
    fn bind(&mut self, proxy: u32, tbl: u32) {
        self.orders.push(Order::Bind(proxy, tbl));
    }
    fn withdraw(&mut self, server: &Id, out: bool) {
        self.orders.push(Order::Withdraw(server.clone(), out));
    }
    fn forget(&mut self, _server: &Id) {}
    fn level(&mut self, tbl: u32, products: Products, admitted: f64, retry: Retry) {
        self.orders.push(Order::Level(tbl, products, admitted, retry));
    }
    fn mark(&mut self, number: u32) {
        self.orders.push(Order::Mark(number));
    }
    // Calls to the relay are not lost in these plays, and the list follows without being asked.
    fn repeat(&mut self) {}
    fn follow_list(&mut self) {}
    fn wake(&mut self, after: Span, label: u64) {
        self.wakes.push((after, label));
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
    pub rules: Rules<Desk>,
    pub tables: BTreeMap<u32, Table>,
    pub barred: BTreeSet<u32>,
    /// The table of each forwarder that is bound, by its number.
    pub bound: BTreeMap<u32, u32>,
    pub joined: BTreeSet<u32>,
    pub sums: Sums,
    /// Orders of this instant wait to be gathered.
    pub gathers: bool,
    channel: Channel,
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

impl Supervisor {
    pub fn new(rules: Rules<Desk>, told: &Supervisors, products: usize) -> Self {
        let channel = Channel {
            lines_per_s: told.lines_per_s,
            head: told.head_lines,
            free: 0,
            most: 0.0,
            lines: 0.0,
            messages: 0,
        };
        Supervisor {
            rules,
            tables: BTreeMap::new(),
            barred: BTreeSet::new(),
            bound: BTreeMap::new(),
            joined: BTreeSet::new(),
            sums: Sums::new(products),
            gathers: false,
            channel,
        }
    }

    pub fn channel(&self) -> &Channel {
        &self.channel
    }

    pub fn channel_mut(&mut self) -> &mut Channel {
        &mut self.channel
    }

    /// Takes a moment's orders into the tables as they stand here, and counts the lines that each forwarder will be sent.
    /// `place` finds a node by its id, `standing` tells whether an unbound forwarder's own table has it.
    pub fn take(
        &mut self,
        products: usize,
        place: impl Fn(&Id) -> Option<u32>,
        standing: impl Fn(u32, u32) -> bool,
    ) -> Gathered {
        let orders = std::mem::take(&mut self.rules.host().orders);
        let mut lines: BTreeMap<u32, f64> = BTreeMap::new();
        let mut marks = Vec::new();
        let users = |bound: &BTreeMap<u32, u32>, tbl: u32| -> Vec<u32> {
            bound.iter().filter(|(_, t)| **t == tbl).map(|(f, _)| *f).collect()
        };
        for order in orders {
            match order {
                Order::Line(tbl, id, weight) => {
                    let Some(node) = place(&id) else { continue };
                    let table = self.tables.entry(tbl).or_insert_with(|| Table::new(products));
                    if weight > 0.0 {
                        table.lines.insert(node, weight);
                    } else {
                        table.lines.remove(&node);
                    }
                    table.changed();
                    users(&self.bound, tbl).into_iter().for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Order::Bind(forwarder, tbl) => {
                    if !self.joined.contains(&forwarder) {
                        continue;
                    }
                    let table = self.tables.entry(tbl).or_insert_with(|| Table::new(products));
                    let barred = table.lines.keys().filter(|node| self.barred.contains(node)).count();
                    let levels = table.levels.iter().flatten().count();
                    *lines.entry(forwarder).or_default() += (1 + table.lines.len() + levels + barred) as f64;
                    self.bound.insert(forwarder, tbl);
                }
                Order::Withdraw(id, out) => {
                    let Some(node) = place(&id) else { continue };
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
                Order::Level(tbl, set, share, retry) => {
                    let table = self.tables.entry(tbl).or_insert_with(|| Table::new(products));
                    let of = (0..products).filter(|k| set == 0 || set >> k & 1 == 1);
                    of.for_each(|k| table.levels[k] = Some(Level { share, retry }));
                    table.changed();
                    users(&self.bound, tbl).into_iter().for_each(|f| *lines.entry(f).or_default() += 1.0);
                }
                Order::Mark(number) => marks.push(number),
            }
        }
        lines.values_mut().for_each(|lines| *lines += marks.len() as f64);
        Gathered { lines, mark: marks.pop() }
    }
}

/// A moment's messages: lines by forwarder, and the mark that they carry.
pub struct Gathered {
    pub lines: BTreeMap<u32, f64>,
    pub mark: Option<u32>,
}
