//! Starts the tasks of the control plane, connects them, and runs them until a signal ends the process.

use crate::config::Config;
use crate::config_reload::ConfigReload;
use crate::connection_context::ConnectionContext;
use crate::control_loop::{ControlLoop, ControlLoopHandles};
use crate::endpoint_watch::EndpointWatch;
use crate::listener::Listener;
use crate::proxy_streams::ProxyStreamTask;
use crate::shutdown::{ServerTasks, ShutdownSignals, TaskError};
use crate::status_pages;
use crate::task_restart::restart_on_panic;
use slog::{info, Logger};
use std::io;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Why the control plane ended without a signal.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The runtime, a signal handler or the listener could not be set up.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A task that runs until the shutdown ended without one.
    #[error(transparent)]
    Task(#[from] TaskError),
    /// The signal stream of SIGHUP ended.
    #[error("SIGHUP can no longer be received")]
    SignalsClosed,
}

/// Runs the control plane until SIGTERM or SIGINT.
pub async fn serve(config: Config, log: Logger) -> Result<(), ServeError> {
    let server = Server::start(Rc::new(config), log).await?;
    server.run().await
}

/// A running control plane.
struct Server {
    signals: ShutdownSignals,
    reload: ConfigReload,
    tasks: ServerTasks,
    /// Cancelled to end the tasks.
    shutdown: CancellationToken,
    log: Logger,
}

impl Server {
    async fn start(config: Rc<Config>, log: Logger) -> io::Result<Self> {
        // The handlers are installed before the listener accepts connections: without one, SIGHUP would end
        // the process.
        let signals = ShutdownSignals::install()?;
        let sighup = signal(SignalKind::hangup())?;
        let (list_address_sender, list_address) = watch::channel(config.endpoint_list);
        let (relay_address_sender, relay_address) = watch::channel(config.relay);
        let (control_loop, handles) = ControlLoop::start(config.clone(), relay_address.clone(), log.clone());
        let ControlLoopHandles { events, status, watch_requests } = handles;
        let socket = TcpListener::bind(config.listen).await?;
        info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"), "listen" => %socket.local_addr()?);
        spawn_endpoint_watch(EndpointWatch {
            address: list_address,
            max_response_bytes: config.max_list_bytes,
            names: config.names.clone(),
            watch_requests,
            events: events.clone(),
            log: log.clone(),
        });
        spawn_proxy_stream(ProxyStreamTask {
            address: relay_address,
            names: config.names.clone(),
            events: events.clone(),
            log: log.clone(),
        });
        let context = ConnectionContext {
            names: config.names.clone(),
            events: events.clone(),
            status_pages: status_pages::router(status),
            log: log.clone(),
            connection_log: Rc::default(),
        };
        let shutdown = CancellationToken::new();
        let listener = Listener::new(socket, context, config.max_connections, shutdown.clone());
        let tasks = ServerTasks {
            listener: spawn_local(listener.run()),
            control_loop: spawn_local(control_loop.run(shutdown.clone())),
        };
        let reload = ConfigReload {
            sighup,
            config,
            endpoint_list_address: list_address_sender,
            relay_address: relay_address_sender,
            metrics: events.metrics,
            log: log.clone(),
        };
        Ok(Server { signals, reload, tasks, shutdown, log })
    }

    /// Runs until the shutdown after a signal is complete, or until a task fails.
    async fn run(mut self) -> Result<(), ServeError> {
        let signal = tokio::select! {
            error = self.tasks.unexpected_end() => return Err(error.into()),
            () = self.reload.run() => return Err(ServeError::SignalsClosed),
            signal = self.signals.recv() => signal,
        };
        info!(self.log, "shutting down"; "signal" => signal);
        self.shutdown.cancel();
        Ok(self.tasks.finish(&self.log).await?)
    }
}

// If the task for a peer panics, only that task is restarted.

fn spawn_endpoint_watch(watch: EndpointWatch) {
    restart_on_panic("endpoint watch", watch.log.clone(), move || watch.clone().run());
}

fn spawn_proxy_stream(task: ProxyStreamTask) {
    restart_on_panic("proxy stream", task.log.clone(), move || task.clone().run());
}
