//! A play from its first event to its last: what there is, how it is set up, and which event comes next. The life of a txn
//! is in `life.rs`, what supervisors hear and order in `word.rs`, what befalls a fleet in `mishap.rs`.

use crate::control::{moment, Desk, Plane, Sums, Supervisor};
use crate::controller_config::controller_config;
use crate::happening::At;
use crate::node::Node;
use crate::queue::{Class, Queue, Time};
use crate::table::{Level, Lines, Version};
use crate::tally::Tally;
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointId, EndpointUpdate, RetryPolicy, Timer};
use otterwinch::time::Span;
use otterwinch_fleet::model::{EndpointGroup, Fleet, Speed};
use otterwinch_fleet::sampling::random_stream;
use otterwinch_fleet::ScheduledRequest;
use rand::seq::IndexedRandom;
use rand::RngExt;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Supervisors and forwarders come up before the load does, so that it meets tables.
const LEAD: Time = 8_000_000;
/// A play that goes on so long after its last txn has clients that come again for ever.
const TAIL: Time = 120_000_000;
/// Tries in flight beyond which a play is given up: its clients come again faster than anything answers.
const MOST_IN_FLIGHT: usize = 4_000_000;
pub(crate) const NONE: u32 = u32::MAX;

/// Who writes the tables.
#[derive(Clone, Debug, PartialEq)]
pub enum Steering {
    /// Supervisors, with the real rules.
    Controller,
    /// Nobody: each hall's forwarders hold these weights, by node, from the beginning to the end, and let in these parts
    /// of the products.
    Fixed { weights: Vec<Vec<f64>>, levels: Vec<f64> },
}

/// What is played, but for the load.
#[derive(Clone, Debug)]
pub struct Plan<'a> {
    pub fleet: &'a Fleet,
    pub seed: u64,
    pub steering: Steering,
    pub happenings: Vec<At>,
    /// What a limit costs is told by a play without it.
    pub without: Without,
}

/// Limits that a play leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Without {
    /// Nodes take any number of connections, at no price.
    pub connections: bool,
    /// Clients come once.
    pub retries: bool,
    /// Nodes that started lately are warm.
    pub cold: bool,
    /// Waiting rooms have no end.
    pub waiting: bool,
}

/// Why a try came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    Answered,
    /// The node failed it after it had begun.
    Failed,
    /// The node turned it away, or took no connection: it never ran.
    NeverRan,
    /// Its connection broke: nobody knows.
    Broken,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    Try { txn: u32, life: u32, tries: u32 },
    AtNode { attempt: u32 },
    Done { attempt: u32, life: u32 },
    Back { attempt: u32, came: Came },
    GiveUp { txn: u32, life: u32, tries: u32 },
    Again { txn: u32, life: u32 },
    Cancelled { attempt: u32, life: u32 },
    Happens(u32),
    Second,
    Wake { supervisor: u32, timer: Timer },
    Report(u32),
    Heard { supervisor: u32, report: u32 },
    Listed { supervisor: u32, list: u32 },
    Message(u32),
    Applied { supervisor: u32, number: u32, forwarder: u32, stream: u32 },
    Gather(u32),
}

pub(crate) struct Txn {
    pub nth: u64,
    /// From the play's beginning.
    pub due: Time,
    pub product: usize,
    pub hall: usize,
    pub work: f64,
    pub tries: u32,
    pub give_up: Time,
    pub forwarder: u32,
    pub attempt: u32,
    /// Rises when the slot is used again.
    pub life: u32,
}

/// How far a try at a node has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    OnItsWay,
    Waits,
    Runs,
    /// Its node holds it and does nothing.
    Hangs,
    /// The node's word is on its way back.
    Answered,
    /// The slot is free.
    Free,
}

pub(crate) struct Attempt {
    pub txn: u32,
    pub txn_life: u32,
    pub node: u32,
    /// The node's life that its connection belongs to.
    pub node_life: u32,
    pub forwarder: u32,
    pub work: f64,
    pub began: Time,
    /// It has to open a connection.
    pub opens: bool,
    /// The node counts its connection as open.
    pub connected: bool,
    /// Whoever waited for it has gone.
    pub left: bool,
    /// It is the second of a txn at this forwarder.
    pub second: bool,
    pub stage: Stage,
    pub life: u32,
}

pub(crate) struct Pool {
    pub life: u32,
    pub idle: Vec<Time>,
}

pub(crate) struct Forwarder {
    pub hall: usize,
    pub supervisor: u32,
    pub standing: Vec<u32>,
    pub held: Arc<Version>,
    pub bound: bool,
    pub still_until: Time,
    pub pools: FxHashMap<u32, Pool>,
    pub stream: u32,
    pub up: bool,
}

pub(crate) struct Message {
    pub supervisor: u32,
    pub forwarder: u32,
    pub stream: u32,
    /// The table that it is put on; none where it stays on its own.
    pub version: Option<Arc<Version>>,
    pub barred: Rc<BTreeSet<u32>>,
    pub mark: Option<u32>,
    pub lines: f64,
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub tally: Tally,
    pub nodes: Vec<NodeOutcome>,
    pub events: u64,
    /// Tries that went to a node of another hall than their forwarder's, and all tries at nodes.
    pub crossed: u64,
    pub attempts: u64,
    /// Lines that waited at most in any supervisor's channel, and all that were sent.
    pub most_waiting: f64,
    pub lines: f64,
    /// Seconds of load.
    pub seconds: f64,
    /// Why it was ended early, if it was.
    pub ended_early: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NodeOutcome {
    pub name: String,
    pub group: usize,
    pub hall: usize,
    /// Of its cores' time, the part in use.
    pub utilisation: f64,
    pub taken: u64,
    pub turned_away: u64,
    /// Connections that it did not take.
    pub refused: u64,
    pub toppled: bool,
}

/// Plays a load, in the order of its times, against a fleet.
pub fn play(plan: &Plan, load: impl Iterator<Item = ScheduledRequest>) -> Outcome {
    let mut engine = Engine::new(plan);
    engine.run(load)
}

pub(crate) struct Engine<'a> {
    pub fleet: &'a Fleet,
    pub seed: u64,
    pub without: Without,
    pub now: Time,
    pub lead: Time,
    pub queue: Queue<Event>,
    pub nodes: Vec<Node>,
    /// Nodes by their ids.
    pub places: Rc<FxHashMap<EndpointId, u32>>,
    pub forwarders: Vec<Forwarder>,
    /// Forwarders that are up, by hall.
    pub front: Vec<Vec<u32>>,
    pub supervisors: Vec<Supervisor>,
    pub txns: Vec<Txn>,
    pub free_txns: Vec<u32>,
    pub attempts: Vec<Attempt>,
    pub free_attempts: Vec<u32>,
    pub happenings: Vec<At>,
    pub reports: Vec<Option<Sums>>,
    pub lists: Vec<Vec<EndpointUpdate>>,
    pub messages: Vec<Option<Message>>,
    pub free_messages: Vec<u32>,
    pub tally: Tally,
    /// Core-seconds by node: since the load began, and booked so far.
    pub used: Vec<f64>,
    pub booked: Vec<f64>,
    /// The last txn has come.
    pub loaded: bool,
    pub events: u64,
    pub crossed: u64,
    pub tried: u64,
    pub in_flight: usize,
}

/// A draw of 0 to 1 for one purpose of one try: it does not hang on what else was drawn.
pub(crate) fn drawn(seed: u64, nth: u64, tries: u32, purpose: u8) -> f64 {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&nth.to_le_bytes());
    bytes[8..12].copy_from_slice(&tries.to_le_bytes());
    bytes[12] = purpose;
    (xxh3_64_with_seed(&bytes, seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Purposes of draws.
pub(crate) const FRONT: u8 = 1;
pub(crate) const PATIENCE: u8 = 2;
pub(crate) const WAIT: u8 = 3;
pub(crate) const LET_IN: u8 = 4;
pub(crate) const PICK: u8 = 5;
pub(crate) const PICK_AGAIN: u8 = 6;
pub(crate) const FAILS: u8 = 7;

pub(crate) fn us(span: Span) -> Time {
    span.as_us().max(0) as Time
}

impl<'a> Engine<'a> {
    fn new(plan: &Plan<'a>) -> Self {
        let fleet = plan.fleet;
        let lead = if plan.steering == Steering::Controller { LEAD } else { 0 };
        let mut nodes = Vec::new();
        for (place, told) in fleet.groups.iter().enumerate() {
            let mut group = told.clone();
            if plan.without.connections {
                (group.max_connections, group.connection_work) = (u32::MAX, 0.0);
            }
            if plan.without.waiting {
                group.max_queued = u32::MAX;
            }
            if plan.without.cold {
                (group.warm_up, group.overload_collapse) = (None, None);
            }
            for (k, speed) in speeds(told, place, plan.seed).into_iter().enumerate() {
                let id: EndpointId = format!("{}-{k}", told.name).into();
                // Older than the play is long ago: a node that started within it is told so.
                let started = told.uptime.and_then(|ago| lead.checked_sub(us(ago)));
                nodes.push(Node::new(id, place, &group, speed, started));
            }
        }
        let places = Rc::new((0..).zip(&nodes).map(|(k, node)| (node.id.clone(), k)).collect());
        let products = fleet.request_classes.len();
        let mut engine = Engine {
            fleet,
            seed: plan.seed,
            without: plan.without,
            now: 0,
            lead,
            queue: Queue::default(),
            nodes,
            places,
            forwarders: Vec::new(),
            front: vec![Vec::new(); fleet.zones.len()],
            supervisors: Vec::new(),
            txns: Vec::new(),
            free_txns: Vec::new(),
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            happenings: plan.happenings.clone(),
            reports: Vec::new(),
            lists: Vec::new(),
            messages: Vec::new(),
            free_messages: Vec::new(),
            tally: Tally::new(fleet),
            used: Vec::new(),
            booked: Vec::new(),
            loaded: false,
            events: 0,
            crossed: 0,
            tried: 0,
            in_flight: 0,
        };
        (engine.used, engine.booked) = (vec![0.0; engine.nodes.len()], vec![0.0; engine.nodes.len()]);
        engine.set_up(products, &plan.steering);
        engine
    }

    fn set_up(&mut self, products: usize, steering: &Steering) {
        let fleet = self.fleet;
        let fixed = match steering {
            Steering::Fixed { weights, levels } => Some((weights, levels)),
            Steering::Controller => None,
        };
        let count = if fixed.is_some() { 0 } else { fleet.control_plane.instances };
        for (hall, told) in fleet.zones.iter().enumerate() {
            let home: Vec<u32> =
                (0..).zip(&self.nodes).filter(|(_, node)| node.hall == hall).map(|(k, _)| k).collect();
            let version = fixed.map(|(weights, levels)| {
                let lines = Lines::of((0..).zip(weights[hall].iter().copied()));
                let level = |share: &f64| Some(Level { share: *share, retry: RetryPolicy::Never });
                Arc::new(Version { lines, levels: levels.iter().map(level).collect() })
            });
            for _ in 0..told.proxy_count {
                let place = self.forwarders.len() as u32;
                let mut draws = random_stream(self.seed, "standing", u64::from(place));
                let standing: Vec<u32> =
                    home.sample(&mut draws, fleet.proxies.initial_table_size as usize).copied().collect();
                let own = || {
                    let lines = Lines::of(standing.iter().map(|node| (*node, 1.0)));
                    Arc::new(Version { lines, levels: vec![None; products] })
                };
                let held = version.clone().unwrap_or_else(own);
                self.front[hall].push(place);
                self.forwarders.push(Forwarder {
                    hall,
                    supervisor: if count > 0 { place % count } else { NONE },
                    standing,
                    held,
                    bound: version.is_some(),
                    still_until: 0,
                    pools: FxHashMap::default(),
                    stream: 0,
                    up: true,
                });
            }
        }
        for k in 0..count {
            let seed = xxh3_64_with_seed(&k.to_le_bytes(), self.seed);
            let controller =
                Controller::start(Desk::new(self.places.clone()), controller_config(fleet), seed, moment(0));
            let (plane, sums) = (Plane::new(&fleet.control_plane, products), Sums::new(products));
            let mut supervisor = Supervisor { controller, plane, sums, gathers: false };
            let listed: Vec<EndpointUpdate> = self.nodes.iter().map(listing).collect();
            supervisor.controller.endpoint_list_replaced(moment(0), &listed);
            self.supervisors.push(supervisor);
            self.asks(k);
            let every = us(fleet.control_plane.report_interval);
            // Supervisors' reports do not fall on one instant.
            self.queue.push(every + Time::from(k) * 7_001, Class::Word, Event::Report(k));
        }
        for k in 0..self.forwarders.len() as u32 {
            self.joins(k, true);
        }
        for k in 0..self.happenings.len() as u32 {
            let at = self.lead + (self.happenings[k as usize].at.max(0.0) * 1e6) as Time;
            self.queue.push(at, Class::World, Event::Happens(k));
        }
        self.queue.push(self.lead + 1_000_000, Class::World, Event::Second);
    }

    fn run(&mut self, mut load: impl Iterator<Item = ScheduledRequest>) -> Outcome {
        let (mut nth, mut ended_early) = (0, None);
        let mut next = load.next();
        let mut last = self.lead;
        loop {
            // A txn that is due before anything else happens begins its life; else the next thing happens.
            let at = self.queue.next_at();
            if let Some(txn) = next.as_ref() {
                let due = self.lead + (txn.at.max(0.0) * 1e6) as Time;
                if at.is_none_or(|at| due <= at) {
                    last = last.max(due);
                    self.now = self.now.max(due);
                    nth += 1;
                    self.events += 1;
                    self.comes(nth, txn);
                    next = load.next();
                    if next.is_none() {
                        // What is worked on after the last txn was due is no part of how full the fleet was.
                        self.books();
                        self.loaded = true;
                    }
                    continue;
                }
            }
            let Some((at, event)) = self.queue.pop() else { break };
            if next.is_none() && self.in_flight == 0 {
                break;
            }
            if next.is_none() && at > last + TAIL {
                ended_early =
                    Some(format!("clients still came again {} s after the load's end", TAIL / 1_000_000));
                break;
            }
            if self.in_flight > MOST_IN_FLIGHT {
                ended_early = Some(format!("more than {MOST_IN_FLIGHT} txns were in flight"));
                break;
            }
            self.now = at;
            self.events += 1;
            self.happens(event);
        }
        self.outcome(last, ended_early)
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Try { txn, life, tries } => self.tries(txn, life, tries),
            Event::AtNode { attempt } => self.reaches(attempt),
            Event::Done { attempt, life } => self.done(attempt, life),
            Event::Back { attempt, came } => self.comes_back(attempt, came),
            Event::GiveUp { txn, life, tries } => self.gives_up(txn, life, tries),
            Event::Again { txn, life } => {
                if self.txns[txn as usize].life == life {
                    self.sends(txn);
                }
            }
            Event::Cancelled { attempt, life } => self.cancelled(attempt, life),
            Event::Happens(k) => self.befalls(k),
            Event::Second => self.second(),
            Event::Wake { supervisor, timer } => {
                self.hears(supervisor, |s, now| s.controller.timer_fired(now, timer))
            }
            Event::Report(supervisor) => self.reports(supervisor),
            Event::Heard { supervisor, report } => self.heard(supervisor, report),
            Event::Listed { supervisor, list } => {
                let listings = self.lists[list as usize].clone();
                self.hears(supervisor, |s, now| s.controller.endpoints_updated(now, &listings));
            }
            Event::Message(message) => self.arrives(message),
            Event::Applied { supervisor, number, forwarder, stream } => {
                if self.forwarders[forwarder as usize].stream == stream {
                    self.hears(supervisor, |s, now| s.controller.acknowledged(now, number, forwarder));
                }
            }
            Event::Gather(supervisor) => self.gathers(supervisor),
        }
    }

    fn outcome(&mut self, last: Time, ended_early: Option<String>) -> Outcome {
        let seconds = (last - self.lead) as f64 / 1e6;
        let until = last.max(self.lead + 1);
        let node = |k: usize, node: &mut Node| NodeOutcome {
            name: node.id.to_string(),
            group: node.group,
            hall: node.hall,
            utilisation: self.used[k] / (f64::from(node.cores) * (until - self.lead) as f64 / 1e6),
            taken: node.taken,
            turned_away: node.turned_away,
            refused: node.refused,
            toppled: node.toppled,
        };
        let nodes = self.nodes.iter_mut().enumerate().map(|(k, n)| node(k, n)).collect();
        let channels = || self.supervisors.iter().map(|s| &s.plane.channel);
        Outcome {
            most_waiting: channels().map(|channel| channel.most).fold(0.0, f64::max),
            lines: channels().map(|channel| channel.lines).sum(),
            tally: self.tally.clone(),
            nodes,
            events: self.events,
            crossed: self.crossed,
            attempts: self.tried,
            seconds,
            ended_early,
        }
    }
}

/// The speed of each node of a group, drawn from the seed or as measured.
pub fn speeds(group: &EndpointGroup, place: usize, seed: u64) -> Vec<f64> {
    let mut draws = random_stream(seed, "speeds", place as u64);
    let one = |k: u32| {
        let unit: f64 = draws.random();
        match &group.speed {
            Speed::Uniform(from, to) => from + (to - from) * unit,
            Speed::Measured(each) => each[k as usize % each.len()],
        }
    };
    (0..group.count).map(one).collect()
}

/// What the list says of a node.
pub(crate) fn listing(node: &Node) -> EndpointUpdate {
    EndpointUpdate {
        id: node.id.clone(),
        zone: node.hall as u32,
        weight: node.weight,
        state: node.standing,
        started: node.started.map(moment),
    }
}
