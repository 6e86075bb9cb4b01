//! Forgetting: when an endpoint that was removed from the list long ago is dropped from the registry, and its
//! ejection is lifted.
//!
//! [`Controller`] asks once per evaluation. Without an end to it, each joining proxy would be sent the
//! ejections of all endpoints that ever existed. But an endpoint whose ejection is lifted is used again by
//! every proxy that still has it, so it is kept while one may: while a table or a shard names it, or a proxy
//! waits that may have it in the table that it brought.

use super::endpoints::Endpoint;
use super::Controller;
use crate::host::{EndpointId, Host};
use crate::time::{Moment, Span};

/// How long after it was last ready a removed endpoint is remembered: longer than any proxy stays
/// disconnected while still using its tables, and longer than any drain grace. It also covers the time by
/// which other controllers may have seen an endpoint earlier than this one.
const REMOVED_RETENTION: Span = Span::from_us(60_000_000);

impl<H: Host> Controller<H> {
    /// Forgets endpoints that were removed long ago and lifts their ejections, so that their ids can be used
    /// by new endpoints.
    pub(super) fn forget_removed_endpoints(&mut self, now: Moment) {
        if self.delivery.is_resend_pending {
            return;
        }
        for id in self.forgettable_endpoints(now) {
            let Some(endpoint) = self.endpoints.remove(&id) else { continue };
            if endpoint.ejected {
                self.host.restore_endpoint(&id);
            }
            self.host.forget_endpoint(&id);
        }
    }

    fn forgettable_endpoints(&self, now: Moment) -> Vec<EndpointId> {
        let waiting_since = self.proxies.unassigned_since();
        let may_be_in_use = |id: &EndpointId, endpoint: &Endpoint| {
            self.tables.any_contains(id)
                || self.shards.any_contains(id)
                || waiting_since.iter().any(|joined| may_be_in_table_brought_at(*joined, endpoint))
        };
        let expired = self.endpoints.iter().filter(|(_, endpoint)| is_expired(endpoint, now));
        let unused = expired.filter(|(id, endpoint)| !may_be_in_use(id, endpoint));
        unused.map(|(id, _)| id.clone()).collect()
    }
}

fn is_expired(endpoint: &Endpoint, now: Moment) -> bool {
    !endpoint.listed.is_listed() && now - endpoint.listed.last_ready() > REMOVED_RETENTION
}

/// Whether a proxy that joined at this time may have brought a table that holds the endpoint.
fn may_be_in_table_brought_at(joined: Moment, endpoint: &Endpoint) -> bool {
    joined + REMOVED_RETENTION >= endpoint.listed.first_listed()
        && joined <= endpoint.listed.last_ready() + REMOVED_RETENTION
}

#[cfg(test)]
mod tests;
