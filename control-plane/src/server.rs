//! Starts the tasks of the control plane, connects them, and runs them until a signal ends the process.

use crate::command_delivery::CommandDelivery;
use crate::config::Config;
use crate::config_reload::ConfigReload;
use crate::connection::ConnectionContext;
use crate::control_loop::ControlLoop;
use crate::deployment_names::DeploymentNames;
use crate::event::EventSender;
use crate::listener::Listener;
use crate::shutdown::{ServerTasks, ShutdownSignals, TaskError};
use crate::status_pages;
use crate::task_restart::restart_on_panic;
use crate::{endpoint_watch, proxy_streams};
use slog::{info, Logger};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Why the control plane ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The runtime, a signal handler or the address could not be set up.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A task that runs until the shutdown ended without one.
    #[error(transparent)]
    Task(#[from] TaskError),
    /// The handler of SIGHUP is gone.
    #[error("no more signals can be received")]
    SignalsClosed,
}

/// Runs the control plane until SIGTERM or SIGINT.
pub async fn serve(config: Config, log: Logger) -> Result<(), ServeError> {
    // Installed before the listener answers anybody: without a handler a SIGHUP ends the process.
    let mut signals = ShutdownSignals::install()?;
    let hangups = signal(SignalKind::hangup())?;
    let config = Rc::new(config);
    let (list_address, endpoint_list) = watch::channel(config.endpoint_list);
    let (relay_address, relay) = watch::channel(config.relay);
    let commands = CommandDelivery::to(relay.clone());
    let (mut control_loop, events, status) = ControlLoop::open(config.clone(), commands, log.clone());
    let socket = TcpListener::bind(config.listen).await?;
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"), "listen" => %socket.local_addr()?);

    let peers = PeerTasks { names: config.names.clone(), events: events.clone(), log: log.clone() };
    peers.spawn_endpoint_watch(endpoint_list, config.max_list_bytes, control_loop.follow());
    peers.spawn_proxy_stream(relay);
    let shutdown = CancellationToken::new();
    let context = ConnectionContext {
        names: config.names.clone(),
        events: events.clone(),
        status_pages: status_pages::router(status),
        log: log.clone(),
    };
    let listener = Listener::new(socket, context, config.max_connections, shutdown.clone());
    let mut tasks = ServerTasks {
        listener: spawn_local(listener.run()),
        control_loop: spawn_local(control_loop.run(shutdown.clone())),
    };
    let reload = ConfigReload {
        hangups,
        config,
        endpoint_list: list_address,
        relay: relay_address,
        metrics: events.metrics,
        log: log.clone(),
    };
    let signal = tokio::select! {
        error = tasks.unexpected_end() => return Err(error.into()),
        () = reload.run() => return Err(ServeError::SignalsClosed),
        signal = signals.received() => signal,
    };
    info!(log, "shutting down"; "signal" => signal);
    shutdown.cancel();
    Ok(tasks.finish(&log).await?)
}

/// What the tasks of the peers share. A panic in one of them restarts that task alone.
#[derive(Clone)]
struct PeerTasks {
    names: Rc<DeploymentNames>,
    events: EventSender,
    log: Logger,
}

impl PeerTasks {
    /// `poll` is the controller's request to poll the endpoint list.
    fn spawn_endpoint_watch(
        &self,
        address: watch::Receiver<SocketAddr>,
        max_list_bytes: usize,
        poll: Rc<Notify>,
    ) {
        let PeerTasks { names, events, log } = self.clone();
        restart_on_panic("endpoint watch", self.log.clone(), move || {
            // A restarted task polls at once: the controller does not know that the old one panicked.
            poll.notify_one();
            let list = (address.clone(), max_list_bytes);
            endpoint_watch::follow(list, names.clone(), poll.clone(), events.clone(), log.clone())
        });
    }

    fn spawn_proxy_stream(&self, address: watch::Receiver<SocketAddr>) {
        let PeerTasks { names, events, log } = self.clone();
        restart_on_panic("event stream", self.log.clone(), move || {
            proxy_streams::follow(address.clone(), names.clone(), events.clone(), log.clone())
        });
    }
}
