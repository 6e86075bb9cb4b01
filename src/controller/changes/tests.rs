use crate::config::ControllerConfig;
use crate::controller::test_support::Timeline;
use crate::host::EndpointUpdate;
use crate::test_support::{at, config, draining, ready, ready_since, running_controller, set_weight};
use crate::time::Span;

#[test]
fn only_weights_that_differ_are_sent() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    let heavier = EndpointUpdate { weight: 3.0, ..ready("b") };
    controller.endpoint_list_replaced(at(2.0), &[ready("a"), heavier]);
    assert_eq!(controller.host.commands, [set_weight(0, "b", 3.0)]);
}

#[test]
fn a_small_difference_is_not_worth_a_line_to_many_proxies() {
    let mut controller =
        running_controller(ControllerConfig { channel_rate: 100.0, ..config() }, &["a", "b"], 4);
    let lighter = EndpointUpdate { weight: 1.9, ..ready("b") };
    controller.endpoints_updated(at(9.0), &[lighter]);
    assert_eq!(controller.host.weight_count(), 0);
}

#[test]
fn a_restart_under_the_same_id_is_urgent() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.publication.collected_until = at(2.0);
    controller.endpoints_updated(at(1.1), &[ready_since("a", 1.0)]);
    assert!(controller.host.weight(0, "a").unwrap() < 0.3);
}

/// Guards against a weight that is reduced because of the fleet's condition, but counts as that of an
/// endpoint that has restarted: it is overdue soon and takes the last message that a proxy may be sent, so
/// that a drain would wait until the window of the limit has passed.
#[test]
fn a_weight_that_is_reduced_for_the_condition_of_the_fleet_leaves_the_messages_to_a_drain() {
    for (started, messages) in [(0.2, 7), (3.6, 9)] {
        let mut controller = running_controller(config(), &["a", "b"], 1);
        controller.endpoints_updated(at(started + 0.1), &[ready_since("c", started)]);
        let mut timeline = Timeline::new(controller, at(started + 0.1));
        for message in 0..messages {
            timeline.run_until(4.0 + 0.05 * f64::from(message));
            timeline.step(|controller, now| controller.channel.backlog.record(now, 0, 1.0, 3.0));
        }
        timeline.step(|controller, now| {
            controller.outcomes_reported(now, "a", 100.0, 95.0, Span::from_secs(0.1), Span::from_secs(1.0));
        });
        timeline.run_until(6.0);
        timeline.step(|controller, now| controller.endpoints_updated(now, &[draining("b")]));
        timeline.run_until(22.0);
        let removed = timeline.last_issued(|command| *command == set_weight(0, "b", 0.0));
        assert!(removed.is_some_and(|removed| removed <= at(7.7)), "start at {started}: {removed:?}");
    }
}
