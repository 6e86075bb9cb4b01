use crate::config::ControllerConfig;
use crate::host::{EndpointState, EndpointUpdate, Timer};
use crate::test_support::{at, config, eject, ready, ready_since, running_controller, set_weight};

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

#[test]
fn a_table_whose_endpoints_disappeared_and_do_not_answer_is_emptied() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert!(controller.host.commands.contains(&set_weight(0, "a", 0.0)));
}

#[test]
fn a_table_whose_endpoints_disappeared_but_still_answer_retains_its_weights() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.endpoints.get_mut("a").unwrap().last_answered = Some(at(1.5));
    controller.endpoint_list_replaced(at(2.0), &[]);
    assert_eq!((controller.host.weight_count(), controller.host.ejections().len()), (0, 0));
}

#[test]
fn retained_weights_are_removed_within_the_drain_grace() {
    let mut controller = running_controller(config(), &["a"], 1);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.last_answered = Some(at(1.5));
    endpoint.state = EndpointState::Removed;
    controller.tables.by_number.get_mut(&0).unwrap().retained_since = Some(at(2.0));
    controller.timer_fired(at(3.0), Timer::Recheck);
    assert!(controller.host.commands.contains(&eject("a")));
}
