use super::*;
use serde_json::json;
use slog::{o, Discard};

fn control_loop() -> ControlLoop {
    let config = json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7",
        "relay": {"address": "127.0.0.1:2"}, "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {"zones": ["north"], "classes": [{"name": "quote", "promiseUs": 1_000_000}]}});
    let config = Config::read(&config, |_| None).unwrap();
    let relay_address = watch::channel(config.relay).1;
    ControlLoop::start(Rc::new(config), relay_address, Logger::root(Discard, o!())).0
}

#[test]
fn pending_commands_of_a_controller_that_panicked_are_dropped() {
    let mut control_loop = control_loop();
    control_loop.delivery.enqueue([Command::assign_table(3, 0)].into());
    let now = control_loop.clock.now();
    control_loop.step(now, |_, _| panic!("index out of range"));
    assert_eq!(control_loop.controller.starts(), 2);
    assert!(!control_loop.delivery.can_deliver());
}
