use super::{slow_start_factor, RAMP_EXPONENT};
use crate::config::ControllerConfig;
use crate::test_support::{at, config, ready_since, running_controller};

#[test]
fn a_new_endpoint_starts_at_a_tenth_of_its_weight() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    controller.endpoints_updated(at(2.0), &[ready_since("e", 2.0)]);
    assert!(controller.host.weight(0, "e").unwrap() <= 0.2 + 1e-9);
}

#[test]
fn the_ramp_begins_when_the_endpoint_starts_and_not_when_it_is_listed() {
    let factor = slow_start_factor(config().slow_start_window, Some(at(-8.0)), at(0.0));
    assert!((factor - (0.1 + 0.9 * 0.5f64.powf(RAMP_EXPONENT))).abs() < 1e-9);
}

#[test]
fn a_fleet_that_rejects_attempts_reduces_the_weights_of_its_cold_endpoints() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d", "e"], 1);
    controller.fleet_load.attempts = 100.0;
    controller.fleet_load.answered = 50.0;
    controller.endpoints_updated(at(2.0), &[ready_since("f", 2.0)]);
    assert!(controller.host.weight(0, "f").unwrap() <= 0.1 + 1e-9);
}

#[test]
fn no_cold_endpoint_joins_a_degraded_fleet_whose_proxies_eject() {
    let config = ControllerConfig { proxy_ejection_threshold: 3, ..config() };
    let mut controller = running_controller(config, &["a", "b"], 1);
    controller.fleet_load.is_degraded = true;
    controller.endpoints_updated(at(2.0), &[ready_since("c", 2.0)]);
    assert_eq!(controller.host.weight_count(), 0);
}

#[test]
fn cold_endpoints_join_a_degraded_fleet_without_warm_ones() {
    let config = ControllerConfig { proxy_ejection_threshold: 3, ..config() };
    let mut controller = running_controller(config, &[], 1);
    controller.fleet_load.is_degraded = true;
    controller.endpoints_updated(at(2.0), &[ready_since("c", 2.0)]);
    assert!(controller.host.weight(0, "c").is_some());
}
