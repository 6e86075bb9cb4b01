use super::{RouteTable, ARCS_PER_ZONE, REMOTE_ENDPOINTS_DIVISOR};
use crate::config::ControllerConfig;
use crate::controller::channel::ChannelLimits;
use crate::host::{EndpointUpdate, Timer};
use crate::testing::{at, config, ready, ready_since, running_controller, Command, TestController};

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

#[test]
fn with_a_zone_local_class_a_table_holds_only_its_home_zone() {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    let mut controller = running_controller(config, &["a"], 1);
    controller.endpoints_updated(at(2.0), &[in_zone(1, ready("b")), ready("c")]);
    assert_eq!(controller.host.weight(ARCS_PER_ZONE, "b"), None);
    assert_eq!(controller.host.weight(ARCS_PER_ZONE, "c"), Some(2.0));
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
