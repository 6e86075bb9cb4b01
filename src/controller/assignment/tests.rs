use crate::controller::channel::ChannelLimits;
use crate::host::{EndpointState, EndpointUpdate, Timer};
use crate::test_support::{assign_table, at, config, ready, removed, running_controller, Command};

#[test]
fn an_assignment_waits_for_a_usable_endpoint() {
    let mut controller = running_controller(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 0, 10.0, false);
    controller.timer_fired(at(9.0), Timer::AssignmentRetry);
    assert_eq!(controller.host.assignment_count(), 0);
}

#[test]
fn a_first_assignment_is_made_after_the_timeout() {
    let mut controller = running_controller(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 9, 10.0, true);
    controller.timer_fired(at(6.5), Timer::AssignmentRetry);
    assert_eq!(controller.host.tables_of(4).len(), 1);
}

#[test]
fn waiting_assignments_are_retried_at_jittered_intervals() {
    let mut controller = running_controller(config(), &[], 0);
    controller.proxy_joined(at(1.0), 4, 0, 10.0, true);
    let limits = ChannelLimits::new(&controller.config, &controller.endpoints);
    controller.assign_waiting(at(1.2), &limits);
    assert_eq!(controller.host.timer_count(Timer::AssignmentRetry), 1);
}

#[test]
fn proxies_with_an_initial_table_are_assigned_before_those_of_an_earlier_stream() {
    let mut controller = running_controller(config(), &["a"], 0);
    controller.proxy_joined(at(1.0), 4, 0, 90.0, false);
    controller.proxy_joined(at(1.0), 5, 0, 10.0, true);
    controller.issue_commands(at(1.2));
    let assigned = |proxy: u32| {
        let is_assignment =
            |command: &Command| matches!(command, Command::AssignTable { proxy: p, .. } if *p == proxy);
        controller.host.commands.iter().position(is_assignment)
    };
    assert!(assigned(5).unwrap() < assigned(4).unwrap());
}

#[test]
fn assignments_take_priority_over_changes_once_many_endpoints_are_unready() {
    let mut controller = running_controller(config(), &["a", "b", "c"], 1);
    controller.endpoints.get_mut("a").unwrap().listed.state = EndpointState::Removed;
    controller.tables.by_number.get_mut(&0).unwrap().weights.remove("a");
    controller.endpoints.get_mut("c").unwrap().weight = 4.0;
    controller.proxy_joined(at(2.0), 4, 0, 90.0, true);
    controller.issue_commands(at(2.2));
    assert_eq!((controller.host.tables_of(4).len(), controller.host.weight(0, "c")), (1, None));
}

/// Guards against changes that wait for an assignment which can't be made: that of a proxy to the table of a
/// zone-local class, in a zone that has lost its endpoints.
#[test]
fn a_zone_without_endpoints_does_not_hold_back_ordinary_changes() {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    let mut controller = running_controller(config, &["a", "b", "c"], 1);
    controller.endpoints_updated(at(1.0), &[removed("c")]);
    controller.proxy_joined(at(2.0), 4, 9, 10.0, false);
    controller.issue_commands(at(2.2));
    assert_eq!(controller.host.tables_of(4).len(), 1, "assigned for the other class only");
    controller.host.commands.clear();
    controller.endpoints_updated(at(4.0), &[EndpointUpdate { weight: 3.0, ..ready("b") }]);
    assert_eq!(controller.host.weight(0, "b"), Some(3.0));
}

#[test]
fn a_proxy_that_joins_again_is_assigned_again() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.proxy_joined(at(2.0), 0, 0, 10.0, false);
    controller.timer_fired(at(2.2), Timer::Recheck);
    assert_eq!(controller.host.count(|command| *command == assign_table(0, 0)), 1);
}

#[test]
fn a_rejected_assignment_is_made_again() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.assignment_rejected(at(2.0), 0);
    controller.timer_fired(at(2.2), Timer::Recheck);
    assert_eq!(controller.host.count(|command| *command == assign_table(0, 0)), 1);
}

/// Guards against assignments that are made whatever was sent before: a proxy that is announced again, as the
/// event stream is reopened, got a message more than the limit permits.
#[test]
fn a_proxy_that_joins_again_is_sent_no_more_messages_than_permitted() {
    let mut controller = running_controller(config(), &["a"], 1);
    for message in 0..12 {
        controller.channel.backlog.record(at(1.0 + 0.1 * f64::from(message)), 0, 1.0, 0.0);
    }
    controller.proxy_joined(at(3.0), 0, 0, 10.0, false);
    controller.timer_fired(at(3.2), Timer::Recheck);
    assert_eq!(controller.host.assignment_count(), 0);
    controller.timer_fired(at(12.2), Timer::Recheck);
    assert_eq!(controller.host.assignment_count(), 1);
}
