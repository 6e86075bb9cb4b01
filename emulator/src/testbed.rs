//! A whole emulated fleet: starts it from its description, with route tables that are fixed or assigned by a
//! control plane, sends it a load and injects faults.
//!
//! `setup.rs` starts the endpoints and proxies, `instance.rs` and `control_plane_process.rs` the control
//! plane; `endpoint_registry.rs` holds the entries of the endpoint list, `fault_injection.rs` injects faults,
//! `run.rs` runs a load.

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

/// How long the control plane may take until it has assigned a route table to each proxy.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// How often the assignments are checked.
const ASSIGNMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The utilisation of the fleet's capacity that corresponds to the rates the proxies announce when they
/// connect.
const EXPECTED_UTILISATION: f64 = 0.6;
/// The least mean work that the expected rate is computed with, in seconds. It keeps the rate finite in a
/// fleet whose requests require no work.
const MIN_MEAN_WORK: f64 = 1e-9;

/// Where the proxies' route tables come from.
#[derive(Clone, Debug, PartialEq)]
pub enum TableSource {
    /// There is no control plane; the tables never change.
    Fixed {
        /// The weight of each endpoint, by zone of the proxies and endpoint index.
        weights: Vec<Vec<f64>>,
        /// The fraction of requests that is admitted, by request class.
        admitted: Vec<f64>,
    },
    /// Control-plane instances in this process, without sockets.
    InProcess,
    /// Control-plane instances that run as separate processes and use the published protocol. Requires
    /// [`Network::Loopback`].
    Program {
        /// The control plane's program.
        path: PathBuf,
        /// The directory in which the configuration and the log of each instance are written.
        directory: PathBuf,
    },
}

/// A running fleet. Dropping it stops the endpoints and the control-plane instances; the proxies, the relays
/// and the endpoint lists run until the runtime shuts down.
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
    /// Starts all components of a fleet except the clients. [`TableSource::InProcess`] requires a
    /// [`tokio::task::LocalSet`], because the controller can't move between threads.
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

    /// The rate of requests that a proxy of a zone announces, per second.
    fn expected_rate(&self, zone: usize) -> f64 {
        let mean_work = self.fleet.mean_work().max(MIN_MEAN_WORK);
        let fleet_rate = self.fleet.capacity() / mean_work * EXPECTED_UTILISATION;
        let zone = &self.fleet.zones[zone];
        fleet_rate * zone.client_share / f64::from(zone.proxy_count)
    }
}

/// Runs a future on a paused clock in the current thread, so that a run on an in-memory network takes a
/// fraction of its emulated time. Runs with the same seed differ only where the result depends on the order
/// in which tasks are scheduled.
#[cfg(any(test, feature = "paused"))]
pub fn run_on_paused_clock<F: std::future::Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime can be started");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
