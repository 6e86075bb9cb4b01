//! A play from its first event to its last: what there is, how it is set up, and which event comes next. The life of a txn
//! is in `request_lifecycle.rs`, what supervisors hear and order in `control_messages.rs`, what befalls a fleet in `fault_injection.rs`.

use crate::control_plane_instance::{moment, ControlPlaneInstance, Sums};
use crate::controller_config::controller_config;
use crate::endpoint::Endpoint;
use crate::fault::ScheduledFault;
use crate::proxy_channel::ProxyChannel;
use crate::queue::{Class, Queue, Time};
use crate::results::Results;
use crate::route_table::{AdmissionLevel, TableSnapshot, WeightedEndpoints};
use crate::simulated_host::SimulatedHost;
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
pub enum TableSource {
    /// Supervisors, with the real rules.
    Controller,
    /// Nobody: each hall's forwarders hold these weights, by node, from the beginning to the end, and let in these parts
    /// of the products.
    Fixed { weights: Vec<Vec<f64>>, admitted: Vec<f64> },
}

/// What is played, but for the load.
#[derive(Clone, Debug)]
pub struct SimulationPlan<'a> {
    pub fleet: &'a Fleet,
    pub seed: u64,
    pub table_source: TableSource,
    pub faults: Vec<ScheduledFault>,
    /// What a limit costs is told by a play without it.
    pub lifted_limits: LiftedLimits,
}

/// Limits that a play leaves out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LiftedLimits {
    /// Nodes take any number of connections, at no price.
    pub connections: bool,
    /// Clients come once.
    pub retries: bool,
    /// Nodes that started lately are warm.
    pub slow_start: bool,
    /// Waiting rooms have no end.
    pub queueing: bool,
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
    Try { request: u32, incarnation: u32, attempt_number: u32 },
    AtNode { attempt: u32 },
    Done { attempt: u32, incarnation: u32 },
    Back { attempt: u32, came: Came },
    GiveUp { request: u32, incarnation: u32, attempt_number: u32 },
    Again { request: u32, incarnation: u32 },
    Cancelled { attempt: u32, incarnation: u32 },
    InjectFault(u32),
    Second,
    Wake { instance: u32, timer: Timer },
    Report(u32),
    Heard { instance: u32, report: u32 },
    Listed { instance: u32, list: u32 },
    Message(u32),
    Applied { instance: u32, number: u32, proxy: u32, stream: u32 },
    Gather(u32),
}

pub(crate) struct Request {
    pub nth: u64,
    /// From the play's beginning.
    pub due: Time,
    pub request_class: usize,
    pub zone: usize,
    pub work: f64,
    pub attempt_number: u32,
    pub give_up: Time,
    pub proxy: u32,
    pub attempt: u32,
    /// Rises when the slot is used again.
    pub incarnation: u32,
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
    pub request: u32,
    pub request_incarnation: u32,
    pub endpoint: u32,
    /// The node's life that its connection belongs to.
    pub endpoint_incarnation: u32,
    pub proxy: u32,
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
    pub incarnation: u32,
}

pub(crate) struct Pool {
    pub incarnation: u32,
    pub idle: Vec<Time>,
}

pub(crate) struct Proxy {
    pub zone: usize,
    pub instance: u32,
    pub standing: Vec<u32>,
    pub held: Arc<TableSnapshot>,
    pub assigned: bool,
    pub still_until: Time,
    pub pools: FxHashMap<u32, Pool>,
    pub stream: u32,
    pub up: bool,
}

pub(crate) struct Message {
    pub instance: u32,
    pub proxy: u32,
    pub stream: u32,
    /// The table that it is put on; none where it stays on its own.
    pub version: Option<Arc<TableSnapshot>>,
    pub ejected: Rc<BTreeSet<u32>>,
    pub acknowledgement: Option<u32>,
    pub lines: f64,
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationResult {
    pub results: Results,
    pub endpoints: Vec<EndpointResult>,
    pub events: u64,
    /// Tries that went to a node of another hall than their forwarder's, and all tries at nodes.
    pub cross_zone_attempts: u64,
    pub attempts: u64,
    /// Lines that waited at most in any supervisor's channel, and all that were sent.
    pub max_queued_lines: f64,
    pub sent_lines: f64,
    /// Seconds of load.
    pub load_seconds: f64,
    /// Why it was ended early, if it was.
    pub ended_early: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointResult {
    pub name: String,
    pub group: usize,
    pub zone: usize,
    /// Of its cores' time, the part in use.
    pub utilisation: f64,
    pub accepted: u64,
    pub rejected: u64,
    /// Connections that it did not take.
    pub refused_connections: u64,
    pub collapsed: bool,
}

/// Plays a load, in the order of its times, against a fleet.
pub fn simulate(plan: &SimulationPlan, load: impl Iterator<Item = ScheduledRequest>) -> SimulationResult {
    let mut engine = Engine::new(plan);
    engine.run(load)
}

pub(crate) struct Engine<'a> {
    pub fleet: &'a Fleet,
    pub seed: u64,
    pub lifted_limits: LiftedLimits,
    pub now: Time,
    pub lead: Time,
    pub queue: Queue<Event>,
    pub endpoints: Vec<Endpoint>,
    /// Nodes by their ids.
    pub places: Rc<FxHashMap<EndpointId, u32>>,
    pub proxies: Vec<Proxy>,
    /// Forwarders that are up, by hall.
    pub front: Vec<Vec<u32>>,
    pub instances: Vec<ControlPlaneInstance>,
    pub requests: Vec<Request>,
    pub free_requests: Vec<u32>,
    pub attempts: Vec<Attempt>,
    pub free_attempts: Vec<u32>,
    pub faults: Vec<ScheduledFault>,
    pub reports: Vec<Option<Sums>>,
    pub lists: Vec<Vec<EndpointUpdate>>,
    pub messages: Vec<Option<Message>>,
    pub free_messages: Vec<u32>,
    pub results: Results,
    /// Core-seconds by node: since the load began, and booked so far.
    pub used: Vec<f64>,
    pub booked: Vec<f64>,
    /// The last txn has come.
    pub loaded: bool,
    pub events: u64,
    pub cross_zone_attempts: u64,
    pub tried: u64,
    pub in_flight: usize,
}

/// A draw of 0 to 1 for one purpose of one try: it does not hang on what else was drawn.
pub(crate) fn drawn(seed: u64, nth: u64, attempt_number: u32, purpose: u8) -> f64 {
    let mut bytes = [0; 13];
    bytes[..8].copy_from_slice(&nth.to_le_bytes());
    bytes[8..12].copy_from_slice(&attempt_number.to_le_bytes());
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
    fn new(plan: &SimulationPlan<'a>) -> Self {
        let fleet = plan.fleet;
        let lead = if plan.table_source == TableSource::Controller { LEAD } else { 0 };
        let mut endpoints = Vec::new();
        for (place, told) in fleet.groups.iter().enumerate() {
            let mut group = told.clone();
            if plan.lifted_limits.connections {
                (group.max_connections, group.connection_work) = (u32::MAX, 0.0);
            }
            if plan.lifted_limits.queueing {
                group.max_queued = u32::MAX;
            }
            if plan.lifted_limits.slow_start {
                (group.warm_up, group.overload_collapse) = (None, None);
            }
            for (k, speed) in endpoint_speeds(told, place, plan.seed).into_iter().enumerate() {
                let id: EndpointId = format!("{}-{k}", told.name).into();
                // Older than the play is long ago: a node that started within it is told so.
                let started = told.uptime.and_then(|ago| lead.checked_sub(us(ago)));
                endpoints.push(Endpoint::new(id, place, &group, speed, started));
            }
        }
        let places = Rc::new((0..).zip(&endpoints).map(|(k, endpoint)| (endpoint.id.clone(), k)).collect());
        let request_classes = fleet.request_classes.len();
        let mut engine = Engine {
            fleet,
            seed: plan.seed,
            lifted_limits: plan.lifted_limits,
            now: 0,
            lead,
            queue: Queue::default(),
            endpoints,
            places,
            proxies: Vec::new(),
            front: vec![Vec::new(); fleet.zones.len()],
            instances: Vec::new(),
            requests: Vec::new(),
            free_requests: Vec::new(),
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            faults: plan.faults.clone(),
            reports: Vec::new(),
            lists: Vec::new(),
            messages: Vec::new(),
            free_messages: Vec::new(),
            results: Results::new(fleet),
            used: Vec::new(),
            booked: Vec::new(),
            loaded: false,
            events: 0,
            cross_zone_attempts: 0,
            tried: 0,
            in_flight: 0,
        };
        (engine.used, engine.booked) = (vec![0.0; engine.endpoints.len()], vec![0.0; engine.endpoints.len()]);
        engine.set_up(request_classes, &plan.table_source);
        engine
    }

    fn set_up(&mut self, request_classes: usize, table_source: &TableSource) {
        let fleet = self.fleet;
        let fixed = match table_source {
            TableSource::Fixed { weights, admitted } => Some((weights, admitted)),
            TableSource::Controller => None,
        };
        let count = if fixed.is_some() { 0 } else { fleet.control_plane.instances };
        for (zone, told) in fleet.zones.iter().enumerate() {
            let home: Vec<u32> = (0..)
                .zip(&self.endpoints)
                .filter(|(_, endpoint)| endpoint.zone == zone)
                .map(|(k, _)| k)
                .collect();
            let version = fixed.map(|(weights, admitted)| {
                let endpoints = WeightedEndpoints::new((0..).zip(weights[zone].iter().copied()));
                let level =
                    |admitted: &f64| Some(AdmissionLevel { admitted: *admitted, retry: RetryPolicy::Never });
                Arc::new(TableSnapshot { endpoints, admission: admitted.iter().map(level).collect() })
            });
            for _ in 0..told.proxy_count {
                let place = self.proxies.len() as u32;
                let mut draws = random_stream(self.seed, "standing", u64::from(place));
                let standing: Vec<u32> =
                    home.sample(&mut draws, fleet.proxies.initial_table_size as usize).copied().collect();
                let own = || {
                    let endpoints = WeightedEndpoints::new(standing.iter().map(|endpoint| (*endpoint, 1.0)));
                    Arc::new(TableSnapshot { endpoints, admission: vec![None; request_classes] })
                };
                let held = version.clone().unwrap_or_else(own);
                self.front[zone].push(place);
                self.proxies.push(Proxy {
                    zone,
                    instance: if count > 0 { place % count } else { NONE },
                    standing,
                    held,
                    assigned: version.is_some(),
                    still_until: 0,
                    pools: FxHashMap::default(),
                    stream: 0,
                    up: true,
                });
            }
        }
        for k in 0..count {
            let seed = xxh3_64_with_seed(&k.to_le_bytes(), self.seed);
            let controller = Controller::start(
                SimulatedHost::new(self.places.clone()),
                controller_config(fleet),
                seed,
                moment(0),
            );
            let (channel, sums) =
                (ProxyChannel::new(&fleet.control_plane, request_classes), Sums::new(request_classes));
            let mut instance = ControlPlaneInstance { controller, channel, sums, gathers: false };
            let listed: Vec<EndpointUpdate> = self.endpoints.iter().map(listing).collect();
            instance.controller.endpoint_list_replaced(moment(0), &listed);
            self.instances.push(instance);
            self.asks(k);
            let every = us(fleet.control_plane.report_interval);
            // Supervisors' reports do not fall on one instant.
            self.queue.push(every + Time::from(k) * 7_001, Class::Word, Event::Report(k));
        }
        for k in 0..self.proxies.len() as u32 {
            self.joins(k, true);
        }
        for k in 0..self.faults.len() as u32 {
            let at = self.lead + (self.faults[k as usize].at.max(0.0) * 1e6) as Time;
            self.queue.push(at, Class::World, Event::InjectFault(k));
        }
        self.queue.push(self.lead + 1_000_000, Class::World, Event::Second);
    }

    fn run(&mut self, mut load: impl Iterator<Item = ScheduledRequest>) -> SimulationResult {
        let (mut nth, mut ended_early) = (0, None);
        let mut next = load.next();
        let mut last = self.lead;
        loop {
            // A txn that is due before anything else happens begins its life; else the next thing happens.
            let at = self.queue.next_at();
            if let Some(request) = next.as_ref() {
                let due = self.lead + (request.at.max(0.0) * 1e6) as Time;
                if at.is_none_or(|at| due <= at) {
                    last = last.max(due);
                    self.now = self.now.max(due);
                    nth += 1;
                    self.events += 1;
                    self.comes(nth, request);
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
        self.result(last, ended_early)
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Try { request, incarnation, attempt_number } => {
                self.attempt_arrives(request, incarnation, attempt_number)
            }
            Event::AtNode { attempt } => self.reaches(attempt),
            Event::Done { attempt, incarnation } => self.done(attempt, incarnation),
            Event::Back { attempt, came } => self.comes_back(attempt, came),
            Event::GiveUp { request, incarnation, attempt_number } => {
                self.gives_up(request, incarnation, attempt_number)
            }
            Event::Again { request, incarnation } => {
                if self.requests[request as usize].incarnation == incarnation {
                    self.sends(request);
                }
            }
            Event::Cancelled { attempt, incarnation } => self.cancelled(attempt, incarnation),
            Event::InjectFault(k) => self.inject_fault(k),
            Event::Second => self.second(),
            Event::Wake { instance, timer } => {
                self.hears(instance, |s, now| s.controller.timer_fired(now, timer))
            }
            Event::Report(instance) => self.reports(instance),
            Event::Heard { instance, report } => self.heard(instance, report),
            Event::Listed { instance, list } => {
                let listings = self.lists[list as usize].clone();
                self.hears(instance, |s, now| s.controller.endpoints_updated(now, &listings));
            }
            Event::Message(message) => self.arrives(message),
            Event::Applied { instance, number, proxy, stream } => {
                if self.proxies[proxy as usize].stream == stream {
                    self.hears(instance, |s, now| s.controller.acknowledged(now, number, proxy));
                }
            }
            Event::Gather(instance) => self.gathers(instance),
        }
    }

    fn result(&mut self, last: Time, ended_early: Option<String>) -> SimulationResult {
        let load_seconds = (last - self.lead) as f64 / 1e6;
        let until = last.max(self.lead + 1);
        let endpoint = |k: usize, endpoint: &mut Endpoint| EndpointResult {
            name: endpoint.id.to_string(),
            group: endpoint.group,
            zone: endpoint.zone,
            utilisation: self.used[k] / (f64::from(endpoint.cores) * (until - self.lead) as f64 / 1e6),
            accepted: endpoint.accepted,
            rejected: endpoint.rejected,
            refused_connections: endpoint.refused_connections,
            collapsed: endpoint.collapsed,
        };
        let endpoints = self.endpoints.iter_mut().enumerate().map(|(k, n)| endpoint(k, n)).collect();
        let send_queues = || self.instances.iter().map(|s| &s.channel.send_queue);
        SimulationResult {
            max_queued_lines: send_queues().map(|send_queue| send_queue.max_queued_lines).fold(0.0, f64::max),
            sent_lines: send_queues().map(|send_queue| send_queue.sent_lines).sum(),
            results: self.results.clone(),
            endpoints,
            events: self.events,
            cross_zone_attempts: self.cross_zone_attempts,
            attempts: self.tried,
            load_seconds,
            ended_early,
        }
    }
}

/// The speed of each node of a group, drawn from the seed or as measured.
pub fn endpoint_speeds(group: &EndpointGroup, place: usize, seed: u64) -> Vec<f64> {
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
pub(crate) fn listing(endpoint: &Endpoint) -> EndpointUpdate {
    EndpointUpdate {
        id: endpoint.id.clone(),
        zone: endpoint.zone as u32,
        weight: endpoint.weight,
        state: endpoint.standing,
        started: endpoint.started.map(moment),
    }
}
