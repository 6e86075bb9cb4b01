use crate::config::ControllerConfig;
use crate::controller::test_support::{CallOutcome, Timeline};
use crate::host::{EndpointUpdate, Timer};
use crate::test_support::{
    at, config, draining, eject, ready, running_controller, schedule_timer, set_weight, Command,
    TestController,
};
use crate::time::{Moment, Span};

#[test]
fn a_long_queue_requests_an_acknowledgement_that_shortens_it() {
    let mut controller = running_controller(config(), &["a"], 0);
    for proxy in 0..40 {
        controller.proxy_joined(at(1.0), proxy, 0, 10.0, true);
    }
    controller.timer_fired(at(1.2), Timer::Recheck);
    let queued = controller.channel.backlog.queued_lines(at(1.3));
    controller.commands_acknowledged(at(1.3), 1, 7);
    assert_eq!(controller.host.acknowledgement_numbers(), [1]);
    assert!(controller.channel.backlog.queued_lines(at(1.3)) < queued);
}

#[test]
fn if_all_acknowledgements_are_lost_one_proxy_is_assigned_again() {
    let config = ControllerConfig { max_transit: Span::from_secs(0.1), ..config() };
    let mut controller = running_controller(config, &["a", "b"], 2);
    controller.channel.backlog.record(at(2.0), 0, 400.0, 0.0);
    controller.issue_commands(at(2.5));
    assert_eq!(controller.host.assignment_count(), 0);
    controller.issue_commands(at(2.7));
    let acknowledgements = controller.host.acknowledgement_numbers().len();
    assert_eq!((controller.host.assignment_count(), acknowledgements), (1, 1));
}

#[test]
fn no_proxy_is_assigned_again_for_acknowledgements_beyond_the_message_limit() {
    let config = ControllerConfig { max_transit: Span::from_secs(0.1), ..config() };
    let mut controller = running_controller(config, &["a", "b"], 1);
    for message in 0..12 {
        controller.channel.backlog.record(at(1.0 + 0.01 * f64::from(message)), 0, 40.0, 0.0);
    }
    controller.issue_commands(at(2.7));
    assert_eq!(controller.host.assignment_count(), 0);
}

#[test]
fn lost_commands_are_resent_and_nothing_without_a_deadline_overtakes_them() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.commands_lost(at(2.0), false);
    controller.endpoints_updated(at(2.0), &[ready("c"), EndpointUpdate { weight: 5.0, ..ready("b") }]);
    controller.timer_fired(at(2.1), Timer::Resend);
    let resend_soon = schedule_timer(Timer::Resend, Span::from_us(50_000));
    assert_eq!(controller.host.commands, [resend_soon, Command::ResendCommands]);
}

/// Guards against a drain that waits until lost commands are accepted: its grace runs on meanwhile.
#[test]
fn a_removal_is_issued_while_lost_commands_wait_to_be_resent() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.commands_lost(at(2.0), false);
    controller.endpoints_updated(at(2.0), &[draining("a"), ready("c")]);
    assert_eq!(controller.host.commands[1..], [set_weight(0, "a", 0.0), eject("a")]);
}

#[test]
fn deferred_commands_are_sent_once_the_lost_ones_are_accepted() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.commands_lost(at(2.0), false);
    controller.endpoints_updated(at(2.0), &[ready("c")]);
    controller.commands_accepted(at(2.1));
    assert_eq!(controller.host.commands[1..], [set_weight(0, "c", 2.0)]);
}

#[test]
fn commands_that_may_have_arrived_are_queued_twice() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    let lines = controller.channel.backlog.queued_lines(at(0.2));
    controller.commands_lost(at(0.2), true);
    let queued = controller.channel.backlog.queued_lines(at(1.0));
    controller.timer_fired(at(1.0), Timer::Resend);
    assert!(controller.channel.backlog.queued_lines(at(1.0)) >= queued + lines);
}

#[test]
fn lost_commands_without_receivers_are_resent_without_extra_delay() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.commands_accepted(at(0.5));
    let recorded = controller.channel.backlog.recorded_lines;
    controller.issue_commands(at(1.0));
    controller.commands_lost(at(1.0), true);
    assert_eq!(controller.channel.backlog.recorded_lines, recorded);
    let resend_soon = schedule_timer(Timer::Resend, Span::from_us(50_000));
    assert_eq!(controller.host.commands.last(), Some(&resend_soon));
}

#[test]
fn resent_commands_are_acknowledged_and_clear_the_queue() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    for n in 0..50 {
        controller.commands_lost(at(1.0 + f64::from(n)), true);
        controller.timer_fired(at(1.9 + f64::from(n)), Timer::Resend);
    }
    controller.commands_acknowledged(at(51.0), 50, 0);
    assert_eq!(controller.host.acknowledgement_numbers().len(), 50);
    assert_eq!(controller.channel.backlog.queued_lines(at(51.0)), 0.0);
}

#[test]
fn a_rejected_weight_is_sent_again() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.weight_rejected(0, &"b".into());
    controller.timer_fired(at(2.0), Timer::Recheck);
    assert_eq!(controller.host.weight(0, "b"), Some(2.0));
}

/// Guards against copies of which each counts as a message, although none was carried out: the limit on
/// messages was used up by them, and the next drain waited until they were out of its window.
#[test]
fn a_drain_is_published_in_time_after_calls_were_reset() {
    for reset_secs in [1.5, 6.0] {
        let mut timeline = Timeline::new(running_controller(gateways(), &["a", "b", "c"], 12), at(0.2));
        timeline.run_until(20.0);
        timeline.calls = CallOutcome::NotExecuted;
        timeline.step(|controller, now| controller.endpoints_updated(now, &[draining("a")]));
        timeline.run_until(20.0 + reset_secs);
        timeline.calls = CallOutcome::Accepted;
        timeline.run_until(22.0 + reset_secs);
        timeline.step(|controller, now| controller.endpoints_updated(now, &[draining("b")]));
        timeline.run_until(40.0);
        let removed_at = timeline.last_issued(|command| *command == set_weight(0, "b", 0.0)).unwrap();
        assert!(removed_at - at(22.0 + reset_secs) <= Span::from_secs(1.225), "{reset_secs} s of resets");
    }
}

/// While the relay breaks calls, the time limits wait half a second after each of them.
#[test]
fn lost_commands_are_resent_before_the_time_limits_run_again() {
    let mut timeline = Timeline::new(running_controller(gateways(), &["a", "b", "c"], 12), at(0.2));
    timeline.run_until(20.0);
    timeline.calls = CallOutcome::NotExecuted;
    timeline.step(|controller, now| controller.endpoints_updated(now, &[draining("a")]));
    timeline.run_until(26.0);
    let times: Vec<Moment> = timeline.failed_calls.clone();
    assert!(times.len() >= 12, "{} calls", times.len());
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] < Span::from_secs(0.5)), "{times:?}");
}

/// A deployment with a limit of 12 messages to a proxy within 10 s and a short drain grace.
fn gateways() -> ControllerConfig {
    ControllerConfig {
        channel_rate: 1800.0,
        max_queued_lines: 1800.0,
        max_transit: Span::from_secs(0.275),
        drain_grace: Span::from_secs(1.5),
        ..config()
    }
}

/// What was certainly not carried out counts once, when it is sent again.
#[test]
fn commands_that_certainly_did_not_arrive_count_as_one_message_when_they_are_resent() {
    let mut controller = running_controller(gateways(), &["a", "b"], 1);
    controller.commands_accepted(at(0.5));
    controller.endpoints_updated(at(2.0), &[draining("a")]);
    controller.commands_lost(at(2.0), false);
    controller.timer_fired(at(3.0), Timer::Resend);
    controller.commands_lost(at(3.0), false);
    controller.timer_fired(at(4.0), Timer::Resend);
    let sent = controller.channel.backlog.recent_messages(at(9.0), 0, Span::from_secs(8.0));
    assert_eq!(sent, [at(4.0)]);
}

/// A copy that was carried out counts, and one that nobody acknowledged counts until the next is sent.
#[test]
fn copies_count_as_messages_if_they_were_acknowledged() {
    let mut controller = running_controller(gateways(), &["a", "b"], 1);
    controller.commands_accepted(at(0.5));
    controller.endpoints_updated(at(2.0), &[draining("a")]);
    let messages = |controller: &mut TestController| {
        controller.channel.backlog.recent_messages(at(9.0), 0, Span::from_secs(9.0)).len()
    };
    let before = messages(&mut controller);
    for (copy, is_acknowledged, counted) in
        [(1, true, 1), (2, false, 2), (3, false, 2), (4, true, 2), (5, false, 3)]
    {
        let lost_at = at(2.0 + f64::from(copy));
        let resent_at = lost_at + Span::from_secs(0.5);
        controller.commands_lost(lost_at, true);
        controller.timer_fired(resent_at, Timer::Resend);
        if is_acknowledged {
            let number = *controller.host.acknowledgement_numbers().last().unwrap();
            controller.commands_acknowledged(resent_at + Span::from_secs(0.2), number, 0);
        }
        assert_eq!(messages(&mut controller), before + counted, "copy {copy}");
    }
}
