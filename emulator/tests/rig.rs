//! Whole fleets of stand-ins in memory, on a paused clock; what they come to is held against the event-driven play of the
//! same fleet and load, which shares no code with them but the tables.

use otterwinch_emulator::{in_memory, Net, Played, Rig, Steering};
use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::{read_load_profile, ScheduledRequest};
use otterwinch_simulation::{
    simulate, Fault, LiftedLimits, ScheduledFault, SimulationPlan, SimulationResult,
};
use std::sync::Arc;

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn small(changes: &[(&str, &str)]) -> Fleet {
    let mut text = example("fleets/small.fleet");
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    otterwinch_fleet::read("small.fleet", &text).unwrap()
}

fn load(fleet: &Fleet, recipe: &str) -> Vec<ScheduledRequest> {
    let recipe = read_load_profile("recipe", recipe, fleet).unwrap();
    LoadGenerator::new(fleet, &recipe, 3).requests().collect()
}

fn even() -> (Steering, otterwinch_simulation::TableSource) {
    let (weights, levels) = (vec![vec![1.0; 6]; 2], vec![1.0; 3]);
    let ours = Steering::Fixed { weights: weights.clone(), levels: levels.clone() };
    (ours, otterwinch_simulation::TableSource::Fixed { weights, admitted: levels })
}

fn stand_in(
    fleet: &Fleet,
    steering: &Steering,
    dues: &[ScheduledRequest],
    happenings: &[ScheduledFault],
) -> Played {
    in_memory(async {
        let rig = Arc::new(Rig::start(fleet, Net::memory(), 7, steering).await.unwrap());
        rig.settles().await.unwrap();
        rig.play(dues.iter().copied(), happenings, |_| ()).await.unwrap()
    })
}

fn replayed(
    fleet: &Fleet,
    steering: otterwinch_simulation::TableSource,
    dues: &[ScheduledRequest],
    happenings: &[ScheduledFault],
) -> SimulationResult {
    let happenings = happenings.to_vec();
    let plan = SimulationPlan {
        fleet,
        seed: 7,
        table_source: steering,
        faults: happenings,
        lifted_limits: LiftedLimits::default(),
    };
    simulate(&plan, dues.iter().copied())
}

#[test]
fn a_fleet_in_memory_and_its_play_agree_at_light_and_at_heavy_load() {
    let (fleet, (ours, theirs)) = (small(&[]), even());
    for rate in [40, 68, 90] {
        let dues = load(&fleet, &format!("for_s: 240 txns_per_s: {rate}"));
        let (stood, played) =
            (stand_in(&fleet, &ours, &dues, &[]), replayed(&fleet, theirs.clone(), &dues, &[]));
        let (a, b) = (&stood.seen.tally.total, &played.results.total);
        assert_eq!((a.requests, b.requests), (dues.len() as u64, dues.len() as u64));
        assert!(
            (a.service_level() - b.service_level()).abs() < 0.05,
            "{rate}: {} {}",
            a.service_level(),
            b.service_level()
        );
        let (p, q) = (a.latency_quantile(0.95), b.latency_quantile(0.95));
        assert!((p / q - 1.0).abs() < 0.1, "{rate}: {p} {q}");
        for (x, y) in stood.nodes.iter().zip(&played.endpoints) {
            assert!(
                (x.utilisation - y.utilisation).abs() < 0.06,
                "{rate}: {} {}",
                x.utilisation,
                y.utilisation
            );
        }
        assert_eq!(stood.seen.unsent, 0);
    }
}

#[test]
fn supervisors_inside_bind_steer_and_leave_a_dead_node() {
    let fleet = small(&[]);
    let dues = load(&fleet, "for_s: 40 txns_per_s: 40");
    let happenings = [Fault::Crash(1).at(10.0)];
    let stood = stand_in(&fleet, &Steering::Inside, &dues, &happenings);
    assert!(stood.nodes[1].accepted < stood.nodes[0].accepted / 2);
    let after = stood.seen.tally.service_level_between(15.0, 40.0);
    assert!(after > 0.95, "{after}");
    assert!(stood.crossed > 0 && stood.most_waiting > 0.0);
}

#[test]
fn a_connection_limit_is_met_and_what_it_turned_away_never_ran() {
    let (fleet, (ours, _)) = (small(&[("connections: 200", "connections: 3")]), even());
    let stood = stand_in(&fleet, &ours, &load(&fleet, "for_s: 30 txns_per_s: 50"), &[]);
    let whole = &stood.seen.tally.total;
    assert!(stood.nodes.iter().map(|node| node.refused_connections).sum::<u64>() > 50);
    assert_eq!(whole.on_time + whole.late + whole.rejected + whole.failed, whole.requests);
}

#[test]
fn a_cold_node_that_is_sent_too_much_falls_over_and_stays_down() {
    let changes = [
        ("multiple: 3 over_s: 2", "multiple: 1.6 over_s: 2"),
        ("from: 0.3 over_s: 10", "from: 0.1 over_s: 15"),
    ];
    let (fleet, (ours, _)) = (small(&changes), even());
    let dues = load(&fleet, "for_s: 30 txns_per_s: 50");
    let happenings = [Fault::Crash(0).at(5.0), Fault::Restart(0).at(12.0)];
    let fixed = stand_in(&fleet, &ours, &dues, &happenings);
    assert!(fixed.nodes[0].collapsed);
    let steered = stand_in(&fleet, &Steering::Inside, &dues, &happenings);
    assert!(!steered.nodes[0].collapsed);
}

#[test]
fn nodes_that_hang_fail_and_slow_are_met_as_in_the_play() {
    let (fleet, (ours, theirs)) = (small(&[]), even());
    let dues = load(&fleet, "for_s: 120 txns_per_s: 40");
    for trouble in [Fault::Hang(0, true), Fault::FailRequests(0, 0.8), Fault::SlowDown(0, 8.0)] {
        let happenings = [trouble.clone().at(10.0)];
        let stood = stand_in(&fleet, &ours, &dues, &happenings).seen.tally.total;
        let played = replayed(&fleet, theirs.clone(), &dues, &happenings).results.total;
        let apart = (stood.service_level() - played.service_level()).abs();
        assert!(apart < 0.04, "{trouble:?}: {} {}", stood.service_level(), played.service_level());
        assert!(stood.service_level() < 0.97);
    }
}

#[test]
fn a_hall_is_lost_and_comes_back() {
    let fleet = small(&[]);
    let dues = load(&fleet, "for_s: 60 txns_per_s: 28");
    let happenings = [Fault::ZoneOutage(1).at(10.0), Fault::ZoneRecovery(1).at(20.0)];
    let stood = stand_in(&fleet, &Steering::Inside, &dues, &happenings);
    assert!(stood.seen.tally.service_level_between(40.0, 60.0) > 0.97);
    assert!(stood.seen.tally.service_level_between(14.0, 20.0) > 0.85);
    assert!(stood.nodes.iter().all(|node| !node.collapsed));
}

/// The same on sockets, for a moment: what the paused clock can't show is that real ones carry it.
#[test]
fn a_fleet_stands_on_loopback() {
    let (fleet, (ours, _)) = (small(&[]), even());
    let dues = load(&fleet, "for_s: 1.5 txns_per_s: 30");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let played = runtime.block_on(async {
        let rig = Arc::new(Rig::start(&fleet, Net::Loopback, 7, &ours).await.unwrap());
        rig.play(dues.iter().copied(), &[], |_| ()).await.unwrap()
    });
    let whole = &played.seen.tally.total;
    assert_eq!((whole.requests, whole.on_time + whole.late), (dues.len() as u64, dues.len() as u64));
}
