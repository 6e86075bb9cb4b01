//! Reloads the configuration file at each SIGHUP. A new file may move the peers; what it can't change while the control
//! plane runs is rejected, and a faulty file leaves the current configuration in force.

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
    /// SIGHUP. Several that come close together are one; what the file holds after the last is what counts.
    pub hangups: Signal,
    /// The configuration that the process started with.
    pub config: Rc<Config>,
    /// Publishes the address of the endpoint list.
    pub endpoint_list: watch::Sender<SocketAddr>,
    /// Publishes the address of the relay.
    pub relay: watch::Sender<SocketAddr>,
    /// Counts reloads and rejections.
    pub metrics: Rc<Metrics>,
    /// Where to log.
    pub log: Logger,
}

impl ConfigReload {
    /// Runs until no more signals can come.
    pub async fn run(mut self) {
        while self.hangups.recv().await.is_some() {
            match self.read() {
                Ok(newer) => self.apply(&newer),
                Err(faults) => self.reject(&faults),
            }
        }
    }

    fn read(&self) -> Result<Config, Vec<ConfigFault>> {
        let newer = Config::from_file(None, |name| std::env::var(name).ok())?;
        self.config.check_reload(&newer)?;
        Ok(newer)
    }

    fn apply(&self, newer: &Config) {
        self.metrics.config_reloads.increment();
        let list_moved = publish_address(&self.endpoint_list, newer.endpoint_list);
        let relay_moved = publish_address(&self.relay, newer.relay);
        info!(self.log, "config reloaded";
            "endpoint_list" => %newer.endpoint_list, "endpoint_list_moved" => list_moved,
            "relay" => %newer.relay, "relay_moved" => relay_moved);
    }

    fn reject(&self, faults: &[ConfigFault]) {
        self.metrics.config_rejections.increment();
        for fault in faults {
            warn!(self.log, "config rejected, keeping the current one"; "why" => %fault);
        }
    }
}

/// Publishes an address if it is another one; true where it is.
fn publish_address(published: &watch::Sender<SocketAddr>, address: SocketAddr) -> bool {
    published.send_if_modified(|current| {
        let moved = *current != address;
        *current = address;
        moved
    })
}
