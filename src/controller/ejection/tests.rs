use crate::channel_backlog::ChannelBacklog;
use crate::controller::test_support::running_large_fleet;
use crate::host::{EndpointState, Timer};
use crate::test_support::{at, config, draining, eject, ready, restore, running_controller};

#[test]
fn a_joined_proxy_that_stays_unassigned_gets_all_ejections() {
    let mut controller = running_controller(config(), &["a"], 0);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.state = EndpointState::Removed;
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
