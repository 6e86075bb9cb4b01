use super::FAILED_BAND;
use crate::testing::{at, config, running_controller, TestController};
use crate::time::Span;

fn ejection_level(controller: &TestController, id: &str) -> usize {
    controller.endpoints.get(id).unwrap().outlier.ejection_level
}

fn add_outcomes(controller: &mut TestController, id: &str, band: usize, attempts: f64) {
    controller.endpoints.get_mut(id).unwrap().outlier.outcomes.add(band, attempts);
}

#[test]
fn an_endpoint_that_fares_worse_than_its_peers_goes_to_the_next_ejection_level() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    for (_, endpoint) in controller.endpoints.iter_mut() {
        endpoint.outlier.outcomes.add(0, 20.0);
    }
    add_outcomes(&mut controller, "c", FAILED_BAND, 20.0);
    controller.detect_outliers(at(5.0));
    let levels: Vec<usize> =
        controller.endpoints.iter().map(|(_, endpoint)| endpoint.outlier.ejection_level).collect();
    assert_eq!(levels, [0, 0, 1, 0]);
}

/// Detection after `attempts` at each of two endpoints, none at a third, and two at "a".
fn after_detection(attempts: f64, failed: f64, latency_secs: f64) -> TestController {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    for id in ["b", "c"] {
        controller.endpoint_outcomes(at(1.0), id, attempts, 0.0, Span::ZERO, Span::ZERO);
    }
    controller.endpoint_outcomes(at(1.0), "a", 2.0, failed, Span::from_secs(latency_secs), Span::ZERO);
    controller.detect_outliers(at(1.0));
    controller
}

#[test]
fn two_failed_attempts_suffice_and_keep_an_endpoint_ejected_while_it_fares_badly() {
    let mut controller = after_detection(9.0, 2.0, 0.0);
    assert_eq!((ejection_level(&controller, "a"), controller.fleet_load.median_score), (3, 0.0));
    controller.endpoint_outcomes(at(9.0), "a", 2.0, 1.0, Span::ZERO, Span::ZERO);
    controller.detect_outliers(at(9.0));
    let level = ejection_level(&controller, "a");
    assert_eq!(level, 3, "its ejection time is over and it still fares badly");
}

#[test]
fn late_attempts_suffice_if_they_are_six_or_a_third_more_than_the_mean_endpoint_has() {
    assert_eq!(ejection_level(&after_detection(9.0, 0.0, 2.0), "a"), 0);
    assert_eq!(ejection_level(&after_detection(3.0, 0.0, 2.0), "a"), 0);
    assert_eq!(ejection_level(&after_detection(2.0, 0.0, 2.0), "a"), 3);
}

#[test]
fn only_a_part_of_the_fleet_is_ejected() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d", "e", "f", "g"], 1);
    for (_, endpoint) in controller.endpoints.iter_mut() {
        endpoint.outlier.outcomes.add(0, 100.0);
    }
    for id in ["a", "b"] {
        controller.endpoints.get_mut(id).unwrap().outlier.set_level(5, at(5.0));
    }
    add_outcomes(&mut controller, "c", FAILED_BAND, 900.0);
    controller.detect_outliers(at(5.0));
    assert_eq!(ejection_level(&controller, "c"), 0);
}

#[test]
fn while_the_median_endpoint_fares_badly_none_is_ejected() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    for (_, endpoint) in controller.endpoints.iter_mut() {
        endpoint.outlier.outcomes.add(0, 6.0);
        endpoint.outlier.outcomes.add(FAILED_BAND, 4.0);
    }
    add_outcomes(&mut controller, "c", FAILED_BAND, 90.0);
    add_outcomes(&mut controller, "d", 0, 200.0);
    controller.detect_outliers(at(5.0));
    assert!(controller.endpoints.iter().all(|(_, endpoint)| endpoint.outlier.ejection_level == 0));
}

#[test]
fn an_endpoint_recovers_after_its_ejection_time_however_late_the_timers_are() {
    for (late, level) in [(4.0, 2), (4.004, 2), (5.0, 1), (5.02, 1)] {
        let mut controller = running_controller(config(), &["a", "b"], 1);
        let endpoint = controller.endpoints.get_mut("a").unwrap();
        endpoint.outlier.ejection_level = 2;
        endpoint.outlier.ejection_count = 1;
        endpoint.outlier.level_since = at(1.0);
        controller.detect_outliers(at(1.0 + late));
        assert_eq!(ejection_level(&controller, "a"), level);
    }
}

#[test]
fn reports_about_the_weight_before_the_last_change_do_not_count() {
    let mut controller = running_controller(config(), &["a"], 1);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.outlier.ejection_level = 1;
    endpoint.outlier.level_since = at(5.0);
    controller.endpoint_outcomes(at(6.0), "a", 10.0, 10.0, Span::ZERO, Span::from_secs(1.0));
    assert_eq!(controller.endpoints.get("a").unwrap().outlier.outcomes.total(), 0.0);
}

#[test]
fn reports_about_endpoints_that_were_never_listed_are_ignored() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.endpoint_outcomes(at(1.0), "nobody", 5.0, 5.0, Span::ZERO, Span::ZERO);
    assert_eq!(controller.fleet_load.attempts, 0.0);
}
