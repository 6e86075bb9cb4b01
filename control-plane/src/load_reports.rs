//! Receives load reports. A collector connects to the listener, identifies itself with its zone, and sends
//! frames that consist of a four-byte length and one JSON object.

use crate::call_error::{CallError, Cause};
use crate::collector_message::{CollectorMessage, HandshakeMessage, InvalidMessage};
use crate::connection_context::ConnectionContext;
use crate::deployment_names::DeploymentNames;
use crate::timeout::timeout_with_grace;
use crate::turn_budget::TurnBudget;
use futures_util::{SinkExt, StreamExt};
use hyper::body::Bytes;
use slog::Logger;
use std::ops::Deref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// Enough for an identification or a probe (health check). Unidentified peers get no larger buffer, because
/// hundreds of them that each announce a long frame would exhaust the memory.
const MAX_UNIDENTIFIED_FRAME_BYTES: usize = 1 << 10;
/// Ample, as a report takes a few hundred bytes. Hundreds of collectors may each leave a frame half sent, and
/// decoding one holds up the other tasks.
const MAX_FRAME_BYTES: usize = 16 << 10;
/// Time for a peer to read a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the first byte of a frame to its last.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait for the first byte of a frame. Collectors report about once a second. Without a
/// timeout, the connection of one that vanished would stay open forever.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Once the connection is to close: how long to wait for the end of the handshake, for more data, or for the
/// rest of a frame. It applies to each wait.
pub const CLOSING_GRACE: Duration = Duration::from_millis(20);
/// Once the connection is to close: how long data is read in total. A collector that goes on sending would
/// otherwise keep a connection for which it has no slot any more.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(500);

const PROBE_RESPONSE: &[u8] = br#"{"msg":"alive"}"#;
/// A complete frame, including the length.
const ERROR_FRAME: &[u8] = b"\0\0\0\x0f{\"msg\":\"error\"}";

type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// The connection of a collector that has identified itself.
pub struct Collector {
    frames: FrameStream,
    zone: u32,
}

impl Collector {
    /// Reads frames until the peer identifies itself as a collector. Answers probes. Returns `None` if the
    /// peer disconnects.
    ///
    /// # Errors
    /// The peer sends anything else (it is sent an error frame), or it does not read a response.
    pub async fn identify(stream: TcpStream, names: &DeploymentNames) -> Result<Option<Self>, CallError> {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_UNIDENTIFIED_FRAME_BYTES).new_codec();
        let mut frames = Framed::with_capacity(stream, codec, MAX_UNIDENTIFIED_FRAME_BYTES);
        let mut turn = TurnBudget::default();
        while let Some(frame) = frames.next().await {
            turn.spend(frame.as_ref().map_or(0, |frame| frame.len())).await;
            match decode_handshake(frame, names) {
                Ok(HandshakeMessage::Probe) => answer_probe(&mut frames).await?,
                Ok(HandshakeMessage::Identification { zone }) => {
                    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
                    return Ok(Some(Collector { frames, zone }));
                }
                Err(error) => {
                    // Best effort: closing the connection must not wait for a peer that does not read.
                    let _ = frames.get_ref().try_write(ERROR_FRAME);
                    return Err(error);
                }
            }
        }
        Ok(None)
    }

    /// Position of the collector's zone in the configuration.
    pub fn zone(&self) -> u32 {
        self.zone
    }

    /// Receives reports until the collector disconnects, and calls `on_frame` for each frame. An invalid
    /// report is dropped without affecting others. Once `closing` is cancelled, this handles the data that
    /// has arrived, for [`CLOSING_TIMEOUT`] at most, and returns.
    ///
    /// # Errors
    /// Frames can no longer be decoded, a frame stays incomplete, or the collector is silent for too long or
    /// does not read the response to a probe. It has to connect again.
    pub async fn receive_reports(
        mut self,
        context: &ConnectionContext,
        on_frame: impl Fn(),
        closing: &CancellationToken,
        log: &Logger,
    ) -> Result<(), CallError> {
        let mut turn = TurnBudget::default();
        let mut closing_since = None;
        while let Some(frame) = self.next_frame(closing).await? {
            turn.spend(frame.len()).await;
            on_frame();
            if closing.is_cancelled() {
                let since = *closing_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= CLOSING_TIMEOUT {
                    return Ok(());
                }
            }
            match CollectorMessage::decode(&frame, &context.names) {
                Ok(CollectorMessage::Probe) => answer_probe(&mut self.frames).await?,
                Ok(CollectorMessage::Identification) => {}
                Ok(CollectorMessage::Report(event)) => context.events.send(event).await,
                Err(InvalidMessage::Content(error)) => {
                    context.events.metrics.invalid_inputs.increment();
                    context.connection_log.report_dropped(log, &error);
                }
                Err(error @ InvalidMessage::NotJson(_)) => return Err(invalid_data(error)),
            }
        }
        Ok(())
    }

    /// Returns the next frame, or `None` if the collector disconnects, or if the connection is to close and
    /// no more data has arrived. The silence timeout starts with the call and the frame timeout at the first
    /// byte of a frame, so that a peer can't keep the connection open by sending single bytes.
    async fn next_frame(
        &mut self,
        closing: &CancellationToken,
    ) -> Result<Option<impl Deref<Target = [u8]>>, CallError> {
        let wait_started = Instant::now();
        loop {
            if self.frames.read_buffer().is_empty() && !self.wait_readable(wait_started, closing).await? {
                return Ok(None);
            }
            let timeout = if closing.is_cancelled() { CLOSING_GRACE } else { FRAME_TIMEOUT };
            match timeout_with_grace(timeout, self.frames.next()).await {
                Some(frame) => return frame.transpose().map_err(invalid_data),
                // Readiness may be spurious: a socket can be reported as readable when there is nothing to
                // read.
                None if self.frames.read_buffer().is_empty() => {}
                None => {
                    let reason = format!("frame incomplete after {} ms", timeout.as_millis());
                    return Err(CallError::NoResponse(reason.into()));
                }
            }
        }
    }

    /// Waits until there are bytes to read. Returns false if the connection is to close and none have
    /// arrived.
    async fn wait_readable(
        &self,
        wait_started: Instant,
        closing: &CancellationToken,
    ) -> Result<bool, CallError> {
        let stream = self.frames.get_ref();
        let remaining = SILENCE_TIMEOUT.saturating_sub(wait_started.elapsed());
        let readable = tokio::select! {
            readable = timeout_with_grace(remaining, stream.readable()) => {
                readable.ok_or_else(silence_timed_out)?
            }
            () = closing.cancelled() => match timeout_with_grace(CLOSING_GRACE, stream.readable()).await {
                Some(readable) => readable,
                None => return Ok(false),
            },
        };
        readable.map_err(invalid_data)?;
        Ok(true)
    }
}

fn silence_timed_out() -> CallError {
    CallError::NoResponse(format!("no complete frame for {} s", SILENCE_TIMEOUT.as_secs()).into())
}

fn decode_handshake(
    frame: std::io::Result<impl Deref<Target = [u8]>>,
    names: &DeploymentNames,
) -> Result<HandshakeMessage, CallError> {
    let frame = frame.map_err(invalid_data)?;
    HandshakeMessage::decode(&frame, names).map_err(invalid_data)
}

async fn answer_probe(frames: &mut FrameStream) -> Result<(), CallError> {
    let response = frames.send(Bytes::from_static(PROBE_RESPONSE));
    match timeout_with_grace(RESPONSE_TIMEOUT, response).await {
        Some(sent) => sent.map_err(|error| CallError::NoResponse(error.into())),
        None => {
            let reason = format!("peer did not read the response within {} ms", RESPONSE_TIMEOUT.as_millis());
            Err(CallError::NoResponse(reason.into()))
        }
    }
}

fn invalid_data(error: impl Into<Cause>) -> CallError {
    CallError::InvalidData(error.into())
}

#[cfg(test)]
mod tests;
