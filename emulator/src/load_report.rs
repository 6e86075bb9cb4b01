//! The load reports of an interval, as the control plane gets them.

use crate::proxy::{AttemptSums, Proxy};
use std::collections::BTreeMap;

/// The load that proxies met in an interval.
pub(crate) struct LoadReport {
    /// Attempts by zone of the proxies and endpoint, in this order.
    pub(crate) outcomes: Vec<EndpointOutcomes>,
    /// Requests by proxy and request class, in this order; only those that had any.
    pub(crate) demand: Vec<ProxyDemand>,
}

/// What the proxies of one zone met at one endpoint.
pub(crate) struct EndpointOutcomes {
    /// The zone of the proxies.
    pub(crate) zone: usize,
    pub(crate) endpoint: u32,
    pub(crate) sums: AttemptSums,
}

/// Requests of one class that clients sent to one proxy.
pub(crate) struct ProxyDemand {
    /// The zone of the proxy.
    pub(crate) zone: usize,
    pub(crate) proxy: u32,
    pub(crate) request_class: usize,
    pub(crate) requests: u64,
}

impl LoadReport {
    /// Takes the load of these proxies since it was taken last.
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
