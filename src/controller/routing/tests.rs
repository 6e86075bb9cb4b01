use super::{RouteTable, REMOTE_ENDPOINTS_DIVISOR};
use crate::config::ControllerConfig;
use crate::controller::channel::ChannelLimits;
use crate::controller::placement::ARCS_PER_ZONE;
use crate::controller::test_support::Timeline;
use crate::host::{EndpointUpdate, Timer};
use crate::test_support::{
    at, config, draining, ready, ready_since, removed, running_controller, Command, TestController,
};
use crate::time::Span;
use std::collections::BTreeSet;

fn in_zone(zone: u32, update: EndpointUpdate) -> EndpointUpdate {
    EndpointUpdate { zone, ..update }
}

#[test]
fn a_table_holds_every_listed_endpoint_at_its_listed_weight() {
    let mut controller = running_controller(config(), &[], 1);
    controller.endpoint_list_replaced(at(1.0), &[ready("a"), in_zone(3, ready("b"))]);
    assert_eq!((controller.host.weight(0, "a"), controller.host.weight(0, "b")), (Some(2.0), Some(2.0)));
}

#[test]
fn the_home_zone_keeps_most_requests_where_crossing_zones_costs() {
    let mut controller =
        running_controller(ControllerConfig { has_cross_zone_costs: true, ..config() }, &["a"], 1);
    controller.proxy_joined(at(1.0), 1, 1, 10.0, true);
    controller.endpoints_updated(at(2.0), &[in_zone(1, ready("b"))]);
    assert!((controller.host.weight(ARCS_PER_ZONE, "b").unwrap() / 2.0 - 1.0 / 9.0).abs() < 1e-9);
}

#[test]
fn a_zone_without_endpoints_uses_remote_endpoints_at_full_weight() {
    let mut controller =
        running_controller(ControllerConfig { has_cross_zone_costs: true, ..config() }, &["a"], 0);
    controller.proxy_joined(at(1.0), 1, 5, 10.0, true);
    controller.timer_fired(at(1.2), Timer::Recheck);
    assert_eq!(controller.host.weight(6 * ARCS_PER_ZONE, "a"), Some(2.0));
}

/// The class at position 0 of the configuration may use all zones.
const UNRESTRICTED: usize = 0;
/// The class at position 1 must stay in its zone, in a configuration made by [`with_zone_local_class`].
const ZONE_LOCAL: usize = 1;

fn with_zone_local_class(has_cross_zone_costs: bool) -> ControllerConfig {
    let mut config = ControllerConfig { has_cross_zone_costs, ..config() };
    config.request_classes[ZONE_LOCAL].zone_local = true;
    config
}

/// A controller with a zone-local class, the endpoint "a" in zone 0 and the endpoint "b" in zone 1, and the
/// proxies 0 and 1 in the zones of the same numbers.
fn controller_with_zone_local_class(has_cross_zone_costs: bool) -> TestController {
    let mut controller = running_controller(with_zone_local_class(has_cross_zone_costs), &[], 0);
    controller.endpoint_list_replaced(at(0.5), &[ready("a"), in_zone(1, ready("b"))]);
    for proxy in 0..2 {
        controller.proxy_joined(at(0.6), proxy, proxy, 10.0, true);
    }
    controller.timer_fired(at(0.8), Timer::Recheck);
    controller
}

#[test]
fn the_table_of_a_zone_local_class_holds_only_its_home_zone() {
    for has_cross_zone_costs in [false, true] {
        let mut controller = controller_with_zone_local_class(has_cross_zone_costs);
        controller.endpoints_updated(at(2.0), &[in_zone(1, ready("c"))]);
        let usable = |proxy, class| Vec::from_iter(controller.host.usable_endpoints(proxy, class));
        assert_eq!((usable(0, ZONE_LOCAL), usable(1, ZONE_LOCAL)), (vec!["a"], vec!["b", "c"]));
    }
}

/// Guards against a table for all classes that holds only the home zone because one class must not leave it:
/// the other classes then have no endpoint once those of the zone are gone.
#[test]
fn a_zone_local_class_does_not_keep_the_other_classes_in_their_zone() {
    for has_cross_zone_costs in [false, true] {
        let mut controller = controller_with_zone_local_class(has_cross_zone_costs);
        controller.endpoints_updated(at(2.0), &[in_zone(1, removed("b"))]);
        controller.timer_fired(at(3.0), Timer::Evaluation);
        let usable = |proxy, class| Vec::from_iter(controller.host.usable_endpoints(proxy, class));
        assert_eq!((usable(0, UNRESTRICTED), usable(1, UNRESTRICTED)), (vec!["a"], vec!["a"]));
        assert_eq!((usable(0, ZONE_LOCAL), usable(1, ZONE_LOCAL)), (vec!["a"], vec![]));
    }
}

/// The same fault at a join: the proxy kept its initial table, for all classes, until its zone had endpoints.
#[test]
fn a_proxy_that_joins_in_a_zone_without_endpoints_is_assigned_a_table_for_the_other_classes() {
    let mut controller = controller_with_zone_local_class(true);
    controller.proxy_joined(at(2.0), 2, 7, 10.0, false);
    controller.timer_fired(at(2.2), Timer::Recheck);
    assert_eq!(Vec::from_iter(controller.host.usable_endpoints(2, UNRESTRICTED)), ["a", "b"]);
    assert_eq!(controller.host.tables_of(2).len(), 1);
    controller.endpoints_updated(at(4.0), &[in_zone(7, ready("c"))]);
    assert_eq!(Vec::from_iter(controller.host.usable_endpoints(2, ZONE_LOCAL)), ["c"]);
}

#[test]
fn if_all_classes_are_zone_local_each_proxy_has_one_table() {
    let mut config = config();
    config.request_classes.iter_mut().for_each(|class| class.zone_local = true);
    let mut controller = running_controller(config, &["a"], 1);
    controller.endpoints_updated(at(2.0), &[in_zone(1, ready("b"))]);
    controller.proxy_joined(at(2.0), 9, 0, 10.0, true);
    controller.timer_fired(at(2.2), Timer::Recheck);
    let table = controller.host.tables_of(9)[0];
    assert_eq!(controller.host.tables_of(9), [table]);
    assert_eq!(controller.tables.by_number[&table].weights.len(), 1);
}

#[test]
fn each_table_has_the_admission_levels_of_its_own_classes() {
    let mut controller = controller_with_zone_local_class(true);
    controller.admission.levels = vec![0.5, 0.25];
    controller.timer_fired(at(5.0), Timer::Recheck);
    for class in [UNRESTRICTED, ZONE_LOCAL] {
        let level = controller.admission.levels[class];
        let sets_level = |command: &&Command| matches!(command, Command::SetAdmission { admitted, .. } if *admitted == level);
        let tables: BTreeSet<u32> =
            controller.host.commands.iter().filter(sets_level).map(table_of).collect();
        assert_eq!(tables.len(), 2, "one table of the class in each zone");
    }
}

fn table_of(command: &Command) -> u32 {
    match command {
        Command::SetAdmission { table, .. } => *table,
        other => panic!("not an admission level: {other:?}"),
    }
}

/// A controller with 60 endpoints in each of two zones, 60 proxies spread over both, and tables of at most 16
/// endpoints.
fn controller_with_small_tables() -> TestController {
    let config = ControllerConfig {
        has_cross_zone_costs: true,
        proxy_count: 60,
        message_overhead_lines: 2.5,
        ..config()
    };
    let mut controller = running_controller(config, &[], 0);
    let fleet: Vec<EndpointUpdate> = (0..120).map(|k| in_zone(k % 2, ready(&format!("s{k}")))).collect();
    controller.endpoint_list_replaced(at(0.5), &fleet);
    for proxy in 0..60 {
        controller.proxy_joined(at(0.6), proxy, proxy % 2, 10.0, true);
    }
    controller.timer_fired(at(0.8), Timer::Recheck);
    controller
}

// A table is too large if not all of its proxies could be notified in time to stop using an endpoint.
#[test]
fn a_fleet_too_large_for_one_table_is_split_into_arcs() {
    let controller = controller_with_small_tables();
    let max_table_size = ChannelLimits::new(&controller.config, &controller.endpoints).max_table_size;
    let tables: Vec<&RouteTable> = controller.tables.by_number.values().collect();
    assert!(tables.len() > 8);
    assert!(tables.iter().all(|table| table.weights.len() == max_table_size));
    let home_endpoints = |table: &RouteTable| {
        let zone = |id: &str| controller.endpoints.get(id).unwrap().zone;
        table.weights.keys().filter(|id| Some(zone(id)) == table.home_zone).count()
    };
    assert!(tables.iter().all(|table| {
        home_endpoints(table) * REMOTE_ENDPOINTS_DIVISOR
            >= table.weights.len() * (REMOTE_ENDPOINTS_DIVISOR - 1)
    }));
}

#[test]
fn new_endpoints_displace_few_endpoints_from_the_arcs() {
    let mut controller = controller_with_small_tables();
    let new: Vec<EndpointUpdate> =
        (0..8).map(|k| in_zone(k % 2, ready_since(&format!("n{k}"), 1.0))).collect();
    controller.endpoints_updated(at(2.0), &new);
    controller.timer_fired(at(4.0), Timer::Evaluation);
    let is_removal =
        |command: &Command| matches!(command, Command::SetWeight { weight, .. } if *weight == 0.0);
    assert!(controller.host.count(is_removal) <= 16);
}

/// Guards against arcs that move on as the fleet grows and use up the message limit with it: the removal of a
/// draining endpoint then waited for seconds, as the displaced endpoints passed for overdue removals.
#[test]
fn a_draining_endpoint_is_removed_within_the_grace_while_the_fleet_grows() {
    let config = ControllerConfig {
        proxy_count: 75,
        channel_rate: 1800.0,
        max_queued_lines: 1800.0,
        max_transit: Span::from_secs(0.275),
        drain_grace: Span::from_secs(1.5),
        ..config()
    };
    let mut controller = running_controller(config, &[], 0);
    let fleet: Vec<EndpointUpdate> = (0..26).map(|k| ready(&format!("s{k}"))).collect();
    controller.endpoint_list_replaced(at(0.5), &fleet);
    for proxy in 0..40 {
        controller.proxy_joined(at(0.6), proxy, 0, 3.7, true);
    }
    let mut timeline = Timeline::new(controller, at(0.6));
    timeline.run_until(60.0);
    for step in 0..36 {
        let listed_at = 60.0 + 0.3 * f64::from(step);
        timeline.run_until(listed_at);
        let new = ready_since(&format!("n{step}"), listed_at);
        timeline.step(|controller, now| controller.endpoints_updated(now, &[new]));
        for (drained, endpoint) in [(17, "s1"), (20, "s2"), (23, "s3")] {
            if step == drained {
                timeline.step(|controller, now| controller.endpoints_updated(now, &[draining(endpoint)]));
            }
        }
    }
    timeline.run_until(75.0);
    for (drained_at, endpoint) in [(65.1, "s1"), (66.0, "s2"), (66.9, "s3")] {
        let removes = |command: &Command| match command {
            Command::SetWeight { endpoint: id, weight, .. } => &**id == endpoint && *weight == 0.0,
            _ => false,
        };
        let removed_at = timeline.last_issued(removes).expect("some table held the endpoint");
        let waited = removed_at - at(drained_at);
        assert!(waited <= Span::from_secs(1.5 - 0.275), "{endpoint}: removed {} s later", waited.as_secs());
    }
}
