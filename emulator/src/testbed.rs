//! A whole emulated fleet: started from its description, with its route tables from the control plane or fixed, played a
//! load and faults.
//!
//! `setup.rs` starts the endpoints and proxies, `instance.rs` and `control_plane_process.rs` the control plane;
//! `endpoint_registry.rs` holds what the endpoint list says, `fault_injection.rs` injects faults, `run.rs` plays a load.

mod control_plane_process;
mod endpoint_registry;
mod fault_injection;
mod instance;
mod run;
mod setup;

use crate::endpoint::Endpoint;
use crate::error::TestbedError;
use crate::live_proxies::LiveProxies;
use crate::network::Network;
use crate::proxy::Proxy;
use crate::proxy_channel::JoinedProxy;
use endpoint_registry::EndpointRegistry;
use instance::Instance;
use otterwinch_fleet::model::Fleet;
pub use run::TestbedResult;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long the control plane may take to assign a route table to each proxy.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the assignments are checked.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The part of the fleet's capacity that the proxies say they expect to use when they connect.
const EXPECTED_UTILISATION: f64 = 0.6;
/// Keeps the expected rate finite in a fleet whose requests cost nothing, in seconds.
const MIN_MEAN_WORK: f64 = 1e-9;

/// Where the proxies' route tables come from.
#[derive(Clone, Debug, PartialEq)]
pub enum TableSource {
    /// There is no control plane; the tables never change.
    Fixed {
        /// By zone of the proxies: the weight of each endpoint.
        weights: Vec<Vec<f64>>,
        /// The fraction of requests that is admitted, by request class.
        admitted: Vec<f64>,
    },
    /// Control-plane instances in this process, without sockets.
    InProcess,
    /// Control-plane instances that are processes of their own, over the published protocol. Needs [`Network::Loopback`].
    Program {
        /// The control plane's program.
        path: PathBuf,
        /// Where the configuration and log of each instance are written.
        directory: PathBuf,
    },
}

/// A running fleet. All its parties stop when it is dropped.
pub struct Testbed {
    fleet: Fleet,
    network: Network,
    seed: u64,
    endpoints: Arc<Vec<Endpoint>>,
    proxies: Arc<Vec<Proxy>>,
    live_proxies: Arc<LiveProxies>,
    registry: EndpointRegistry,
    /// Empty with fixed tables.
    instances: Arc<Vec<Instance>>,
}

impl Testbed {
    /// Starts all parties of a fleet. [`TableSource::InProcess`] has to be started within a [`tokio::task::LocalSet`],
    /// since the controller stays on one thread.
    pub async fn start(
        fleet: &Fleet,
        network: Network,
        seed: u64,
        table_source: &TableSource,
    ) -> Result<Testbed, TestbedError> {
        let now = Instant::now();
        let endpoints = Arc::new(setup::start_endpoints(fleet, &network, seed, now)?);
        let proxies = setup::start_proxies(fleet, &network, seed, &endpoints, table_source)?;
        let mut testbed = Testbed {
            fleet: fleet.clone(),
            network,
            seed,
            live_proxies: Arc::new(setup::live_proxies(fleet, &proxies)),
            registry: EndpointRegistry::new(fleet, endpoints.clone(), now),
            endpoints,
            proxies: Arc::new(proxies),
            instances: Arc::default(),
        };
        testbed.instances = Arc::new(testbed.start_instances(table_source).await?);
        for proxy in testbed.proxies.iter() {
            testbed.join(proxy);
        }
        Ok(testbed)
    }

    /// Waits until the control plane has assigned a route table to each proxy.
    pub async fn wait_until_assigned(&self) -> Result<(), TestbedError> {
        if self.instances.is_empty() {
            return Ok(());
        }
        let deadline = Instant::now() + ASSIGNMENT_TIMEOUT;
        loop {
            let unassigned = self.proxies.iter().filter(|proxy| !proxy.has_assigned_table()).count();
            if unassigned == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let limit_seconds = ASSIGNMENT_TIMEOUT.as_secs();
                return Err(TestbedError::NoRouteTable {
                    unassigned,
                    proxies: self.proxies.len(),
                    limit_seconds,
                });
            }
            sleep(ASSIGNMENT_CHECK_INTERVAL).await;
        }
    }

    /// The control-plane instance that a proxy joins; `None` with fixed tables.
    fn instance_of(&self, proxy: &Proxy) -> Option<&Instance> {
        if self.instances.is_empty() {
            return None;
        }
        let index = proxy.instance_index(self.instances.len() as u32);
        Some(&self.instances[index as usize])
    }

    /// Connects a proxy to its control-plane instance.
    fn join(&self, proxy: &Proxy) {
        let Some(instance) = self.instance_of(proxy) else { return };
        instance.join(JoinedProxy {
            number: proxy.number,
            zone: proxy.zone as u32,
            expected_rate: self.expected_rate(proxy.zone),
            has_initial_table: true,
        });
    }

    /// Disconnects a proxy from its control-plane instance.
    fn leave(&self, proxy: &Proxy) {
        if let Some(instance) = self.instance_of(proxy) {
            instance.leave(proxy.number);
        }
    }

    /// The requests per second that a proxy of a zone says it expects.
    fn expected_rate(&self, zone: usize) -> f64 {
        let mean_work = self.fleet.mean_work().max(MIN_MEAN_WORK);
        let fleet_rate = self.fleet.capacity() / mean_work * EXPECTED_UTILISATION;
        let zone = &self.fleet.zones[zone];
        fleet_rate * zone.client_share / f64::from(zone.proxy_count)
    }
}

/// Runs a future on a paused clock within one thread, so that a run in an in-memory network takes a fraction of its
/// emulated time. The same seed gives the same course but for what depends on the order in which tasks wake.
#[cfg(any(test, feature = "paused"))]
pub fn run_on_paused_clock<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be started");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
