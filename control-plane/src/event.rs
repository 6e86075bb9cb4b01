//! What the tasks of the peers report to the control loop.

use crate::metrics::Metrics;
use otterwinch::host::{EndpointId, EndpointUpdate};
use otterwinch::time::Span;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Events that wait for the control loop. Senders wait while it is full.
pub const EVENT_QUEUE_CAPACITY: usize = 4096;

/// One decoded and validated input of the controller.
pub enum Event {
    /// The whole endpoint list.
    EndpointListReplaced {
        /// Its valid entries.
        updates: Vec<EndpointUpdate>,
        /// Endpoints whose entries are invalid: they stay in the state that they were last listed in.
        invalid: Vec<EndpointId>,
    },
    /// Entries of the endpoint list that changed.
    EndpointsUpdated {
        /// The entries.
        updates: Vec<EndpointUpdate>,
    },
    /// A call to the endpoint list failed, or its answer may lack a change.
    EndpointWatchFailed,
    /// A proxy joined the relay. One that is joined already may have left and joined again unnoticed.
    ProxyJoined {
        /// Its number.
        proxy: u32,
        /// The position of its zone in the configuration.
        zone: u32,
        /// Its usual rate in requests per second.
        rate: f64,
        /// Whether the relay marks it as new.
        fresh: bool,
    },
    /// A proxy left the relay.
    ProxyLeft {
        /// Its number.
        proxy: u32,
    },
    /// A new proxy stream has named all proxies that are joined. The others left while there was no stream.
    ProxySnapshot {
        /// The proxies that it named.
        joined: BTreeSet<u32>,
    },
    /// A proxy acknowledged commands.
    Acknowledged {
        /// Its number.
        proxy: u32,
        /// The number that the acknowledgement was requested with.
        number: u32,
    },
    /// A load report about one endpoint.
    EndpointOutcomes {
        /// The endpoint, which need not be listed.
        endpoint: String,
        /// Attempts that ended in the interval.
        attempts: f64,
        /// Those of them that failed without an answer.
        failures: f64,
        /// The mean latency of the others.
        mean_latency: Span,
        /// How long the report covers.
        interval: Span,
    },
    /// A load report about one request class.
    Demand {
        /// The position of the class in the configuration.
        class: u32,
        /// Requests that arrived.
        requests: f64,
    },
}

/// Sends events to the control loop.
#[derive(Clone)]
pub struct EventSender {
    queue: mpsc::Sender<Event>,
    /// The counters that the senders share.
    pub metrics: Rc<Metrics>,
}

impl EventSender {
    /// A queue of `capacity` events, and its end that the control loop reads.
    pub fn channel(capacity: usize, metrics: Rc<Metrics>) -> (Self, mpsc::Receiver<Event>) {
        let (queue, events) = mpsc::channel(capacity);
        (EventSender { queue, metrics }, events)
    }

    /// Sends an event; waits while the queue is full.
    pub async fn send(&self, event: Event) {
        // The queue is closed only while the process ends: events are of no use then.
        let _ = self.queue.send(event).await;
    }
}
