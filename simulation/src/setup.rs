//! The initial state of a simulation.

use crate::clock::{micros, micros_from_secs, moment, Time, SECOND};
use crate::control_plane_instance::ControlPlaneInstance;
use crate::controller_config::controller_config;
use crate::endpoint::Endpoint;
use crate::engine::Engine;
use crate::event::Event;
use crate::plan::{LiftedLimits, SimulationPlan, TableSource};
use crate::proxy::Proxy;
use crate::proxy_channel::ProxyChannel;
use crate::queue::EventQueue;
use crate::results::Results;
use crate::route_table::{AdmissionLevel, TableSnapshot, WeightedEndpoints};
use crate::simulated_host::SimulatedHost;
use crate::slab::Slab;
use crate::usage::{UsageMeter, MAINTENANCE_INTERVAL};
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointId, EndpointUpdate, RetryPolicy};
use otterwinch_fleet::model::{EndpointGroup, Fleet, Speed};
use otterwinch_fleet::sampling::random_stream;
use rand::seq::IndexedRandom;
use rand::RngExt;
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long the control plane runs before the load starts, so that proxies have been assigned tables by then.
const CONTROL_PLANE_LEAD_TIME: Time = 8 * SECOND;
/// The offset between the report intervals of consecutive instances, so that they don't all end at the same
/// time.
const REPORT_STAGGER: Time = 7_001;

impl<'a> Engine<'a> {
    /// The state of a planned simulation before its first event.
    pub(crate) fn new(plan: &SimulationPlan<'a>) -> Self {
        let fleet = plan.fleet;
        let load_start = match plan.table_source {
            TableSource::Controller => CONTROL_PLANE_LEAD_TIME,
            TableSource::Fixed { .. } => 0,
        };
        let endpoints = build_endpoints(plan, load_start);
        let usage = UsageMeter::new(endpoints.len());
        let mut engine = Engine {
            fleet,
            seed: plan.seed,
            lifted_limits: plan.lifted_limits,
            queue: EventQueue::default(),
            now: 0,
            load_start,
            load_ended: false,
            endpoints,
            proxies: Vec::new(),
            live_proxies: vec![Vec::new(); fleet.zones.len()],
            instances: Vec::new(),
            requests: Slab::new(),
            attempts: Slab::new(),
            faults: plan.faults.clone(),
            endpoint_updates: Vec::new(),
            results: Results::new(fleet),
            usage,
            in_flight: 0,
            proxy_attempts: 0,
            cross_zone_attempts: 0,
            event_count: 0,
        };
        engine.add_proxies(&plan.table_source);
        if plan.table_source == TableSource::Controller {
            engine.start_instances();
        }
        for proxy in 0..engine.proxies.len() as u32 {
            engine.connect_proxy(proxy);
        }
        engine.schedule_faults();
        engine.schedule(load_start + MAINTENANCE_INTERVAL, Event::Maintenance);
        engine
    }

    fn add_proxies(&mut self, table_source: &TableSource) {
        let fleet = self.fleet;
        for (zone_index, zone) in fleet.zones.iter().enumerate() {
            let fixed_table = match table_source {
                TableSource::Fixed { weights, admitted } => Some(fixed_table(&weights[zone_index], admitted)),
                TableSource::Controller => None,
            };
            let zone_endpoints = self.endpoints_in_zone(zone_index);
            for _ in 0..zone.proxy_count {
                let proxy_index = self.proxies.len() as u32;
                let mut random = random_stream(self.seed, "standing", u64::from(proxy_index));
                let table_size = fleet.proxies.initial_table_size as usize;
                let initial_endpoints: Vec<u32> =
                    zone_endpoints.sample(&mut random, table_size).copied().collect();
                let table = fixed_table.clone();
                let table = table.unwrap_or_else(|| initial_table(&initial_endpoints, fleet));
                let instance = match table_source {
                    TableSource::Fixed { .. } => None,
                    TableSource::Controller => Some(proxy_index % fleet.control_plane.instance_count),
                };
                self.live_proxies[zone_index].push(proxy_index);
                self.proxies.push(Proxy::new(zone_index, instance, initial_endpoints, table));
            }
        }
    }

    fn start_instances(&mut self) {
        let fleet = self.fleet;
        let request_class_count = fleet.request_classes.len();
        let ids = self.endpoints.iter().map(|endpoint| endpoint.id.clone());
        let endpoint_indices: Rc<FxHashMap<EndpointId, u32>> = Rc::new(ids.zip(0..).collect());
        let endpoint_list: Vec<EndpointUpdate> = self.endpoints.iter().map(endpoint_list_entry).collect();
        for instance_index in 0..fleet.control_plane.instance_count {
            let seed = xxh3_64_with_seed(&instance_index.to_le_bytes(), self.seed);
            let host = SimulatedHost::new(endpoint_indices.clone());
            let mut controller = Controller::start(host, controller_config(fleet), seed, moment(0));
            controller.endpoint_list_replaced(moment(0), &endpoint_list);
            let channel = ProxyChannel::new(&fleet.control_plane, request_class_count);
            self.instances.push(ControlPlaneInstance::new(controller, channel, request_class_count));
            self.schedule_controller_output(instance_index);
            let first_report =
                micros(fleet.control_plane.report_interval) + Time::from(instance_index) * REPORT_STAGGER;
            self.schedule_for_control_plane(first_report, Event::ReportDue { instance: instance_index });
        }
    }

    fn schedule_faults(&mut self) {
        for index in 0..self.faults.len() {
            let at = self.load_start + micros_from_secs(self.faults[index].at);
            self.schedule(at, Event::InjectFault { index: index as u32 });
        }
    }
}

/// The entry of an endpoint in the endpoint list.
pub(crate) fn endpoint_list_entry(endpoint: &Endpoint) -> EndpointUpdate {
    EndpointUpdate {
        id: endpoint.id.clone(),
        zone: endpoint.zone as u32,
        weight: endpoint.weight,
        state: endpoint.state,
        started: endpoint.started.map(moment),
    }
}

/// The table that a proxy uses until it is assigned one: some endpoints of its zone, with equal weights.
pub(crate) fn initial_table(endpoints: &[u32], fleet: &Fleet) -> Arc<TableSnapshot> {
    let endpoints = WeightedEndpoints::new(endpoints.iter().map(|endpoint| (*endpoint, 1.0)));
    Arc::new(TableSnapshot { endpoints, admission: vec![None; fleet.request_classes.len()] })
}

fn fixed_table(weights: &[f64], admitted: &[f64]) -> Arc<TableSnapshot> {
    let level = |admitted: &f64| Some(AdmissionLevel { admitted: *admitted, retry: RetryPolicy::Never });
    let endpoints = WeightedEndpoints::new((0..).zip(weights.iter().copied()));
    Arc::new(TableSnapshot { endpoints, admission: admitted.iter().map(level).collect() })
}

fn build_endpoints(plan: &SimulationPlan, load_start: Time) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for (group_index, group) in plan.fleet.groups.iter().enumerate() {
        let effective_group = without_lifted_limits(group, plan.lifted_limits);
        // An endpoint that started before the simulation counts as started long ago.
        let started = group.uptime.and_then(|uptime| load_start.checked_sub(micros(uptime)));
        for (index_in_group, speed) in endpoint_speeds(group, group_index, plan.seed).into_iter().enumerate()
        {
            let id: EndpointId = format!("{}-{index_in_group}", group.name).into();
            endpoints.push(Endpoint::new(id, group_index, &effective_group, speed, started));
        }
    }
    endpoints
}

fn without_lifted_limits(group: &EndpointGroup, lifted: LiftedLimits) -> EndpointGroup {
    let mut group = group.clone();
    if lifted.connections {
        group.max_connections = u32::MAX;
        group.connection_work = 0.0;
    }
    if lifted.queueing {
        group.max_queued = u32::MAX;
    }
    if lifted.slow_start {
        group.warm_up = None;
        group.overload_collapse = None;
    }
    group
}

/// The speed of each endpoint of a group: measured, or drawn at random from a stream of the group.
/// `group_index` is the index of the group in the fleet.
pub fn endpoint_speeds(group: &EndpointGroup, group_index: usize, seed: u64) -> Vec<f64> {
    let mut random = random_stream(seed, "speeds", group_index as u64);
    let speed = |index_in_group: u32| {
        // Also drawn for measured speeds, so that both kinds of speed consume the same random numbers.
        let sample: f64 = random.random();
        match &group.speed {
            Speed::Uniform(from, to) => from + (to - from) * sample,
            Speed::Measured(speeds) => speeds[index_in_group as usize % speeds.len()],
        }
    };
    (0..group.count).map(speed).collect()
}
