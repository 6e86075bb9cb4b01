//! Validates the zones and the latencies between them.

use super::{normalize, span_from_millis, MAX_PROXIES};
use crate::model::{Network, Zone};
use crate::proto;
use otterwinch::time::Span;
use otterwinch_textproto::Validator;

const DEFAULT_CLIENT_MS: f64 = 0.5;
const DEFAULT_WITHIN_ZONE_MS: f64 = 0.2;
const DEFAULT_BETWEEN_ZONES_MS: f64 = 1.0;
const MAX_LATENCY_MS: f64 = 1_000.0;

pub(super) fn zones(validator: &Validator, messages: &[proto::Hall]) -> Vec<Zone> {
    let elements = messages.iter().enumerate();
    let mut zones: Vec<Zone> =
        elements.map(|(index, message)| zone(&validator.element("hall", index), message)).collect();
    let proxies: u32 = zones.iter().map(|zone| zone.proxy_count).sum();
    validator.field("hall").require(proxies <= MAX_PROXIES, || {
        format!("{proxies} forwarders in total are not allowed: {MAX_PROXIES} at most")
    });
    let has_clients = normalize(zones.iter_mut().map(|zone| &mut zone.client_share));
    validator.field("hall").require(has_clients || zones.is_empty(), || {
        "'clients' is 0 in every hall: it must be above 0 in at least one".into()
    });
    zones
}

fn zone(validator: &Validator, message: &proto::Hall) -> Zone {
    let proxies = validator.field("forwarders");
    proxies.required(message.forwarders, "the number of forwarders in this hall, 1 to 2,000");
    let proxy_count =
        message.forwarders.map_or(1, |count| proxies.count_in_range(count, 1..=2_000, "forwarders"));
    let client_share = validator.field("clients").in_range(
        message.clients.unwrap_or(1.0),
        0.0..=1_000.0,
        "shares of the clients",
    );
    Zone { name: validator.field("name").identifier(&message.name), proxy_count, client_share }
}

pub(super) fn network(validator: &Validator, message: &proto::Network, zone_names: &[String]) -> Network {
    let latency = |field: &str, value: Option<f64>, default: f64| {
        span_from_millis(validator.field(field).in_range(
            value.unwrap_or(default),
            0.0..=MAX_LATENCY_MS,
            "ms",
        ))
    };
    let client_latency = latency("client_ms", message.client_ms, DEFAULT_CLIENT_MS);
    let within = latency("within_hall_ms", message.within_hall_ms, DEFAULT_WITHIN_ZONE_MS);
    let between = latency("between_halls_ms", message.between_halls_ms, DEFAULT_BETWEEN_ZONES_MS);
    let mut zone_latency = vec![vec![between; zone_names.len()]; zone_names.len()];
    for (zone, row) in zone_latency.iter_mut().enumerate() {
        row[zone] = within;
    }
    for (index, way) in message.way.iter().enumerate() {
        set_latency(&validator.element("way", index), way, zone_names, &mut zone_latency);
    }
    Network { client_latency, zone_latency }
}

/// Sets the latency between two zones in both directions.
fn set_latency(
    validator: &Validator,
    message: &proto::Way,
    zone_names: &[String],
    zone_latency: &mut [Vec<Span>],
) {
    let from = validator.field("from").position_of(&message.from, zone_names, "hall");
    let to = validator.field("to").position_of(&message.to, zone_names, "hall");
    let latency = validator.field("one_way_ms");
    let millis_or_zero =
        latency.required(message.one_way_ms, "the one-way latency between these halls, in ms");
    let span = span_from_millis(latency.in_range(millis_or_zero, 0.0..=MAX_LATENCY_MS, "ms"));
    if from < zone_names.len() && to < zone_names.len() {
        zone_latency[from][to] = span;
        zone_latency[to][from] = span;
    }
}
