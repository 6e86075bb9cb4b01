//! The relay's news: which proxies are joined and what has come to them. One connection, opened again when it
//! breaks or falls silent; it then tells anew who is joined, and whoever it does not name has left.

use crate::client::Peer;
use crate::desk::Desk;
use crate::errors::{chain, Came, Failed};
use crate::limits::within;
use crate::log::Sparing;
use crate::papers::Names;
use crate::planner::Ear;
use futures_util::{StreamExt, TryStreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Bytes;
use hyper::Method;
use otterwinch::rules::Rules;
use otterwinch_hostkit::Fields;
use serde_json::Value;
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

const HEAD_WITHIN: Duration = Duration::from_millis(800);
/// A sign of life comes each second. One that is late by so much is not coming; to reopen for nothing costs
/// only a bind for each proxy.
const SILENT_FOR: Duration = Duration::from_millis(1_800);
const LONGEST_LINE: usize = 64 << 10;
/// Txns a second of one proxy beyond which the figure is a slip.
const MOST_RATE: f64 = 1e7;
const AGAIN: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(60),
    Duration::from_millis(120),
    Duration::from_millis(240),
];

/// Follows the news for ever. A relay that has moved is heard at its new place at once; it opens with what
/// stands, so nobody who stands is taken to have left.
pub async fn follow(mut place: watch::Receiver<SocketAddr>, names: Rc<Names>, ear: Ear, log: Logger) {
    let mut peer = Peer::at(*place.borrow_and_update());
    let (mut failures, mut odd) = (0, Sparing::default());
    loop {
        let mut heard = false;
        let failed = tokio::select! {
            Err(failed) = read(&peer, &names, &ear, &log, &mut odd, &mut heard) => Some(failed),
            Ok(()) = place.changed() => None,
        };
        let Some(failed) = failed else {
            peer = Peer::at(*place.borrow_and_update());
            failures = 0;
            continue;
        };
        failures = if heard { 0 } else { failures + 1 };
        if failures <= 1 {
            warn!(log, "news lost"; "why" => %failed);
        }
        tokio::select! {
            () = sleep(AGAIN[failures.min(AGAIN.len() - 1)]) => {}
            _ = place.wait_for(|at| *at != peer.address) => {}
        }
    }
}

/// Reads one connection to its end, which is always a failure.
async fn read(
    peer: &Peer,
    names: &Names,
    ear: &Ear,
    log: &Logger,
    odd: &mut Sparing,
    heard: &mut bool,
) -> Result<Infallible, Failed> {
    let answer = peer.send(Method::GET, "/v3/kv/stream", Bytes::new(), HEAD_WITHIN).await?;
    if !answer.status().is_success() {
        return Err(Failed::new(Came::TurnedAway, format!("status {}", answer.status())));
    }
    let bytes = BodyDataStream::new(answer.into_body()).map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(LONGEST_LINE);
    let mut lines = FramedRead::new(StreamReader::new(bytes), codec);
    // Whom this connection has named, until the first sign of life closes what it opened with.
    let mut named = Some(BTreeSet::new());
    loop {
        let line = within(SILENT_FOR, lines.next()).await;
        let line = line.ok_or_else(|| Failed::new(Came::Sent, "no sign of life"))?;
        let line = line.ok_or_else(|| Failed::new(Came::Answered, "ended"))?;
        let line = line.map_err(|e| Failed::new(Came::Answered, chain(&e)))?;
        if !std::mem::replace(heard, true) {
            info!(log, "news found");
        }
        let value: Value = match serde_json::from_str(&line) {
            Ok(value) => value,
            Err(_) if line.trim().is_empty() => continue,
            // What follows a line that can't be read may be anything.
            Err(e) => return Err(Failed::new(Came::Answered, format!("a line is not JSON: {e}"))),
        };
        if value.as_object().is_some_and(|fields| fields.is_empty()) {
            if let Some(named) = named.take() {
                ear.tell(move |rules, _| {
                    let joined: Vec<u32> = rules.host().joined.keys().copied().collect();
                    let missing = joined.into_iter().filter(|proxy| !named.contains(proxy));
                    missing.for_each(|proxy| left(rules, proxy));
                })
                .await;
            }
            continue;
        }
        if let Err(fault) = one(&value, names, ear, &mut named).await {
            if let Some(times) = odd.due() {
                warn!(log, "news skipped"; "why" => fault, "times" => times);
            }
        }
    }
}

fn left(rules: &mut Rules<Desk>, proxy: u32) {
    rules.host().left(proxy);
    rules.proxy_left(proxy);
}

async fn one(
    value: &Value,
    names: &Names,
    ear: &Ear,
    named: &mut Option<BTreeSet<u32>>,
) -> Result<(), String> {
    let kind = Fields::of(value, "type")?;
    let f = Fields::named(kind.value("object")?, kind.kind)?;
    let proxy = names.proxy(f.small("node")?)?;
    match kind.kind {
        "hello" => {
            let (zone, rate, fresh) =
                (names.zone(f.text("locality")?)?, f.figure("w", 0.0..=MOST_RATE)?, f.mark("cold"));
            named.iter_mut().for_each(|named| _ = named.insert(proxy));
            ear.tell(move |rules, now| {
                // One that is joined already may have gone and come while the news was away.
                rules.host().joined(proxy, zone, rate);
                rules.proxy_joined(now, proxy, zone, rate, fresh);
            })
            .await;
        }
        "bye" => {
            named.iter_mut().for_each(|named| _ = named.remove(&proxy));
            ear.tell(move |rules, _| left(rules, proxy)).await;
        }
        "ack" => {
            let number = f.small("nonce")?;
            ear.tell(move |rules, now| {
                if rules.host().joined.contains_key(&proxy) {
                    rules.applied(now, number, proxy);
                }
            })
            .await;
        }
        kind => return Err(format!("kind '{kind}' is unknown")),
    }
    Ok(())
}
