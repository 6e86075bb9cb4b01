use super::FAILED_BAND;
use crate::test_support::{at, config, running_controller, TestController};
use crate::time::Span;

fn ejection_level(controller: &TestController, id: &str) -> usize {
    controller.endpoints.get(id).unwrap().outlier.ejection_level
}

fn add_outcomes(controller: &mut TestController, id: &str, band: usize, attempts: f64) {
    controller.endpoints.get_mut(id).unwrap().outlier.outcomes.add(band, attempts);
}

#[test]
fn an_endpoint_that_fails_more_often_than_its_peers_moves_to_the_next_ejection_level() {
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

/// Runs the detection after `attempts` at each of the endpoints "b" and "c", none at "d", and two at "a" of
/// which `failed` failed.
fn after_detection(attempts: f64, failed: f64, latency_secs: f64) -> TestController {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    for id in ["b", "c"] {
        controller.outcomes_reported(at(1.0), id, attempts, 0.0, Span::ZERO, Span::ZERO);
    }
    controller.outcomes_reported(at(1.0), "a", 2.0, failed, Span::from_secs(latency_secs), Span::ZERO);
    controller.detect_outliers(at(1.0));
    controller
}

#[test]
fn two_failed_attempts_eject_an_endpoint_and_further_failures_keep_it_ejected() {
    let mut controller = after_detection(9.0, 2.0, 0.0);
    assert_eq!((ejection_level(&controller, "a"), controller.fleet_load.median_score), (3, 0.0));
    controller.outcomes_reported(at(9.0), "a", 2.0, 1.0, Span::ZERO, Span::ZERO);
    controller.detect_outliers(at(9.0));
    let level = ejection_level(&controller, "a");
    assert_eq!(level, 3, "its ejection time has passed, but it still fails attempts");
}

// Six attempts are enough, or 1.3 times the mean number per endpoint if that is fewer.
#[test]
fn late_attempts_eject_an_endpoint_only_from_a_minimum_number() {
    assert_eq!(ejection_level(&after_detection(9.0, 0.0, 2.0), "a"), 0);
    assert_eq!(ejection_level(&after_detection(3.0, 0.0, 2.0), "a"), 0);
    assert_eq!(ejection_level(&after_detection(2.0, 0.0, 2.0), "a"), 3);
}

#[test]
fn the_ejected_part_of_the_fleet_is_limited() {
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
fn no_endpoint_is_ejected_while_the_median_score_is_high() {
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
fn timer_delay_does_not_change_when_an_endpoint_recovers() {
    for (late, level) in [(4.0, 2), (4.004, 2), (5.0, 1), (5.02, 1)] {
        let mut controller = running_controller(config(), &["a", "b"], 1);
        let endpoint = controller.endpoints.get_mut("a").unwrap();
        endpoint.outlier.ejection_level = 2;
        endpoint.outlier.ejection_count = 1;
        endpoint.outlier.level_changed_at = at(1.0);
        controller.detect_outliers(at(1.0 + late));
        assert_eq!(ejection_level(&controller, "a"), level);
    }
}

#[test]
fn reports_that_reflect_the_previous_weight_are_skipped() {
    let mut controller = running_controller(config(), &["a"], 1);
    let endpoint = controller.endpoints.get_mut("a").unwrap();
    endpoint.outlier.ejection_level = 1;
    endpoint.outlier.level_changed_at = at(5.0);
    controller.outcomes_reported(at(6.0), "a", 10.0, 10.0, Span::ZERO, Span::from_secs(1.0));
    assert_eq!(controller.endpoints.get("a").unwrap().outlier.outcomes.total(), 0.0);
}

#[test]
fn reports_about_endpoints_that_were_never_listed_are_ignored() {
    let mut controller = running_controller(config(), &["a"], 1);
    controller.outcomes_reported(at(1.0), "nobody", 5.0, 5.0, Span::ZERO, Span::ZERO);
    assert_eq!(controller.fleet_load.attempts, 0.0);
}
