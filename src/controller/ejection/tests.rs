use crate::channel_backlog::ChannelBacklog;
use crate::controller::test_support::{running_large_fleet, Timeline};
use crate::host::{EndpointState, Timer};
use crate::test_support::{at, config, draining, eject, ready, restore, running_controller};
use crate::time::Moment;
use std::collections::BTreeSet;

#[test]
fn a_joined_proxy_that_stays_unassigned_gets_all_ejections() {
    let mut controller = running_controller(config(), &["a"], 0);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.listed.state = EndpointState::Removed;
    endpoint.ejected = true;
    controller.proxy_joined(at(1.0), 4, 0, 10.0, false);
    controller.issue_commands(at(1.05));
    assert_eq!(controller.host.count(|command| *command == eject("a")), 1);
}

#[test]
fn the_collection_time_of_ejections_includes_waiting_for_lost_commands() {
    let mut controller = running_large_fleet(3.0, 20);
    controller.channel.backlog = ChannelBacklog::default();
    controller.commands_lost(at(2.0), false);
    for proxy in controller.proxies.joined.values_mut() {
        proxy.assignments[0].is_assigned = false;
        proxy.assignments[0].receives_updates = false;
    }
    controller.endpoints_updated(at(2.1), &[draining("12")]);
    controller.commands_accepted(at(4.0));
    assert_eq!(controller.host.count(|command| *command == eject("12")), 1);
}

#[test]
fn a_restored_endpoint_is_ejected_again_when_it_is_no_longer_ready() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    for (now, update) in [(2.0, draining("a")), (4.0, ready("a")), (6.0, draining("a"))] {
        controller.endpoints_updated(at(now), &[update]);
        controller.timer_fired(at(now + 1.0), Timer::Evaluation);
    }
    assert_eq!(controller.host.ejections(), [eject("a"), restore("a"), eject("a")]);
}

/// Guards against an ejection for each proxy that joins: at those that joined before, each is one of the
/// messages that they may be sent. The drain grace counts from the join of the later proxy, so ejections can
/// be collected.
#[test]
fn ejections_for_proxies_that_join_one_after_the_other_are_collected() {
    let mut controller = running_large_fleet(3.0, 12);
    // Without a ready endpoint, the proxies can't be assigned a table.
    controller.endpoints_updated(at(1.0), &[draining("10"), draining("11")]);
    for proxy in 0..30 {
        controller.proxy_left(at(30.0), proxy);
    }
    let mut timeline = Timeline::new(controller, at(30.0));
    // A busy channel, so that ejections are collected.
    timeline.step(|controller, now| controller.channel.backlog.record(now, 99, 300.0, 0.0));
    for proxy in 0..20 {
        timeline.run_until(30.0 + 0.05 * f64::from(proxy));
        timeline.step(|controller, now| controller.proxy_joined(now, proxy, 0, 10.0, false));
    }
    let ejections: BTreeSet<Moment> = timeline
        .issued
        .iter()
        .filter(|issued| issued.command == eject("11"))
        .map(|issued| issued.at)
        .collect();
    assert!((1..=4).contains(&ejections.len()), "{} ejections within 1 s", ejections.len());
}
