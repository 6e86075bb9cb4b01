//! Validates the proxies, the control plane and the channels between them.

use super::{span_from_millis, MAX_MS};
use crate::model::{ControlPlane, Proxies};
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;
use std::ops::RangeInclusive;

const DEFAULT_IDLE_TIMEOUT_SECONDS: f64 = 10.0;
const DEFAULT_INITIAL_TABLE_SIZE: u32 = 12;
const DEFAULT_LINES_PER_SECOND: f64 = 15_000.0;
const DEFAULT_OVERHEAD_LINES: f64 = 10.0;
const MAX_MESSAGE_DELAY_MS: f64 = 60_000.0;

pub(super) fn proxies(validator: &Validator, message: &proto::Forwarders) -> Proxies {
    let line_us = message.line_us.unwrap_or(0.0);
    let line_us = validator.field("line_us").in_range(line_us, 0.0..=10_000.0, "microseconds");
    let idle_seconds = message.idle_s.unwrap_or(DEFAULT_IDLE_TIMEOUT_SECONDS);
    let idle_seconds = validator.field("idle_s").in_range(idle_seconds, 0.1..=3_600.0, "s");
    let table_size = message.standing.unwrap_or(DEFAULT_INITIAL_TABLE_SIZE);
    Proxies {
        idle_timeout: Span::from_secs(idle_seconds),
        retries_unexecuted_attempts: message.again() != proto::Again::Never,
        apply_time_per_line: Span::from_secs(line_us / 1e6),
        initial_table_size: validator.field("standing").count_in_range(table_size, 1..=1_000, "endpoints"),
    }
}

pub(super) fn control_plane(
    validator: &Validator,
    message: &proto::Supervisors,
    longest_warm_up: Span,
) -> ControlPlane {
    let time = |field: &str, value: Option<f64>, default: f64, bounds: RangeInclusive<f64>| {
        span_from_millis(validator.field(field).in_range(value.unwrap_or(default), bounds, "ms"))
    };
    let channel_rate = message.lines_per_s.unwrap_or(DEFAULT_LINES_PER_SECOND);
    let channel_rate = validator.field("lines_per_s").in_range(channel_rate, 10.0..=1e7, "lines per second");
    // By default, as many lines may be queued as the channel sends in a second.
    let max_queued_lines = message.most_waiting.unwrap_or(channel_rate);
    let overhead_lines = message.head_lines.unwrap_or(DEFAULT_OVERHEAD_LINES);
    let slow_start_seconds = message.cold_for_s.unwrap_or(longest_warm_up.as_secs());
    let instance_count = message.count.unwrap_or(1);
    ControlPlane {
        instance_count: validator.field("count").count_in_range(instance_count, 1..=64, "supervisors"),
        report_interval: time("report_every_ms", message.report_every_ms, 1_000.0, 100.0..=60_000.0),
        report_delay: time("report_late_ms", message.report_late_ms, 500.0, 0.0..=MAX_MESSAGE_DELAY_MS),
        endpoint_list_delay: time("list_late_ms", message.list_late_ms, 2_000.0, 0.0..=MAX_MS),
        channel_rate,
        message_overhead_lines: validator.field("head_lines").in_range(
            overhead_lines,
            0.0..=10_000.0,
            "lines",
        ),
        max_queued_lines: validator.field("most_waiting").in_range(max_queued_lines, 10.0..=1e8, "lines"),
        message_delay: time("message_ms", message.message_ms, 150.0, 0.0..=MAX_MESSAGE_DELAY_MS),
        drain_grace: time("drain_grace_ms", message.drain_grace_ms, 1_500.0, 100.0..=MAX_MS),
        slow_start_window: Span::from_secs(validator.field("cold_for_s").in_range(
            slow_start_seconds,
            0.0..=3_600.0,
            "s",
        )),
        has_cross_zone_costs: message.crossing_costs.unwrap_or(true),
    }
}
