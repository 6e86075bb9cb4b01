//! How much of the endpoints' core time is in use.

use crate::clock::{micros, secs, SECOND};
use crate::engine::Engine;
use crate::event::Event;

/// How often usage is recorded and idle connections are closed.
pub(crate) const MAINTENANCE_INTERVAL: u64 = SECOND;
/// Usage belongs to the window that ends when it is recorded: it is recorded this long before the next one begins.
const WINDOW_MARGIN_SECONDS: f64 = 0.001;

/// Core-seconds in use, by endpoint.
pub(crate) struct UsageMeter {
    /// Since the load began.
    during_load: Vec<f64>,
    /// Since the simulation began.
    recorded: Vec<f64>,
}

impl UsageMeter {
    pub(crate) fn new(endpoints: usize) -> Self {
        UsageMeter { during_load: vec![0.0; endpoints], recorded: vec![0.0; endpoints] }
    }

    /// Core-seconds that an endpoint used while the load lasted.
    pub(crate) fn core_seconds(&self, endpoint: usize) -> f64 {
        self.during_load[endpoint]
    }
}

impl Engine<'_> {
    /// Records what the endpoints used since it was recorded last.
    pub(crate) fn record_usage(&mut self) {
        let at = secs(self.now.saturating_sub(self.load_start)) - WINDOW_MARGIN_SECONDS;
        let during_load = self.now > self.load_start && !self.load_ended;
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let used = endpoint.used_core_seconds(self.now);
            let newly_used = used - self.usage.recorded[index];
            self.usage.recorded[index] = used;
            if during_load {
                self.usage.during_load[index] += newly_used;
                self.results.window(at).used_core_seconds[endpoint.zone] += newly_used;
            }
        }
    }

    /// Records usage and closes connections that have been idle for too long.
    pub(crate) fn maintain(&mut self) {
        self.record_usage();
        self.close_idle_connections();
        self.schedule(self.now + MAINTENANCE_INTERVAL, Event::Maintenance);
    }

    fn close_idle_connections(&mut self) {
        let oldest_use = self.now.saturating_sub(micros(self.fleet.proxies.idle_timeout));
        for proxy in &mut self.proxies {
            for (endpoint, pool) in &mut proxy.pools {
                let endpoint = &mut self.endpoints[*endpoint as usize];
                if pool.incarnation != endpoint.incarnation {
                    pool.idle_since.clear();
                    continue;
                }
                let open_before = pool.idle_since.len();
                pool.idle_since.retain(|since| *since > oldest_use);
                endpoint.open_connections -= (open_before - pool.idle_since.len()) as u32;
            }
        }
    }
}
