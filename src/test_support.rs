//! Test support: a host that records commands, a configuration, and builders for endpoints and controllers.

use crate::config::{AdmissionMode, ControllerConfig, RequestClass};
use crate::controller::Controller;
use crate::host::{EndpointId, EndpointState, EndpointUpdate, Host, RequestClassSet, RetryPolicy, Timer};
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// A controller whose host records its commands.
pub type TestController = Controller<RecordingHost>;

/// A command that the controller issued to its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    SetWeight { table: u32, endpoint: EndpointId, weight: f64 },
    AssignTable { proxy: u32, table: u32, classes: RequestClassSet },
    Eject(EndpointId),
    Restore(EndpointId),
    Forget(EndpointId),
    SetAdmission { table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy },
    RequestAcknowledgement(u32),
    ResendCommands,
    WatchEndpoints,
    ScheduleTimer { after: Span, timer: Timer },
}

pub fn set_weight(table: u32, endpoint: &str, weight: f64) -> Command {
    Command::SetWeight { table, endpoint: endpoint.into(), weight }
}

/// Assigns a table to a proxy for all request classes.
pub fn assign_table(proxy: u32, table: u32) -> Command {
    Command::AssignTable { proxy, table, classes: RequestClassSet::ALL }
}

pub fn eject(endpoint: &str) -> Command {
    Command::Eject(endpoint.into())
}

pub fn restore(endpoint: &str) -> Command {
    Command::Restore(endpoint.into())
}

pub fn forget(endpoint: &str) -> Command {
    Command::Forget(endpoint.into())
}

pub fn schedule_timer(timer: Timer, after: Span) -> Command {
    Command::ScheduleTimer { after, timer }
}

/// A host that records the commands issued to it.
#[derive(Default)]
pub struct RecordingHost {
    pub commands: Vec<Command>,
}

impl RecordingHost {
    pub fn count(&self, matches: impl Fn(&Command) -> bool) -> usize {
        self.commands.iter().filter(|command| matches(command)).count()
    }

    /// The last weight that was set for an endpoint in a table.
    pub fn weight(&self, table: u32, id: &str) -> Option<f64> {
        self.commands.iter().rev().find_map(|command| match command {
            Command::SetWeight { table: t, endpoint, weight } if *t == table && &**endpoint == id => {
                Some(*weight)
            }
            _ => None,
        })
    }

    pub fn weight_count(&self) -> usize {
        self.count(|command| matches!(command, Command::SetWeight { .. }))
    }

    pub fn assignment_count(&self) -> usize {
        self.count(|command| matches!(command, Command::AssignTable { .. }))
    }

    pub fn admission_count(&self) -> usize {
        self.count(|command| matches!(command, Command::SetAdmission { .. }))
    }

    pub fn timer_count(&self, timer: Timer) -> usize {
        self.count(|command| matches!(command, Command::ScheduleTimer { timer: t, .. } if *t == timer))
    }

    /// The endpoints that a proxy may use for the class at this position, by the commands so far: those in
    /// the table that it was last assigned for the class. Ejections are not taken into account.
    pub fn usable_endpoints(&self, proxy: u32, class: usize) -> BTreeSet<&str> {
        let assigned_table = self.commands.iter().rev().find_map(|command| match command {
            Command::AssignTable { proxy: p, table, classes } if *p == proxy && classes.contains(class) => {
                Some(*table)
            }
            _ => None,
        });
        let mut usable = BTreeSet::new();
        for command in &self.commands {
            match command {
                Command::SetWeight { table, endpoint, weight } if Some(*table) == assigned_table => {
                    if *weight > 0.0 {
                        usable.insert(&**endpoint);
                    } else {
                        usable.remove(&**endpoint);
                    }
                }
                _ => {}
            }
        }
        usable
    }

    /// The ejections and restorations, in order.
    pub fn ejections(&self) -> Vec<Command> {
        let is_ejection = |command: &&Command| matches!(command, Command::Eject(_) | Command::Restore(_));
        self.commands.iter().filter(is_ejection).cloned().collect()
    }

    /// The numbers of all acknowledgement requests, in order.
    pub fn acknowledgement_numbers(&self) -> Vec<u32> {
        let number = |command: &Command| match command {
            Command::RequestAcknowledgement(number) => Some(*number),
            _ => None,
        };
        self.commands.iter().filter_map(number).collect()
    }

    /// The tables that were assigned to a proxy, in order.
    pub fn tables_of(&self, proxy: u32) -> Vec<u32> {
        let table = |command: &Command| match command {
            Command::AssignTable { proxy: p, table, .. } if *p == proxy => Some(*table),
            _ => None,
        };
        self.commands.iter().filter_map(table).collect()
    }
}

impl Host for RecordingHost {
    fn set_endpoint_weight(
        &mut self,
        table: u32,
        endpoint: &EndpointId,
        weight: f64,
        _deadline: Option<Moment>,
    ) {
        self.commands.push(set_weight(table, endpoint, weight));
    }
    fn assign_table(&mut self, proxy: u32, table: u32, classes: RequestClassSet) {
        self.commands.push(Command::AssignTable { proxy, table, classes });
    }
    fn eject_endpoint(&mut self, endpoint: &EndpointId, _deadline: Option<Moment>) {
        self.commands.push(eject(endpoint));
    }
    fn restore_endpoint(&mut self, endpoint: &EndpointId) {
        self.commands.push(restore(endpoint));
    }
    fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.commands.push(forget(endpoint));
    }
    fn set_admission(&mut self, table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        self.commands.push(Command::SetAdmission { table, classes, admitted, retry });
    }
    fn request_acknowledgement(&mut self, number: u32) {
        self.commands.push(Command::RequestAcknowledgement(number));
    }
    fn resend_commands(&mut self) {
        self.commands.push(Command::ResendCommands);
    }
    fn watch_endpoints(&mut self) {
        self.commands.push(Command::WatchEndpoints);
    }
    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.commands.push(schedule_timer(timer, after));
    }
}

/// The time this many seconds after the start of a test.
pub fn at(secs: f64) -> Moment {
    Moment::from_us(1_000_000_000) + Span::from_secs(secs)
}

pub fn config() -> ControllerConfig {
    let class = |priority_weight| RequestClass {
        latency_objective: Span::from_secs(1.0),
        priority_weight,
        zone_local: false,
        writes: false,
    };
    ControllerConfig {
        request_classes: vec![class(1.0), class(3.0)],
        polls_endpoint_list: false,
        has_cross_zone_costs: false,
        admission: AdmissionMode::Fraction,
        proxy_ejection_threshold: 0,
        shards: 0,
        single_writer: false,
        write_lease: Span::from_secs(2.0),
        write_settle_time: Span::from_secs(0.1),
        report_interval: Span::from_secs(1.0),
        proxy_count: 4,
        min_endpoint_connections: 0,
        initial_table_size: 5,
        channel_rate: 1000.0,
        message_overhead_lines: 3.0,
        max_queued_lines: 1000.0,
        max_pushes: 12,
        push_window: Span::from_secs(10.0),
        max_transit: Span::from_secs(0.3),
        drain_grace: Span::from_secs(2.0),
        slow_start_window: Span::from_secs(16.0),
        initial_capacity: 0.15,
        collapse_multiple: 4.0,
        drain_grace_excludes_removed: false,
    }
}

/// A ready endpoint in zone 0 with weight 2 that completed its slow start long ago.
pub fn ready(id: &str) -> EndpointUpdate {
    EndpointUpdate { id: id.into(), zone: 0, weight: 2.0, state: EndpointState::Ready, started: None }
}

/// A ready endpoint that started this many seconds after the start of the test.
pub fn ready_since(id: &str, started_secs: f64) -> EndpointUpdate {
    EndpointUpdate { started: Some(at(started_secs)), ..ready(id) }
}

pub fn draining(id: &str) -> EndpointUpdate {
    EndpointUpdate { state: EndpointState::Draining, ..ready(id) }
}

pub fn removed(id: &str) -> EndpointUpdate {
    EndpointUpdate { state: EndpointState::Removed, ..ready(id) }
}

/// A controller with these endpoints, built by [`ready`], whose proxies are joined and assigned. The commands
/// that led there are cleared.
pub fn running_controller(config: ControllerConfig, ids: &[&str], proxies: u32) -> TestController {
    let mut controller = Controller::start(RecordingHost::default(), config, 7, at(0.0));
    let updates: Vec<EndpointUpdate> = ids.iter().map(|id| ready(id)).collect();
    controller.endpoint_list_replaced(at(0.0), &updates);
    for proxy in 0..proxies {
        controller.proxy_joined(at(0.0), proxy, 0, 10.0, true);
    }
    controller.timer_fired(at(0.2), Timer::Recheck);
    controller.host_mut().commands.clear();
    controller
}
