//! Receives load reports: a collector connects to our address, identifies itself with its zone, and sends frames of a
//! four-byte length and one JSON object.

use crate::call_error::{CallError, Cause};
use crate::collector_message::{CollectorMessage, Handshake, InvalidContent, InvalidMessage};
use crate::deployment_names::DeploymentNames;
use crate::event::EventSender;
use crate::log::LogRateLimit;
use crate::timeout::timeout_with_grace;
use futures_util::{SinkExt, StreamExt};
use hyper::body::Bytes;
use slog::{warn, Logger};
use std::ops::Deref;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// Enough for an identification and a probe. An unidentified peer gets no larger buffer: hundreds of them that each
/// announce a long frame would use up the memory.
const MAX_UNIDENTIFIED_FRAME_BYTES: usize = 1 << 10;
/// A report takes some hundred bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;
/// For a peer to read an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// From the first byte of a frame to its last.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);
/// Collectors report each second or so. One that vanished would leave its connection open for ever.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// For reading what had arrived when a connection is closed.
pub const CLOSING_GRACE: Duration = Duration::from_millis(20);

const PROBE_ANSWER: &[u8] = br#"{"msg":"alive"}"#;
/// A frame with its length.
const ERROR_FRAME: &[u8] = b"\0\0\0\x0f{\"msg\":\"error\"}";

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// The connection of a collector that has identified itself.
pub struct Collector {
    frames: Frames,
    zone: u32,
}

impl Collector {
    /// Reads frames until the peer identifies itself as a collector; nothing where it leaves. Probes are answered.
    ///
    /// # Errors
    /// The peer sends anything else, and is sent an error frame, or it does not read an answer.
    pub async fn identify(stream: TcpStream, names: &DeploymentNames) -> Result<Option<Self>, CallError> {
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_UNIDENTIFIED_FRAME_BYTES).new_codec();
        let mut frames = Framed::with_capacity(stream, codec, MAX_UNIDENTIFIED_FRAME_BYTES);
        while let Some(frame) = frames.next().await {
            match decode_handshake(frame, names) {
                Ok(Handshake::Probe) => answer_probe(&mut frames).await?,
                Ok(Handshake::Identification { zone }) => {
                    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
                    return Ok(Some(Collector { frames, zone }));
                }
                Err(error) => {
                    // As much as can be written at once: the close does not wait for a peer that does not read.
                    let _ = frames.get_ref().try_write(ERROR_FRAME);
                    return Err(error);
                }
            }
        }
        Ok(None)
    }

    /// The position of its zone in the configuration.
    pub fn zone(&self) -> u32 {
        self.zone
    }

    /// Receives reports until the collector leaves, and calls `on_frame` at each frame. An invalid report is dropped
    /// alone. Once `closing` is cancelled it ends as soon as what has arrived by then is handled.
    ///
    /// # Errors
    /// Frames can't be decoded any more, or the collector is silent for too long: it has to connect again.
    pub async fn receive_reports(
        mut self,
        names: &DeploymentNames,
        events: &EventSender,
        on_frame: impl Fn(),
        closing: &CancellationToken,
        log: &Logger,
    ) -> Result<(), CallError> {
        let mut dropped_report_log = LogRateLimit::default();
        while let Some(frame) = self.next_frame(closing).await? {
            on_frame();
            match CollectorMessage::decode(&frame, names) {
                Ok(CollectorMessage::Probe) => answer_probe(&mut self.frames).await?,
                Ok(CollectorMessage::Identification) => {}
                Ok(CollectorMessage::Report(event)) => events.send(event).await,
                Err(InvalidMessage::Content(error)) => {
                    events.metrics.invalid_inputs.increment();
                    report_dropped(&mut dropped_report_log, &error, log);
                }
                Err(error @ InvalidMessage::NotJson(_)) => return Err(unusable(error)),
            }
        }
        Ok(())
    }

    /// The next frame; nothing where the collector leaves, or has sent nothing more when it is to close. Silence counts
    /// from the frame before, an incomplete frame from its first byte: else single bytes would keep a connection open.
    async fn next_frame(
        &mut self,
        closing: &CancellationToken,
    ) -> Result<Option<impl Deref<Target = [u8]>>, CallError> {
        let previous_frame = Instant::now();
        loop {
            if self.frames.read_buffer().is_empty() && !self.wait_readable(previous_frame, closing).await? {
                return Ok(None);
            }
            let timeout = if closing.is_cancelled() { CLOSING_GRACE } else { FRAME_TIMEOUT };
            match timeout_with_grace(timeout, self.frames.next()).await {
                Some(frame) => return frame.transpose().map_err(unusable),
                // A socket may be reported as readable although there is nothing to read.
                None if self.frames.read_buffer().is_empty() => {}
                None => return Err(CallError::NoResponse("half a frame".into())),
            }
        }
    }

    /// Waits for bytes to read; false where the connection is to close and none have arrived.
    async fn wait_readable(
        &self,
        previous_frame: Instant,
        closing: &CancellationToken,
    ) -> Result<bool, CallError> {
        let stream = self.frames.get_ref();
        let remaining = SILENCE_TIMEOUT.saturating_sub(previous_frame.elapsed());
        let readable = tokio::select! {
            readable = timeout_with_grace(remaining, stream.readable()) => {
                readable.ok_or_else(|| CallError::NoResponse("silent".into()))?
            }
            () = closing.cancelled() => match timeout_with_grace(CLOSING_GRACE, stream.readable()).await {
                Some(readable) => readable,
                None => return Ok(false),
            },
        };
        readable.map_err(unusable)?;
        Ok(true)
    }
}

fn decode_handshake(
    frame: std::io::Result<impl Deref<Target = [u8]>>,
    names: &DeploymentNames,
) -> Result<Handshake, CallError> {
    let frame = frame.map_err(unusable)?;
    Handshake::decode(&frame, names).map_err(unusable)
}

async fn answer_probe(frames: &mut Frames) -> Result<(), CallError> {
    let answer = frames.send(Bytes::from_static(PROBE_ANSWER));
    match timeout_with_grace(ANSWER_TIMEOUT, answer).await {
        Some(sent) => sent.map_err(|error| CallError::NoResponse(error.into())),
        None => Err(CallError::NoResponse("the answer is left unread".into())),
    }
}

fn report_dropped(limit: &mut LogRateLimit, error: &InvalidContent, log: &Logger) {
    if let Some(times) = limit.record() {
        warn!(log, "load report dropped"; "why" => %error, "times" => times);
    }
}

fn unusable(error: impl Into<Cause>) -> CallError {
    CallError::InvalidData(error.into())
}
