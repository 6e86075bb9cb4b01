//! Starts the endpoints and the proxies of a fleet.

use super::TableSource;
use crate::endpoint::{Endpoint, EndpointSpec};
use crate::live_proxies::LiveProxies;
use crate::network::Network;
use crate::proxy::{EndpointDirectory, Proxy, ProxySpec};
use crate::time::duration;
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::model::{EndpointGroup, Fleet};
use otterwinch_simulation::endpoint_speeds;
use otterwinch_simulation::route_table::{AdmissionLevel, TableSnapshot, WeightedEndpoints};
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// Starts the endpoints in the fleet's order.
pub(super) fn start_endpoints(
    fleet: &Fleet,
    network: &Network,
    seed: u64,
    now: Instant,
) -> io::Result<Vec<Endpoint>> {
    let mut endpoints = Vec::new();
    for (group_index, group) in fleet.groups.iter().enumerate() {
        let started = group_start(group, now);
        for (index, speed) in (0..).zip(endpoint_speeds(group, group_index, seed)) {
            let spec = EndpointSpec { group, group_index, index, speed, started, seed };
            endpoints.push(Endpoint::start(network, spec)?);
        }
    }
    Ok(endpoints)
}

/// When the endpoints of a group were started; `None` if that was long ago, or earlier than an [`Instant`]
/// can represent.
pub(super) fn group_start(group: &EndpointGroup, now: Instant) -> Option<Instant> {
    now.checked_sub(duration(group.uptime?))
}

/// Starts the proxies, zone by zone.
pub(super) fn start_proxies(
    fleet: &Fleet,
    network: &Network,
    seed: u64,
    endpoints: &[Endpoint],
    table_source: &TableSource,
) -> io::Result<Vec<Proxy>> {
    let directory = Arc::new(EndpointDirectory {
        addresses: endpoints.iter().map(|endpoint| endpoint.address.clone()).collect(),
        zones: endpoints.iter().map(|endpoint| endpoint.zone).collect(),
    });
    let mut proxies = Vec::new();
    for (zone_index, zone) in fleet.zones.iter().enumerate() {
        let fixed_table = fixed_table(table_source, zone_index);
        for _ in 0..zone.proxy_count {
            let number = proxies.len() as u32;
            let spec = proxy_spec(fleet, number, zone_index, fixed_table.clone(), seed);
            proxies.push(Proxy::start(network, spec, directory.clone())?);
        }
    }
    Ok(proxies)
}

/// The registry of running proxies, with all proxies in it.
pub(super) fn live_proxies(fleet: &Fleet, proxies: &[Proxy]) -> LiveProxies {
    let mut addresses = vec![Vec::new(); fleet.zones.len()];
    for proxy in proxies {
        addresses[proxy.zone].push(proxy.address.clone());
    }
    LiveProxies::new(addresses)
}

fn proxy_spec(
    fleet: &Fleet,
    number: u32,
    zone: usize,
    assigned_table: Option<Arc<TableSnapshot>>,
    seed: u64,
) -> ProxySpec {
    let settings = &fleet.proxies;
    let default_retry =
        if settings.retries_unexecuted_attempts { RetryPolicy::IfNotExecuted } else { RetryPolicy::Never };
    ProxySpec {
        number,
        zone,
        request_class_count: fleet.request_classes.len(),
        initial_table_size: settings.initial_table_size as usize,
        assigned_table,
        default_retry,
        idle_timeout: duration(settings.idle_timeout),
        apply_time_per_line: duration(settings.apply_time_per_line),
        zone_latency: fleet.network.zone_latency[zone].iter().copied().map(duration).collect(),
        seed,
    }
}

/// The table of a zone's proxies; `None` if the tables aren't fixed.
fn fixed_table(table_source: &TableSource, zone: usize) -> Option<Arc<TableSnapshot>> {
    let TableSource::Fixed { weights, admitted } = table_source else { return None };
    let endpoints = WeightedEndpoints::new((0..).zip(weights[zone].iter().copied()));
    let mut admission = Vec::new();
    for admitted in admitted.iter().copied() {
        admission.push(Some(AdmissionLevel { admitted, retry: RetryPolicy::Never }));
    }
    Some(Arc::new(TableSnapshot { endpoints, admission }))
}
