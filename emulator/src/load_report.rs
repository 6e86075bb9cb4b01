//! The load report of an interval, as a control-plane instance receives it.

use crate::proxy::{AttemptSums, Proxy};
use std::collections::BTreeMap;

/// The load of some proxies in a report interval.
pub(crate) struct LoadReport {
    /// Sorted by the zone of the proxies, then by endpoint.
    pub(crate) outcomes: Vec<EndpointOutcomes>,
    /// Sorted by proxy, then by request class; without classes that had no requests.
    pub(crate) demand: Vec<ProxyDemand>,
}

/// The outcomes of the attempts of one zone's proxies at one endpoint.
pub(crate) struct EndpointOutcomes {
    /// The zone of the proxies.
    pub(crate) zone: usize,
    pub(crate) endpoint: u32,
    pub(crate) sums: AttemptSums,
}

/// The number of requests of one class that clients sent to one proxy.
pub(crate) struct ProxyDemand {
    /// The zone of the proxy.
    pub(crate) zone: usize,
    pub(crate) proxy: u32,
    pub(crate) request_class: usize,
    pub(crate) requests: u64,
}

impl LoadReport {
    /// Takes the load of these proxies since it was last taken.
    pub(crate) fn take<'a>(proxies: impl Iterator<Item = &'a Proxy>) -> LoadReport {
        let mut outcomes = BTreeMap::<(usize, u32), AttemptSums>::new();
        let mut demand = Vec::new();
        for proxy in proxies {
            let load = proxy.take_load();
            for (endpoint, sums) in load.attempts {
                outcomes.entry((proxy.zone, endpoint)).or_default().add(sums);
            }
            for (request_class, requests) in load.requests.into_iter().enumerate() {
                if requests > 0 {
                    demand.push(ProxyDemand {
                        zone: proxy.zone,
                        proxy: proxy.number,
                        request_class,
                        requests,
                    });
                }
            }
        }
        let outcomes = outcomes.into_iter();
        let outcomes = outcomes.map(|((zone, endpoint), sums)| EndpointOutcomes { zone, endpoint, sums });
        LoadReport { outcomes: outcomes.collect(), demand }
    }
}
