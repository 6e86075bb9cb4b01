//! The listener of the control plane: accepts collectors and HTTP clients, and runs one task per connection.

use crate::connection::serve_connection;
use crate::connection_context::ConnectionContext;
use crate::connection_table::{ConnectionSlot, ConnectionTable};
use crate::log::LogRateLimit;
use futures_util::FutureExt;
use otterwinch_adapter_support::catch_panic;
use slog::{error, o, warn};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and owns their tasks.
pub struct Listener {
    socket: TcpListener,
    context: ConnectionContext,
    connections: Rc<RefCell<ConnectionTable>>,
    tasks: TaskTracker,
    accept_errors: LogRateLimit,
    evictions: LogRateLimit,
    shutdown: CancellationToken,
}

impl Listener {
    /// A listener on a bound socket. It holds up to `max_connections` connections and runs until `shutdown`
    /// is cancelled.
    pub fn new(
        socket: TcpListener,
        context: ConnectionContext,
        max_connections: usize,
        shutdown: CancellationToken,
    ) -> Self {
        let connections = ConnectionTable::new(max_connections, context.names.zones.len());
        Listener {
            socket,
            context,
            connections: Rc::new(RefCell::new(connections)),
            tasks: TaskTracker::new(),
            accept_errors: LogRateLimit::default(),
            evictions: LogRateLimit::default(),
            shutdown,
        }
    }

    /// Accepts connections until the shutdown, and returns once all have ended. Everything that peers had
    /// sent before the shutdown is handled, also on connections that were still in the accept queue.
    pub async fn run(mut self) {
        while let Some(accepted) = self.accept().await {
            match accepted {
                Ok((stream, peer)) => self.handle_accepted(stream, peer).await,
                Err(error) => self.pause_accepting(&error).await,
            }
        }
        while let Some(Ok((stream, peer))) = self.socket.accept().now_or_never() {
            self.spawn_connection(stream, peer);
        }
        // From here on the kernel refuses connections instead of queueing them.
        drop(self.socket);
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns the next connection, or `None` at the shutdown.
    async fn accept(&self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        tokio::select! {
            biased;
            () = self.shutdown.cancelled() => None,
            accepted = self.socket.accept() => Some(accepted),
        }
    }

    /// Waits before the next accept. Accepting fails if file descriptors have run out or the peer has already
    /// closed the connection, both of which are temporary.
    async fn pause_accepting(&mut self, error: &io::Error) {
        if let Some(times) = self.accept_errors.record() {
            warn!(self.context.log, "accept failed"; "why" => %error, "times" => times);
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }

    async fn handle_accepted(&mut self, stream: TcpStream, peer: SocketAddr) {
        if self.connections.borrow().is_full() && self.evict() {
            // Lets the aborted task end, so that its file descriptor is closed before the next accept.
            yield_now().await;
        }
        // A panic while handling one connection must not end the listener.
        if let Err(cause) = catch_panic(|| self.spawn_connection(stream, peer)) {
            error!(self.context.log, "panic while accepting a connection"; "why" => %cause);
        }
    }

    /// Closes the oldest connection that is closing or unidentified. Returns false if there is none.
    fn evict(&mut self) -> bool {
        self.context.events.metrics.evicted_connections.increment();
        if let Some(times) = self.evictions.record() {
            warn!(self.context.log, "too many connections, closing the oldest unidentified one";
                "times" => times);
        }
        self.connections.borrow_mut().abort_oldest()
    }

    /// Starts a task for a connection, or closes the connection if the table is full.
    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if self.connections.borrow().is_full() {
            return;
        }
        let number = self.connections.borrow_mut().allocate_number();
        let slot = ConnectionSlot::new(number, self.connections.clone());
        let closing = self.shutdown.child_token();
        let connection = self.connection_task(stream, peer, slot, closing.clone());
        let task = self.tasks.spawn_local(connection);
        self.connections.borrow_mut().insert(number, task.abort_handle(), closing);
    }

    fn connection_task(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        slot: ConnectionSlot,
        closing: CancellationToken,
    ) -> impl std::future::Future<Output = ()> + 'static {
        let context = self.context.clone();
        async move {
            let log = context.log.new(o!("from" => peer.to_string()));
            if let Err(error) = serve_connection(stream, &context, &slot, &closing, &log).await {
                context.events.metrics.connection_errors.increment();
                context.connection_log.connection_failed(&log, &error);
            }
        }
    }
}
