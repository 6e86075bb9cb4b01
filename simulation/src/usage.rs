//! Accounting of the core time that endpoints use, and periodic maintenance.

use crate::clock::{micros, secs, SECOND};
use crate::engine::Engine;
use crate::event::Event;

/// The interval at which usage is recorded and idle connections are closed.
pub(crate) const MAINTENANCE_INTERVAL: u64 = SECOND;
/// Subtracted from the time of a recording, so that usage recorded on the boundary of two windows counts in
/// the earlier one.
const WINDOW_MARGIN_SECONDS: f64 = 0.001;

/// Core-seconds that the endpoints have used.
pub(crate) struct UsageMeter {
    /// By endpoint, from the start to the end of the load.
    during_load: Vec<f64>,
    /// By endpoint, from the start of the simulation to the latest recording.
    total: Vec<f64>,
}

impl UsageMeter {
    pub(crate) fn new(endpoint_count: usize) -> Self {
        UsageMeter { during_load: vec![0.0; endpoint_count], total: vec![0.0; endpoint_count] }
    }

    /// Core-seconds that an endpoint used during the load.
    pub(crate) fn core_seconds(&self, endpoint: usize) -> f64 {
        self.during_load[endpoint]
    }
}

impl Engine<'_> {
    /// Records the core time that the endpoints used since the previous recording.
    pub(crate) fn record_usage(&mut self) {
        let at = secs(self.now.saturating_sub(self.load_start)) - WINDOW_MARGIN_SECONDS;
        let during_load = self.now > self.load_start && !self.load_ended;
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            let used = endpoint.used_core_seconds(self.now);
            let newly_used = used - self.usage.total[index];
            self.usage.total[index] = used;
            if during_load {
                self.usage.during_load[index] += newly_used;
                self.results.window(at).used_core_seconds[endpoint.zone] += newly_used;
            }
        }
    }

    /// Records usage and closes connections that exceeded the idle timeout.
    pub(crate) fn run_maintenance(&mut self) {
        self.record_usage();
        self.close_expired_connections();
        self.schedule(self.now + MAINTENANCE_INTERVAL, Event::Maintenance);
    }

    fn close_expired_connections(&mut self) {
        let latest_expired_use = self.now.saturating_sub(micros(self.fleet.proxies.idle_timeout));
        for proxy in &mut self.proxies {
            for (endpoint, pool) in &mut proxy.pools {
                let endpoint = &mut self.endpoints[*endpoint as usize];
                if pool.incarnation != endpoint.incarnation {
                    pool.idle_since.clear();
                    continue;
                }
                let open_before = pool.idle_since.len();
                pool.idle_since.retain(|since| *since > latest_expired_use);
                endpoint.open_connections -= (open_before - pool.idle_since.len()) as u32;
            }
        }
    }
}
