//! The state of a simulation and its event loop. The event handlers are in the modules `client`, `proxy`,
//! `endpoint_work`, `control_messages`, `fault_injection` and `usage`; the state that they share is here.

use crate::client::Request;
use crate::clock::{micros_from_secs, secs, Time, SECOND};
use crate::control_plane_instance::ControlPlaneInstance;
use crate::endpoint::Endpoint;
use crate::event::Event;
use crate::fault::ScheduledFault;
use crate::plan::{LiftedLimits, SimulationPlan};
use crate::proxy::{Attempt, Proxy};
use crate::queue::{EventQueue, Phase};
use crate::results::Results;
use crate::simulation_result::{EndpointResult, SimulationResult, StopReason};
use crate::slab::Slab;
use crate::usage::UsageMeter;
use otterwinch::host::EndpointUpdate;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::ScheduledRequest;

/// A simulation is stopped this long after the last request of the load was due.
pub(crate) const MAX_TIME_AFTER_LOAD: Time = 120 * SECOND;
/// A simulation with more requests in flight is stopped: requests then start faster than they end.
pub(crate) const MAX_IN_FLIGHT: usize = 4_000_000;

/// Simulates a fleet under a load. The requests of the load must be ordered by time.
pub fn simulate(plan: &SimulationPlan, load: impl Iterator<Item = ScheduledRequest>) -> SimulationResult {
    Engine::new(plan).run(load)
}

/// The state of a running simulation.
pub(crate) struct Engine<'a> {
    pub fleet: &'a Fleet,
    pub seed: u64,
    /// Limits that don't apply.
    pub lifted_limits: LiftedLimits,
    pub queue: EventQueue<Event>,
    pub now: Time,
    /// When the load starts. The control plane starts at time 0.
    pub load_start: Time,
    /// Whether the last request of the load has started.
    pub load_ended: bool,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Proxy>,
    /// The proxies that are up, by zone.
    pub live_proxies: Vec<Vec<u32>>,
    pub instances: Vec<ControlPlaneInstance>,
    pub requests: Slab<Request>,
    pub attempts: Slab<Attempt>,
    pub faults: Vec<ScheduledFault>,
    /// Batches of changes of the endpoint list, indexed by the `update` of [`Event::EndpointsUpdated`].
    pub endpoint_updates: Vec<Vec<EndpointUpdate>>,
    pub results: Results,
    pub usage: UsageMeter,
    /// Requests that have started and not ended.
    pub in_flight: usize,
    /// The number of attempts of proxies at endpoints.
    pub proxy_attempts: u64,
    /// The number of these attempts that were at endpoints of another zone.
    pub cross_zone_attempts: u64,
    /// The number of simulated events, requests of the load included.
    pub event_count: u64,
}

impl Engine<'_> {
    fn run(mut self, load: impl Iterator<Item = ScheduledRequest>) -> SimulationResult {
        let mut load = load.peekable();
        let mut sequence = 0;
        let mut last_due = self.load_start;
        let stop_reason = loop {
            let next_event = self.queue.next_at();
            if let Some(request) = load.next_if(|request| self.is_due_by(request, next_event)) {
                sequence += 1;
                last_due = last_due.max(self.due_time(&request));
                self.start_scheduled_request(sequence, &request);
                if load.peek().is_none() {
                    self.end_load();
                }
                continue;
            }
            let Some((at, event)) = self.queue.pop() else { break None };
            if load.peek().is_none() {
                if self.in_flight == 0 {
                    break None;
                }
                if at > last_due + MAX_TIME_AFTER_LOAD {
                    break Some(StopReason::EndlessRetries);
                }
            }
            if self.in_flight > MAX_IN_FLIGHT {
                break Some(StopReason::TooManyInFlight);
            }
            self.now = at;
            self.event_count += 1;
            self.handle(event);
        };
        self.into_result(last_due, stop_reason)
    }

    fn due_time(&self, request: &ScheduledRequest) -> Time {
        self.load_start + micros_from_secs(request.at)
    }

    /// Whether a request is due no later than the next event.
    fn is_due_by(&self, request: &ScheduledRequest, next_event: Option<Time>) -> bool {
        let due = self.due_time(request);
        next_event.is_none_or(|at| due <= at)
    }

    fn start_scheduled_request(&mut self, sequence: u64, scheduled: &ScheduledRequest) {
        self.now = self.now.max(self.due_time(scheduled));
        self.event_count += 1;
        self.start_request(sequence, scheduled);
    }

    /// Ends the measurement of usage: work that is done after the last request was due doesn't count.
    fn end_load(&mut self) {
        self.record_usage();
        self.load_ended = true;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AttemptAtProxy { request, attempt_number } => {
                self.attempt_at_proxy(request, attempt_number)
            }
            Event::AttemptAtEndpoint { attempt } => self.attempt_at_endpoint(attempt),
            Event::WorkDone { attempt } => self.work_done(attempt),
            Event::OutcomeAtProxy { attempt, outcome } => self.outcome_at_proxy(attempt, outcome),
            Event::AttemptTimeout { request, attempt_number } => {
                self.attempt_timed_out(request, attempt_number)
            }
            Event::Retry { request } => self.retry(request),
            Event::ConnectionClosed { attempt } => self.connection_closed(attempt),
            Event::InjectFault { index } => self.inject_fault(index),
            Event::Maintenance => self.run_maintenance(),
            Event::TimerFired { instance, timer } => {
                self.notify_controller(instance, |controller, now| controller.timer_fired(now, timer))
            }
            Event::ReportDue { instance } => self.close_report(instance),
            Event::ReportArrives { instance } => self.deliver_report(instance),
            Event::EndpointsUpdated { instance, update } => self.deliver_endpoint_update(instance, update),
            Event::SendCommands { instance } => self.send_commands(instance),
            Event::MessageAtProxy { instance } => self.deliver_message(instance),
            Event::Acknowledged { instance, acknowledgement, proxy, stream } => {
                self.deliver_acknowledgement(instance, acknowledgement, proxy, stream)
            }
        }
    }

    /// Schedules an event that changes the state of the fleet.
    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.queue.push(at, Phase::Fleet, event);
    }

    /// Schedules an event of a control-plane instance: a timer, the end of a report interval or a delivery.
    pub(crate) fn schedule_for_control_plane(&mut self, at: Time, event: Event) {
        self.queue.push(at, Phase::ControlPlane, event);
    }

    /// Converts a time to seconds since the start of the load.
    pub(crate) fn load_seconds(&self, at: Time) -> f64 {
        secs(at - self.load_start)
    }

    fn into_result(self, last_due: Time, stop_reason: Option<StopReason>) -> SimulationResult {
        let load_seconds = self.load_seconds(last_due);
        // At least one microsecond, so that the utilisation is defined for an empty load.
        let measured_time = last_due.max(self.load_start + 1) - self.load_start;
        let send_queues = self.instances.iter().map(|instance| &instance.channel.send_queue);
        let endpoints = self.endpoints.iter().enumerate();
        SimulationResult {
            endpoints: endpoints
                .map(|(index, endpoint)| {
                    EndpointResult::of(endpoint, self.usage.core_seconds(index), measured_time)
                })
                .collect(),
            event_count: self.event_count,
            cross_zone_attempts: self.cross_zone_attempts,
            attempts: self.proxy_attempts,
            peak_queued_lines: send_queues.clone().map(|queue| queue.peak_queued_lines).fold(0.0, f64::max),
            sent_lines: send_queues.map(|queue| queue.sent_lines).sum(),
            load_seconds,
            stop_reason,
            results: self.results,
        }
    }
}
