//! Whole plays of small fleets.

use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::{read_load_profile, ScheduledRequest};
use otterwinch_simulation::{play, Happening, Outcome, Plan, Steering, Without};

fn example(name: &str) -> String {
    let path = format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).unwrap()
}

/// The small example, with pieces of its text replaced.
fn small(changes: &[(&str, &str)]) -> Fleet {
    let mut text = example("fleets/small.fleet");
    for (old, new) in changes {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    otterwinch_fleet::read("small.fleet", &text).unwrap_or_else(|faults| panic!("{faults}"))
}

fn plan(fleet: &Fleet) -> Plan<'_> {
    Plan { fleet, seed: 7, steering: Steering::Controller, happenings: vec![], without: Without::default() }
}

fn load(fleet: &Fleet, recipe: &str) -> Vec<ScheduledRequest> {
    let recipe = read_load_profile("recipe", recipe, fleet).unwrap_or_else(|faults| panic!("{faults}"));
    LoadGenerator::new(fleet, &recipe, 3).requests().collect()
}

fn played(plan: &Plan, recipe: &str) -> Outcome {
    play(plan, load(plan.fleet, recipe).into_iter())
}

const EVEN: &str = "for_s: 30 txns_per_s: 50";

#[test]
fn every_txn_ends_in_one_way() {
    let fleet = small(&[]);
    for rate in [50, 90, 140] {
        let dues = load(&fleet, &format!("for_s: 30 txns_per_s: {rate}"));
        let asked = dues.len() as u64;
        let outcome = play(&plan(&fleet), dues.into_iter());
        let whole = &outcome.tally.whole;
        assert_eq!(whole.asked, asked);
        assert_eq!(whole.settled + whole.late + whole.declined + whole.voided, asked);
        let by_product: u64 = outcome.tally.products.iter().map(|p| p.asked).sum();
        let by_hall: u64 = outcome.tally.halls.iter().map(|h| h.asked).sum();
        assert_eq!((by_product, by_hall), (asked, asked));
        assert!(outcome.nodes.iter().all(|node| (0.0..=1.001).contains(&node.utilisation)), "{rate}");
    }
}

#[test]
fn the_same_plan_gives_the_same_outcome_and_another_seed_another() {
    let fleet = small(&[]);
    let recipe = example("loads/minute.make");
    let one = played(&plan(&fleet), &recipe);
    assert_eq!(one, played(&plan(&fleet), &recipe));
    assert_ne!(one, played(&Plan { seed: 8, ..plan(&fleet) }, &recipe));
}

#[test]
fn a_light_load_is_served_and_a_heavy_one_is_not() {
    let fleet = small(&[]);
    let light = played(&plan(&fleet), "for_s: 30 txns_per_s: 25").tally.whole;
    assert!(light.service() > 0.998, "{}", light.service());
    // 0.13 s of work each on 12 cores: full at some 90 a second.
    let heavy = played(&plan(&fleet), "for_s: 30 txns_per_s: 150");
    assert!(heavy.tally.whole.service() < 0.6);
    assert!(heavy.nodes.iter().map(|n| n.utilisation).sum::<f64>() / 6.0 > 0.85);
}

/// One node with one core, listed alone: the mean time in it must be that of the queue with random arrivals and even
/// work (Pollaczek and Khinchine), within chance.
#[test]
fn one_core_keeps_to_the_formula_of_its_queue() {
    let text = "name: 'one' hall { name: 'h' forwarders: 1 } network { client_ms: 0 within_hall_ms: 0 }
        group { name: 'g' hall: 'h' count: 1 cores: 1 waiting: 10000 }
        product { name: 'p' work { from_ms: 50 to_ms: 150 } sla_ms: 600000 expiry_ms: 600000 repeats: INQUIRY_LIKE }";
    let fleet = otterwinch_fleet::read("one", text).unwrap();
    let steering = Steering::Fixed { weights: vec![vec![1.0]], levels: vec![1.0] };
    let outcome = played(&Plan { steering, ..plan(&fleet) }, "for_s: 40000 txns_per_s: 7");
    let (rate, (work, square)) = (7.0, fleet.request_classes[0].work.moments());
    let expected = work + rate * square / (2.0 * (1.0 - rate * work));
    let measured = outcome.tally.whole.times.mean() / 1e4;
    assert!((measured / expected - 1.0).abs() < 0.03, "{measured} for {expected}");
    assert!((outcome.nodes[0].utilisation - rate * work).abs() < 0.01);
}

#[test]
fn a_node_that_dies_is_left_and_its_txns_go_elsewhere() {
    let fleet = small(&[]);
    let happenings = vec![Happening::Dies(0).at(10.0)];
    let outcome = played(&Plan { happenings, ..plan(&fleet) }, EVEN);
    let taken = |k: usize| outcome.nodes[k].taken;
    assert!(taken(0) < taken(1) / 2, "{} {}", taken(0), taken(1));
    let after = outcome.tally.service_between(15.0, 30.0);
    assert!(after > 0.95, "{after}");
}

#[test]
fn a_cold_node_falls_over_without_the_rules_and_not_with_them() {
    let fleet = small(&[
        ("multiple: 3 over_s: 2", "multiple: 1.6 over_s: 2"),
        ("from: 0.3 over_s: 10", "from: 0.1 over_s: 15"),
    ]);
    let happenings = vec![Happening::Dies(0).at(5.0), Happening::Returns(0).at(12.0)];
    let steered = played(&Plan { happenings: happenings.clone(), ..plan(&fleet) }, EVEN);
    assert!(!steered.nodes[0].toppled);
    let steering = Steering::Fixed { weights: vec![vec![1.0; 6]; 2], levels: vec![1.0; 3] };
    let fixed = played(&Plan { steering, happenings, ..plan(&fleet) }, EVEN);
    assert!(fixed.nodes[0].toppled);
}

#[test]
fn a_lost_halls_clients_come_to_the_other_and_the_hall_comes_back() {
    let fleet = small(&[]);
    let happenings = vec![Happening::HallLost(1).at(10.0), Happening::HallBack(1).at(20.0)];
    let outcome = played(&Plan { happenings, ..plan(&fleet) }, "for_s: 60 txns_per_s: 30");
    assert!(outcome.nodes[3].taken > 0 && outcome.nodes.iter().all(|node| !node.toppled));
    // Three nodes carry 30 a second: two thirds full.
    assert!(outcome.tally.service_between(14.0, 20.0) > 0.9);
    assert!(outcome.tally.service_between(40.0, 60.0) > 0.97);
}

#[test]
fn a_full_connection_limit_turns_txns_away_and_its_lifting_tells() {
    let fleet = small(&[("connections: 200", "connections: 3")]);
    let tight = played(&plan(&fleet), EVEN);
    assert!(tight.nodes.iter().map(|node| node.refused).sum::<u64>() > 50);
    let lifted =
        played(&Plan { without: Without { connections: true, ..Without::default() }, ..plan(&fleet) }, EVEN);
    assert!(lifted.tally.whole.service() > tight.tally.whole.service() + 0.01);
    assert!(lifted.nodes.iter().all(|node| node.refused == 0));
}

#[test]
fn a_node_that_hangs_or_fails_is_held_back_by_the_rules() {
    let fleet = small(&[]);
    for trouble in [Happening::Hangs(0, true), Happening::Fails(0, 0.9), Happening::Slows(0, 8.0)] {
        let happenings = vec![trouble.clone().at(5.0)];
        let steered =
            played(&Plan { happenings: happenings.clone(), ..plan(&fleet) }, "for_s: 60 txns_per_s: 35");
        let steering = Steering::Fixed { weights: vec![vec![1.0; 6]; 2], levels: vec![1.0; 3] };
        let fixed = played(&Plan { steering, happenings, ..plan(&fleet) }, "for_s: 60 txns_per_s: 35");
        let late = |outcome: &Outcome| outcome.tally.service_between(25.0, 60.0);
        assert!(late(&steered) > late(&fixed) + 0.05, "{trouble:?}: {} {}", late(&steered), late(&fixed));
    }
}

#[test]
fn clients_that_come_again_for_ever_end_the_play_and_it_says_so() {
    let changes = [
        ("again: 1 wait_from_ms: 100 wait_to_ms: 400", "again: 10 wait_from_ms: 300000 wait_to_ms: 500000"),
        ("expiry_ms: 3000", "expiry_ms: 600000"),
    ];
    let fleet = small(&changes);
    let steering = Steering::Fixed { weights: vec![vec![0.0; 6]; 2], levels: vec![1.0; 3] };
    let outcome = played(&Plan { steering, ..plan(&fleet) }, "for_s: 5 txns_per_s: 10");
    assert_eq!(outcome.ended_early.as_deref(), Some("clients still came again 120 s after the load's end"));
}

#[test]
fn a_load_of_nothing_is_an_outcome() {
    let fleet = small(&[]);
    let outcome = play(&plan(&fleet), std::iter::empty());
    assert_eq!((outcome.tally.whole.asked, outcome.tally.whole.service()), (0, 1.0));
    assert_eq!(outcome.tally.worst(10.0), 1.0);
}
