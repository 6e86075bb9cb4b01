use crate::config::ControllerConfig;
use crate::host::EndpointUpdate;
use crate::test_support::{at, config, ready, ready_since, running_controller, set_weight};

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
