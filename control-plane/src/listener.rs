//! The supervisor's own address. A frame's first byte is always 0 and that of HTTP never: frames go to the
//! collectors' side, HTTP to a small read-only page on axum.

use crate::call_error::{chain, CallError, CallProgress};
use crate::config::Names;
use crate::control_loop::EventSender;
use crate::load_reports;
use crate::log::LogRateLimit;
use crate::timeout::within;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::routing::get;
use axum::Router;
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use otterwinch_adapter_support::catch_panic;
use slog::{error, info, o, warn, Logger};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{yield_now, AbortHandle};
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Strangers connect and say nothing, or ask for a sign of life and stay. From the accept to the joining of a
/// collector or the end of a page; nothing that is sent meanwhile makes it longer.
const JOINED_WITHIN: Duration = Duration::from_millis(1_500);
/// Connections that one zone's collector may have: it comes again while the old ones stand silent.
const MOST_A_ZONE: usize = 8;

#[derive(Clone)]
pub struct Front {
    pub names: Rc<Names>,
    pub ear: EventSender,
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
struct Connections {
    coming: u64,
    unjoined: BTreeMap<u64, (AbortHandle, CancellationToken)>,
    /// Collectors with their zone and when each was heard last.
    joined: BTreeMap<u64, (u32, Instant, CancellationToken)>,
}

impl Connections {
    /// A stranger has joined. Where its zone has too many connections then, the longest silent one is let go.
    fn join(&mut self, number: u64, zone: u32, most: usize) {
        let Some((_, let_go)) = self.unjoined.remove(&number) else { return };
        let of_zone = || self.joined.iter().filter(|(_, seat)| seat.0 == zone);
        let silent = of_zone().min_by_key(|(_, seat)| seat.1).map(|(number, _)| *number);
        if let Some(longest) = silent.filter(|_| of_zone().count() >= most) {
            self.joined.remove(&longest).into_iter().for_each(|seat| seat.2.cancel());
        }
        self.joined.insert(number, (zone, Instant::now(), let_go));
    }

    fn heard(&mut self, number: u64) {
        self.joined.get_mut(&number).into_iter().for_each(|seat| seat.1 = Instant::now());
    }

    fn left(&mut self, number: u64) {
        self.unjoined.remove(&number);
        self.joined.remove(&number);
    }

    fn here(&self) -> usize {
        self.unjoined.len() + self.joined.len()
    }
}

/// Accepts until the end, and holds so many connections at most. Half of them at most are collectors', so where it
/// is full the oldest stranger makes room: a collector joins and a probe is answered in a moment, and whoever
/// has been here for long without either has come to stay.
///
/// At the end whoever had connected is heard to the end of what it had sent, and answered; who comes later is
/// refused by the closed address and not left in its queue.
pub async fn serve(listener: TcpListener, front: Front, most: usize, end: CancellationToken) {
    let each_zone = (most / 2 / front.names.zones.len().max(1)).clamp(1, MOST_A_ZONE);
    let acceptor = Acceptor {
        router: router(front.page.clone()),
        front,
        most,
        each_zone,
        connections: Rc::default(),
        tasks: TaskTracker::new(),
        full: Rc::default(),
        ended: Rc::default(),
        end,
    };
    let mut failed = LogRateLimit::default();
    loop {
        let taken = tokio::select! {
            biased;
            () = acceptor.end.cancelled() => break,
            taken = listener.accept() => taken,
        };
        let log = &acceptor.front.log;
        let (stream, from) = match taken {
            Ok(taken) => taken,
            Err(e) => {
                // Out of descriptors, or a peer that gave up: both pass.
                if let Some(times) = failed.due() {
                    warn!(log, "accept failed"; "why" => %e, "times" => times);
                }
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        if acceptor.makes_room() {
            // A task that ends drops its descriptor before the next is accepted.
            yield_now().await;
        }
        // Nobody else hears our address: a slip at one connection must not cost all that follow.
        if let Err(cause) = catch_panic(|| acceptor.take(stream, from)) {
            error!(log, "a connection could not be taken"; "why" => %cause);
        }
    }
    while let Some(Ok((stream, from))) = listener.accept().now_or_never() {
        acceptor.take(stream, from);
    }
    drop(listener);
    acceptor.tasks.close();
    acceptor.tasks.wait().await;
}

struct Acceptor {
    front: Front,
    router: Router,
    most: usize,
    each_zone: usize,
    connections: Rc<RefCell<Connections>>,
    tasks: TaskTracker,
    full: Rc<RefCell<LogRateLimit>>,
    ended: Rc<RefCell<LogRateLimit>>,
    end: CancellationToken,
}

impl Acceptor {
    /// Makes room where all places are taken; true where it had to.
    fn makes_room(&self) -> bool {
        if self.connections.borrow().here() < self.most {
            return false;
        }
        self.front.ear.seen.turned_away.more();
        if let Some(times) = self.full.borrow_mut().due() {
            warn!(self.front.log, "stranger turned away: too many"; "times" => times);
        }
        // What the oldest sent has long been answered.
        let oldest = self.connections.borrow_mut().unjoined.pop_first();
        oldest.map(|(_, (task, _))| task.abort()).is_some()
    }

    /// Gives a connection a task of its own. Where no stranger could make room it is closed again.
    fn take(&self, stream: TcpStream, from: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        if connections.here() >= self.most {
            return;
        }
        let (number, each_zone, let_go) = (connections.coming, self.each_zone, self.end.child_token());
        let (front, router, ended) = (self.front.clone(), self.router.clone(), self.ended.clone());
        let (slot, gone) = (Slot { number, connections: self.connections.clone() }, let_go.clone());
        let task = self.tasks.spawn_local(async move {
            let log = front.log.new(o!("from" => from.to_string()));
            if let Err(failed) = one(stream, &front, router, (&slot, each_zone, &gone), &log).await {
                front.ear.seen.ended.more();
                if let Some(times) = ended.borrow_mut().due() {
                    info!(log, "connection ended"; "why" => %failed, "times" => times);
                }
            }
        });
        connections.coming += 1;
        connections.unjoined.insert(number, (task.abort_handle(), let_go));
    }
}

/// A connection's place, free again however its task ends: by a panic or an abort too.
struct Slot {
    number: u64,
    connections: Rc<RefCell<Connections>>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.borrow_mut().left(self.number);
    }
}

/// One connection from its first byte to its end.
async fn one(
    stream: TcpStream,
    front: &Front,
    router: Router,
    (slot, each_zone, let_go): (&Slot, usize, &CancellationToken),
    log: &Logger,
) -> Result<(), CallError> {
    let mut greeting = pin!(within(JOINED_WITHIN, greet(stream, front, router)));
    let greeted = tokio::select! {
        greeted = &mut greeting => greeted,
        () = let_go.cancelled() => match within(load_reports::AT_HAND, greeting).await {
            Some(greeted) => greeted,
            None => return Ok(()),
        },
    };
    let greeted = greeted.ok_or_else(|| CallError::new(CallProgress::Sent, "not joined in time"))?;
    let Some((frames, zone)) = greeted? else { return Ok(()) };
    slot.connections.borrow_mut().join(slot.number, zone, each_zone);
    info!(log, "collector found"; "zone" => zone);
    let heard = || slot.connections.borrow_mut().heard(slot.number);
    load_reports::listen(frames, &front.names, &front.ear, heard, let_go, log).await?;
    info!(log, "collector left");
    Ok(())
}

/// A collector that has joined; nothing where it was a page, or nobody.
async fn greet(
    stream: TcpStream,
    front: &Front,
    router: Router,
) -> Result<Option<(load_reports::Frames, u32)>, CallError> {
    let lost = |e| CallError::new(CallProgress::NotConnected, e);
    let mut first = [0];
    if stream.peek(&mut first).await.map_err(lost)? == 0 {
        return Ok(None);
    }
    stream.set_nodelay(true).map_err(lost)?;
    if first[0] == 0 {
        return load_reports::join(stream, &front.names).await;
    }
    // One page a connection: who keeps it open for more would hold it unjoined.
    let page = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(JOINED_WITHIN)
        .max_buf_size(8 << 10)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    page.await.map(|()| None).map_err(|e| CallError::new(CallProgress::Answered, chain(&e)))
}

#[cfg(test)]
mod tests;
