use super::super::ProxySpec;
use super::RoutingState;
use otterwinch::host::RetryPolicy;
use otterwinch_simulation::route_table::{AdmissionLevel, TableSnapshot, WeightedEndpoints};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The routing state of a proxy with endpoints 1 and 2 in its initial table, and one request class.
fn routing() -> RoutingState {
    let spec = ProxySpec {
        number: 0,
        zone: 0,
        request_class_count: 1,
        initial_table_size: 2,
        assigned_table: None,
        default_retry: RetryPolicy::Never,
        idle_timeout: Duration::from_secs(1),
        apply_time_per_line: Duration::from_millis(2),
        zone_latency: vec![Duration::ZERO],
        seed: 7,
    };
    RoutingState::new(vec![1, 2], &spec)
}

fn table(endpoint: u32, admitted: f64) -> Arc<TableSnapshot> {
    Arc::new(TableSnapshot {
        endpoints: WeightedEndpoints::new([(endpoint, 1.0)].into_iter()),
        admission: vec![Some(AdmissionLevel { admitted, retry: RetryPolicy::Once })],
    })
}

#[test]
fn an_ejected_endpoint_is_left_out_of_the_initial_table() {
    let mut routing = routing();
    routing.apply(None, &BTreeSet::from([1]), 1.0);
    for _ in 0..20 {
        let route = routing.route(0);
        assert_eq!((route.endpoint, route.retry), (Some(2), None));
    }
    assert_eq!(routing.pick_other(2), None);
    assert!(!routing.is_assigned() && routing.in_initial_table(1));
}

#[test]
fn an_assigned_table_replaces_the_initial_one_until_a_restart() {
    let mut routing = routing();
    routing.apply(Some(table(9, 1.0)), &BTreeSet::new(), 1.0);
    let route = routing.route(0);
    assert_eq!((route.endpoint, route.retry), (Some(9), Some(RetryPolicy::Once)));
    routing.apply(None, &BTreeSet::from([9]), 1.0);
    assert_eq!(routing.route(0).endpoint, Some(9));
    assert!(routing.is_assigned());
    routing.reset();
    assert!(!routing.is_assigned());
    assert_ne!(routing.route(0).endpoint, Some(9));
}

#[test]
fn the_admission_level_sets_the_fraction_of_admitted_requests() {
    let mut routing = routing();
    routing.apply(Some(table(9, 0.0)), &BTreeSet::new(), 1.0);
    assert!((0..20).all(|_| routing.route(0).endpoint.is_none()));
    routing.apply(Some(table(9, 0.5)), &BTreeSet::new(), 1.0);
    let admitted = (0..1000).filter(|_| routing.route(0).endpoint.is_some()).count();
    assert!((400..600).contains(&admitted), "{admitted}");
}

#[test]
fn a_message_is_applied_after_the_time_for_its_lines_and_never_before_an_earlier_one() {
    let mut routing = routing();
    let started_at = Instant::now();
    let first_applied_at = routing.apply(None, &BTreeSet::new(), 1000.0);
    assert!(first_applied_at >= started_at + Duration::from_secs(2));
    let second_applied_at = routing.apply(None, &BTreeSet::new(), 1.0);
    assert_eq!((second_applied_at, routing.applied_at()), (first_applied_at, first_applied_at));
}
