//! A control-plane instance in this process: the controller without sockets, for runs on a paused clock. It
//! gets the same events as an instance in a separate process, and sends its commands through the same kind of
//! channel.

use crate::endpoint_status::EndpointStatus;
use crate::load_report::LoadReport;
use crate::proxy::Proxy;
use crate::proxy_channel::{Acknowledgement, JoinedProxy, ProxyChannel};
use crate::time::duration;
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointId, EndpointUpdate, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_fleet::model::Fleet;
use otterwinch_simulation::controller_config;
use otterwinch_simulation::simulated_host::SimulatedHost;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep_until, Instant};

/// The controller's time at the start of the instance, in microseconds. It is well above 0 because endpoints
/// may have been started before the instance.
const CLOCK_ORIGIN_US: i64 = 1_000_000_000_000;

/// An event that the testbed reports to an instance.
pub(crate) enum ControlPlaneEvent {
    /// Entries of the endpoint list were added or have changed.
    EndpointsUpdated(Vec<EndpointStatus>),
    /// A proxy has connected.
    ProxyJoined(JoinedProxy),
    /// The proxy with this number has disconnected.
    ProxyLeft(u32),
}

/// The parameters of an instance.
pub(crate) struct InstanceSpec {
    pub(crate) fleet: Fleet,
    /// By endpoint index.
    pub(crate) endpoint_names: Vec<String>,
    pub(crate) channel: Arc<ProxyChannel>,
    /// The proxies of all instances.
    pub(crate) proxies: Arc<Vec<Proxy>>,
    pub(crate) seed: u64,
}

/// Runs an instance until the senders of its events are dropped.
pub(crate) async fn run(
    spec: InstanceSpec,
    events: UnboundedReceiver<ControlPlaneEvent>,
    acknowledgements: UnboundedReceiver<Acknowledgement>,
) {
    InProcessControlPlane::new(spec).run(events, acknowledgements).await;
}

/// A timer of the controller. Timers that are due at the same time fire in the order in which they were
/// scheduled.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Instant,
    sequence: u64,
    timer: Timer,
}

/// A load report on its way to the controller.
struct PendingReport {
    arrives_at: Instant,
    report: LoadReport,
}

struct InProcessControlPlane {
    controller: Controller<SimulatedHost>,
    channel: Arc<ProxyChannel>,
    proxies: Arc<Vec<Proxy>>,
    /// By endpoint index.
    endpoint_ids: Vec<EndpointId>,
    clock: ControllerClock,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    /// The number of timers scheduled so far; gives each timer its sequence number.
    timer_count: u64,
    report_interval: Duration,
    report_delay: Duration,
    next_report: Instant,
    pending_reports: VecDeque<PendingReport>,
}

impl InProcessControlPlane {
    fn new(spec: InstanceSpec) -> Self {
        let clock = ControllerClock { started_at: Instant::now() };
        let endpoint_ids: Vec<EndpointId> =
            spec.endpoint_names.iter().map(|name| name.as_str().into()).collect();
        let indices = (0..).zip(&endpoint_ids).map(|(index, id)| (id.clone(), index)).collect();
        let host = SimulatedHost::new(Rc::new(indices));
        let config = controller_config(&spec.fleet);
        let report_interval = duration(spec.fleet.control_plane.report_interval);
        InProcessControlPlane {
            controller: Controller::start(host, config, spec.seed, clock.moment(clock.started_at)),
            channel: spec.channel,
            proxies: spec.proxies,
            endpoint_ids,
            clock,
            timers: BinaryHeap::new(),
            timer_count: 0,
            report_interval,
            report_delay: duration(spec.fleet.control_plane.report_delay),
            next_report: Instant::now() + report_interval,
            pending_reports: VecDeque::new(),
        }
    }

    async fn run(
        mut self,
        mut events: UnboundedReceiver<ControlPlaneEvent>,
        mut acknowledgements: UnboundedReceiver<Acknowledgement>,
    ) {
        loop {
            self.schedule_timers();
            self.send_commands();
            let next_timer = self.timers.peek().map_or(self.next_report, |timer| timer.0.at);
            let next_arrival =
                self.pending_reports.front().map_or(self.next_report, |pending| pending.arrives_at);
            // Biased, so that a run on a paused clock is reproducible.
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Some(acknowledgement) = acknowledgements.recv() => {
                    let Acknowledgement { number, proxy, .. } = acknowledgement;
                    self.controller.commands_acknowledged(self.clock.now(), number, proxy);
                }
                () = sleep_until(self.next_report) => self.take_report(),
                () = sleep_until(next_arrival), if !self.pending_reports.is_empty() => {
                    if let Some(PendingReport { report, .. }) = self.pending_reports.pop_front() {
                        self.handle_report(&report);
                    }
                }
                () = sleep_until(next_timer), if !self.timers.is_empty() => {
                    if let Some(Reverse(ScheduledTimer { timer, .. })) = self.timers.pop() {
                        self.controller.timer_fired(self.clock.now(), timer);
                    }
                }
            }
        }
    }

    /// Schedules the timers that the controller has requested since the last call.
    fn schedule_timers(&mut self) {
        let requested = std::mem::take(&mut self.controller.host_mut().timers);
        for (after, timer) in requested {
            self.timer_count += 1;
            let at = Instant::now() + duration(after);
            self.timers.push(Reverse(ScheduledTimer { at, sequence: self.timer_count, timer }));
        }
    }

    /// Sends the commands that the controller has issued since the last call.
    fn send_commands(&mut self) {
        let commands = std::mem::take(&mut self.controller.host_mut().commands);
        if !commands.is_empty() {
            self.channel.send(commands);
        }
    }

    fn handle_event(&mut self, event: ControlPlaneEvent) {
        let now = self.clock.now();
        match event {
            ControlPlaneEvent::EndpointsUpdated(statuses) => {
                let updates: Vec<EndpointUpdate> =
                    statuses.iter().map(|status| self.endpoint_update(status)).collect();
                self.controller.endpoints_updated(now, &updates);
            }
            ControlPlaneEvent::ProxyJoined(proxy) => {
                let JoinedProxy { number, zone, expected_rate, has_initial_table } = proxy;
                self.controller.proxy_joined(now, number, zone, expected_rate, has_initial_table);
            }
            ControlPlaneEvent::ProxyLeft(proxy) => self.controller.proxy_left(now, proxy),
        }
    }

    fn endpoint_update(&self, status: &EndpointStatus) -> EndpointUpdate {
        EndpointUpdate {
            id: status.name.as_str().into(),
            zone: status.zone,
            weight: status.weight,
            state: status.state,
            started: status.started.map(|at| self.clock.moment(at)),
        }
    }

    /// Takes the load of the connected proxies; the controller receives it after the report delay.
    fn take_report(&mut self) {
        self.next_report += self.report_interval;
        let connected = self.proxies.iter().filter(|proxy| self.channel.is_connected(proxy.number));
        let report = LoadReport::take(connected);
        self.pending_reports
            .push_back(PendingReport { arrives_at: Instant::now() + self.report_delay, report });
    }

    fn handle_report(&mut self, report: &LoadReport) {
        let now = self.clock.now();
        let interval = Span::from_us(self.report_interval.as_micros() as i64);
        for outcomes in &report.outcomes {
            let sums = &outcomes.sums;
            let mean_latency_us = sums.answered_latency_us / sums.answered().max(1);
            self.controller.outcomes_reported(
                now,
                &self.endpoint_ids[outcomes.endpoint as usize],
                sums.attempts as f64,
                sums.failed as f64,
                Span::from_us(mean_latency_us as i64),
                interval,
            );
        }
        for demand in &report.demand {
            self.controller.demand_reported(demand.request_class as u32, demand.requests as f64);
        }
    }
}

/// Converts the runtime's clock to that of the controller.
#[derive(Clone, Copy)]
struct ControllerClock {
    /// When the instance was started.
    started_at: Instant,
}

impl ControllerClock {
    fn now(self) -> Moment {
        self.moment(Instant::now())
    }

    /// An instant on the controller's clock; it may lie before the start of the instance.
    fn moment(self, at: Instant) -> Moment {
        let offset_us = match at.checked_duration_since(self.started_at) {
            Some(since) => since.as_micros() as i64,
            None => -((self.started_at - at).as_micros() as i64),
        };
        Moment::from_us(CLOCK_ORIGIN_US + offset_us)
    }
}
