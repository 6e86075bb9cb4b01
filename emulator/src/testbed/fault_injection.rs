//! Injects faults into a running testbed, and publishes the resulting changes of the endpoint list to the
//! control plane.

use super::Testbed;
use crate::time::duration;
use otterwinch::host::EndpointState;
use otterwinch_simulation::Fault;
use std::io;
use tokio::time::sleep;

impl Testbed {
    /// Injects a fault now.
    pub(super) fn inject(&self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Crash(endpoint) => {
                self.endpoints[*endpoint as usize].crash();
                self.publish_state(&[*endpoint], EndpointState::Removed);
            }
            Fault::Restart(endpoint) => {
                self.endpoints[*endpoint as usize].restart()?;
                self.publish_started(&[*endpoint]);
            }
            Fault::Drain(endpoint) => self.publish_state(&[*endpoint], EndpointState::Draining),
            Fault::SlowDown(endpoint, factor) => self.endpoints[*endpoint as usize].set_slowdown(*factor),
            Fault::FailRequests(endpoint, fraction) => {
                self.endpoints[*endpoint as usize].set_failure_fraction(*fraction);
            }
            Fault::Hang(endpoint, hanging) => self.endpoints[*endpoint as usize].set_hanging(*hanging),
            Fault::ZoneOutage(zone) => self.stop_zone(*zone),
            Fault::ZoneRecovery(zone) => self.restart_zone(*zone)?,
        }
        Ok(())
    }

    fn stop_zone(&self, zone: usize) {
        let endpoints = self.endpoints_in(zone);
        for endpoint in &endpoints {
            self.endpoints[*endpoint as usize].crash();
        }
        self.publish_state(&endpoints, EndpointState::Removed);
        self.live_proxies.remove_zone(zone);
        for proxy in self.proxies.iter().filter(|proxy| proxy.zone == zone) {
            proxy.crash();
            self.leave(proxy);
        }
    }

    fn restart_zone(&self, zone: usize) -> io::Result<()> {
        let endpoints = self.endpoints_in(zone);
        for endpoint in &endpoints {
            self.endpoints[*endpoint as usize].restart()?;
        }
        self.publish_started(&endpoints);
        for proxy in self.proxies.iter().filter(|proxy| proxy.zone == zone) {
            proxy.restart()?;
            self.join(proxy);
            self.live_proxies.add(zone, proxy.address.clone());
        }
        Ok(())
    }

    fn endpoints_in(&self, zone: usize) -> Vec<u32> {
        let indexed = (0..).zip(self.endpoints.iter());
        indexed.filter(|(_, endpoint)| endpoint.zone == zone).map(|(index, _)| index).collect()
    }

    fn publish_state(&self, endpoints: &[u32], state: EndpointState) {
        self.registry.set_state(endpoints, state);
        self.publish(endpoints);
    }

    fn publish_started(&self, endpoints: &[u32]) {
        self.registry.set_started(endpoints);
        self.publish(endpoints);
    }

    /// Sends the current entries of some endpoints to all control-plane instances, after the endpoint list's
    /// delay.
    fn publish(&self, endpoints: &[u32]) {
        let update = self.registry.update_for(endpoints);
        let instances = self.instances.clone();
        let delay = duration(self.fleet.control_plane.endpoint_list_delay);
        tokio::spawn(async move {
            sleep(delay).await;
            for instance in instances.iter() {
                instance.update_endpoints(&update);
            }
        });
    }
}
