use super::{ChannelLimits, MAX_QUEUE_FRACTION, MIN_ORDINARY_QUEUE_FRACTION};
use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;
use crate::controller::urgency::Urgency;
use crate::host::Timer;
use crate::test_support::{
    at, config, draining, eject, ready_since, running_controller, set_weight, TestController,
};
use crate::time::{Moment, Span};

/// The number of lines that may be sent to proxy 0.
fn available_lines(controller: &mut TestController, now: Moment, urgency: Urgency) -> f64 {
    let limits = ChannelLimits::new(&controller.config, &controller.endpoints);
    controller.channel.available_lines(now, urgency, &[0], &limits)
}

#[test]
fn ordinary_changes_leave_messages_for_urgent_ones() {
    let mut controller = running_controller(config(), &["a"], 1);
    for secs in 1..=6 {
        controller.channel.backlog.record(at(f64::from(secs)), 0, 1.0, 0.0);
    }
    assert_eq!(available_lines(&mut controller, at(7.0), Urgency::Ordinary), 0.0);
    assert!(available_lines(&mut controller, at(8.5), Urgency::within_grace(at(8.5), &config())) > 0.0);
}

#[test]
fn urgent_changes_never_exceed_the_message_limit() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    for message in 0..12 {
        controller.channel.backlog.record(at(1.0 + 0.1 * f64::from(message)), 0, 1.0, 0.0);
    }
    controller.endpoints_updated(at(4.0), &[draining("a")]);
    assert_eq!((controller.host.weight_count(), controller.host.timer_count(Timer::Recheck)), (0, 1));
}

/// Guards against a pause after every message, however far the limit is: a removal waited for 1.1 s after an
/// ordinary message. With a short grace and a list that is read late, that was too long.
#[test]
fn a_removal_does_not_wait_after_an_ordinary_message_while_the_message_limit_is_far() {
    let (drain_grace, max_transit) = (Span::from_secs(1.5), Span::from_secs(0.275));
    let mut controller =
        running_controller(ControllerConfig { drain_grace, max_transit, ..config() }, &["a", "b"], 1);
    for secs in 1..=5 {
        controller.channel.backlog.record(at(f64::from(secs)), 0, 1.0, 0.0);
    }
    controller.endpoints_updated(at(5.01), &[draining("a")]);
    assert_eq!(controller.host.commands, [set_weight(0, "a", 0.0), eject("a")]);
}

#[test]
fn a_long_queue_holds_ordinary_changes_back() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.channel.backlog = ChannelBacklog::default();
    controller.channel.backlog.record(at(2.0), 0, 895.0, 0.0);
    assert!(available_lines(&mut controller, at(2.0), Urgency::Ordinary) < 1.0);
    assert!(available_lines(&mut controller, at(2.0), Urgency::within_grace(at(2.0), &config())) > 4.0);
}

#[test]
fn assignments_wait_for_space_in_the_queue() {
    let mut controller = running_controller(ControllerConfig { proxy_count: 400, ..config() }, &["a"], 0);
    for proxy in 0..400 {
        controller.proxy_joined(at(1.0), proxy, 0, 10.0, true);
    }
    controller.timer_fired(at(1.2), Timer::Recheck);
    let assigned = controller.host.assignment_count();
    let max_lines = 1000.0 * MAX_QUEUE_FRACTION * MIN_ORDINARY_QUEUE_FRACTION;
    assert!(assigned as f64 * 7.0 <= max_lines && (assigned + 1) as f64 * 7.0 > max_lines);
}

/// With a zone-local class each proxy has two tables, and an endpoint of its zone is removed from both.
#[test]
fn tables_are_smaller_where_a_removal_takes_a_line_in_each_of_two() {
    let one_table = ControllerConfig { proxy_count: 30, initial_table_size: 1, ..config() };
    let mut two_tables = one_table.clone();
    two_tables.request_classes[1].zone_local = true;
    let [one, two] = [one_table, two_tables].map(|config| {
        let controller = running_controller(config, &["a"], 0);
        ChannelLimits::new(&controller.config, &controller.endpoints).max_table_size
    });
    assert_eq!(two, one / 2);
}

#[test]
fn a_configuration_without_limits_defers_nothing() {
    let unlimited = ControllerConfig {
        max_queued_lines: 0.0,
        channel_rate: 0.0,
        slow_start_window: Span::ZERO,
        max_pushes: 0,
        ..config()
    };
    let mut controller = running_controller(unlimited, &["a"], 2);
    controller.endpoints_updated(at(2.0), &[ready_since("b", 2.0)]);
    assert_eq!(controller.host.weight(0, "b"), Some(2.0));
}
