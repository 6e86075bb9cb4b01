use super::*;
use crate::command::Command;
use crate::observed_fleet::JoinedProxy;
use otterwinch::host::{EndpointState, EndpointUpdate, Timer};
use otterwinch::time::Span;
use serde_json::{json, Value};
use slog::{o, Discard};

/// A controller whose configuration lists the endpoint `a`.
fn controller() -> (RestartableController, Moment) {
    controller_with(json!({}))
}

/// The same with these guarantees.
fn controller_with(guarantees: Value) -> (RestartableController, Moment) {
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "relay": {"address": "127.0.0.1:2"},
        "known": {"seq": 4, "whole": true, "hosts": [{"host": "a", "site": "north", "health": "active"}]},
        "settings": {"zones": ["north"], "classes": [{"name": "quote", "promiseUs": 1_000_000}],
            "guarantees": guarantees}});
    let config = Config::read(&config, |_| None).unwrap();
    let now = Moment::from_us(1_000_000);
    (RestartableController::start(Rc::new(config), Logger::root(Discard, o!()), now), now)
}

fn step(
    controller: &mut RestartableController,
    now: Moment,
    step: impl FnOnce(&mut Controller<RelayHost>, Moment),
) {
    controller.step(now, step).expect("no panic");
}

/// The number of commands issued since the last call that contain `text`.
fn count_commands(controller: &mut RestartableController, text: &str) -> usize {
    let commands = controller.host_mut().take_commands();
    commands.iter().filter(|command: &&Command| command.json.contains(text)).count()
}

#[test]
fn a_controller_that_panics_is_restarted_and_assigns_the_joined_proxies() {
    let (mut controller, now) = controller();
    controller.host_mut().proxy_joined(3, JoinedProxy { zone: 0, rate: 5.0 });
    assert!(controller.step(now, |_, _| panic!("index out of range")).is_err());
    let later = now + Span::from_secs(1.0);
    step(&mut controller, later, |controller, now| controller.timer_fired(now, Timer::Recheck));
    assert_eq!(count_commands(&mut controller, r#""node":3"#), 1);
}

#[test]
fn an_endpoint_that_the_old_controller_ejected_is_restored() {
    let (mut controller, now) = controller();
    let removed = EndpointUpdate { id: "a".into(), ..EndpointUpdate::default() };
    controller.host_mut().update_endpoints(std::slice::from_ref(&removed));
    step(&mut controller, now, |controller, now| {
        controller.endpoints_updated(now, std::slice::from_ref(&removed));
    });
    controller.restart(now);
    let listed_again = EndpointUpdate { weight: 1.0, state: EndpointState::Ready, ..removed };
    step(&mut controller, now, |controller, now| controller.proxy_joined(now, 3, 0, 5.0, true));
    step(&mut controller, now + Span::from_secs(1.0), |controller, now| {
        controller.endpoints_updated(now, &[listed_again]);
    });
    assert!(count_commands(&mut controller, "uneject") > 0);
}

#[test]
fn an_endpoint_that_was_removed_as_the_old_controller_ended_is_ejected() {
    let (mut controller, now) = controller();
    step(&mut controller, now, |controller, now| controller.proxy_joined(now, 3, 0, 5.0, true));
    let later = now + Span::from_secs(1.0);
    step(&mut controller, later, |controller, now| controller.timer_fired(now, Timer::Recheck));
    controller.host_mut().replace_endpoint_list(&[]);
    controller.restart(later);
    assert_eq!(count_commands(&mut controller, r#""eject""#), 1);
}

/// Guards against a restart that begins the drain grace anew, or forgets that it applies to an endpoint that
/// was dropped after it was listed as draining.
#[test]
fn the_drain_grace_of_an_endpoint_runs_on_through_a_restart() {
    let (mut controller, now) =
        controller_with(json!({"drainGraceUs": 1_500_000, "removalNotBinding": true}));
    step(&mut controller, now, |controller, now| controller.proxy_joined(now, 3, 0, 5.0, true));
    let draining =
        EndpointUpdate { id: "a".into(), state: EndpointState::Draining, ..EndpointUpdate::default() };
    let restarted_at = now + Span::from_secs(0.4);
    for (tell, at) in [(vec![draining], now), (vec![], now + Span::from_secs(0.2))] {
        controller.host_mut().set_now(at);
        controller.host_mut().replace_endpoint_list(&tell);
    }
    controller.host_mut().set_now(restarted_at);
    controller.restart(restarted_at);
    let commands = controller.host_mut().take_commands();
    let ejection = commands.iter().find(|command| command.json.contains("eject")).expect("it is ejected");
    assert_eq!(ejection.deadline, Some(now + Span::from_secs(1.5)));
}
