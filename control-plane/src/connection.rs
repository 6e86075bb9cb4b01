//! Serves one accepted connection.
//!
//! The first byte distinguishes the two protocols of the listener. It is always 0 in the length-prefixed
//! frames that collectors send, and never in an HTTP request for a status page.

use crate::call_error::CallError;
use crate::connection_context::ConnectionContext;
use crate::connection_table::ConnectionSlot;
use crate::load_reports::{Collector, CLOSING_GRACE};
use crate::status_pages;
use crate::timeout::timeout_with_grace;
use slog::Logger;
use std::io;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Time from the accept until a collector has identified itself or a status page is answered. Nothing that
/// the peer sends extends it, so that health checks do not keep a connection open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
const FRAME_FIRST_BYTE: u8 = 0;

/// Serves a connection until its peer disconnects, violates the protocol or is silent for too long. Once
/// `closing` is cancelled, it handles the data that has arrived and returns.
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
    let finished = finished.ok_or_else(handshake_timed_out)?;
    let Some(collector) = finished? else { return Ok(()) };
    slot.identify(collector.zone());
    context.connection_log.collector_connected(log, collector.zone());
    let on_frame = || slot.record_activity();
    collector.receive_reports(context, on_frame, closing, log).await?;
    context.connection_log.collector_disconnected(log);
    Ok(())
}

fn handshake_timed_out() -> CallError {
    CallError::NoResponse(
        format!("handshake not completed within {} ms", HANDSHAKE_TIMEOUT.as_millis()).into(),
    )
}

/// Returns a collector that has identified itself, or `None` if the peer requested a status page or
/// disconnected.
async fn handshake(stream: TcpStream, context: &ConnectionContext) -> Result<Option<Collector>, CallError> {
    let not_connected = |error: io::Error| CallError::NotConnected(error.into());
    let mut first_byte = [0];
    if stream.peek(&mut first_byte).await.map_err(not_connected)? == 0 {
        return Ok(None);
    }
    stream.set_nodelay(true).map_err(not_connected)?;
    if first_byte[0] == FRAME_FIRST_BYTE {
        return Collector::identify(stream, &context.names).await;
    }
    status_pages::serve(stream, context.status_pages.clone()).await?;
    Ok(None)
}
