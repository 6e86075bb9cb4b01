//! Runs the controller and restarts it when it panics. The process continues, and the new controller takes
//! over the host with the state of the fleet.

use crate::config::Config;
use crate::relay_host::RelayHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use otterwinch_adapter_support::{catch_panic, CommandValidator};
use slog::{error, Logger};
use std::rc::Rc;

/// The running controller, and the parameters for starting its replacement.
pub struct RestartableController {
    controller: Controller<RelayHost>,
    config: Rc<Config>,
    log: Logger,
    starts: u64,
}

/// The controller panicked during a step and has been restarted.
#[derive(Debug)]
pub struct ControllerRestarted;

impl RestartableController {
    /// Starts the first controller with the endpoints in the configuration.
    pub fn start(config: Rc<Config>, log: Logger, now: Moment) -> Self {
        let validator = CommandValidator::new(&config.controller);
        let host = RelayHost::new(validator, config.names.clone(), now, log.clone());
        let mut controller = Controller::start(host, config.controller.clone(), config.seed, now);
        controller.host_mut().replace_endpoint_list(&config.known_endpoints);
        controller.endpoint_list_replaced(now, &config.known_endpoints);
        RestartableController { controller, config, log, starts: 1 }
    }

    /// The controller's host.
    pub fn host_mut(&mut self) -> &mut RelayHost {
        self.controller.host_mut()
    }

    /// The number of controllers started since the process started.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Runs one step of the controller, and restarts the controller if the step panics.
    pub fn step(
        &mut self,
        now: Moment,
        step: impl FnOnce(&mut Controller<RelayHost>, Moment),
    ) -> Result<(), ControllerRestarted> {
        match catch_panic(|| step(&mut self.controller, now)) {
            Ok(()) => Ok(()),
            Err(panic) => {
                error!(self.log, "controller panicked"; "why" => %panic);
                self.restart(now);
                Err(ControllerRestarted)
            }
        }
    }

    /// Starts a new controller with the fleet state of the old controller's host.
    ///
    /// The first event that the new controller handles lists the removed and ejected endpoints. The relay may
    /// still hold commands of the old controller about them, so the new one must remove them from the tables
    /// or restore them. Drain graces that are running go on: the new controller gets their beginnings first.
    pub fn restart(&mut self, now: Moment) {
        error!(self.log, "controller restarted");
        let mut host = self.take_host(now);
        host.discard_pending();
        self.starts += 1;
        let unready = host.fleet().unready_endpoints();
        let removed = host.fleet().removed_or_ejected();
        let listed = host.fleet().listed_endpoints();
        let proxies = host.fleet().proxies().clone();
        let seed = self.config.seed.wrapping_add(self.starts);
        self.controller = Controller::start(host, self.config.controller.clone(), seed, now);
        let controller = &mut self.controller;
        let replayed = catch_panic(|| {
            controller.restore_unready_endpoints(unready);
            controller.endpoints_updated(now, &removed);
            controller.endpoint_list_replaced(now, &listed);
            for (number, proxy) in proxies {
                controller.proxy_joined(now, number, proxy.zone, proxy.rate, false);
            }
        });
        if replayed.is_err() {
            error!(self.log, "controller panicked again while restarting");
        }
    }

    /// Takes the host out of the controller. The controller holds an empty host until it is replaced.
    fn take_host(&mut self, now: Moment) -> RelayHost {
        let names = self.config.names.clone();
        let empty = RelayHost::new(CommandValidator::default(), names, now, self.log.clone());
        std::mem::replace(self.controller.host_mut(), empty)
    }
}

#[cfg(test)]
mod tests;
