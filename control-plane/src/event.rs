//! The events that the tasks of the peers send to the control loop.

use crate::metrics::Metrics;
use otterwinch::host::{EndpointId, EndpointUpdate};
use otterwinch::time::Span;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The capacity of the control loop's event queue. Senders wait while it is full.
pub const EVENT_QUEUE_CAPACITY: usize = 4096;

/// One decoded and validated input for the controller.
pub enum Event {
    /// The complete endpoint list.
    EndpointListReplaced {
        /// The valid entries.
        updates: Vec<EndpointUpdate>,
        /// Endpoints whose entries are invalid. They keep their last listed state.
        invalid: Vec<EndpointId>,
    },
    /// Some entries of the endpoint list changed.
    EndpointsUpdated {
        /// The changed entries.
        updates: Vec<EndpointUpdate>,
    },
    /// A call to the endpoint list failed, or its response may be missing a change.
    EndpointWatchFailed,
    /// A proxy joined the relay. If it was already joined, it may have left and rejoined unnoticed.
    ProxyJoined {
        /// The proxy's number.
        proxy: u32,
        /// The position of the proxy's zone in the configuration.
        zone: u32,
        /// The proxy's usual rate, in requests per second.
        rate: f64,
        /// Whether the relay marks the proxy as new, so that it still holds its initial table.
        has_initial_table: bool,
    },
    /// A proxy left the relay.
    ProxyLeft {
        /// The proxy's number.
        proxy: u32,
    },
    /// A new proxy stream has listed all joined proxies. Any others left while there was no stream.
    ProxySnapshot {
        /// The joined proxies.
        joined: BTreeSet<u32>,
    },
    /// A proxy acknowledged commands.
    Acknowledged {
        /// The proxy's number.
        proxy: u32,
        /// The number of the acknowledgement request.
        number: u32,
    },
    /// A load report about one endpoint.
    EndpointOutcomes {
        /// The endpoint's identifier. The endpoint list may not contain it.
        endpoint: String,
        /// The number of attempts that ended in the interval.
        attempts: f64,
        /// The number of those attempts that failed without a response.
        failures: f64,
        /// The mean latency of the other attempts.
        mean_latency: Span,
        /// The length of time that the report covers.
        interval: Span,
    },
    /// A load report about one request class.
    Demand {
        /// The position of the class in the configuration.
        class: u32,
        /// The number of requests that arrived.
        requests: f64,
    },
}

/// Sends events to the control loop.
#[derive(Clone)]
pub struct EventSender {
    queue: mpsc::Sender<Event>,
    /// Counters that all senders share.
    pub metrics: Rc<Metrics>,
}

impl EventSender {
    /// Creates a queue of `capacity` events. Returns the sender and the receiver for the control loop.
    pub fn channel(capacity: usize, metrics: Rc<Metrics>) -> (Self, mpsc::Receiver<Event>) {
        let (queue, events) = mpsc::channel(capacity);
        (EventSender { queue, metrics }, events)
    }

    /// Sends an event, and waits while the queue is full.
    pub async fn send(&self, event: Event) {
        // The queue is closed only during shutdown, when events are no longer needed.
        let _ = self.queue.send(event).await;
    }
}
