use super::TableChanges;
use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;
use crate::controller::channel::ChannelLimits;
use crate::controller::routing::RouteTable;
use crate::controller::test_support::{running_large_fleet, Timeline};
use crate::host::{EndpointState, EndpointUpdate, RetryPolicy, Timer};
use crate::test_support::{
    at, config, draining, eject, ready, ready_since, restore, running_controller, set_weight, Command,
};
use crate::time::Span;

#[test]
fn ordinary_changes_are_collected() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.publication.collected_until = at(2.0);
    controller.endpoints_updated(at(1.5), &[ready("b")]);
    assert_eq!(controller.host.weight_count(), 0);
}

#[test]
fn a_draining_endpoint_is_removed_at_once_while_ordinary_changes_are_collected() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.publication.collected_until = at(2.0);
    controller.endpoints_updated(at(1.1), &[draining("a")]);
    assert_eq!(controller.host.commands, [set_weight(0, "a", 0.0), eject("a")]);
}

#[test]
fn a_removal_from_both_tables_of_a_proxy_is_recorded_as_one_message() {
    let mut config = ControllerConfig { message_overhead_lines: 3.0, ..config() };
    config.request_classes[1].zone_local = true;
    let mut controller = running_controller(config, &["a", "b"], 1);
    let recorded = controller.channel.backlog.recorded_lines;
    controller.endpoints_updated(at(1.1), &[draining("a")]);
    assert_eq!((controller.host.weight_count(), controller.host.ejections()), (2, vec![eject("a")]));
    assert_eq!(controller.channel.backlog.recorded_lines - recorded, 3.0 + 2.0);
}

/// The grace of a draining endpoint runs on while lost commands are resent.
#[test]
fn a_removal_that_waited_for_lost_commands_is_not_held_back_for_the_message_limit() {
    for (accepted_at, removals) in [(4.0, 1), (2.3, 0)] {
        let mut controller = running_controller(config(), &["a", "b"], 1);
        controller.commands_lost(at(2.0), false);
        for message in 0..6 {
            controller.channel.backlog.record(at(1.9 + 0.01 * f64::from(message)), 0, 1.0, 0.0);
        }
        controller.endpoints_updated(at(2.0), &[draining("a")]);
        controller.commands_accepted(at(accepted_at));
        assert_eq!(controller.host.weight_count(), removals, "accepted at {accepted_at} s");
    }
}

#[test]
fn a_returning_endpoint_is_restored_with_its_weight() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    let returning = controller.endpoints.get_mut("a").unwrap();
    returning.listed.state = EndpointState::Removed;
    returning.ejected = true;
    controller.tables.by_number.get_mut(&0).unwrap().weights.remove("a");
    controller.endpoints_updated(at(40.0), &[ready_since("a", 10.0)]);
    assert_eq!(controller.host.commands, [restore("a"), set_weight(0, "a", 2.0)]);
}

#[test]
fn the_endpoint_that_stopped_being_ready_first_is_removed_first() {
    let mut controller = running_large_fleet(3.0, 60);
    for (k, (_, endpoint)) in controller.endpoints.iter_mut().enumerate() {
        endpoint.listed.state = EndpointState::Draining;
        endpoint.listed.last_ready = at(9.0 - k as f64 / 100.0);
    }
    controller.issue_commands(at(60.0));
    assert_eq!(controller.host.weight(0, "59"), Some(0.0));
    assert!(controller.host.weight(0, "10").is_none());
}

#[test]
fn urgent_changes_are_batched_while_the_queue_is_long() {
    let config = ControllerConfig { max_transit: Span::from_secs(0.1), ..config() };
    let mut controller = running_controller(config, &["a", "b", "c"], 1);
    controller.channel.backlog = ChannelBacklog::default();
    controller.channel.backlog.record(at(2.0), 0, 400.0, 0.0);
    controller.endpoints_updated(at(2.0), &[draining("a")]);
    controller.endpoints_updated(at(2.5), &[draining("b")]);
    assert_eq!(controller.host.weight_count(), 0);
    controller.channel.backlog = ChannelBacklog::default();
    controller.issue_commands(at(2.6));
    assert_eq!((controller.host.weight(0, "a"), controller.host.weight(0, "b")), (Some(0.0), Some(0.0)));
}

#[test]
fn urgent_changes_that_exceed_the_queue_are_sent_in_batches() {
    let mut controller = running_large_fleet(10.0, 90);
    for (_, endpoint) in controller.endpoints.iter_mut().skip(1) {
        endpoint.listed.state = EndpointState::Draining;
    }
    controller.issue_commands(at(90.0));
    assert!((8..79).contains(&controller.host.weight_count()));
}

#[test]
fn nothing_else_is_sent_while_urgent_changes_are_deferred() {
    let mut controller = running_large_fleet(3.0, 70);
    for (_, endpoint) in controller.endpoints.iter_mut() {
        endpoint.listed.state = EndpointState::Draining;
    }
    controller.admission.levels[0] = 0.5;
    controller.proxy_joined(at(59.0), 99, 0, 10.0, true);
    controller.issue_commands(at(60.0));
    assert!(controller.host.weight_count() < 60);
    assert_eq!(controller.host.admission_count() + controller.host.assignment_count(), 0);
}

#[test]
fn admission_commands_never_allow_retries() {
    let mut controller = running_controller(config(), &["a"], 0);
    let all_classes = controller.config.request_class_groups()[0];
    controller.tables.by_number.insert(0, RouteTable::new(None, all_classes));
    let limits = ChannelLimits::new(&controller.config, &controller.endpoints);
    let no_changes = TableChanges { table: 0, receivers: Vec::new(), changes: Vec::new() };
    controller.send_changes(at(1.0), &limits, no_changes, true);
    for command in &controller.host.commands {
        if let Command::SetAdmission { retry, .. } = command {
            assert_eq!(*retry, RetryPolicy::Never);
        }
    }
    assert_eq!(controller.host.admission_count(), 2);
}

/// Guards against a proxy that has used up its messages and holds up the drains of tables that it does not
/// use.
#[test]
fn a_proxy_that_may_not_be_sent_a_message_holds_up_its_own_tables_only() {
    let mut config = config();
    for class in &mut config.request_classes {
        class.zone_local = true;
    }
    let mut controller = running_controller(config, &["a", "b"], 1);
    let remote = ["c", "d"].map(|id| EndpointUpdate { zone: 1, ..ready(id) });
    controller.endpoints_updated(at(0.3), &remote);
    controller.proxy_joined(at(0.3), 1, 1, 10.0, true);
    controller.timer_fired(at(0.5), Timer::Recheck);
    let zone_1_table = controller.host.tables_of(1)[0];
    for message in 0..12 {
        controller.channel.backlog.record(at(0.6 + 0.01 * f64::from(message)), 0, 1.0, 3.0);
    }
    let mut timeline = Timeline::new(controller, at(1.0));
    timeline.step(|controller, now| {
        controller.endpoints_updated(now, &[draining("a"), EndpointUpdate { zone: 1, ..draining("c") }]);
    });
    timeline.run_until(2.7);
    let removal_of_c = timeline.last_issued(|command| *command == set_weight(zone_1_table, "c", 0.0));
    assert!(removal_of_c.is_some(), "not within the 1.7 s that the grace allows");
}
