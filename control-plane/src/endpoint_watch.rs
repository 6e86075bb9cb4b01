//! The list of servers: read whole once, then watched. A call that fails is reported to the rules, which say
//! when to ask again. What can't be read of an answer is left out alone: the last good state of it stands.

use crate::call_error::{CallError, CallProgress};
use crate::client::Peer;
use crate::config::Names;
use crate::control_loop::EventSender;
use crate::log::LogRateLimit;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use otterwinch::time::Moment;
use otterwinch_adapter_support::JsonFields;
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
    pub listings: Vec<EndpointUpdate>,
    pub spoilt: Vec<InvalidEntry>,
}

/// An entry that can't be used: why, and of which server it tells where that much can be read.
pub struct InvalidEntry {
    pub id: Option<EndpointId>,
    pub why: String,
}

pub fn answer(value: &Value, names: &Names) -> Result<Answer, String> {
    let f = JsonFields::of_object(value, "list")?;
    let (version, whole) = (f.u64("seq")?, f.flag("whole"));
    let (mut listings, mut spoilt) = (Vec::new(), Vec::new());
    for (place, entry) in f.list("hosts")?.iter().enumerate() {
        match listing(entry, names) {
            Ok(listing) => listings.push(listing),
            Err(why) => {
                let id = entry.get("host").and_then(Value::as_str).map(EndpointId::from);
                spoilt.push(InvalidEntry { id, why: format!("entry {place}: {why}") });
            }
        }
    }
    Ok(Answer { version, whole, listings, spoilt })
}

fn listing(entry: &Value, names: &Names) -> Result<EndpointUpdate, String> {
    let f = JsonFields::of_object(entry, "list entry")?;
    let id = f.text("host")?.into();
    let standing = match f.text("health")? {
        "active" => EndpointState::Ready,
        "leaving" => EndpointState::Draining,
        "left" => EndpointState::Removed,
        other => return Err(format!("list entry: field 'health' is unknown: '{other}'")),
    };
    // A zone that the settings do not name is far from all that they do.
    let zone = |text| names.zone(text).unwrap_or(u32::MAX);
    let zone = if f.has("site") { f.text("site").map(zone) } else { Ok(0) };
    let weight = if f.has("share") { f.non_negative("share") } else { Ok(1.0) };
    let born = f.i64_or("born_ms", 0);
    let (zone, weight, born) = match standing {
        EndpointState::Ready => (zone?, weight?, born?),
        // Whatever else is amiss: it is to be left, and the grace runs.
        EndpointState::Draining | EndpointState::Removed => {
            (zone.unwrap_or(0), weight.unwrap_or(1.0), born.unwrap_or(0))
        }
    };
    let started = (born > 0).then(|| Moment::from_us(born.saturating_mul(1000)));
    Ok(EndpointUpdate { id, zone, weight, state: standing, started })
}

/// Follows the list for ever; `follow` is the rules' word to ask, at the start and after a failure. A list that
/// has moved is asked for whole at its new place at once, whatever call is open at the old.
pub async fn follow(
    (mut place, most_bytes): (watch::Receiver<SocketAddr>, usize),
    names: Rc<Names>,
    follow: Rc<Notify>,
    ear: EventSender,
    log: Logger,
) {
    let mut peer = Peer::at(*place.borrow_and_update());
    let (mut version, mut lost, mut asking, mut odd) = (None, false, false, LogRateLimit::default());
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
        let told = match told.and_then(|told| newer(told, version)) {
            Ok(told) => told,
            Err(failed) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(log, "list lost"; "why" => %failed, "version" => version);
                }
                // What can't be read may have been a change, and no later one tells of it again; a list that has
                // lost its state may refuse to tell what is newer than it knows.
                version = version
                    .filter(|_| matches!(failed.came, CallProgress::NotConnected | CallProgress::Sent));
                asking = false;
                ear.tell(|controller, now| controller.endpoint_watch_failed(now)).await;
                continue;
            }
        };
        if std::mem::take(&mut lost) || version.is_none() {
            info!(log, "list found"; "version" => told.version, "servers" => told.listings.len());
        }
        version = Some(told.version);
        let Answer { whole, mut listings, spoilt, .. } = told;
        for InvalidEntry { why, .. } in &spoilt {
            ear.seen.dropped.more();
            if let Some(times) = odd.due() {
                warn!(log, "list entry left out"; "why" => why, "times" => times);
            }
        }
        // A server that is there and can't be read is not one that is missing. Where not even its name can be
        // read nobody is taken for missing, and the list is asked for whole again.
        let nameless = spoilt.iter().any(|entry| entry.id.is_none());
        let missed = nameless || !whole && !spoilt.is_empty();
        if whole || !listings.is_empty() {
            ear.tell(move |controller, now| {
                if whole && !nameless {
                    listings.extend(
                        controller.host().last_listed(spoilt.into_iter().filter_map(|entry| entry.id)),
                    );
                    controller.host().learn(&listings, true);
                    controller.endpoint_list_replaced(now, &listings);
                } else {
                    controller.host().learn(&listings, false);
                    controller.endpoints_updated(now, &listings);
                }
            })
            .await;
        }
        if missed {
            (version, asking) = (None, false);
            ear.tell(|controller, now| controller.endpoint_watch_failed(now)).await;
        }
    }
}

/// A change older than what is known was held up on its way, or comes from a list that counts anew: only the
/// whole list tells which.
fn newer(told: Answer, version: Option<u64>) -> Result<Answer, CallError> {
    match version.filter(|known| !told.whole && told.version < *known) {
        Some(_) => {
            Err(CallError::new(CallProgress::Answered, format!("a change of version {}", told.version)))
        }
        None => Ok(told),
    }
}

async fn ask(peer: &Peer, names: &Names, version: Option<u64>, most: usize) -> Result<Answer, CallError> {
    let (path, within) = match version {
        None => ("/v1/servers".into(), ANSWER_WITHIN),
        Some(seen) => {
            let path = format!("/v1/servers?since={seen}&timeout_ms={WATCH_MS}");
            (path, Duration::from_millis(WATCH_MS) + ANSWER_WITHIN)
        }
    };
    let (status, body) = peer.ask(Method::GET, &path, Bytes::new(), within, most).await?;
    if status != StatusCode::OK {
        return Err(CallError::new(CallProgress::TurnedAway, format!("status {status}")));
    }
    let unreadable = |why: String| CallError::new(CallProgress::Answered, why);
    let value = serde_json::from_slice(&body).map_err(|e| unreadable(e.to_string()))?;
    let told = answer(&value, names).map_err(unreadable)?;
    // Asked for the whole list, a part would pass for all of it.
    if version.is_none() && !told.whole {
        return Err(unreadable("a part where the whole list was asked for".into()));
    }
    Ok(told)
}
