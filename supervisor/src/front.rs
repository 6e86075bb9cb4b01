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
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Strangers connect and say nothing.
const FIRST_BYTE_WITHIN: Duration = Duration::from_secs(10);
const HEAD_WITHIN: Duration = Duration::from_secs(5);
const PAGE_WITHIN: Duration = Duration::from_secs(30);

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

/// Accepts for ever, and holds so many connections at most.
pub async fn serve(listener: TcpListener, front: Front, most: usize) {
    let places = Arc::new(Semaphore::new(most));
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
        let Ok(place) = places.clone().try_acquire_owned() else {
            if let Some(times) = full.due() {
                warn!(front.log, "connection turned away: too many"; "times" => times);
            }
            continue;
        };
        let (front, router, ended) = (front.clone(), router.clone(), ended.clone());
        spawn_local(async move {
            let log = front.log.new(o!("from" => from.to_string()));
            match one(stream, &front, router, &log).await {
                Ok(false) => {}
                Ok(true) => info!(log, "collector left"),
                Err(failed) => {
                    if let Some(times) = ended.borrow_mut().due() {
                        info!(log, "connection ended"; "why" => %failed, "times" => times);
                    }
                }
            }
            drop(place);
        });
    }
}

/// One connection from its first byte to its end; true where it spoke in frames.
async fn one(stream: TcpStream, front: &Front, router: Router, log: &Logger) -> Result<bool, Failed> {
    let mut first = [0];
    let peeked = within(FIRST_BYTE_WITHIN, stream.peek(&mut first)).await;
    let peeked = peeked.ok_or_else(|| Failed::new(Came::NotConnected, "said nothing"))?;
    if peeked.map_err(|e| Failed::new(Came::NotConnected, e))? == 0 {
        return Ok(false);
    }
    stream.set_nodelay(true).map_err(|e| Failed::new(Came::NotConnected, e))?;
    if first[0] == 0 {
        return collectors::listen(stream, &front.names, &front.ear, log).await.map(|()| true);
    }
    let page = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WITHIN)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
    let page = within(PAGE_WITHIN, page).await.ok_or_else(|| Failed::new(Came::Sent, "page kept open"))?;
    page.map(|()| false).map_err(|e| Failed::new(Came::Answered, chain(&e)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::AsyncWriteExt;

    /// Why frames do not go through axum: the first byte of one ends an HTTP connection.
    #[tokio::test]
    async fn an_http_parser_ends_the_connection_at_a_frames_first_byte() {
        let (mut ours, theirs) = tokio::io::duplex(1024);
        ours.write_all(b"\0\0\0\x0f{\"msg\":\"probe\"}").await.unwrap();
        let page = TowerToHyperService::new(router(watch::channel(String::new()).1));
        let ended = http1::Builder::new().serve_connection(TokioIo::new(theirs), page).await;
        assert!(ended.unwrap_err().is_parse());
    }
}
