//! The configuration of a fleet's control-plane process, with the field names and units of the published
//! settings.

use otterwinch::time::Span;
use otterwinch_fleet::model::Fleet;
use serde_json::{json, Value};

#[cfg(test)]
mod tests;

/// The relative cost of a request that leaves its zone, in fleets with cross-zone costs.
const CROSS_ZONE_COST: f64 = 0.04;
/// The control plane's limit on open sockets.
const MAX_SOCKETS: u32 = 1024;
/// The control plane's limit on memory, in megabytes.
const MAX_MEMORY_MB: u32 = 192;

/// The values from which the configuration of a control-plane process is built.
pub(crate) struct ControlPlaneConfig<'a> {
    pub(crate) fleet: &'a Fleet,
    /// The name of the instance.
    pub(crate) name: &'a str,
    /// The address that the instance listens on.
    pub(crate) listen_address: &'a str,
    pub(crate) endpoint_list_address: &'a str,
    pub(crate) relay_address: &'a str,
    /// The endpoint list at the start, in the protocol's JSON form.
    pub(crate) initial_endpoint_list: Value,
    pub(crate) seed: u64,
}

impl ControlPlaneConfig<'_> {
    /// The content of the configuration file.
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "listen": self.listen_address,
            "discovery": self.endpoint_list_address,
            "relay": {"address": self.relay_address},
            "known": self.initial_endpoint_list,
            "seed": format!("{:x}", self.seed),
            "limits": {"sockets": MAX_SOCKETS, "memory_mb": MAX_MEMORY_MB},
            "settings": settings_json(self.fleet),
        })
    }
}

fn settings_json(fleet: &Fleet) -> Value {
    let control_plane = &fleet.control_plane;
    let zones: Vec<&str> = fleet.zones.iter().map(|zone| zone.name.as_str()).collect();
    let has_cross_zone_costs = control_plane.has_cross_zone_costs && fleet.zones.len() > 1;
    let cross_zone_cost = if has_cross_zone_costs { CROSS_ZONE_COST } else { 0.0 };
    json!({
        "zones": zones,
        "classes": request_classes_json(fleet),
        "charges": {"crossZone": cross_zone_cost},
        "familyInfo": channel_json(fleet),
        "guarantees": {
            "drainGraceUs": control_plane.drain_grace.as_us(),
            "coldUs": control_plane.slow_start_window.as_us(),
        },
        "replicasOfMe": control_plane.instance_count,
    })
}

fn request_classes_json(fleet: &Fleet) -> Vec<Value> {
    let mut classes = Vec::new();
    for class in &fleet.request_classes {
        classes.push(json!({
            "name": class.name,
            "promiseUs": class.latency_objective.as_us(),
            "importance": class.priority_weight,
        }));
    }
    classes
}

/// The settings of the proxies and of the channel to them.
fn channel_json(fleet: &Fleet) -> Value {
    let control_plane = &fleet.control_plane;
    let proxy_count: u32 = fleet.zones.iter().map(|zone| zone.proxy_count).sum();
    json!({
        "proxyCount": proxy_count,
        "channelRate": control_plane.channel_rate,
        "fixedCost": control_plane.message_overhead_lines,
        "mostWaiting": control_plane.max_queued_lines,
        "transitMaxUs": max_transit(control_plane.message_delay).as_us(),
        "reportEveryUs": control_plane.report_interval.as_us(),
        "initialSet": fleet.proxies.initial_table_size,
        "throttleBy": "fraction",
    })
}

/// The upper bound on the transit time of a message that the control plane is configured with. It is twice
/// the emulated delay, because the machine that runs the emulation adds to the delay.
fn max_transit(message_delay: Span) -> Span {
    Span::from_us(message_delay.as_us() * 2)
}
