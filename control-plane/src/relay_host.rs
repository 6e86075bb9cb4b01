//! The controller's host in the control plane: validates and queues commands for the relay, keeps the timers,
//! and tracks the fleet state that a restarted controller is initialized from. The controller owns it; the
//! control loop accesses it between events.

use crate::command::Command;
use crate::deployment_names::DeploymentNames;
use crate::observed_fleet::{JoinedProxy, ObservedFleet};
use crate::timer_queue::TimerQueue;
use otterwinch::host::{EndpointId, EndpointUpdate, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{CommandValidator, InvalidCommand};
use slog::{warn, Logger};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

/// Collects the controller's commands, timers and requests until the control loop handles them.
pub struct RelayHost {
    validator: CommandValidator,
    names: Rc<DeploymentNames>,
    log: Logger,
    fleet: ObservedFleet,
    timers: TimerQueue,
    now: Moment,
    watch_requests: Rc<Notify>,
    commands: VecDeque<Command>,
    commands_issued: u64,
    resend_requested: bool,
}

impl RelayHost {
    /// Creates a host without known endpoints or proxies.
    pub fn new(validator: CommandValidator, names: Rc<DeploymentNames>, now: Moment, log: Logger) -> Self {
        RelayHost {
            validator,
            names,
            log,
            fleet: ObservedFleet::default(),
            timers: TimerQueue::default(),
            now,
            watch_requests: Rc::default(),
            commands: VecDeque::new(),
            commands_issued: 0,
            resend_requested: false,
        }
    }

    /// Sets the current time, from which timers are scheduled.
    pub fn set_now(&mut self, now: Moment) {
        self.now = now;
    }

    /// The known fleet.
    pub fn fleet(&self) -> &ObservedFleet {
        &self.fleet
    }

    /// Replaces the complete endpoint list.
    pub fn replace_endpoint_list(&mut self, updates: &[EndpointUpdate]) {
        self.validator.add_endpoints(updates.iter().map(|update| &update.id));
        self.fleet.replace_endpoint_list(self.now, updates);
    }

    /// Applies changed entries of the endpoint list.
    pub fn update_endpoints(&mut self, updates: &[EndpointUpdate]) {
        self.validator.add_endpoints(updates.iter().map(|update| &update.id));
        self.fleet.update_endpoints(self.now, updates);
    }

    /// Records that a proxy joined.
    pub fn proxy_joined(&mut self, number: u32, proxy: JoinedProxy) {
        self.validator.set_proxy_joined(number, true);
        self.fleet.proxy_joined(number, proxy);
    }

    /// Records that a proxy left.
    pub fn proxy_left(&mut self, number: u32) {
        self.validator.set_proxy_joined(number, false);
        self.fleet.proxy_left(number);
    }

    /// Notified when the controller requests a watch of the endpoint list.
    pub fn watch_requests(&self) -> Rc<Notify> {
        self.watch_requests.clone()
    }

    /// Takes the commands that the controller has issued since the last call.
    pub fn take_commands(&mut self) -> VecDeque<Command> {
        std::mem::take(&mut self.commands)
    }

    /// The number of commands issued since the start of the process, across controller restarts.
    pub fn commands_issued(&self) -> u64 {
        self.commands_issued
    }

    /// Takes the request to resend pending commands: returns whether there is one, and clears it.
    pub fn take_resend_request(&mut self) -> bool {
        std::mem::take(&mut self.resend_requested)
    }

    /// When the next timer is due.
    pub fn next_timer_due(&self) -> Option<Moment> {
        self.timers.next_due()
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due_timer(&mut self, now: Moment) -> Option<Timer> {
        self.timers.pop_due(now)
    }

    /// Drops the commands, timers and resend request of a controller that has ended. The fleet state is kept.
    pub fn discard_pending(&mut self) {
        self.commands.clear();
        self.timers.clear();
        self.resend_requested = false;
    }

    fn issue(&mut self, validation: Result<(), InvalidCommand>, command: Command) {
        if let Err(invalid) = validation {
            warn!(self.log, "invalid command not sent"; "why" => %invalid);
            return;
        }
        self.commands_issued += 1;
        self.commands.push_back(command);
    }

    fn class_names(&self, classes: RequestClassSet) -> Vec<&str> {
        let all = self.names.request_classes.iter().enumerate();
        all.filter(|(position, _)| classes.contains(*position)).map(|(_, name)| name.as_str()).collect()
    }
}

impl Host for RelayHost {
    fn set_endpoint_weight(
        &mut self,
        table: u32,
        endpoint: &EndpointId,
        weight: f64,
        deadline: Option<Moment>,
    ) {
        let validation = self.validator.check_weight(table, endpoint, weight);
        self.issue(validation, Command::set_weight(table, endpoint, weight).with_deadline(deadline));
    }

    fn assign_table(&mut self, proxy: u32, table: u32, classes: RequestClassSet) {
        let validation = self.validator.check_assignment(proxy, table);
        let command = if classes == RequestClassSet::ALL {
            Command::assign_table(proxy, table)
        } else {
            Command::assign_table_for(proxy, table, classes, &self.class_names(classes))
        };
        self.issue(validation, command);
    }

    fn eject_endpoint(&mut self, endpoint: &EndpointId, deadline: Option<Moment>) {
        self.fleet.endpoint_ejected(endpoint);
        let validation = self.validator.check_ejection(endpoint);
        self.issue(validation, Command::eject(endpoint).with_deadline(deadline));
    }

    fn restore_endpoint(&mut self, endpoint: &EndpointId) {
        self.fleet.endpoint_restored(endpoint);
        let validation = self.validator.check_ejection(endpoint);
        self.issue(validation, Command::restore(endpoint));
    }

    fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.validator.forget_endpoint(endpoint);
        self.fleet.forget_endpoint(endpoint);
    }

    fn set_admission(&mut self, table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        let validation = self.validator.check_admission(table, admitted);
        let command = Command::set_admission(table, &self.class_names(classes), admitted, retry);
        self.issue(validation, command);
    }

    fn request_acknowledgement(&mut self, number: u32) {
        self.issue(Ok(()), Command::request_acknowledgement(number));
    }

    fn resend_commands(&mut self) {
        self.resend_requested = true;
    }

    fn watch_endpoints(&mut self) {
        self.watch_requests.notify_one();
    }

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.timers.schedule(self.now + after, timer);
    }
}

#[cfg(test)]
mod tests;
