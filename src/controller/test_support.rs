//! Test helpers that access the private state of the controller.

use super::{EVALUATION_INTERVAL, RECHECK_DELAY};
use crate::config::ControllerConfig;
use crate::host::Timer;
use crate::test_support::{at, config, running_controller, Command, TestController};
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

/// Returns a running controller with 30 assigned proxies and the endpoints "10" up to but excluding `end`.
/// With a large `end`, the changes of all endpoints don't fit into the channel at once.
pub(super) fn running_large_fleet(message_overhead_lines: f64, end: u32) -> TestController {
    let ids: Vec<String> = (10..end).map(|id| id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let config = ControllerConfig { max_pushes: 0, message_overhead_lines, ..config() };
    let mut controller = running_controller(config, &ids, 30);
    for proxy in controller.proxies.joined.values_mut() {
        proxy.assignments[0].is_assigned = true;
        proxy.assignments[0].receives_updates = true;
    }
    controller
}

/// The time after which the proxies acknowledge commands.
const ACKNOWLEDGEMENT_DELAY: Span = Span::from_us(200_000);

/// A command, with the time at which it was issued.
pub(super) struct IssuedCommand {
    pub(super) at: Moment,
    pub(super) command: Command,
}

/// What becomes of the calls that carry the commands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CallOutcome {
    Accepted,
    /// The connection breaks and the call was not carried out, which the controller can't know.
    NotExecuted,
}

/// Runs a controller in simulated time: fires the timers that it schedules, carries its commands in calls,
/// and lets every proxy acknowledge the commands for which it requests that.
pub(super) struct Timeline {
    pub(super) controller: TestController,
    now: Moment,
    /// Future timers, in the order in which they are due.
    timers: BTreeSet<(Moment, Timer)>,
    /// Future acknowledgements: when, and the number.
    acknowledgements: BTreeSet<(Moment, u32)>,
    /// All commands so far.
    pub(super) issued: Vec<IssuedCommand>,
    /// What becomes of calls from now on.
    pub(super) calls: CallOutcome,
    /// When calls failed.
    pub(super) failed_calls: Vec<Moment>,
    /// Whether commands of a failed call wait to be sent again.
    is_failing: bool,
}

impl Timeline {
    /// Continues with a controller at this time.
    pub(super) fn new(controller: TestController, now: Moment) -> Self {
        let evaluation = (now + EVALUATION_INTERVAL, Timer::Evaluation);
        let recheck = (now + RECHECK_DELAY, Timer::Recheck);
        Timeline {
            controller,
            now,
            timers: [evaluation, recheck].into(),
            acknowledgements: BTreeSet::new(),
            issued: Vec::new(),
            calls: CallOutcome::Accepted,
            failed_calls: Vec::new(),
            is_failing: false,
        }
    }

    /// Lets time pass until this many seconds after the start of the test.
    pub(super) fn run_until(&mut self, secs: f64) {
        let end = at(secs);
        loop {
            let next_timer = self.timers.first().copied().filter(|(due, _)| *due <= end);
            let next_acknowledgement = self.acknowledgements.first().copied().filter(|(due, _)| *due <= end);
            match (next_timer, next_acknowledgement) {
                (timer, Some((due, number))) if timer.is_none_or(|(timer_due, _)| due <= timer_due) => {
                    self.acknowledgements.pop_first();
                    self.now = due;
                    self.acknowledge(number);
                }
                (Some((due, timer)), _) => {
                    self.timers.pop_first();
                    self.now = due;
                    self.controller.timer_fired(due, timer);
                }
                (None, _) => break,
            }
            self.take_commands();
        }
        self.now = end;
    }

    fn acknowledge(&mut self, number: u32) {
        let proxies: Vec<u32> = self.controller.proxies.joined.keys().copied().collect();
        for proxy in proxies {
            self.controller.commands_acknowledged(self.now, number, proxy);
        }
    }

    /// Passes an event to the controller at the present time.
    pub(super) fn step(&mut self, event: impl FnOnce(&mut TestController, Moment)) {
        event(&mut self.controller, self.now);
        self.take_commands();
    }

    /// Takes the commands that the controller has issued, and makes a call with them unless those of a failed
    /// call have to be sent first.
    fn take_commands(&mut self) {
        let mut has_commands = false;
        let mut acknowledgement = None;
        for command in std::mem::take(&mut self.controller.host_mut().commands) {
            match command {
                Command::ScheduleTimer { after, timer } => _ = self.timers.insert((self.now + after, timer)),
                Command::RequestAcknowledgement(number) => acknowledgement = Some(number),
                Command::ResendCommands => {
                    self.is_failing = false;
                    has_commands = true;
                }
                command => {
                    self.issued.push(IssuedCommand { at: self.now, command });
                    has_commands = true;
                }
            }
        }
        if has_commands {
            self.make_call(acknowledgement);
        }
    }

    fn make_call(&mut self, acknowledgement: Option<u32>) {
        if self.calls == CallOutcome::NotExecuted {
            self.is_failing = true;
            self.failed_calls.push(self.now);
            self.controller.commands_lost(self.now, true);
        } else {
            if let Some(number) = acknowledgement {
                self.acknowledgements.insert((self.now + ACKNOWLEDGEMENT_DELAY, number));
            }
            if !self.is_failing {
                self.controller.commands_accepted(self.now);
            }
        }
        self.take_commands();
    }

    /// When the last command that satisfies a predicate was issued.
    pub(super) fn last_issued(&self, matches: impl Fn(&Command) -> bool) -> Option<Moment> {
        self.issued.iter().rev().find(|issued| matches(&issued.command)).map(|issued| issued.at)
    }
}
