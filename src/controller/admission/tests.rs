use super::MIN_LEVEL;
use crate::controller::fleet_load::FleetLoad;
use crate::testing::{at, config, running_controller, TestController};
use crate::time::Span;

#[test]
fn an_overloaded_fleet_admits_what_it_answers_and_the_highest_priority_first() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.fleet_load = FleetLoad {
        demand: vec![100.0, 50.0],
        attempts: 150.0,
        answered: 60.0,
        served: 60.0,
        window: Span::from_secs(1.0),
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert!(controller.admission.levels[0] <= MIN_LEVEL && controller.admission.levels[1] == 1.0);
}

/// A controller three seconds after its start, with a few attempts of the first proxies that joined it.
fn just_started(attempts: f64, mean_joined_rate: f64) -> TestController {
    let mut controller = running_controller(config(), &["a", "b"], 4);
    let window = Span::from_secs(2.0);
    controller.fleet_load = FleetLoad {
        demand: vec![10.0, 10.0],
        window,
        attempts,
        answered: attempts,
        served: attempts,
        median_score: 0.3,
        joined_rates: mean_joined_rate * window.as_secs(),
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    controller
}

#[test]
fn a_few_attempts_do_not_show_that_the_fleet_is_overloaded() {
    assert_eq!(just_started(3.0, 40.0).admission.budget, None);
    assert!(just_started(6.0, 40.0).admission.budget.is_some());
}

#[test]
fn while_proxies_are_joining_what_was_answered_is_no_measure_for_them() {
    // 40 requests a second are joined now.
    let mut controller = just_started(20.0, 10.0);
    assert_eq!(controller.admission.budget, None);
    // They have been joined for as long as their reports take.
    controller.fleet_load.joined_rates = 80.0;
    controller.shed_load(at(11.9));
    assert_eq!(controller.admission.budget, None);
    controller.fleet_load.joined_rates = 80.0;
    controller.shed_load(at(12.0));
    assert!(controller.admission.budget.is_some());
}

#[test]
fn the_budget_grows_once_the_fleet_is_well() {
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
    // 20 requests were answered to one proxy of 10 requests a second; the budget is nine tenths of that.
    controller.fleet_load = FleetLoad {
        demand: vec![0.0, 20.0],
        window: Span::from_secs(1.0),
        attempts: 20.0,
        answered: 5.0,
        served: 20.0,
        ..FleetLoad::default()
    };
    controller.shed_load(at(9.0));
    assert_eq!(controller.admission.levels[1], 0.9);
    for proxy in 1..4 {
        controller.proxy_joined(at(9.5), proxy, 0, 10.0, false);
    }
    controller.fleet_load.demand = vec![0.0, 80.0];
    controller.fleet_load.struggling = true;
    controller.shed_load(at(9.5));
    assert_eq!(controller.admission.levels[1], 0.9);
}
