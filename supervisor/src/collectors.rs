//! Collectors, and whoever else speaks in frames at our address: a four-byte length, then one JSON object.

use crate::errors::{chain, Came, Failed};
use crate::limits::within;
use crate::log::Sparing;
use crate::papers::Names;
use crate::planner::Ear;
use futures_util::{SinkExt, StreamExt};
use hyper::body::Bytes;
use otterwinch::time::Span;
use otterwinch_hostkit::Fields;
use serde_json::Value;
use slog::{info, warn, Logger};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

const LONGEST_FRAME: usize = 1 << 20;
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Collectors report each second or so; one that vanished leaves its connection open for ever.
const SILENT_FOR: Duration = Duration::from_secs(90);

pub async fn listen(stream: TcpStream, names: &Names, ear: &Ear, log: &Logger) -> Result<(), Failed> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(LONGEST_FRAME).new_codec();
    let mut frames = Framed::new(stream, codec);
    let mut odd = Sparing::default();
    loop {
        let frame = within(SILENT_FOR, frames.next()).await;
        let frame = match frame.ok_or_else(|| Failed::new(Came::Sent, "silent"))? {
            None => return Ok(()),
            Some(frame) => frame.map_err(|e| Failed::new(Came::Answered, chain(&e)))?,
        };
        match one(&frame, names, ear, log).await {
            Ok(false) => {}
            Ok(true) => {
                let answer = frames.send(Bytes::from_static(br#"{"msg":"alive"}"#));
                let answer = within(ANSWER_WITHIN, answer).await;
                let answer = answer.ok_or_else(|| Failed::new(Came::Sent, "the answer is left unread"))?;
                answer.map_err(|e| Failed::new(Came::Sent, chain(&e)))?;
            }
            Err(fault) => {
                if let Some(times) = odd.due() {
                    warn!(log, "frame skipped"; "why" => fault, "times" => times);
                }
            }
        }
    }
}

/// Takes one frame; true where it asks for a sign of life.
async fn one(frame: &[u8], names: &Names, ear: &Ear, log: &Logger) -> Result<bool, String> {
    let value: Value = serde_json::from_slice(frame).map_err(|e| format!("not a JSON value: {e}"))?;
    let f = Fields::of(&value, "msg")?;
    match f.kind {
        "probe" => return Ok(true),
        "agent" => info!(log, "collector found"; "zone" => f.text("locality")?),
        "outcomes" => {
            let id = f.text("endpoint")?.to_owned();
            let (tries, voided) = (f.count("total")?, f.count("errors")?);
            let (took, over) = (millis(f.count("rtt")?), millis(f.count("interval")?));
            ear.tell(move |rules, now| rules.met(now, &id, tries, voided, took, over)).await;
        }
        "demand" => {
            let (product, txns) = (names.product(f.text("route")?)?, f.count("total")?);
            ear.tell(move |rules, _| rules.asked(product, txns)).await;
        }
        kind => return Err(format!("kind '{kind}' is unknown")),
    }
    Ok(false)
}

fn millis(ms: f64) -> Span {
    Span::secs(ms / 1e3)
}
