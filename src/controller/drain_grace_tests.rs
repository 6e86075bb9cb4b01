//! Random courses of the endpoint list and of the proxies, played against a model of the relay that knows
//! what each proxy may use. No proxy may have an endpoint for longer than its drain grace, in whichever order
//! the list tells of it.

use super::relay_model::{Input, RelayModel, TimedInput};
use super::test_support::{IssuedCommand, Timeline};
use crate::config::ControllerConfig;
use crate::host::{EndpointState, EndpointUpdate};
use crate::seeded_rng::SeededRng;
use crate::test_support::{at, config, ready, running_controller};
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

const PROXIES: u32 = 6;
const ENDPOINTS: usize = 8;
const ZONES: u32 = 2;
const COURSE_SECS: f64 = 60.0;

fn endpoint(number: usize) -> EndpointUpdate {
    EndpointUpdate { zone: number as u32 % ZONES, ..ready(&format!("e{number}")) }
}

/// A course drawn from a seed.
struct Course {
    rng: SeededRng,
    states: [EndpointState; ENDPOINTS],
    joined: BTreeSet<u32>,
}

impl Course {
    fn below(&mut self, limit: usize) -> usize {
        (self.rng.next_f64() * limit as f64) as usize
    }

    /// Draws new states of some endpoints. In a part of the answers an endpoint has two entries, and in
    /// another part all endpoints of a zone change.
    fn draw_list(&mut self, now: Moment) -> Input {
        let whole_zone = (self.below(3) == 0).then(|| self.below(ZONES as usize) as u32);
        let mut updates = Vec::new();
        for number in 0..ENDPOINTS {
            let is_affected = match whole_zone {
                Some(zone) => endpoint(number).zone == zone,
                None => self.below(4) == 0,
            };
            let entries = if is_affected { 1 + self.below(4) / 3 } else { 0 };
            for _ in 0..entries {
                self.states[number] = self.draw_state();
                let restarted = self.states[number] == EndpointState::Ready && self.below(2) == 0;
                let started = restarted.then_some(now);
                updates.push(EndpointUpdate { state: self.states[number], started, ..endpoint(number) });
            }
        }
        if self.below(3) > 0 {
            return Input::List { is_whole: false, updates };
        }
        let mut updates = Vec::new();
        for (number, state) in self.states.iter().enumerate() {
            if *state != EndpointState::Removed {
                updates.push(EndpointUpdate { state: *state, ..endpoint(number) });
            }
        }
        Input::List { is_whole: true, updates }
    }

    fn draw_state(&mut self) -> EndpointState {
        match self.below(10) {
            0..=3 => EndpointState::Ready,
            4..=6 => EndpointState::Draining,
            _ => EndpointState::Removed,
        }
    }

    fn draw_proxy_event(&mut self) -> Input {
        let proxy = self.below(PROXIES as usize) as u32;
        if self.joined.remove(&proxy) {
            return Input::Left { proxy };
        }
        self.joined.insert(proxy);
        let mut brought = BTreeSet::new();
        for number in 0..ENDPOINTS {
            if self.below(2) == 0 {
                brought.insert(endpoint(number).id);
            }
        }
        Input::Joined { proxy, brought }
    }

    fn draw_input(&mut self, now: Moment) -> Input {
        if self.below(3) > 0 {
            self.draw_list(now)
        } else {
            self.draw_proxy_event()
        }
    }
}

fn pass_on(timeline: &mut Timeline, input: &Input) {
    timeline.step(|controller, now| match input {
        Input::List { is_whole: true, updates } => controller.endpoint_list_replaced(now, updates),
        Input::List { is_whole: false, updates } => controller.endpoints_updated(now, updates),
        Input::Joined { proxy, .. } => controller.proxy_joined(now, *proxy, proxy % ZONES, 10.0, false),
        Input::Left { proxy } => controller.proxy_left(now, *proxy),
    });
}

/// Reports answers of all endpoints but those with odd numbers, which fail every other ten seconds.
fn report(timeline: &mut Timeline, secs: f64) {
    timeline.step(|controller, now| {
        for number in 0..ENDPOINTS {
            let fails = number % 2 == 1 && secs % 20.0 > 10.0;
            let failed = if fails { 10.0 } else { 0.0 };
            let interval = Span::from_secs(1.0);
            let latency = Span::from_secs(0.1);
            controller.outcomes_reported(now, &endpoint(number).id, 10.0, failed, latency, interval);
        }
    });
}

/// Plays a course and returns the violations that the model of the relay finds.
fn play(config: &ControllerConfig, seed: u64) -> Vec<String> {
    let mut timeline = Timeline::new(running_controller(config.clone(), &[], 0), at(0.2));
    let mut course = Course {
        rng: SeededRng::new(seed),
        states: [EndpointState::Ready; ENDPOINTS],
        joined: BTreeSet::new(),
    };
    let all_ready = (0..ENDPOINTS).map(endpoint).collect();
    let mut inputs =
        vec![TimedInput { at: at(0.2), input: Input::List { is_whole: true, updates: all_ready } }];
    pass_on(&mut timeline, &inputs[0].input);
    let (mut secs, mut next_report) = (0.2, 1.0);
    while secs < COURSE_SECS {
        secs += 0.05 + 1.5 * course.rng.next_f64();
        while next_report < secs {
            timeline.run_until(next_report);
            report(&mut timeline, next_report);
            next_report += 1.0;
        }
        timeline.run_until(secs);
        let input = course.draw_input(at(secs));
        pass_on(&mut timeline, &input);
        inputs.push(TimedInput { at: at(secs), input });
    }
    timeline.run_until(COURSE_SECS + 10.0);
    judge(config, &inputs, &timeline.issued)
}

/// Lets the model of the relay see the inputs and the commands in the order of their times.
fn judge(config: &ControllerConfig, inputs: &[TimedInput], issued: &[IssuedCommand]) -> Vec<String> {
    let mut model = RelayModel::new(config);
    let mut violations = Vec::new();
    let mut inputs = inputs.iter().peekable();
    for IssuedCommand { at: now, command } in issued {
        while let Some(TimedInput { at, input }) = inputs.next_if(|input| input.at <= *now) {
            violations.extend(model.violations(*at));
            model.apply_input(*at, input);
        }
        violations.extend(model.violations(*now));
        model.apply_command(command);
    }
    violations.extend(model.violations(at(COURSE_SECS + 10.0)));
    violations
}

/// A deployment with a class that must not leave its zone.
fn zone_local_config() -> ControllerConfig {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    config.proxy_count = PROXIES;
    config
}

fn assert_graces_are_kept(config: &ControllerConfig, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let violations = play(config, seed);
        assert!(
            violations.is_empty(),
            "seed {seed}: {} violations, first {}",
            violations.len(),
            violations[0]
        );
    }
}

/// Guards against any path that lets a proxy keep an endpoint for longer than its grace: retention,
/// ejections, joins with former tables, lists that tell of draining and dropping in any order.
#[test]
fn no_proxy_keeps_an_endpoint_beyond_its_grace_where_only_draining_binds() {
    let config = ControllerConfig { drain_grace_excludes_removed: true, ..zone_local_config() };
    assert_graces_are_kept(&config, 1..60);
    assert_graces_are_kept(&ControllerConfig { max_pushes: 0, ..config }, 101..140);
}

#[test]
fn no_proxy_keeps_an_endpoint_beyond_its_grace_where_removals_bind() {
    assert_graces_are_kept(&zone_local_config(), 201..260);
    assert_graces_are_kept(&ControllerConfig { max_pushes: 0, ..zone_local_config() }, 301..340);
}

/// A restoration reaches each proxy with a stale table that holds the endpoint, and is issued without regard
/// to the limit on messages. Here it takes a message that a drain needs right after it.
#[test]
fn a_restoration_leaves_the_messages_to_a_drain() {
    let config = ControllerConfig {
        drain_grace_excludes_removed: true,
        max_transit: Span::from_secs(0.1),
        message_overhead_lines: 10.0,
        ..zone_local_config()
    };
    assert_graces_are_kept(&config, 21_106..21_107);
}
