//! Injection of the scheduled faults.

use crate::endpoint_work::AttemptStage;
use crate::engine::Engine;
use crate::event::{AttemptOutcome, Event};
use crate::fault::Fault;
use crate::results::RequestEnd;
use otterwinch::host::EndpointState;

impl Engine<'_> {
    /// Injects a fault that is due now.
    pub(crate) fn inject_fault(&mut self, index: u32) {
        match self.faults[index as usize].fault.clone() {
            Fault::Crash(endpoint) => self.crash_endpoint(endpoint),
            Fault::Restart(endpoint) => self.restart_endpoint(endpoint),
            Fault::Drain(endpoint) => {
                self.endpoints[endpoint as usize].state = EndpointState::Draining;
                self.publish_endpoints(&[endpoint]);
            }
            Fault::SlowDown(endpoint, factor) => self.endpoints[endpoint as usize].slowdown = factor,
            Fault::FailRequests(endpoint, fraction) => {
                self.endpoints[endpoint as usize].failure_rate = fraction
            }
            Fault::Hang(endpoint, hangs) => self.endpoints[endpoint as usize].hangs = hangs,
            Fault::ZoneOutage(zone) => self.fail_zone(zone),
            Fault::ZoneRecovery(zone) => self.recover_zone(zone),
        }
    }

    fn fail_zone(&mut self, zone: usize) {
        for endpoint in self.endpoints_in_zone(zone) {
            self.crash_endpoint(endpoint);
        }
        for proxy in std::mem::take(&mut self.live_proxies[zone]) {
            self.crash_proxy(proxy);
        }
    }

    fn recover_zone(&mut self, zone: usize) {
        for endpoint in self.endpoints_in_zone(zone) {
            self.restart_endpoint(endpoint);
        }
        for proxy_index in 0..self.proxies.len() as u32 {
            let proxy = &mut self.proxies[proxy_index as usize];
            if proxy.zone == zone && !proxy.up {
                proxy.up = true;
                self.live_proxies[zone].push(proxy_index);
                self.connect_proxy(proxy_index);
            }
        }
    }

    /// The indices of the endpoints of a zone, in ascending order.
    pub(crate) fn endpoints_in_zone(&self, zone: usize) -> Vec<u32> {
        let indexed = (0..).zip(&self.endpoints);
        indexed.filter(|(_, endpoint)| endpoint.zone == zone).map(|(index, _)| index).collect()
    }

    /// Terminates the process of an endpoint: its attempts are lost, and the endpoint list reports it after a
    /// delay.
    pub(crate) fn crash_endpoint(&mut self, endpoint_index: u32) {
        let endpoint = &mut self.endpoints[endpoint_index as usize];
        if !endpoint.up {
            return;
        }
        endpoint.crash(self.now);
        let lost = self.attempts.slots_where(|attempt| {
            let at_endpoint =
                matches!(attempt.stage, AttemptStage::Queued | AttemptStage::Running | AttemptStage::Hanging);
            attempt.endpoint == endpoint_index && at_endpoint
        });
        for attempt in lost {
            self.send_outcome_to_proxy(attempt, AttemptOutcome::ConnectionBroken);
        }
        self.publish_endpoints(&[endpoint_index]);
    }

    fn restart_endpoint(&mut self, endpoint_index: u32) {
        let endpoint = &mut self.endpoints[endpoint_index as usize];
        if endpoint.up {
            return;
        }
        endpoint.restart(self.now);
        self.publish_endpoints(&[endpoint_index]);
    }

    /// Crashes a proxy: all its connections and attempts are lost.
    fn crash_proxy(&mut self, proxy_index: u32) {
        self.proxies[proxy_index as usize].up = false;
        self.disconnect_proxy(proxy_index);
        self.close_idle_connections_of(proxy_index);
        let lost = self.attempts.slots_where(|attempt| attempt.proxy == proxy_index && !attempt.abandoned);
        for slot in lost {
            self.drop_attempt(slot);
        }
        // After its recovery it counts as unassigned; it uses its old table until the next message.
        let proxy = &mut self.proxies[proxy_index as usize];
        proxy.has_assigned_table = proxy.instance.is_none();
    }

    fn close_idle_connections_of(&mut self, proxy_index: u32) {
        let pools = std::mem::take(&mut self.proxies[proxy_index as usize].pools);
        for (endpoint, pool) in pools {
            let endpoint = &mut self.endpoints[endpoint as usize];
            if pool.incarnation == endpoint.incarnation {
                endpoint.open_connections -= pool.idle_since.len() as u32;
            }
        }
    }

    /// Drops an attempt whose proxy crashed: the endpoint notices that its connection was closed, and the
    /// client may retry.
    fn drop_attempt(&mut self, slot: u32) {
        self.attempts[slot].abandoned = true;
        let request = self.attempts[slot].request;
        let attempt = self.attempts.handle(slot);
        self.schedule(self.now, Event::ConnectionClosed { attempt });
        if self.requests.is_current(request) {
            self.requests[request.slot].proxy_attempt = None;
            self.retry_or_end(request.slot, RequestEnd::Failed, false, self.now);
        }
    }
}
