use super::lack_capacity;
use crate::config::ControllerConfig;
use crate::controller::candidate::Candidate;
use crate::controller::placement::ARCS_PER_ZONE;
use crate::controller::test_support::Timeline;
use crate::host::{EndpointUpdate, Timer};
use crate::test_support::{at, config, ready, ready_since, removed, running_controller, Command};
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

fn candidate(capacity_fraction: f64) -> Candidate {
    Candidate {
        id: "a".into(),
        zone: 0,
        weight: 2.0,
        listed_weight: 2.0,
        slow_start_factor: capacity_fraction,
        capacity_fraction,
    }
}

#[test]
fn only_cold_endpoints_that_can_not_carry_the_usual_load_are_held_back() {
    let lack = |candidates: &[Candidate], usual_weight| lack_capacity(candidates.iter(), usual_weight, 4.0);
    assert!(lack(&[candidate(0.1)], 10.0));
    assert!(!lack(&[candidate(0.9)], 10.0), "nearly warm");
    assert!(!lack(&vec![candidate(0.2); 5], 10.0), "as many as usual");
    assert!(!lack(&[candidate(0.1), candidate(1.0)], 10.0), "one is warm");
    assert!(!lack_capacity([candidate(0.1)].iter(), 10.0, 0.0), "no multiple is stated");
}

/// A proxy must not wait for an endpoint once a warm one is listed, however few there are.
#[test]
fn a_table_with_a_single_warm_endpoint_is_published_at_once() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d", "e", "f"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    controller.endpoint_list_replaced(at(9.0), &[ready("a")]);
    assert_eq!(controller.host.weight(0, "a"), Some(2.0));
}

#[test]
fn a_table_of_cold_endpoints_only_is_published_once_they_can_carry_its_load() {
    let mut controller = running_controller(config(), &["a", "b", "c", "d"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    let returned = ["a", "b"].map(|id| ready_since(id, 9.0));
    controller.endpoint_list_replaced(at(9.5), &returned);
    assert_eq!(controller.host.weight(0, "a"), Some(0.0));
    controller.timer_fired(at(13.0), Timer::Recheck);
    assert!(controller.host.weight(0, "a") > Some(0.0));
}

/// Guards against further endpoints that wait for ordinary messages while one cold endpoint gets all
/// requests.
#[test]
fn a_further_endpoint_is_added_at_once_to_a_table_of_cold_endpoints_only() {
    let mut controller = running_controller(config(), &["a", "b"], 1);
    controller.endpoint_list_replaced(at(2.0), &[]);
    controller.endpoint_list_replaced(at(13.0), &[ready_since("a", 4.0)]);
    assert!(controller.host.weight(0, "a") > Some(0.0));
    for message in 0..6 {
        controller.channel.backlog.record(at(14.0 + f64::from(message)), 0, 1.0, 0.0);
    }
    controller.endpoints_updated(at(19.5), &[ready_since("b", 9.0)]);
    assert!(controller.host.weight(0, "b") > Some(0.0));
}

const ZONE_RATE: f64 = 52.5;
const CAPACITY: f64 = 21.0;
const COLD_FRACTION: f64 = 0.15;
const COLD_SECS: f64 = 17.0;
const OVERLOAD_SECS: f64 = 1.5;
const COLLAPSE_MULTIPLE: f64 = 4.0;
const STEP_SECS: f64 = 0.05;

/// The weights in the table of zone 0 at this time.
fn weights_at(timeline: &Timeline, now: Moment) -> BTreeMap<&str, f64> {
    let mut weights = BTreeMap::new();
    for issued in timeline.issued.iter().take_while(|issued| issued.at <= now) {
        if let Command::SetWeight { table, endpoint, weight } = &issued.command {
            if table % (1 << 15) < 2 * ARCS_PER_ZONE {
                weights.insert(&**endpoint, *weight);
            }
        }
    }
    weights
}

/// An endpoint of zone 0 that is lost and returns cold, and when the list tells of that, in seconds.
struct LostEndpoint {
    id: String,
    removed: f64,
    returned: f64,
}

/// The highest load of any endpoint that returned, from the time when the list told of that, as a fraction of
/// the load at which it collapses. All started at `started`. The zone's requests go to the endpoints of its
/// table by weight.
fn worst_load(timeline: &Timeline, lost: &[LostEndpoint], started: f64, end: f64) -> f64 {
    let steps = ((end - started) / STEP_SECS) as usize;
    let window = (OVERLOAD_SECS / STEP_SECS) as usize;
    let mut requests = vec![vec![0.0; steps]; lost.len()];
    let mut worst = 0.0_f64;
    for step in 0..steps {
        let age = step as f64 * STEP_SECS;
        let weights = weights_at(timeline, at(started + age));
        let total: f64 = weights.values().sum();
        let capacity = CAPACITY * (COLD_FRACTION + (1.0 - COLD_FRACTION) * (age / COLD_SECS).min(1.0));
        for (endpoint, requests) in lost.iter().zip(&mut requests) {
            let weight = weights.get(&*endpoint.id).copied().unwrap_or(0.0);
            if started + age >= endpoint.returned && weight > 0.0 {
                requests[step] = ZONE_RATE * STEP_SECS * weight / total;
            }
            let recent: f64 = requests[(step + 1).saturating_sub(window)..=step].iter().sum();
            worst = worst.max(recent / (COLLAPSE_MULTIPLE * capacity * OVERLOAD_SECS));
        }
    }
    worst
}

/// A controller of 20 endpoints and 12 proxies in four zones, where no request may leave its zone.
fn zone_local_fleet() -> Timeline {
    let mut config = ControllerConfig {
        channel_rate: 1800.0,
        max_queued_lines: 1800.0,
        max_transit: Span::from_secs(0.275),
        drain_grace: Span::from_secs(1.5),
        slow_start_window: Span::from_secs(COLD_SECS),
        initial_capacity: COLD_FRACTION,
        collapse_multiple: COLLAPSE_MULTIPLE,
        ..config()
    };
    config.request_classes.iter_mut().for_each(|class| class.zone_local = true);
    let mut controller = running_controller(config, &[], 0);
    let endpoint = |k: u32| EndpointUpdate { zone: k % 4, ..ready(&format!("s{k}")) };
    let fleet: Vec<EndpointUpdate> = (0..20).map(endpoint).collect();
    controller.endpoint_list_replaced(at(0.5), &fleet);
    for proxy in 0..12 {
        controller.proxy_joined(at(0.6), proxy, proxy % 4, 17.5, true);
    }
    Timeline::new(controller, at(0.6))
}

/// Loses zone 0, whose endpoints start again at 35 s. Returns the highest load as [`worst_load`] does.
fn worst_load_of_a_lost_zone(removed_at: [f64; 5], returned_at: [f64; 5]) -> f64 {
    let mut lost = Vec::new();
    for (position, (removed, returned)) in removed_at.into_iter().zip(returned_at).enumerate() {
        lost.push(LostEndpoint { id: format!("s{}", 4 * position), removed, returned });
    }
    let mut updates: Vec<(f64, EndpointUpdate)> = Vec::new();
    for endpoint in &lost {
        updates.push((endpoint.removed, removed(&endpoint.id)));
        updates.push((endpoint.returned, ready_since(&endpoint.id, 35.0)));
    }
    updates.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let mut timeline = zone_local_fleet();
    for (told, update) in updates {
        timeline.run_until(told);
        timeline.step(|controller, now| controller.endpoints_updated(now, &[update]));
    }
    timeline.run_until(60.0);
    let worst = worst_load(&timeline, &lost, 35.0, 60.0);
    assert!(worst > 0.0, "the endpoints are used again");
    worst
}

/// Guards against the first of several cold endpoints that return to a zone: where requests must not leave
/// the zone, it got all of them and collapsed, while the others waited for their weights.
#[test]
fn no_endpoint_collapses_when_all_of_a_zone_return_cold_one_after_the_other() {
    for told_every_secs in [0.0, 0.3, 1.0, 2.5] {
        let returned = [0.0, 1.0, 2.0, 3.0, 4.0].map(|position| 35.3 + told_every_secs * position);
        let worst = worst_load_of_a_lost_zone([31.0, 31.5, 32.0, 32.5, 33.0], returned);
        assert!(worst <= 1.0, "told every {told_every_secs} s: {worst:.2} of the load");
    }
}

/// As before, but the list tells late of some losses: until then, the cold endpoints seem to be beside warm
/// ones.
#[test]
fn no_endpoint_collapses_when_the_first_of_a_zone_returns_before_the_last_is_removed() {
    let worst = worst_load_of_a_lost_zone([31.0, 32.0, 33.0, 35.5, 36.5], [35.3, 35.6, 38.9, 39.2, 39.5]);
    assert!(worst <= 1.0, "{worst:.2} of the load");
}
