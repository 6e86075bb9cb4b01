//! Runs whole emulated fleets in memory on a paused clock. Some tests compare the results with a simulation
//! of the same fleet and load. The simulation shares only the endpoint speeds, the route tables, the model of
//! the proxy channel, the controller's host and configuration, and the fault and result types with the
//! emulation.

use otterwinch_emulator::{run_on_paused_clock, Network, TableSource, Testbed, TestbedResult};
use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::{parse_load_profile, ScheduledRequest};
use otterwinch_simulation::{
    simulate, Fault, LiftedLimits, ScheduledFault, SimulationPlan, SimulationResult,
    TableSource as SimulatedTableSource,
};
use std::sync::Arc;

/// The seed of the fleets' random choices.
const FLEET_SEED: u64 = 7;
/// The seed of the generated load.
const LOAD_SEED: u64 = 3;

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn small_fleet() -> Fleet {
    small_fleet_with(&[])
}

/// The example fleet with parts of its text replaced; each change is a pair of the old and the new text.
fn small_fleet_with(changes: &[(&str, &str)]) -> Fleet {
    let mut text = example("fleets/small.fleet");
    for (old, new) in changes {
        assert!(text.contains(old), "small.fleet does not contain {old:?}");
        text = text.replace(old, new);
    }
    otterwinch_fleet::parse_fleet("small.fleet", &text).unwrap()
}

fn load(fleet: &Fleet, profile: &str) -> Vec<ScheduledRequest> {
    let profile = parse_load_profile("profile", profile, fleet).unwrap();
    LoadGenerator::new(fleet, &profile, LOAD_SEED).requests().collect()
}

/// Fixed tables of the small fleet, in which all endpoints have the same weight and all requests are
/// admitted.
fn equal_weight_tables() -> (TableSource, SimulatedTableSource) {
    let weights = vec![vec![1.0; 6]; 2];
    let admitted = vec![1.0; 3];
    let emulated = TableSource::Fixed { weights: weights.clone(), admitted: admitted.clone() };
    (emulated, SimulatedTableSource::Fixed { weights, admitted })
}

fn run_emulation(
    fleet: &Fleet,
    table_source: &TableSource,
    load: &[ScheduledRequest],
    faults: &[ScheduledFault],
) -> TestbedResult {
    run_on_paused_clock(async {
        let testbed = Testbed::start(fleet, Network::memory(), FLEET_SEED, table_source).await.unwrap();
        testbed.wait_until_assigned().await.unwrap();
        Arc::new(testbed).run(load.iter().copied(), faults, |_| ()).await.unwrap()
    })
}

fn run_simulation(
    fleet: &Fleet,
    table_source: SimulatedTableSource,
    load: &[ScheduledRequest],
    faults: &[ScheduledFault],
) -> SimulationResult {
    let plan = SimulationPlan {
        fleet,
        seed: FLEET_SEED,
        table_source,
        faults: faults.to_vec(),
        lifted_limits: LiftedLimits::default(),
    };
    simulate(&plan, load.iter().copied())
}

#[test]
fn emulation_and_simulation_agree_at_light_and_at_heavy_load() {
    let fleet = small_fleet();
    let (emulated_tables, simulated_tables) = equal_weight_tables();
    for rate in [40, 68, 90] {
        let load = load(&fleet, &format!("for_s: 240 txns_per_s: {rate}"));
        let emulated = run_emulation(&fleet, &emulated_tables, &load, &[]);
        let simulated = run_simulation(&fleet, simulated_tables.clone(), &load, &[]);
        let (emulated_total, simulated_total) = (&emulated.clients.results.total, &simulated.results.total);
        let requests = (emulated_total.requests, simulated_total.requests);
        assert_eq!(requests, (load.len() as u64, load.len() as u64));
        let (emulated_level, simulated_level) =
            (emulated_total.service_level(), simulated_total.service_level());
        assert!(
            (emulated_level - simulated_level).abs() < 0.05,
            "{rate} requests/s: service level {emulated_level} emulated, {simulated_level} simulated"
        );
        let (emulated_p95, simulated_p95) =
            (emulated_total.latency_quantile(0.95), simulated_total.latency_quantile(0.95));
        assert!(
            (emulated_p95 / simulated_p95 - 1.0).abs() < 0.1,
            "{rate} requests/s: p95 latency {emulated_p95} emulated, {simulated_p95} simulated"
        );
        for (emulated_endpoint, simulated_endpoint) in emulated.endpoints.iter().zip(&simulated.endpoints) {
            let (emulated_utilisation, simulated_utilisation) =
                (emulated_endpoint.utilisation, simulated_endpoint.utilisation);
            assert!(
                (emulated_utilisation - simulated_utilisation).abs() < 0.06,
                "{rate} requests/s: utilisation of {} {emulated_utilisation} emulated, \
                 {simulated_utilisation} simulated",
                emulated_endpoint.name
            );
        }
        assert_eq!(emulated.clients.unsent, 0);
    }
}

#[test]
fn an_in_process_control_plane_assigns_tables_and_avoids_a_crashed_endpoint() {
    let fleet = small_fleet();
    let load = load(&fleet, "for_s: 40 txns_per_s: 40");
    let faults = [Fault::Crash(1).at(10.0)];
    let emulated = run_emulation(&fleet, &TableSource::InProcess, &load, &faults);
    assert!(emulated.endpoints[1].accepted < emulated.endpoints[0].accepted / 2);
    let after_crash = emulated.clients.results.service_level_between(15.0, 40.0);
    assert!(after_crash > 0.95, "service level after the crash: {after_crash}");
    assert!(emulated.cross_zone_attempts > 0 && emulated.peak_queued_lines > 0.0);
}

#[test]
fn connections_above_the_limit_are_refused_and_every_request_ends_once() {
    let fleet = small_fleet_with(&[("connections: 200", "connections: 3")]);
    let (tables, _) = equal_weight_tables();
    let emulated = run_emulation(&fleet, &tables, &load(&fleet, "for_s: 30 txns_per_s: 50"), &[]);
    let total = &emulated.clients.results.total;
    assert!(emulated.endpoints.iter().map(|endpoint| endpoint.refused_connections).sum::<u64>() > 50);
    assert_eq!(total.on_time + total.late + total.rejected + total.failed, total.requests);
}

#[test]
fn a_warming_endpoint_collapses_under_full_load_unless_the_control_plane_ramps_it_up() {
    let changes = [
        ("multiple: 3 over_s: 2", "multiple: 1.6 over_s: 2"),
        ("from: 0.3 over_s: 10", "from: 0.1 over_s: 15"),
    ];
    let fleet = small_fleet_with(&changes);
    let (tables, _) = equal_weight_tables();
    let load = load(&fleet, "for_s: 30 txns_per_s: 50");
    let faults = [Fault::Crash(0).at(5.0), Fault::Restart(0).at(12.0)];
    let with_fixed_tables = run_emulation(&fleet, &tables, &load, &faults);
    assert!(with_fixed_tables.endpoints[0].collapsed);
    let with_control_plane = run_emulation(&fleet, &TableSource::InProcess, &load, &faults);
    assert!(!with_control_plane.endpoints[0].collapsed);
}

#[test]
fn hanging_failing_and_slow_endpoints_have_the_same_effect_in_emulation_and_simulation() {
    let fleet = small_fleet();
    let (emulated_tables, simulated_tables) = equal_weight_tables();
    let load = load(&fleet, "for_s: 120 txns_per_s: 40");
    for fault in [Fault::Hang(0, true), Fault::FailRequests(0, 0.8), Fault::SlowDown(0, 8.0)] {
        let faults = [fault.clone().at(10.0)];
        let emulated = run_emulation(&fleet, &emulated_tables, &load, &faults).clients.results.total;
        let simulated = run_simulation(&fleet, simulated_tables.clone(), &load, &faults).results.total;
        let difference = (emulated.service_level() - simulated.service_level()).abs();
        assert!(
            difference < 0.04,
            "{fault:?}: service level {} emulated, {} simulated",
            emulated.service_level(),
            simulated.service_level()
        );
        assert!(emulated.service_level() < 0.97);
    }
}

#[test]
fn a_zone_outage_is_survived_and_the_zone_recovers() {
    let fleet = small_fleet();
    let load = load(&fleet, "for_s: 60 txns_per_s: 28");
    let faults = [Fault::ZoneOutage(1).at(10.0), Fault::ZoneRecovery(1).at(20.0)];
    let emulated = run_emulation(&fleet, &TableSource::InProcess, &load, &faults);
    assert!(emulated.clients.results.service_level_between(40.0, 60.0) > 0.97);
    assert!(emulated.clients.results.service_level_between(14.0, 20.0) > 0.85);
    assert!(emulated.endpoints.iter().all(|endpoint| !endpoint.collapsed));
}

/// A short run in real time, because the tests on a paused clock don't use sockets.
#[test]
fn a_fleet_on_loopback_sockets_answers_every_request() {
    let fleet = small_fleet();
    let (tables, _) = equal_weight_tables();
    let load = load(&fleet, "for_s: 1.5 txns_per_s: 30");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let emulated = runtime.block_on(async {
        let testbed = Testbed::start(&fleet, Network::Loopback, FLEET_SEED, &tables).await.unwrap();
        Arc::new(testbed).run(load.iter().copied(), &[], |_| ()).await.unwrap()
    });
    let total = &emulated.clients.results.total;
    assert_eq!((total.requests, total.on_time + total.late), (load.len() as u64, load.len() as u64));
}
