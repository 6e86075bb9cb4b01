//! End-to-end simulations of small fleets.

use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::{parse_load_profile, ScheduledRequest};
use otterwinch_simulation::{simulate, Fault, LiftedLimits, SimulationPlan, SimulationResult, TableSource};

fn example(name: &str) -> String {
    let path = format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// The fleet of `small.fleet`, with parts of its text replaced.
fn small_fleet(changes: &[(&str, &str)]) -> Fleet {
    let mut text = example("fleets/small.fleet");
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    otterwinch_fleet::parse_fleet("small.fleet", &text).unwrap_or_else(|errors| panic!("{errors}"))
}

fn plan(fleet: &Fleet) -> SimulationPlan<'_> {
    SimulationPlan {
        fleet,
        seed: 7,
        table_source: TableSource::Controller,
        faults: vec![],
        lifted_limits: LiftedLimits::default(),
    }
}

fn load(fleet: &Fleet, profile: &str) -> Vec<ScheduledRequest> {
    let profile = parse_load_profile("profile", profile, fleet).unwrap_or_else(|errors| panic!("{errors}"));
    LoadGenerator::new(fleet, &profile, 3).requests().collect()
}

fn simulate_profile(plan: &SimulationPlan, profile: &str) -> SimulationResult {
    simulate(plan, load(plan.fleet, profile).into_iter())
}

const STEADY_PROFILE: &str = "for_s: 30 txns_per_s: 50";

#[test]
fn every_request_ends_in_exactly_one_way() {
    let fleet = small_fleet(&[]);
    for rate in [50, 90, 140] {
        let requests = load(&fleet, &format!("for_s: 30 txns_per_s: {rate}"));
        let expected_requests = requests.len() as u64;
        let result = simulate(&plan(&fleet), requests.into_iter());
        let total = &result.results.total;
        assert_eq!(total.requests, expected_requests);
        assert_eq!(total.on_time + total.late + total.rejected + total.failed, expected_requests);
        let by_class: u64 = result.results.request_classes.iter().map(|class| class.requests).sum();
        let by_zone: u64 = result.results.zones.iter().map(|zone| zone.requests).sum();
        assert_eq!((by_class, by_zone), (expected_requests, expected_requests));
        assert!(
            result.endpoints.iter().all(|endpoint| (0.0..=1.001).contains(&endpoint.utilisation)),
            "{rate}"
        );
    }
}

#[test]
fn the_result_is_reproducible_and_depends_on_the_seed() {
    let fleet = small_fleet(&[]);
    let profile = example("loads/minute.make");
    let first = simulate_profile(&plan(&fleet), &profile);
    assert_eq!(first, simulate_profile(&plan(&fleet), &profile));
    assert_ne!(first, simulate_profile(&SimulationPlan { seed: 8, ..plan(&fleet) }, &profile));
}

#[test]
fn a_light_load_is_served_and_an_overload_is_not() {
    let fleet = small_fleet(&[]);
    let light = simulate_profile(&plan(&fleet), "for_s: 30 txns_per_s: 25").results.total;
    assert!(light.service_level() > 0.998, "{}", light.service_level());
    // With 0.13 s of work for each request, 12 cores saturate at about 90 requests a second.
    let heavy = simulate_profile(&plan(&fleet), "for_s: 30 txns_per_s: 150");
    assert!(heavy.results.total.service_level() < 0.6);
    assert!(heavy.endpoints.iter().map(|endpoint| endpoint.utilisation).sum::<f64>() / 6.0 > 0.85);
}

/// A single endpoint with one core is an M/G/1 queue: Poisson arrivals and uniformly distributed work. Its
/// mean time in the system has to agree with the formula within 3 %.
#[test]
fn the_mean_latency_of_one_core_matches_the_pollaczek_khinchine_formula() {
    let text = "name: 'one' hall { name: 'h' forwarders: 1 } network { client_ms: 0 within_hall_ms: 0 }
        group { name: 'g' hall: 'h' count: 1 cores: 1 waiting: 10000 }
        product { name: 'p' work { from_ms: 50 to_ms: 150 } sla_ms: 600000 expiry_ms: 600000
            repeats: INQUIRY_LIKE }";
    let fleet = otterwinch_fleet::parse_fleet("one", text).unwrap();
    let table_source = TableSource::Fixed { weights: vec![vec![1.0]], admitted: vec![1.0] };
    let result =
        simulate_profile(&SimulationPlan { table_source, ..plan(&fleet) }, "for_s: 40000 txns_per_s: 7");
    let (rate, (mean_work, work_second_moment)) = (7.0, fleet.request_classes[0].work.moments());
    let expected = mean_work + rate * work_second_moment / (2.0 * (1.0 - rate * mean_work));
    let measured = result.results.total.latencies.mean() / 1e4;
    assert!((measured / expected - 1.0).abs() < 0.03, "{measured} for {expected}");
    assert!((result.endpoints[0].utilisation - rate * mean_work).abs() < 0.01);
}

#[test]
fn a_crashed_endpoint_is_avoided_and_service_recovers() {
    let fleet = small_fleet(&[]);
    let faults = vec![Fault::Crash(0).at(10.0)];
    let result = simulate_profile(&SimulationPlan { faults, ..plan(&fleet) }, STEADY_PROFILE);
    let accepted = |endpoint: usize| result.endpoints[endpoint].accepted;
    assert!(accepted(0) < accepted(1) / 2, "{} {}", accepted(0), accepted(1));
    let after = result.results.service_level_between(15.0, 30.0);
    assert!(after > 0.95, "{after}");
}

#[test]
fn a_cold_endpoint_collapses_only_without_the_controller() {
    let fleet = small_fleet(&[
        ("multiple: 3 over_s: 2", "multiple: 1.6 over_s: 2"),
        ("from: 0.3 over_s: 10", "from: 0.1 over_s: 15"),
    ]);
    let faults = vec![Fault::Crash(0).at(5.0), Fault::Restart(0).at(12.0)];
    let controlled =
        simulate_profile(&SimulationPlan { faults: faults.clone(), ..plan(&fleet) }, STEADY_PROFILE);
    assert!(!controlled.endpoints[0].collapsed);
    let table_source = TableSource::Fixed { weights: vec![vec![1.0; 6]; 2], admitted: vec![1.0; 3] };
    let fixed = simulate_profile(&SimulationPlan { table_source, faults, ..plan(&fleet) }, STEADY_PROFILE);
    assert!(fixed.endpoints[0].collapsed);
}

#[test]
fn clients_of_a_failed_zone_use_the_other_zone_until_it_recovers() {
    let fleet = small_fleet(&[]);
    let faults = vec![Fault::ZoneOutage(1).at(10.0), Fault::ZoneRecovery(1).at(20.0)];
    let result = simulate_profile(&SimulationPlan { faults, ..plan(&fleet) }, "for_s: 60 txns_per_s: 30");
    assert!(result.endpoints[3].accepted > 0 && result.endpoints.iter().all(|endpoint| !endpoint.collapsed));
    // For the three remaining endpoints, 30 requests a second are two thirds of their capacity.
    assert!(result.results.service_level_between(14.0, 20.0) > 0.9);
    assert!(result.results.service_level_between(40.0, 60.0) > 0.97);
}

#[test]
fn a_connection_limit_refuses_requests_and_lifting_it_improves_service() {
    let fleet = small_fleet(&[("connections: 200", "connections: 3")]);
    let limited = simulate_profile(&plan(&fleet), STEADY_PROFILE);
    assert!(limited.endpoints.iter().map(|endpoint| endpoint.refused_connections).sum::<u64>() > 50);
    let lifted = simulate_profile(
        &SimulationPlan {
            lifted_limits: LiftedLimits { connections: true, ..LiftedLimits::default() },
            ..plan(&fleet)
        },
        STEADY_PROFILE,
    );
    assert!(lifted.results.total.service_level() > limited.results.total.service_level() + 0.01);
    assert!(lifted.endpoints.iter().all(|endpoint| endpoint.refused_connections == 0));
}

#[test]
fn the_controller_avoids_endpoints_that_hang_fail_or_are_slow() {
    let fleet = small_fleet(&[]);
    for fault in [Fault::Hang(0, true), Fault::FailRequests(0, 0.9), Fault::SlowDown(0, 8.0)] {
        let faults = vec![fault.clone().at(5.0)];
        let controlled = simulate_profile(
            &SimulationPlan { faults: faults.clone(), ..plan(&fleet) },
            "for_s: 60 txns_per_s: 35",
        );
        let table_source = TableSource::Fixed { weights: vec![vec![1.0; 6]; 2], admitted: vec![1.0; 3] };
        let fixed = simulate_profile(
            &SimulationPlan { table_source, faults, ..plan(&fleet) },
            "for_s: 60 txns_per_s: 35",
        );
        let service_under_fault =
            |result: &SimulationResult| result.results.service_level_between(25.0, 60.0);
        assert!(
            service_under_fault(&controlled) > service_under_fault(&fixed) + 0.05,
            "{fault:?}: {} {}",
            service_under_fault(&controlled),
            service_under_fault(&fixed)
        );
    }
}

#[test]
fn endless_retries_stop_the_simulation_with_a_reason() {
    let changes = [
        ("again: 1 wait_from_ms: 100 wait_to_ms: 400", "again: 10 wait_from_ms: 300000 wait_to_ms: 500000"),
        ("expiry_ms: 3000", "expiry_ms: 600000"),
    ];
    let fleet = small_fleet(&changes);
    let table_source = TableSource::Fixed { weights: vec![vec![0.0; 6]; 2], admitted: vec![1.0; 3] };
    let result =
        simulate_profile(&SimulationPlan { table_source, ..plan(&fleet) }, "for_s: 5 txns_per_s: 10");
    assert_eq!(
        result.stop_reason.map(|reason| reason.to_string()).as_deref(),
        Some("clients were still retrying 120 s after the end of the load")
    );
}

#[test]
fn an_empty_load_has_a_full_service_level() {
    let fleet = small_fleet(&[]);
    let result = simulate(&plan(&fleet), std::iter::empty());
    assert_eq!((result.results.total.requests, result.results.total.service_level()), (0, 1.0));
    assert_eq!(result.results.worst_service_level(10.0), 1.0);
}
