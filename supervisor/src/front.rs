//! The supervisor's own address. A frame's first byte is always 0 and that of HTTP never: frames go to the
//! collectors' side, HTTP to a small read-only page on axum.

use crate::collectors;
use crate::errors::{chain, Came, Failed};
use crate::limits::within;
use crate::log::Sparing;
use crate::papers::Names;
use crate::planner::Ear;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use slog::{info, o, warn, Logger};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, AbortHandle};
use tokio::time::{sleep, Instant};

/// Strangers connect and say nothing, or ask for a sign of life and stay. From the accept to the joining of a
/// collector or the end of a page; nothing that is sent meanwhile makes it longer.
const JOINED_WITHIN: Duration = Duration::from_millis(1_500);
/// Connections that one zone's collector may have: it comes again while the old ones stand silent.
const MOST_A_ZONE: usize = 8;

#[derive(Clone)]
pub struct Front {
    pub names: Rc<Names>,
    pub ear: Ear,
    pub page: watch::Receiver<String>,
    pub log: Logger,
}

pub fn router(page: watch::Receiver<String>) -> Router {
    let state = |State(page): State<watch::Receiver<String>>| async move {
        ([(CONTENT_TYPE, "application/json")], page.borrow().clone())
    };
    Router::new().route("/healthz", get(|| async { "alive\n" })).route("/state", get(state)).with_state(page)
}

/// Who is connected, by number in the order of their coming.
#[derive(Default)]
struct Guests {
    coming: u64,
    strangers: BTreeMap<u64, AbortHandle>,
    /// Collectors with their zone and when each was heard last.
    joined: BTreeMap<u64, (u32, Instant, AbortHandle)>,
}

impl Guests {
    /// Ends the stranger that has been here longest; true where there was one.
    fn less_a_stranger(&mut self) -> bool {
        self.strangers.pop_first().map(|(_, oldest)| oldest.abort()).is_some()
    }

    /// A stranger has joined. Where its zone has too many connections then, the longest silent one ends.
    fn join(&mut self, number: u64, zone: u32, most: usize) {
        let Some(handle) = self.strangers.remove(&number) else { return };
        let of_zone = || self.joined.iter().filter(|(_, seat)| seat.0 == zone);
        let silent = of_zone().min_by_key(|(_, seat)| seat.1).map(|(number, _)| *number);
        if let Some(longest) = silent.filter(|_| of_zone().count() >= most) {
            self.leave(longest);
        }
        self.joined.insert(number, (zone, Instant::now(), handle));
    }

    fn heard(&mut self, number: u64) {
        self.joined.get_mut(&number).into_iter().for_each(|seat| seat.1 = Instant::now());
    }

    fn leave(&mut self, number: u64) {
        let handle = self.strangers.remove(&number);
        let handle = handle.or_else(|| self.joined.remove(&number).map(|seat| seat.2));
        handle.into_iter().for_each(|handle| handle.abort());
    }
}

/// Accepts for ever, and holds so many connections at most. Half of them at most are collectors', so where it
/// is full the oldest stranger makes room: a collector joins and a probe is answered in a moment, and whoever
/// has been here for long without either has come to stay.
pub async fn serve(listener: TcpListener, front: Front, most: usize) {
    let guests = Rc::new(RefCell::new(Guests::default()));
    let each_zone = (most / 2 / front.names.zones.len().max(1)).clamp(1, MOST_A_ZONE);
    let (router, mut full) = (router(front.page.clone()), Sparing::default());
    let ended = Rc::new(RefCell::new(Sparing::default()));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(taken) => taken,
            Err(e) => {
                // Out of descriptors, or a peer that gave up: both pass.
                warn!(front.log, "accept failed"; "why" => %e);
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let here = |guests: &Guests| guests.strangers.len() + guests.joined.len();
        if here(&guests.borrow()) >= most {
            front.ear.seen.turned_away.more();
            if let Some(times) = full.due() {
                warn!(front.log, "stranger turned away: too many"; "times" => times);
            }
            if !guests.borrow_mut().less_a_stranger() {
                continue;
            }
            // Its task drops its descriptor before the next is accepted.
            yield_now().await;
        }
        let number = guests.borrow().coming;
        let (front, router, ended, all) = (front.clone(), router.clone(), ended.clone(), guests.clone());
        let task = spawn_local(async move {
            let log = front.log.new(o!("from" => from.to_string()));
            if let Err(failed) = one(stream, &front, router, &all, (number, each_zone), &log).await {
                front.ear.seen.ended.more();
                if let Some(times) = ended.borrow_mut().due() {
                    info!(log, "connection ended"; "why" => %failed, "times" => times);
                }
            }
        });
        let mut all = guests.borrow_mut();
        all.coming += 1;
        all.strangers.insert(number, task.abort_handle());
        // However it ends, by a panic too, its place is free then.
        let guests = guests.clone();
        spawn_local(async move {
            let _ = task.await;
            guests.borrow_mut().leave(number);
        });
    }
}

/// One connection from its first byte to its end.
async fn one(
    stream: TcpStream,
    front: &Front,
    router: Router,
    guests: &RefCell<Guests>,
    (number, each_zone): (u64, usize),
    log: &Logger,
) -> Result<(), Failed> {
    let greeted = within(JOINED_WITHIN, greet(stream, front, router)).await;
    let greeted = greeted.ok_or_else(|| Failed::new(Came::Sent, "not joined in time"))?;
    let Some((frames, zone)) = greeted? else { return Ok(()) };
    guests.borrow_mut().join(number, zone, each_zone);
    info!(log, "collector found"; "zone" => zone);
    let heard = || guests.borrow_mut().heard(number);
    collectors::listen(frames, &front.names, &front.ear, heard, log).await?;
    info!(log, "collector left");
    Ok(())
}

/// A collector that has joined; nothing where it was a page, or nobody.
async fn greet(
    stream: TcpStream,
    front: &Front,
    router: Router,
) -> Result<Option<(collectors::Frames, u32)>, Failed> {
    let lost = |e| Failed::new(Came::NotConnected, e);
    let mut first = [0];
    if stream.peek(&mut first).await.map_err(lost)? == 0 {
        return Ok(None);
    }
    stream.set_nodelay(true).map_err(lost)?;
    if first[0] == 0 {
        return collectors::join(stream, &front.names).await;
    }
    // One page a connection: who keeps it open for more would hold it unjoined.
    let page = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(JOINED_WITHIN)
        .max_buf_size(8 << 10)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    page.await.map(|()| None).map_err(|e| Failed::new(Came::Answered, chain(&e)))
}

#[cfg(test)]
mod tests;
