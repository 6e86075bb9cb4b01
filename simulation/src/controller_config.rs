//! What supervisors of a described fleet read at their start.

use otterwinch::config::{AdmissionMode, ControllerConfig, RequestClass};
use otterwinch::time::Span;
use otterwinch_fleet::model::{Fleet, Idempotency};

pub fn controller_config(fleet: &Fleet) -> ControllerConfig {
    let told = &fleet.control_plane;
    let request_class = |p: &otterwinch_fleet::model::RequestClass| RequestClass {
        latency_objective: p.latency_objective,
        priority_weight: p.priority_weight,
        zone_local: false,
        writes: p.idempotency != Idempotency::Idempotent,
    };
    ControllerConfig {
        request_classes: fleet.request_classes.iter().map(request_class).collect(),
        polls_endpoint_list: false,
        cross_zone_costs: told.cross_zone_costs && fleet.zones.len() > 1,
        admission: AdmissionMode::Fraction,
        proxy_ejects_after_failures: 0,
        shards: 0,
        single_writer: false,
        lease: Span::ZERO,
        settle_time: Span::ZERO,
        report_interval: told.report_interval,
        proxy_count: fleet.zones.iter().map(|zone| zone.proxy_count).sum(),
        min_endpoint_connections: fleet.groups.iter().map(|group| group.max_connections).min().unwrap_or(0),
        initial_table_size: fleet.proxies.initial_table_size,
        channel_rate: told.channel_rate,
        message_overhead_lines: told.message_overhead_lines,
        max_queued_lines: told.max_queued_lines,
        max_pushes: 0,
        push_window: Span::ZERO,
        max_transit: told.message_delay * 2.0,
        drain_grace: told.drain_grace,
        slow_start_window: told.slow_start_window,
        removal_not_binding: false,
    }
}
