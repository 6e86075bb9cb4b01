//! The task that owns the controller and the clock. Each iteration waits for an event or a timer, passes
//! everything that is ready to the controller with the same timestamp, and makes one call with the commands
//! that the controller issued. So no event waits for more than one call, however many the commands take.
//! After the process was held up, input that has arrived meanwhile is read first.

use crate::clock::Clock;
use crate::command::{Command, CommandKind};
use crate::command_delivery::{CommandDelivery, DeliveryOutcome};
use crate::config::Config;
use crate::controller_restart::RestartableController;
use crate::event::{Event, EventSender, EVENT_QUEUE_CAPACITY};
use crate::event_dispatch::dispatch;
use crate::metrics::Metrics;
use crate::relay_host::RelayHost;
use crate::status::{LoopStatus, StatusReporter, SNAPSHOT_INTERVAL};
use otterwinch::controller::Controller;
use otterwinch::host::Host;
use otterwinch::time::{Moment, Span};
use slog::{error, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// A timer that is overdue by more than this shows that the process was held up, so that input may be waiting
/// in the sockets.
const MAX_TIMER_DELAY: Span = Span::from_us(100_000);
/// How long the other tasks get to read such input. Each needs only a few polls.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);

/// The control loop and all state that it owns.
pub struct ControlLoop {
    controller: RestartableController,
    clock: Clock,
    events: mpsc::Receiver<Event>,
    delivery: CommandDelivery,
    status: StatusReporter,
    log: Logger,
}

/// The handles through which other tasks communicate with the control loop.
pub struct ControlLoopHandles {
    /// Sends events to the control loop.
    pub events: EventSender,
    /// The latest status snapshot, as JSON.
    pub status: watch::Receiver<String>,
    /// Notified when the controller requests a watch of the endpoint list.
    pub watch_requests: Rc<Notify>,
}

impl ControlLoop {
    /// Starts the controller. [`ControlLoop::run`] then runs the loop.
    pub fn start(
        config: Rc<Config>,
        relay_address: watch::Receiver<SocketAddr>,
        log: Logger,
    ) -> (Self, ControlLoopHandles) {
        let clock = Clock::start();
        let now = clock.now();
        let metrics = Rc::<Metrics>::default();
        let (sender, events) = EventSender::channel(EVENT_QUEUE_CAPACITY, metrics.clone());
        let (status, snapshot) = StatusReporter::new(metrics, log.clone(), now);
        let delivery = CommandDelivery::new(relay_address, log.clone());
        let mut controller = RestartableController::start(config, log.clone(), now);
        let watch_requests = controller.host_mut().watch_requests();
        let handles = ControlLoopHandles { events: sender, status: snapshot, watch_requests };
        (ControlLoop { controller, clock, events, delivery, status, log }, handles)
    }

    /// Runs until shutdown. Final iterations send the commands issued so far, and resend those of failed
    /// calls, since proxies that have not yet moved to another instance still act on them.
    pub async fn run(mut self, shutdown: CancellationToken) {
        while !shutdown.is_cancelled() {
            let first_event = self.wait_for_event(&shutdown).await;
            self.catch_up().await;
            self.run_iteration(first_event).await;
        }
        self.controller.host_mut().resend_commands();
        self.run_iteration(None).await;
        while self.delivery.can_deliver() {
            self.run_iteration(None).await;
        }
    }

    /// Waits for an event. Returns `None` when the next timer is due, after [`SNAPSHOT_INTERVAL`] if there is
    /// none, at shutdown, or at once if there are commands to send.
    async fn wait_for_event(&mut self, shutdown: &CancellationToken) -> Option<Event> {
        if self.delivery.can_deliver() {
            return self.events.try_recv().ok();
        }
        let now = self.clock.now();
        let wake_up = self.controller.host_mut().next_timer_due().unwrap_or(now + SNAPSHOT_INTERVAL);
        let pause = Duration::from_micros((wake_up - now).as_us().max(0) as u64);
        tokio::select! {
            biased;
            event = self.events.recv() => event,
            () = sleep(pause) => None,
            () = shutdown.cancelled() => None,
        }
    }

    /// If timers are long overdue, lets the other tasks read what has arrived meanwhile first: the timers
    /// would otherwise act on an outdated state, and what they send would go ahead of more urgent commands.
    async fn catch_up(&mut self) {
        let now = self.clock.now();
        let next_due = self.controller.host_mut().next_timer_due();
        if next_due.is_some_and(|due| now - due > MAX_TIMER_DELAY) {
            sleep(CATCH_UP_TIME).await;
        }
    }

    async fn run_iteration(&mut self, first_event: Option<Event>) {
        let now = self.clock.now();
        self.controller.host_mut().set_now(now);
        self.handle_events(now, first_event);
        self.fire_timers(now);
        self.queue_commands();
        self.make_call().await;
        self.queue_commands();
        self.report_status();
    }

    /// Passes the first event and the queued ones to the controller. Handles at most [`EVENT_QUEUE_CAPACITY`]
    /// events, so that busy senders can't delay the commands indefinitely.
    fn handle_events(&mut self, now: Moment, first_event: Option<Event>) {
        let mut next = first_event;
        for _ in 0..EVENT_QUEUE_CAPACITY {
            let Some(event) = next.or_else(|| self.events.try_recv().ok()) else { return };
            if let Event::Acknowledged { number, .. } = event {
                self.delivery.acknowledged(number);
            }
            self.step(now, |controller, now| dispatch(controller, now, event));
            next = None;
        }
    }

    fn fire_timers(&mut self, now: Moment) {
        while let Some(timer) = self.controller.host_mut().pop_due_timer(now) {
            self.step(now, |controller, now| controller.timer_fired(now, timer));
        }
    }

    /// Queues the commands that the controller has issued, and those of failed calls if it requested that.
    fn queue_commands(&mut self) {
        let host = self.controller.host_mut();
        if host.take_resend_request() {
            self.delivery.requeue_failed();
        }
        self.delivery.enqueue(host.take_commands());
        let joined = host.fleet().proxies();
        self.delivery.retain_assignments(|proxy| joined.contains_key(&proxy));
    }

    /// Makes one call, if there are commands to send, and reports its outcome to the controller.
    async fn make_call(&mut self) {
        let Some(outcome) = self.delivery.deliver_next().await else { return };
        let now = self.clock.now();
        self.controller.host_mut().set_now(now);
        match outcome {
            DeliveryOutcome::PartlyAccepted => {}
            DeliveryOutcome::Accepted => {
                self.step(now, |controller, now| controller.commands_accepted(now));
            }
            DeliveryOutcome::Rejected(command) => self.command_rejected(now, command),
            DeliveryOutcome::Failed(error) => {
                let may_have_been_executed = error.may_have_been_executed();
                self.step(now, |controller, now| controller.commands_lost(now, may_have_been_executed));
            }
            // Resending the same call would block all later commands forever.
            DeliveryOutcome::Invalid(error) => {
                error!(self.log, "relay reported a call as invalid twice"; "why" => #error);
                self.controller.restart(now);
                self.delivery.discard_pending();
            }
        }
    }

    /// Reports a rejected assignment or weight to the controller.
    fn command_rejected(&mut self, now: Moment, command: Command) {
        match command.kind {
            CommandKind::Assignment { proxy, .. } => {
                self.step(now, |controller, now| controller.assignment_rejected(now, proxy));
            }
            CommandKind::Weight { table, endpoint } => {
                self.step(now, |controller, _| controller.weight_rejected(table, &endpoint));
            }
            CommandKind::Admission { .. }
            | CommandKind::Ejection { .. }
            | CommandKind::AcknowledgementRequest { .. } => {}
        }
    }

    /// Runs one step of the controller. If it panics, the controller is restarted and the commands of the old
    /// one are dropped.
    fn step(&mut self, now: Moment, call: impl FnOnce(&mut Controller<RelayHost>, Moment)) {
        if self.controller.step(now, call).is_err() {
            self.delivery.discard_pending();
        }
    }

    fn report_status(&mut self) {
        let now = self.clock.now();
        if !self.status.is_due(now) {
            return;
        }
        let controller_starts = self.controller.starts();
        let host = self.controller.host_mut();
        let status = LoopStatus {
            endpoints: host.fleet().listed_count(),
            proxies: host.fleet().proxies().len(),
            commands: host.commands_issued(),
            calls: self.delivery.calls(),
            failed_calls: self.delivery.failed_calls(),
            controller_starts,
            delivery_failing: self.delivery.is_failing(),
        };
        self.status.report(now, &status);
    }
}

#[cfg(test)]
mod tests;
