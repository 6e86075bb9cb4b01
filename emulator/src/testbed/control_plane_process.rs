//! A control-plane instance in a separate process, with its relay, endpoint list and collectors.

use super::Testbed;
use crate::collector::Collectors;
use crate::control_plane_config::ControlPlaneConfig;
use crate::endpoint_list::{whole_list_json, EndpointList, INITIAL_VERSION};
use crate::error::TestbedError;
use crate::frame::{read_frame_length, write_frame};
use crate::proxy_channel::{Acknowledgement, ProxyChannel};
use crate::relay::{FleetNames, Relay};
use crate::task::AbortOnDrop;
use serde_json::{json, Value};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};

/// The environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// Environment variables that would override the configuration file.
const OVERRIDING_VARIABLES: [&str; 3] = ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"];
/// How long a process may take until it responds to a health check.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The wait between health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// A running process with the relay, endpoint list and collectors that serve only it. Dropping it kills the
/// process and stops the collectors; the relay and the endpoint list run until the runtime shuts down.
pub(super) struct ControlPlaneProcess {
    pub(super) relay: Relay,
    pub(super) endpoint_list: EndpointList,
    pub(super) channel: Arc<ProxyChannel>,
    _collectors: AbortOnDrop,
    _process: Child,
}

/// The parameters of a process.
pub(super) struct ProcessSpec<'a> {
    /// The index of the instance in the fleet's control plane.
    pub(super) index: u32,
    /// The path of the program.
    pub(super) path: &'a Path,
    /// The directory in which its configuration and log are written.
    pub(super) directory: &'a Path,
    pub(super) seed: u64,
}

impl ProcessSpec<'_> {
    fn name(&self) -> String {
        format!("supervisor-{}", self.index)
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join(format!("{}.json", self.name()))
    }

    fn log_path(&self) -> PathBuf {
        self.directory.join(format!("{}.log", self.name()))
    }
}

impl Testbed {
    /// Starts a process with its relay, endpoint list and collectors; returns when it responds to a health
    /// check.
    pub(super) async fn start_process(
        &self,
        spec: ProcessSpec<'_>,
        channel: Arc<ProxyChannel>,
        acknowledgements: UnboundedReceiver<Acknowledgement>,
    ) -> Result<ControlPlaneProcess, TestbedError> {
        let entries = self.registry.whole_list().entries;
        let initial_endpoint_list = whole_list_json(INITIAL_VERSION, &entries);
        let endpoint_list = EndpointList::start(&self.network, entries)?;
        let relay = Relay::start(&self.network, channel.clone(), acknowledgements, self.fleet_names())?;
        let listen_address = unused_address()?;
        let config = ControlPlaneConfig {
            fleet: &self.fleet,
            name: &spec.name(),
            listen_address: &listen_address,
            endpoint_list_address: &endpoint_list.address,
            relay_address: &relay.address,
            initial_endpoint_list,
            seed: spec.seed,
        };
        let process = start_program(&spec, &config.to_json())?;
        wait_until_responsive(&listen_address).await.map_err(|_| TestbedError::Unresponsive {
            path: spec.path.to_owned(),
            address: listen_address.clone(),
            log: spec.log_path(),
        })?;
        let collectors = Collectors {
            fleet: self.fleet.clone(),
            control_plane_address: listen_address,
            endpoint_names: self.registry.names(),
            proxies: self.proxies.clone(),
            instance: spec.index,
        };
        let collectors = AbortOnDrop::spawn(collectors.run());
        Ok(ControlPlaneProcess { relay, endpoint_list, channel, _collectors: collectors, _process: process })
    }

    fn fleet_names(&self) -> FleetNames {
        FleetNames {
            endpoints: self.registry.names().into_iter().zip(0..).collect(),
            request_classes: self.fleet.request_classes.iter().map(|class| class.name.clone()).collect(),
            zones: self.fleet.zones.iter().map(|zone| zone.name.clone()).collect(),
        }
    }
}

/// A loopback address with a port that is unused at the time of the call. Another process may take it before
/// it is bound again.
fn unused_address() -> io::Result<String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?.to_string())
}

/// Writes the configuration and starts the program. The process is killed when the handle is dropped.
fn start_program(spec: &ProcessSpec, config: &Value) -> Result<Child, TestbedError> {
    let config_path = spec.config_path();
    let log_path = spec.log_path();
    std::fs::write(&config_path, config.to_string())
        .map_err(|source| TestbedError::WriteFile { path: config_path.clone(), source })?;
    let log = File::create(&log_path)
        .map_err(|source| TestbedError::WriteFile { path: log_path.clone(), source })?;
    let mut command = Command::new(spec.path);
    for variable in OVERRIDING_VARIABLES {
        command.env_remove(variable);
    }
    command
        .arg("serve")
        .env(CONFIG_VARIABLE, &config_path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .map_err(|source| TestbedError::StartProgram { path: spec.path.to_owned(), source })
}

/// Waits until a process responds to a health check.
async fn wait_until_responsive(address: &str) -> Result<(), tokio::time::error::Elapsed> {
    let answered = async {
        while check_health(address).await.is_err() {
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
    };
    timeout(START_TIMEOUT, answered).await
}

async fn check_health(address: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    write_frame(&mut stream, &json!({"msg": "probe"})).await?;
    read_frame_length(&mut stream).await?;
    Ok(())
}
