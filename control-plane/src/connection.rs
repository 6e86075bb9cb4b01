//! One accepted connection, from its first byte to its end.
//!
//! The first byte of a frame is always 0 and that of an HTTP request never is: it tells a collector, which sends frames,
//! from a client of the status pages.

use crate::call_error::CallError;
use crate::connection_table::ConnectionSlot;
use crate::deployment_names::DeploymentNames;
use crate::event::EventSender;
use crate::load_reports::{Collector, CLOSING_GRACE};
use crate::status_pages;
use crate::timeout::timeout_with_grace;
use axum::Router;
use slog::{info, Logger};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// From the accept until a collector has identified itself or a page is answered. Nothing that the peer sends meanwhile
/// extends it, so that health checks do not keep a connection open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
const FIRST_BYTE_OF_A_FRAME: u8 = 0;

/// What all connections share.
#[derive(Clone)]
pub struct ConnectionContext {
    /// The names that load reports may use.
    pub names: Rc<DeploymentNames>,
    /// Takes the load reports.
    pub events: EventSender,
    /// The pages for HTTP clients.
    pub status_pages: Router,
    /// Where to log.
    pub log: Logger,
}

/// Serves a connection until its peer leaves, breaks the protocol or is silent for too long. Once `closing` is cancelled
/// it ends as soon as what has arrived by then is handled.
pub async fn serve_connection(
    stream: TcpStream,
    context: &ConnectionContext,
    slot: &ConnectionSlot,
    closing: &CancellationToken,
    log: &Logger,
) -> Result<(), CallError> {
    let mut handshake = pin!(timeout_with_grace(HANDSHAKE_TIMEOUT, handshake(stream, context)));
    let finished = tokio::select! {
        finished = &mut handshake => finished,
        () = closing.cancelled() => match timeout_with_grace(CLOSING_GRACE, handshake).await {
            Some(finished) => finished,
            None => return Ok(()),
        },
    };
    let finished = finished.ok_or_else(|| CallError::NoResponse("not identified in time".into()))?;
    let Some(collector) = finished? else { return Ok(()) };
    slot.identify(collector.zone());
    info!(log, "collector connected"; "zone" => collector.zone());
    let on_frame = || slot.heard();
    collector.receive_reports(&context.names, &context.events, on_frame, closing, log).await?;
    info!(log, "collector disconnected");
    Ok(())
}

/// A collector that has identified itself; nothing where the peer asked for a page or left.
async fn handshake(stream: TcpStream, context: &ConnectionContext) -> Result<Option<Collector>, CallError> {
    let not_connected = |error: io::Error| CallError::NotConnected(error.into());
    let mut first = [0];
    if stream.peek(&mut first).await.map_err(not_connected)? == 0 {
        return Ok(None);
    }
    stream.set_nodelay(true).map_err(not_connected)?;
    if first[0] == FIRST_BYTE_OF_A_FRAME {
        return Collector::identify(stream, &context.names).await;
    }
    status_pages::serve(stream, context.status_pages.clone()).await?;
    Ok(None)
}
