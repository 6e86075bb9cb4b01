use crate::config::ControllerConfig;
use crate::host::Timer;
use crate::test_support::{at, config, eject, ready, running_controller, schedule_timer};
use crate::time::Span;

#[test]
fn an_endpoint_missing_from_a_complete_list_is_removed() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.endpoint_list_replaced(at(2.0), &[ready("b")]);
    assert!(controller.host.commands.contains(&eject("a")));
}

#[test]
fn a_failed_watch_is_retried() {
    let mut controller =
        running_controller(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    controller.endpoint_watch_failed(at(3.0));
    assert_eq!(controller.host.timer_count(Timer::WatchRetry), 1);
}

#[test]
fn the_first_watch_failure_is_retried_at_once_and_repeated_failures_with_a_delay() {
    let mut controller =
        running_controller(ControllerConfig { polls_endpoint_list: true, ..config() }, &["a"], 1);
    for (now, at_once) in [(3.0, true), (3.1, false), (4.2, false), (6.0, true)] {
        controller.host.commands.clear();
        controller.endpoint_watch_failed(at(now));
        let commands = &controller.host.commands;
        let retries_at_once = *commands == [schedule_timer(Timer::WatchRetry, Span::ZERO)];
        assert_eq!(retries_at_once, at_once, "at {now}: {commands:?}");
    }
}
