//! Runs the controller, and restarts it when it panics: the process goes on, and so does the host with what it knows of
//! the fleet outside.

use crate::config::Config;
use crate::relay_host::RelayHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use otterwinch_adapter_support::{catch_panic, CommandValidator};
use slog::{error, Logger};
use std::rc::Rc;

/// The controller that runs now, and what the next one would be started with.
pub struct RestartableController {
    controller: Controller<RelayHost>,
    config: Rc<Config>,
    log: Logger,
    starts: u64,
}

/// The controller panicked and was restarted.
#[derive(Debug)]
pub struct ControllerRestarted;

impl RestartableController {
    /// Starts the first controller, on the endpoints that the configuration names.
    pub fn start(config: Rc<Config>, log: Logger, now: Moment) -> Self {
        let validator = CommandValidator::new(&config.controller);
        let host = RelayHost::new(validator, config.names.clone(), now, log.clone());
        let mut controller = Controller::start(host, config.controller.clone(), config.seed, now);
        controller.host().replace_endpoint_list(&config.known_endpoints);
        controller.endpoint_list_replaced(now, &config.known_endpoints);
        RestartableController { controller, config, log, starts: 1 }
    }

    /// The controller's host.
    pub fn host(&mut self) -> &mut RelayHost {
        self.controller.host()
    }

    /// How many controllers were started since the process was.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Lets the controller take one step; restarts it if it panics.
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

    /// Starts a new controller on the fleet that the old one's host knows.
    ///
    /// It first learns of the endpoints that were removed or ejected: the relay may still hold commands of the old
    /// controller about them, and the new one has to take them out of the tables or restore them.
    pub fn restart(&mut self, now: Moment) {
        error!(self.log, "controller restarted");
        let mut host = self.take_host(now);
        host.discard_pending();
        self.starts += 1;
        let removed = host.fleet().removed_or_ejected();
        let listed = host.fleet().listed_endpoints();
        let proxies = host.fleet().proxies().clone();
        let seed = self.config.seed.wrapping_add(self.starts);
        self.controller = Controller::start(host, self.config.controller.clone(), seed, now);
        let controller = &mut self.controller;
        let replayed = catch_panic(|| {
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

    /// Takes the host out of the controller, which gets an empty one until it is replaced.
    fn take_host(&mut self, now: Moment) -> RelayHost {
        let names = self.config.names.clone();
        let empty = RelayHost::new(CommandValidator::default(), names, now, self.log.clone());
        std::mem::replace(self.controller.host(), empty)
    }
}

#[cfg(test)]
mod tests;
