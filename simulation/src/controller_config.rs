//! Derives the controller's configuration from the description of a fleet.

use otterwinch::config::{AdmissionMode, ControllerConfig, RequestClass};
use otterwinch::time::Span;
use otterwinch_fleet::model::{self, Fleet, Idempotency};

/// Returns the configuration that every control-plane instance of this fleet starts with.
pub fn controller_config(fleet: &Fleet) -> ControllerConfig {
    let control_plane = &fleet.control_plane;
    let min_connections = fleet.groups.iter().map(|group| group.max_connections).min();
    ControllerConfig {
        request_classes: fleet.request_classes.iter().map(request_class).collect(),
        polls_endpoint_list: false,
        has_cross_zone_costs: control_plane.has_cross_zone_costs && fleet.zones.len() > 1,
        admission: AdmissionMode::Fraction,
        proxy_ejection_threshold: 0,
        shards: 0,
        single_writer: false,
        write_lease: Span::ZERO,
        write_settle_time: Span::ZERO,
        report_interval: control_plane.report_interval,
        proxy_count: fleet.zones.iter().map(|zone| zone.proxy_count).sum(),
        min_endpoint_connections: min_connections.unwrap_or(0),
        initial_table_size: fleet.proxies.initial_table_size,
        channel_rate: control_plane.channel_rate,
        message_overhead_lines: control_plane.message_overhead_lines,
        max_queued_lines: control_plane.max_queued_lines,
        max_pushes: 0,
        push_window: Span::ZERO,
        max_transit: control_plane.message_delay * 2.0,
        drain_grace: control_plane.drain_grace,
        slow_start_window: control_plane.slow_start_window,
        initial_capacity: 0.0,
        collapse_multiple: 0.0,
        drain_grace_excludes_removed: false,
    }
}

fn request_class(class: &model::RequestClass) -> RequestClass {
    RequestClass {
        latency_objective: class.latency_objective,
        priority_weight: class.priority_weight,
        zone_local: false,
        writes: class.idempotency != Idempotency::Idempotent,
    }
}
