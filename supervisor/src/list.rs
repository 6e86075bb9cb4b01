//! The list of servers: read whole once, then watched. A call that fails is reported to the rules, which say
//! when to ask again.

use crate::client::Peer;
use crate::errors::{Came, Failed};
use crate::papers::Names;
use crate::planner::Ear;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use otterwinch::host::{Listing, Standing};
use otterwinch::time::Moment;
use otterwinch_hostkit::Fields;
use serde_json::Value;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

/// How long a watch may wait before it answers with nothing: a list that has gone silent is found this late.
const WATCH_MS: u64 = 1_500;
const ANSWER_WITHIN: Duration = Duration::from_millis(600);

pub struct Answer {
    pub version: u64,
    pub whole: bool,
    pub listings: Vec<Listing>,
}

pub fn answer(value: &Value, names: &Names) -> Result<Answer, String> {
    let f = Fields::named(value, "list")?;
    let listings = f.list("hosts")?.iter().map(|entry| listing(entry, names)).collect::<Result<_, _>>()?;
    Ok(Answer { version: f.whole("seq")?, whole: f.mark("whole"), listings })
}

fn listing(entry: &Value, names: &Names) -> Result<Listing, String> {
    let f = Fields::named(entry, "list entry")?;
    let standing = match f.text("health")? {
        "active" => Standing::Ready,
        "leaving" => Standing::Draining,
        "left" => Standing::Gone,
        other => return Err(format!("list entry: field 'health' is unknown: '{other}'")),
    };
    let born = f.int_or("born_ms", 0)?;
    Ok(Listing {
        id: f.text("host")?.into(),
        // A zone that the settings do not name is far from all that they do.
        zone: if f.has("site") { names.zone(f.text("site")?).unwrap_or(u32::MAX) } else { 0 },
        weight: if f.has("share") { f.count("share")? } else { 1.0 },
        standing,
        started: (born > 0).then(|| Moment::from_us(born.saturating_mul(1000))),
    })
}

/// Follows the list for ever; `follow` is the rules' word to ask, at the start and after a failure. A list that
/// has moved is asked for whole at its new place at once, whatever call is open at the old.
pub async fn follow(
    (mut place, most_bytes): (watch::Receiver<SocketAddr>, usize),
    names: Rc<Names>,
    follow: Rc<Notify>,
    ear: Ear,
    log: Logger,
) {
    let mut peer = Peer::at(*place.borrow_and_update());
    let (mut version, mut lost, mut asking) = (None, false, false);
    loop {
        let told = tokio::select! {
            () = follow.notified(), if !asking => {
                asking = true;
                continue;
            }
            told = ask(&peer, &names, version, most_bytes), if asking => told,
            Ok(()) = place.changed() => {
                peer = Peer::at(*place.borrow_and_update());
                (version, asking) = (None, true);
                continue;
            }
        };
        let told = match told {
            Ok(told) => told,
            Err(failed) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(log, "list lost"; "why" => %failed, "version" => version);
                }
                asking = false;
                ear.tell(|rules, _| rules.list_failed()).await;
                continue;
            }
        };
        if std::mem::take(&mut lost) || version.is_none() {
            info!(log, "list found"; "version" => told.version, "servers" => told.listings.len());
        }
        version = Some(told.version);
        if told.whole || !told.listings.is_empty() {
            ear.tell(move |rules, now| {
                rules.host().learn(&told.listings, told.whole);
                if told.whole {
                    rules.list_whole(now, &told.listings);
                } else {
                    rules.list_changed(now, &told.listings);
                }
            })
            .await;
        }
    }
}

async fn ask(peer: &Peer, names: &Names, version: Option<u64>, most: usize) -> Result<Answer, Failed> {
    let (path, within) = match version {
        None => ("/v1/servers".into(), ANSWER_WITHIN),
        Some(seen) => {
            let path = format!("/v1/servers?since={seen}&timeout_ms={WATCH_MS}");
            (path, Duration::from_millis(WATCH_MS) + ANSWER_WITHIN)
        }
    };
    let (status, body) = peer.ask(Method::GET, &path, Bytes::new(), within, most).await?;
    if status != StatusCode::OK {
        return Err(Failed::new(Came::TurnedAway, format!("status {status}")));
    }
    let unreadable = |why: String| Failed::new(Came::Answered, why);
    let value = serde_json::from_slice(&body).map_err(|e| unreadable(e.to_string()))?;
    let told = answer(&value, names).map_err(unreadable)?;
    // Asked for the whole list, a part would pass for all of it.
    if version.is_none() && !told.whole {
        return Err(unreadable("a part where the whole list was asked for".into()));
    }
    Ok(told)
}
