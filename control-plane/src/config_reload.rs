//! Reloads the configuration file at each SIGHUP. A reload can change the addresses of the endpoint list and
//! the relay. A file that is faulty, or that changes a field which requires a restart, is rejected as a
//! whole, and the current configuration remains in effect.

use crate::config::Config;
use crate::config_fault::ConfigFault;
use crate::metrics::Metrics;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The task that reloads the configuration.
pub struct ConfigReload {
    /// SIGHUP. Signals in quick succession may be merged into one, which reads the file as it is after the
    /// last.
    pub sighup: Signal,
    /// The configuration that the process was started with.
    pub config: Rc<Config>,
    /// Publishes the address of the endpoint list.
    pub endpoint_list_address: watch::Sender<SocketAddr>,
    /// Publishes the address of the relay.
    pub relay_address: watch::Sender<SocketAddr>,
    /// Counts reloaded and rejected configurations.
    pub metrics: Rc<Metrics>,
    /// The log.
    pub log: Logger,
}

impl ConfigReload {
    /// Runs until the signal stream ends.
    pub async fn run(mut self) {
        while self.sighup.recv().await.is_some() {
            match self.read() {
                Ok(new_config) => self.apply(&new_config),
                Err(faults) => self.reject(&faults),
            }
        }
    }

    fn read(&self) -> Result<Config, Vec<ConfigFault>> {
        let new_config = Config::from_file(None, |name| std::env::var(name).ok())?;
        self.config.check_reload(&new_config)?;
        Ok(new_config)
    }

    fn apply(&self, new_config: &Config) {
        self.metrics.config_reloads.increment();
        let list_moved = publish_address(&self.endpoint_list_address, new_config.endpoint_list);
        let relay_moved = publish_address(&self.relay_address, new_config.relay);
        info!(self.log, "config reloaded";
            "endpoint_list" => %new_config.endpoint_list, "endpoint_list_moved" => list_moved,
            "relay" => %new_config.relay, "relay_moved" => relay_moved);
    }

    fn reject(&self, faults: &[ConfigFault]) {
        self.metrics.config_rejections.increment();
        for fault in faults {
            warn!(self.log, "config rejected, keeping the current one"; "why" => %fault);
        }
    }
}

/// Publishes an address if it differs from the current one. Returns whether it does.
fn publish_address(published: &watch::Sender<SocketAddr>, address: SocketAddr) -> bool {
    published.send_if_modified(|current| {
        let moved = *current != address;
        *current = address;
        moved
    })
}
