//! Runs a load and faults on a testbed and collects the results.

use super::Testbed;
use crate::clients::{ClientResults, Clients, Progress};
use crate::endpoint::Endpoint;
use crate::error::TestbedError;
use otterwinch_fleet::ScheduledRequest;
use otterwinch_simulation::{EndpointResult, ScheduledFault};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// The time from the call to the start of the load, which gives the tasks time to get ready.
const START_DELAY: Duration = Duration::from_millis(20);
/// The shortest time over which utilisation is computed, in seconds. It keeps utilisation finite for an empty
/// load.
const MIN_MEASURED_SECONDS: f64 = 1e-3;

/// The results of a run.
#[derive(Clone, Debug)]
pub struct TestbedResult {
    /// The requests as the clients measured them.
    pub clients: ClientResults,
    /// By endpoint, in the fleet's order. Utilisation is measured until the last request is sent, the rest
    /// until all requests have ended.
    pub endpoints: Vec<EndpointResult>,
    /// Attempts of proxies at endpoints of another zone.
    pub cross_zone_attempts: u64,
    /// All attempts of proxies at endpoints.
    pub attempts: u64,
    /// The largest number of lines that were queued at any time in the channel of any control-plane instance.
    pub peak_queued_lines: f64,
    /// The time from the start of the load to its last request, in seconds.
    pub load_seconds: f64,
}

impl Testbed {
    /// Runs a load and faults, which start shortly after the call; returns when all requests have ended and
    /// all faults are injected. `on_start` receives a view of the results, which shows them while the load
    /// runs.
    pub async fn run(
        self: &Arc<Self>,
        load: impl Iterator<Item = ScheduledRequest>,
        faults: &[ScheduledFault],
        on_start: impl FnOnce(Progress),
    ) -> Result<TestbedResult, TestbedError> {
        let load_start = Instant::now() + START_DELAY;
        let mut injections = self.schedule_faults(load_start, faults);
        let used_before = self.used_core_us();
        let live_proxies = self.live_proxies.clone();
        let mut clients = Clients::new(&self.fleet, &self.network, live_proxies, load_start, self.seed);
        on_start(clients.progress());
        clients.send(load).await;
        let load_seconds = clients.load_seconds();
        let used_after = self.used_core_us();
        let client_results = clients.finish().await;
        while let Some(injection) = injections.join_next().await {
            injection??;
        }
        let used_core_us = used_after.iter().zip(&used_before).map(|(after, before)| after - before);
        Ok(TestbedResult {
            clients: client_results,
            endpoints: self.endpoint_results(used_core_us, load_seconds),
            cross_zone_attempts: self.proxies.iter().map(|proxy| proxy.attempt_counts().cross_zone).sum(),
            attempts: self.proxies.iter().map(|proxy| proxy.attempt_counts().total).sum(),
            peak_queued_lines: self.peak_queued_lines(),
            load_seconds,
        })
    }

    fn schedule_faults(
        self: &Arc<Self>,
        load_start: Instant,
        faults: &[ScheduledFault],
    ) -> JoinSet<io::Result<()>> {
        let mut injections = JoinSet::new();
        for ScheduledFault { at, fault } in faults.iter().cloned() {
            let testbed = self.clone();
            injections.spawn(async move {
                sleep_until(load_start + Duration::from_secs_f64(at.max(0.0))).await;
                testbed.inject(&fault)
            });
        }
        injections
    }

    /// The core time used so far, by endpoint, in microseconds.
    fn used_core_us(&self) -> Vec<u64> {
        self.endpoints.iter().map(Endpoint::used_core_us).collect()
    }

    fn peak_queued_lines(&self) -> f64 {
        self.instances.iter().map(|instance| instance.peak_queued_lines()).fold(0.0, f64::max)
    }

    fn endpoint_results(
        &self,
        used_core_us: impl Iterator<Item = u64>,
        load_seconds: f64,
    ) -> Vec<EndpointResult> {
        let measured_seconds = load_seconds.max(MIN_MEASURED_SECONDS);
        let mut results = Vec::new();
        for (endpoint, used_core_us) in self.endpoints.iter().zip(used_core_us) {
            let available_core_us = f64::from(endpoint.cores()) * measured_seconds * 1e6;
            results.push(EndpointResult {
                name: endpoint.name.clone(),
                group: endpoint.group,
                zone: endpoint.zone,
                utilisation: used_core_us as f64 / available_core_us,
                accepted: endpoint.accepted(),
                rejected: endpoint.rejected(),
                refused_connections: endpoint.refused_connections(),
                collapsed: endpoint.collapsed(),
            });
        }
        results
    }
}
