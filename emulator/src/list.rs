//! The stand-in list of servers, by its protocol: whole, or watched for changes.

use crate::net::{Listener, Net};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Changes that are kept for who watches; whoever is further behind is told the whole list.
const KEPT: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub host: String,
    pub dial: String,
    pub site: String,
    /// `active`, `leaving` or `left`.
    pub health: &'static str,
    pub share: f64,
    /// Unix time of its latest start in milliseconds; 0 is long ago.
    pub born_ms: u64,
}

impl Entry {
    pub fn json(&self) -> Value {
        json!({"host": self.host, "dial": self.dial, "site": self.site, "class": "stand-in", "block": 0,
            "health": self.health, "share": self.share, "born_ms": self.born_ms})
    }
}

struct State {
    standing: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
    version: u64,
}

pub struct List {
    pub address: String,
    state: Arc<Mutex<State>>,
    told: watch::Sender<u64>,
}

impl List {
    pub async fn start(net: &Net, standing: Vec<Entry>) -> std::io::Result<List> {
        let (listener, address) = net.listen("list", None).await?;
        let state = Arc::new(Mutex::new(State { standing, changes: Vec::new(), version: 1 }));
        let told = watch::channel(1).0;
        tokio::spawn(serve(listener, state.clone(), told.clone()));
        Ok(List { address, state, told })
    }

    /// Tells of changes to whoever watches.
    pub fn changes(&self, entries: Vec<Entry>) {
        let version = {
            let mut state = self.state.lock().expect("no holder panics");
            state.version += 1;
            let version = state.version;
            for entry in entries {
                state.standing.retain(|known| known.host != entry.host);
                if entry.health != "left" {
                    state.standing.push(entry.clone());
                }
                state.changes.push((version, entry));
            }
            let spare = state.changes.len().saturating_sub(KEPT);
            state.changes.drain(..spare);
            version
        };
        self.told.send_replace(version);
    }
}

async fn serve(mut listener: Listener, state: Arc<Mutex<State>>, told: watch::Sender<u64>) {
    while let Ok(stream) = listener.accept().await {
        let (state, told) = (state.clone(), told.clone());
        tokio::spawn(async move {
            let answer = |message: Request<Incoming>| {
                let (state, mut told) = (state.clone(), told.subscribe());
                async move {
                    let query = message.uri().query().unwrap_or("");
                    let number = |name: &str| {
                        let pair = query.split('&').find_map(|pair| pair.strip_prefix(name))?;
                        pair.strip_prefix('=')?.parse::<u64>().ok()
                    };
                    let since = number("since");
                    if let Some(since) = since {
                        let most = Duration::from_millis(number("timeout_ms").unwrap_or(0).min(60_000));
                        let _ = timeout(most, told.wait_for(|version| *version > since)).await;
                    }
                    let body = answer(&state.lock().expect("no holder panics"), since).to_string();
                    Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(body))))
                }
            };
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}

fn answer(state: &State, since: Option<u64>) -> Value {
    // What came before the oldest change that is kept is not known any more.
    let kept = since.filter(|since| {
        *since == state.version || state.changes.first().is_some_and(|oldest| oldest.0 <= since + 1)
    });
    let (whole, hosts): (bool, Vec<Value>) = match kept {
        Some(since) => {
            let later = state.changes.iter().filter(|change| change.0 > since);
            (false, later.map(|change| change.1.json()).collect())
        }
        None => (true, state.standing.iter().map(Entry::json).collect()),
    };
    json!({"seq": state.version, "whole": whole, "hosts": hosts})
}
