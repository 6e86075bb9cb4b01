//! What stands between a supervisor and its forwarders here: takes a moment's commands, sends them as messages through a
//! channel of a stated pace, and tells who has applied a mark. The stand-in relay and the supervisor in this process both
//! use it.

use crate::forwarder::Forwarder;
use otterwinch_fleet::model::ControlPlane;
use otterwinch_simulation::proxy_channel::ProxyChannel;
use otterwinch_simulation::route_table::TableSnapshot;
use otterwinch_simulation::simulated_host::Command;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// Messages that may wait; a channel that is so far behind is a slip of the rig.
const MOST_MESSAGES: usize = 1 << 20;

struct Message {
    at: Instant,
    forwarder: u32,
    stream: u32,
    version: Option<Arc<TableSnapshot>>,
    barred: Arc<BTreeSet<u32>>,
    lines: f64,
    mark: Option<u32>,
}

/// What a supervisor hears back: a forwarder has applied a marked message, after so long.
pub type Applied = (u32, u32, Duration);

pub struct Between {
    plane: Mutex<(ProxyChannel, Vec<u32>)>,
    began: Instant,
    late: Duration,
    forwarders: Arc<Vec<Forwarder>>,
    to: mpsc::Sender<Message>,
}

impl Between {
    /// Opens a channel to the forwarders; marks that were applied are told through the receiver.
    pub fn open(
        told: &ControlPlane,
        products: usize,
        forwarders: Arc<Vec<Forwarder>>,
    ) -> (Arc<Between>, mpsc::UnboundedReceiver<Applied>) {
        let (to, messages) = mpsc::channel(MOST_MESSAGES);
        let (hears, applied) = mpsc::unbounded_channel();
        let streams = vec![0; forwarders.len()];
        let between = Arc::new(Between {
            plane: Mutex::new((ProxyChannel::new(told, products), streams)),
            began: Instant::now(),
            late: Duration::from_micros(told.message_delay.as_us() as u64),
            forwarders,
            to,
        });
        tokio::spawn(deliver(between.clone(), messages, hears));
        (between, applied)
    }

    pub fn joins(&self, forwarder: u32) {
        let (plane, streams) = &mut *self.plane.lock().expect("no holder panics");
        plane.connect(forwarder);
        streams[forwarder as usize] += 1;
    }

    pub fn leaves(&self, forwarder: u32) {
        let (plane, streams) = &mut *self.plane.lock().expect("no holder panics");
        plane.disconnect(forwarder);
        streams[forwarder as usize] += 1;
    }

    pub fn has(&self, forwarder: u32) -> bool {
        self.plane.lock().expect("no holder panics").0.connected.contains(&forwarder)
    }

    /// Takes a moment's commands.
    pub fn take(&self, commands: Vec<Command>) {
        let now = Instant::now();
        let now_us = (now - self.began).as_micros() as u64;
        let (plane, streams) = &mut *self.plane.lock().expect("no holder panics");
        let gathered = plane.apply(commands, |f, node| self.forwarders[f as usize].standing.contains(&node));
        let barred = Arc::new(plane.ejected.clone());
        for (forwarder, lines) in gathered.lines {
            let left = plane.send_queue.enqueue(now_us, lines);
            let at = self.began + Duration::from_micros(left) + self.late;
            let (version, stream) = (plane.table_snapshot(forwarder), streams[forwarder as usize]);
            let (barred, mark) = (barred.clone(), gathered.acknowledgement);
            let message = Message { at, forwarder, stream, version, barred, lines, mark };
            // Only a rig that has ended reads no more.
            let _ = self.to.try_send(message);
        }
    }

    /// The most lines that ever waited, and all that were sent.
    pub fn lines(&self) -> (f64, f64) {
        let plane = self.plane.lock().expect("no holder panics");
        (plane.0.send_queue.max_queued_lines, plane.0.send_queue.sent_lines)
    }
}

async fn deliver(
    between: Arc<Between>,
    mut messages: mpsc::Receiver<Message>,
    hears: mpsc::UnboundedSender<Applied>,
) {
    // All take the same way: the order of leaving is that of coming.
    while let Some(message) = messages.recv().await {
        sleep_until(message.at).await;
        if between.plane.lock().expect("no holder panics").1[message.forwarder as usize] != message.stream {
            continue;
        }
        let forwarder = &between.forwarders[message.forwarder as usize];
        let applied = forwarder.apply(message.version, &message.barred, message.lines);
        if let Some(mark) = message.mark {
            let (hears, number, took) = (hears.clone(), message.forwarder, between.late);
            tokio::spawn(async move {
                sleep_until(applied).await;
                let _ = hears.send((mark, number, took));
            });
        }
    }
}
