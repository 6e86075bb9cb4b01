//! Servers asked how busy their cores are, each on a connection of its own. An answer that does not come, or
//! can't be read, is none: the rules then go by what proxies met.

use crate::client::Peer;
use crate::planner::Ear;
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use otterwinch::host::Id;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// A server that stands so long says nothing of now, and the next question is due.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);
const MOST_ANSWER: usize = 4 << 10;
/// Beyond this a figure is a slip.
pub const MOST_BUSY: f64 = 100.0;

pub struct Probes {
    /// As many at once as the sockets bear.
    open: Rc<Semaphore>,
    /// Who has not answered yet: nobody is asked twice at a time, and so many wait at most as there are servers.
    asked: Rc<RefCell<BTreeSet<Id>>>,
}

impl Probes {
    pub fn at_once(most: usize) -> Self {
        Probes { open: Rc::new(Semaphore::new(most)), asked: Rc::default() }
    }

    pub fn ask(&self, servers: Vec<(Id, SocketAddr)>, ear: &Ear) {
        for (id, at) in servers {
            if !self.asked.borrow_mut().insert(id.clone()) {
                continue;
            }
            let (open, asked, ear) = (self.open.clone(), self.asked.clone(), ear.clone());
            spawn_local(async move {
                let busy = match open.acquire().await {
                    Ok(_turn) => one(at).await,
                    Err(_) => None,
                };
                asked.borrow_mut().remove(&id);
                if let Some(busy) = busy {
                    ear.tell(move |rules, now| rules.busy(now, &id, busy)).await;
                }
            });
        }
    }
}

async fn one(at: SocketAddr) -> Option<f64> {
    let answer = Peer::at(at).ask(Method::GET, "/load", Bytes::new(), ANSWER_WITHIN, MOST_ANSWER).await;
    let (status, body) = answer.ok()?;
    (status == StatusCode::OK).then(|| busy(std::str::from_utf8(&body).ok()?)).flatten()
}

/// The part of its cores that a load report tells to be busy.
fn busy(report: &str) -> Option<f64> {
    let values = report.strip_prefix("TEXT ")?.split(',').filter_map(|value| value.trim().split_once('='));
    let told: f64 = values.filter(|(name, _)| *name == "util").find_map(|(_, told)| told.parse().ok())?;
    (0.0..=MOST_BUSY).contains(&told).then_some(told)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_tells_how_busy_the_cores_are_or_nothing() {
        assert_eq!(busy("TEXT inflight=7, queue=2, util=0.61"), Some(0.61));
        for odd in [
            "",
            "TEXT",
            "util=0.5",
            "TEXT util=",
            "TEXT util=x",
            "TEXT util=-1",
            "TEXT util=NaN",
            "TEXT queue=1",
        ] {
            assert_eq!(busy(odd), None, "{odd}");
        }
    }
}
