//! Collectors: who has joined at our address, in frames of a four-byte length and one JSON object, and what it
//! reports. Every field that is used is checked before the rules hear any.

use crate::call_error::{chain, CallError, CallProgress};
use crate::config::Names;
use crate::control_loop::EventSender;
use crate::log::LogRateLimit;
use crate::timeout::within;
use futures_util::{SinkExt, StreamExt};
use hyper::body::Bytes;
use otterwinch::time::Span;
use otterwinch_adapter_support::JsonFields;
use serde_json::Value;
use slog::{warn, Logger};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// A joining and a probe take tens of bytes. Whoever has not joined gets no buffer for more: hundreds of them
/// that each announce a megabyte would cost all our memory.
const LONGEST_UNJOINED: usize = 1 << 10;
/// A report takes some hundred bytes.
const LONGEST_FRAME: usize = 64 << 10;
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Of a frame, from its first byte on.
const FRAME_WITHIN: Duration = Duration::from_secs(5);
/// Collectors report each second or so; one that vanished leaves its connection open for ever.
const SILENT_FOR: Duration = Duration::from_secs(30);
/// For what had come when a connection was let go, and was not read yet.
pub const AT_HAND: Duration = Duration::from_millis(20);

/// Beyond these a figure is a slip of its sender: tries or txns of one report; a mean time; an interval.
const MOST_COUNTED: f64 = 1e6;
const LONGEST_MS: f64 = 600_000.0;

pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

fn unusable(why: impl std::fmt::Display) -> CallError {
    CallError::new(CallProgress::Answered, why)
}

/// Hears a stranger out until it states its zone, which is what makes it a collector; nothing where it leaves.
/// Probes are answered; anything else is told to be an error and ends the connection.
pub async fn join(stream: TcpStream, names: &Names) -> Result<Option<(Frames, u32)>, CallError> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(LONGEST_UNJOINED).new_codec();
    let mut frames = Framed::with_capacity(stream, codec, LONGEST_UNJOINED);
    loop {
        let zone = match frames.next().await {
            None => return Ok(None),
            Some(frame) => frame.map_err(|e| chain(&e)).and_then(|frame| greeting(&frame, names)),
        };
        match zone {
            Ok(None) => alive(&mut frames).await?,
            Ok(Some(zone)) => {
                frames.codec_mut().set_max_frame_length(LONGEST_FRAME);
                return Ok(Some((frames, zone)));
            }
            Err(why) => {
                // As much as goes out at once: no close waits for a peer that does not read.
                let _ = frames.get_ref().try_write(b"\0\0\0\x0f{\"msg\":\"error\"}");
                return Err(unusable(why));
            }
        }
    }
}

/// The zone that a stranger's frame joins for; nothing where it is a probe.
fn greeting(frame: &[u8], names: &Names) -> Result<Option<u32>, String> {
    let value = json(frame)?;
    let f = JsonFields::of_message(&value, "msg")?;
    match f.kind {
        "probe" => Ok(None),
        "agent" => names.zone(f.text("locality")?).map(Some),
        kind => Err(format!("'{kind}' before joining")),
    }
}

fn json(frame: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(frame).map_err(|e| format!("not a JSON value: {e}"))
}

async fn alive(frames: &mut Frames) -> Result<(), CallError> {
    let answer = frames.send(Bytes::from_static(br#"{"msg":"alive"}"#));
    let answer = within(ANSWER_WITHIN, answer).await;
    let answer = answer.ok_or_else(|| CallError::new(CallProgress::Sent, "the answer is left unread"))?;
    answer.map_err(|e| CallError::new(CallProgress::Sent, chain(&e)))
}

/// Takes reports until the collector leaves. A report that is spoilt is dropped alone; where frames can't be
/// read any more the connection ends, so that the collector comes again. `heard` is told of each frame. One that is
/// let go, since its zone has newer connections or the process ends, has what it sent before heard to the end.
pub async fn listen(
    mut frames: Frames,
    names: &Names,
    ear: &EventSender,
    heard: impl Fn(),
    let_go: &CancellationToken,
    log: &Logger,
) -> Result<(), CallError> {
    let mut odd = LogRateLimit::default();
    loop {
        let Some(frame) = next(&mut frames, let_go).await? else { return Ok(()) };
        heard();
        let value = json(&frame).map_err(unusable)?;
        match one(&value, names, ear).await {
            Ok(false) => {}
            Ok(true) => alive(&mut frames).await?,
            Err(fault) => {
                ear.seen.dropped.more();
                if let Some(times) = odd.due() {
                    warn!(log, "report dropped"; "why" => fault, "times" => times);
                }
            }
        }
    }
}

/// The next frame. Silence is counted from the last one, half a frame from its first byte: else a byte now and
/// then would keep a connection for good.
async fn next(
    frames: &mut Frames,
    let_go: &CancellationToken,
) -> Result<Option<impl std::ops::Deref<Target = [u8]>>, CallError> {
    let since = Instant::now();
    loop {
        if frames.read_buffer().is_empty() {
            let left = SILENT_FOR.saturating_sub(since.elapsed());
            let came = tokio::select! {
                came = within(left, frames.get_ref().readable()) => came,
                () = let_go.cancelled() => match within(AT_HAND, frames.get_ref().readable()).await {
                    Some(came) => Some(came),
                    None => return Ok(None),
                },
            };
            came.ok_or_else(|| CallError::new(CallProgress::Sent, "silent"))?.map_err(unusable)?;
        }
        let limit = if let_go.is_cancelled() { AT_HAND } else { FRAME_WITHIN };
        match within(limit, frames.next()).await {
            Some(frame) => return frame.transpose().map_err(|e| unusable(chain(&e))),
            // Readable, and nothing to be read after all.
            None if frames.read_buffer().is_empty() => {}
            None => return Err(CallError::new(CallProgress::Sent, "half a frame")),
        }
    }
}

/// Takes one frame; true where it asks for a sign of life.
async fn one(value: &Value, names: &Names, ear: &EventSender) -> Result<bool, String> {
    let f = JsonFields::of_message(value, "msg")?;
    match f.kind {
        "probe" => return Ok(true),
        "agent" => _ = names.zone(f.text("locality")?)?,
        "outcomes" => {
            let id = f.text("endpoint")?.to_owned();
            names.zone(f.text("locality")?)?;
            let (tries, over) = counted(&f)?;
            let voided = f.number_within("errors", 0.0..=tries)?;
            // The mean of those that were answered: none of them, no mean.
            let took = if voided < tries { f.number_within("rtt", 0.0..=LONGEST_MS)? } else { 0.0 };
            ear.tell(move |controller, now| {
                if controller.host().lists(&id) {
                    controller.endpoint_outcomes(now, &id, tries, voided, millis(took), over);
                }
            })
            .await;
        }
        "demand" => {
            names.proxy(f.u32("node")?)?;
            let (product, (txns, _)) = (names.product(f.text("route")?)?, counted(&f)?);
            // What came in an earlier interval may fail in this one: they are not bounded by the total.
            f.number_within("errors", 0.0..=MOST_COUNTED)?;
            ear.tell(move |controller, _| controller.demand(product, txns)).await;
        }
        kind => return Err(format!("kind '{kind}' is unknown")),
    }
    Ok(false)
}

/// How many in all, and over how long.
fn counted(f: &JsonFields) -> Result<(f64, Span), String> {
    let total = f.number_within("total", 0.0..=MOST_COUNTED)?;
    let over = f.number_within("interval", f64::MIN_POSITIVE..=LONGEST_MS)?;
    Ok((total, millis(over)))
}

fn millis(ms: f64) -> Span {
    Span::secs(ms / 1e3)
}

#[cfg(test)]
mod tests;
