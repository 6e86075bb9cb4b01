//! Validates the endpoint groups.

use super::{in_range_or_one, required_count, MAX_ENDPOINTS};
use crate::model::{EndpointGroup, OverloadCollapse, Speed, WarmUp};
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;

const DEFAULT_MAX_QUEUED: u32 = 64;
const DEFAULT_MAX_CONNECTIONS: u32 = 1_000;
const MIN_SPEED: f64 = 0.01;
const MAX_SPEED: f64 = 100.0;
const MAX_UPTIME_SECONDS: f64 = 86_400.0;

pub(super) fn endpoint_groups(
    validator: &Validator,
    messages: &[proto::Group],
    zone_names: &[String],
) -> Vec<EndpointGroup> {
    let elements = messages.iter().enumerate();
    let groups: Vec<EndpointGroup> = elements
        .map(|(index, message)| endpoint_group(&validator.element("group", index), message, zone_names))
        .collect();
    let endpoints = groups.iter().map(|group| u64::from(group.count)).sum::<u64>();
    let list = validator.field("group");
    list.require(endpoints <= u64::from(MAX_ENDPOINTS), || {
        format!("{endpoints} endpoints in total are not allowed: {MAX_ENDPOINTS} at most")
    });
    list.require(endpoints > 0 || groups.is_empty(), || {
        "'count' is 0 in every group: it must be above 0 in at least one".into()
    });
    groups
}

fn endpoint_group(validator: &Validator, message: &proto::Group, zone_names: &[String]) -> EndpointGroup {
    let count = required_count(&validator.field("count"), message.count, 0..=MAX_ENDPOINTS, "endpoints");
    let cores = required_count(&validator.field("cores"), message.cores, 1..=1_024, "cores");
    let speed = speed(&validator.field("speed"), message.speed.as_ref());
    let weight = message.weight.unwrap_or(f64::from(cores));
    let weight = validator.field("weight").in_range(weight, 0.001..=1e6, "units of weight");
    let max_queued = message.waiting.unwrap_or(DEFAULT_MAX_QUEUED);
    let max_queued = validator.field("waiting").count_in_range(max_queued, 0..=100_000, "queued requests");
    let max_connections = message.connections.unwrap_or(DEFAULT_MAX_CONNECTIONS);
    let max_connections =
        validator.field("connections").count_in_range(max_connections, 1..=100_000, "connections");
    let connection_ms = message.connection_ms.unwrap_or(0.0);
    let connection_ms = validator.field("connection_ms").in_range(connection_ms, 0.0..=1_000.0, "ms of work");
    let warm_up = message.warm_up.map(|message| warm_up(&validator.field("warm_up"), &message));
    let collapse = validator.field("topples");
    let overload_collapse = message.topples.map(|message| overload_collapse(&collapse, &message));
    collapse.require(overload_collapse.is_none() || warm_up.is_some(), || {
        "is allowed only together with 'warm_up': an endpoint collapses only while it warms up".into()
    });
    let uptime = message.started_s.map(|seconds| {
        Span::from_secs(validator.field("started_s").in_range(seconds, 0.0..=MAX_UPTIME_SECONDS, "s"))
    });
    EndpointGroup {
        name: validator.field("name").identifier(&message.name),
        zone: validator.field("hall").position_of(&message.hall, zone_names, "hall"),
        count,
        cores,
        speed,
        weight,
        max_queued,
        max_connections,
        connection_work: connection_ms / 1e3,
        warm_up,
        overload_collapse,
        finishes_abandoned_requests: message.works_on,
        uptime,
    }
}

fn warm_up(validator: &Validator, message: &proto::WarmUp) -> WarmUp {
    let (from, over) = (validator.field("from"), validator.field("over_s"));
    from.required(message.from, "the fraction of the full speed at the start, 0.01 to 1");
    over.required(message.over_s, "the time from the start to the full speed, 0.1 to 3,600 s");
    let initial_speed_fraction = in_range_or_one(&from, message.from, 0.01..=1.0, "of the full speed");
    let seconds = in_range_or_one(&over, message.over_s, 0.1..=3_600.0, "s");
    WarmUp { initial_speed_fraction, duration: Span::from_secs(seconds) }
}

fn overload_collapse(validator: &Validator, message: &proto::Topples) -> OverloadCollapse {
    let (multiple, over) = (validator.field("multiple"), validator.field("over_s"));
    multiple.required(message.multiple, "the multiple of the work that the endpoint can do, 1 to 100");
    over.required(message.over_s, "the window over which the offered work is counted, 0.1 to 60 s");
    let overload_factor =
        in_range_or_one(&multiple, message.multiple, 1.0..=100.0, "times the work that the endpoint can do");
    let seconds = in_range_or_one(&over, message.over_s, 0.1..=60.0, "s");
    OverloadCollapse { overload_factor, window: Span::from_secs(seconds) }
}

fn speed(validator: &Validator, message: Option<&proto::Speed>) -> Speed {
    let Some(message) = message else { return Speed::Uniform(1.0, 1.0) };
    if !message.measured.is_empty() {
        return measured_speed(validator, message);
    }
    let from = message.from.unwrap_or(1.0);
    let from = validator.field("from").in_range(from, MIN_SPEED..=MAX_SPEED, "times the reference speed");
    let to = message.to.unwrap_or(from);
    Speed::Uniform(from, validator.field("to").in_range(to, from..=MAX_SPEED, "times the reference speed"))
}

fn measured_speed(validator: &Validator, message: &proto::Speed) -> Speed {
    validator.field("measured").require(message.from.is_none() && message.to.is_none(), || {
        "is not allowed together with 'from' or 'to'".into()
    });
    let mut speeds = Vec::with_capacity(message.measured.len());
    for (index, speed) in message.measured.iter().enumerate() {
        let element = validator.element("measured", index);
        speeds.push(element.in_range(*speed, MIN_SPEED..=MAX_SPEED, "times the reference speed"));
    }
    Speed::Measured(speeds)
}
