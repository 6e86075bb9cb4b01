//! Passes events to the controller, and updates the fleet state of its host accordingly.

use crate::event::Event;
use crate::observed_fleet::JoinedProxy;
use crate::relay_host::RelayHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use std::collections::BTreeSet;

/// Passes one event to the controller and its host.
pub fn dispatch(controller: &mut Controller<RelayHost>, now: Moment, event: Event) {
    match event {
        Event::EndpointListReplaced { mut updates, invalid } => {
            updates.extend(controller.host_mut().fleet().last_listed(&invalid));
            controller.host_mut().replace_endpoint_list(&updates);
            controller.endpoint_list_replaced(now, &updates);
        }
        Event::EndpointsUpdated { updates } => {
            controller.host_mut().update_endpoints(&updates);
            controller.endpoints_updated(now, &updates);
        }
        Event::EndpointWatchFailed => controller.endpoint_watch_failed(now),
        Event::ProxyJoined { proxy, zone, rate, has_initial_table } => {
            controller.host_mut().proxy_joined(proxy, JoinedProxy { zone, rate });
            controller.proxy_joined(now, proxy, zone, rate, has_initial_table);
        }
        Event::ProxyLeft { proxy } => proxy_left(controller, now, proxy),
        Event::ProxySnapshot { joined } => remove_missing_proxies(controller, now, &joined),
        Event::Acknowledged { proxy, number } => {
            if controller.host_mut().fleet().proxies().contains_key(&proxy) {
                controller.commands_acknowledged(now, number, proxy);
            }
        }
        Event::EndpointOutcomes { endpoint, attempts, failures, mean_latency, interval } => {
            if controller.host_mut().fleet().knows_endpoint(&endpoint) {
                controller.outcomes_reported(now, &endpoint, attempts, failures, mean_latency, interval);
            }
        }
        Event::Demand { class, requests } => controller.demand_reported(class, requests),
    }
}

fn remove_missing_proxies(controller: &mut Controller<RelayHost>, now: Moment, joined: &BTreeSet<u32>) {
    let known: Vec<u32> = controller.host_mut().fleet().proxies().keys().copied().collect();
    for proxy in known {
        if !joined.contains(&proxy) {
            proxy_left(controller, now, proxy);
        }
    }
}

fn proxy_left(controller: &mut Controller<RelayHost>, now: Moment, proxy: u32) {
    controller.host_mut().proxy_left(proxy);
    controller.proxy_left(now, proxy);
}

#[cfg(test)]
mod tests;
