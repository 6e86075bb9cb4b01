use super::MIN_LEVEL;
use crate::controller::fleet_load::FleetLoad;
use crate::test_support::{at, config, running_controller, TestController};
use crate::time::Span;

#[test]
fn an_overloaded_fleet_limits_the_class_of_lower_priority_first() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.fleet_load = FleetLoad {
        demand: vec![100.0, 50.0],
        attempts: 150.0,
        answered: 60.0,
        answered_in_window: 60.0,
        window: Span::from_secs(1.0),
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert!(controller.admission.levels[0] <= MIN_LEVEL && controller.admission.levels[1] == 1.0);
}

/// A controller shortly after its start, evaluated with the given attempts of the proxies that joined first.
/// All attempts were answered; only the median outlier score indicates overload.
fn just_started(attempts: f64, mean_joined_request_rate: f64) -> TestController {
    let mut controller = running_controller(config(), &["a", "b"], 4);
    let window = Span::from_secs(2.0);
    controller.fleet_load = FleetLoad {
        demand: vec![10.0, 10.0],
        window,
        attempts,
        answered: attempts,
        answered_in_window: attempts,
        median_score: 0.3,
        joined_request_rate_sum: mean_joined_request_rate * window.as_secs(),
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    controller
}

#[test]
fn overload_is_not_concluded_from_a_few_attempts() {
    assert_eq!(just_started(3.0, 40.0).admission.budget, None);
    assert!(just_started(6.0, 40.0).admission.budget.is_some());
}

#[test]
fn the_budget_is_not_measured_while_proxies_are_joining() {
    // The joined proxies now have a usual load of 40 requests per second, four times the mean.
    let mut controller = just_started(20.0, 10.0);
    assert_eq!(controller.admission.budget, None);
    // The joined request rate stays the same. The budget is measured once reports from all proxies can have
    // arrived.
    controller.fleet_load.joined_request_rate_sum = 80.0;
    controller.shed_load(at(11.9));
    assert_eq!(controller.admission.budget, None);
    controller.fleet_load.joined_request_rate_sum = 80.0;
    controller.shed_load(at(12.0));
    assert!(controller.admission.budget.is_some());
}

#[test]
fn the_budget_grows_once_the_fleet_is_no_longer_degraded() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.admission.budget = Some(100.0);
    controller.fleet_load = FleetLoad {
        demand: vec![100.0, 50.0],
        window: Span::from_secs(1.0),
        attempts: 90.0,
        answered: 90.0,
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert!(controller.admission.budget.unwrap() > 100.0);
}

#[test]
fn the_budget_grows_with_the_proxies_that_come_back() {
    let mut controller = running_controller(config(), &["a"], 1);
    // One proxy is joined and 20 requests per second were answered: the budget is 18, nine tenths of that.
    controller.fleet_load = FleetLoad {
        demand: vec![0.0, 20.0],
        window: Span::from_secs(1.0),
        attempts: 20.0,
        answered: 5.0,
        answered_in_window: 20.0,
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert_eq!(controller.admission.levels[1], 0.9);
    for proxy in 1..4 {
        controller.proxy_joined(at(9.5), proxy, 0, 10.0, false);
    }
    controller.fleet_load.demand = vec![0.0, 80.0];
    controller.fleet_load.is_degraded = true;
    controller.shed_load(at(9.5));
    assert_eq!(controller.admission.levels[1], 0.9);
}
