use super::*;
use otterwinch::host::{EndpointState, EndpointUpdate, Timer};
use slog::{o, Discard};

fn planner() -> ControlLoop {
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "relay": {"address": "127.0.0.1:2"},
        "known": {"seq": 4, "whole": true, "hosts": [{"host": "a", "site": "north", "health": "active"}]},
        "settings": {"zones": ["north"], "classes": [{"name": "quote", "promiseUs": 1_000_000}]}});
    let config = Config::read(&config, |_| None).unwrap();
    let commands = CommandDelivery::to(watch::channel(config.relay).1);
    ControlLoop::open(Rc::new(config), commands, Logger::root(Discard, o!())).0
}

#[test]
fn rules_that_break_are_opened_anew_and_bind_who_stands() {
    let mut planner = planner();
    let now = planner.clock.now();
    planner.controller.host().joined(3, 0, 5.0);
    planner.guarded(now, Box::new(|_, _| panic!("index out of range")));
    let later = now + Span::secs(1.0);
    planner.controller.timer_fired(later, Timer::Recheck);
    let commands = &planner.controller.host().commands;
    assert_eq!(commands.iter().filter(|o| o.text.contains(r#""node":3"#)).count(), 1);
}

#[test]
fn a_server_that_broken_rules_had_barred_is_let_back_in() {
    let mut planner = planner();
    let now = planner.clock.now();
    let gone = EndpointUpdate { id: "a".into(), ..EndpointUpdate::default() };
    planner.controller.host().learn(std::slice::from_ref(&gone), false);
    planner.controller.endpoints_updated(now, std::slice::from_ref(&gone));
    planner.open_anew(now);
    let back = EndpointUpdate { weight: 1.0, state: EndpointState::Ready, ..gone };
    planner.controller.proxy_joined(now, 3, 0, 5.0, true);
    planner.controller.endpoints_updated(now + Span::secs(1.0), &[back]);
    let commands = &planner.controller.host().commands;
    assert!(commands.iter().any(|o| o.text.contains("uneject")));
}

#[test]
fn a_server_that_left_as_the_rules_broke_is_barred() {
    let mut planner = planner();
    let now = planner.clock.now();
    planner.controller.proxy_joined(now, 3, 0, 5.0, true);
    planner.controller.timer_fired(now + Span::secs(1.0), Timer::Recheck);
    planner.controller.host().learn(&[], true);
    planner.open_anew(now + Span::secs(1.0));
    let commands = &planner.controller.host().commands;
    assert_eq!(commands.iter().filter(|o| o.text.contains(r#""eject""#)).count(), 1);
}

#[test]
fn wake_ups_come_in_the_order_of_their_time() {
    use otterwinch::host::Host;
    let mut planner = planner();
    let desk = planner.controller.host();
    desk.cleared();
    desk.schedule_timer(Span::secs(2.0), Timer::Heartbeat);
    desk.schedule_timer(Span::secs(1.0), Timer::Resend);
    let late = desk.now + Span::secs(3.0);
    assert_eq!(
        [desk.due(late), desk.due(late), desk.due(late)],
        [Some(Timer::Resend), Some(Timer::Heartbeat), None]
    );
}
