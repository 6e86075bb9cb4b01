//! The channel between a control-plane instance and its proxies. Combines commands that are sent together
//! into one message per proxy, sends the messages at the channel's rate, and reports when a proxy has applied
//! a message that requests an acknowledgement. Both the emulated relay and the in-process control plane send
//! their commands through it.

use crate::proxy::Proxy;
use crate::sync::lock;
use crate::time::duration;
use otterwinch_fleet::model::ControlPlane;
use otterwinch_simulation::proxy_channel::ProxyChannel as ChannelModel;
use otterwinch_simulation::route_table::TableSnapshot;
use otterwinch_simulation::simulated_host::Command;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// The maximum number of messages that the channel holds; further ones are lost. A controller that respects
/// the channel's limits stays far below it.
const MAX_QUEUED_MESSAGES: usize = 1 << 20;

/// A message to a proxy.
struct Message {
    /// When the message reaches the proxy.
    arrives_at: Instant,
    proxy: u32,
    /// The number of the connection that the message is sent on.
    connection_number: u32,
    assigned_table: Option<Arc<TableSnapshot>>,
    /// All ejected endpoints.
    ejected: Arc<BTreeSet<u32>>,
    /// The length in lines, without the overhead of the message.
    lines: f64,
    /// The number of the acknowledgement that the message requests, if any.
    acknowledgement_number: Option<u32>,
}

/// The properties that a proxy announces when it connects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JoinedProxy {
    pub(crate) number: u32,
    /// The index of its zone.
    pub(crate) zone: u32,
    /// The rate of requests that it expects, per second.
    pub(crate) expected_rate: f64,
    /// Whether it still uses the initial table, which it drew at random at its start.
    pub(crate) has_initial_table: bool,
}

/// A proxy's acknowledgement that it has applied all commands up to the one that requested it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledgement {
    /// The number with which the control plane requested the acknowledgement.
    pub(crate) number: u32,
    /// The proxy that acknowledges.
    pub(crate) proxy: u32,
    /// The delay of messages to the proxy.
    pub(crate) latency: Duration,
}

/// Delivers in real time the messages that [`ChannelModel`] computes.
pub(crate) struct ProxyChannel {
    state: Mutex<ChannelState>,
    started_at: Instant,
    message_delay: Duration,
    proxies: Arc<Vec<Proxy>>,
    messages: mpsc::Sender<Message>,
}

struct ChannelState {
    model: ChannelModel,
    /// By proxy: the number of its current connection. It changes with each connect and disconnect, so that
    /// messages of an earlier connection are recognized and dropped.
    connection_numbers: Vec<u32>,
}

impl ProxyChannel {
    /// Opens a channel without connected proxies. The receiver returns the acknowledgements.
    pub(crate) fn open(
        control_plane: &ControlPlane,
        request_class_count: usize,
        proxies: Arc<Vec<Proxy>>,
    ) -> (Arc<ProxyChannel>, mpsc::UnboundedReceiver<Acknowledgement>) {
        let (message_sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (acknowledgement_sender, acknowledgements) = mpsc::unbounded_channel();
        let state = ChannelState {
            model: ChannelModel::new(control_plane, request_class_count),
            connection_numbers: vec![0; proxies.len()],
        };
        let channel = Arc::new(ProxyChannel {
            state: Mutex::new(state),
            started_at: Instant::now(),
            message_delay: duration(control_plane.message_delay),
            proxies,
            messages: message_sender,
        });
        tokio::spawn(deliver(channel.clone(), messages, acknowledgement_sender));
        (channel, acknowledgements)
    }

    /// Connects a proxy, which has no assigned table yet.
    pub(crate) fn connect(&self, proxy: u32) {
        let mut state = lock(&self.state);
        state.model.connect(proxy);
        state.connection_numbers[proxy as usize] += 1;
    }

    /// Disconnects a proxy. Messages that have not reached it yet are lost.
    pub(crate) fn disconnect(&self, proxy: u32) {
        let mut state = lock(&self.state);
        state.model.disconnect(proxy);
        state.connection_numbers[proxy as usize] += 1;
    }

    /// Whether a proxy is connected.
    pub(crate) fn is_connected(&self, proxy: u32) -> bool {
        lock(&self.state).model.connected_proxies.contains(&proxy)
    }

    /// Sends commands that were issued at the same time, as one message per proxy.
    pub(crate) fn send(&self, commands: Vec<Command>) {
        let now = Instant::now();
        // The model's times are microseconds since `started_at`.
        let now_us = (now - self.started_at).as_micros() as u64;
        let ChannelState { model, connection_numbers } = &mut *lock(&self.state);
        let in_initial_table = |proxy: u32, endpoint| self.proxies[proxy as usize].in_initial_table(endpoint);
        let batch = model.apply_commands(commands, in_initial_table);
        let ejected = Arc::new(model.ejected_endpoints.clone());
        for (proxy, lines) in batch.lines_by_proxy {
            let sent_at_us = model.send_queue.enqueue(now_us, lines);
            let message = Message {
                arrives_at: self.started_at + Duration::from_micros(sent_at_us) + self.message_delay,
                proxy,
                connection_number: connection_numbers[proxy as usize],
                assigned_table: model.table_snapshot(proxy),
                ejected: ejected.clone(),
                lines,
                acknowledgement_number: batch.acknowledgement,
            };
            // Fails only when the runtime is shutting down or the channel holds `MAX_QUEUED_MESSAGES`.
            let _ = self.messages.try_send(message);
        }
    }

    /// The largest number of lines that were queued at any time so far.
    pub(crate) fn peak_queued_lines(&self) -> f64 {
        lock(&self.state).model.send_queue.peak_queued_lines
    }

    /// Whether the connection that a message was sent on still exists.
    fn is_current(&self, message: &Message) -> bool {
        lock(&self.state).connection_numbers[message.proxy as usize] == message.connection_number
    }
}

/// Delivers the messages one after the other: they arrive in the order in which they were sent, because all
/// have the same delay.
async fn deliver(
    channel: Arc<ProxyChannel>,
    mut messages: mpsc::Receiver<Message>,
    acknowledgements: mpsc::UnboundedSender<Acknowledgement>,
) {
    while let Some(message) = messages.recv().await {
        sleep_until(message.arrives_at).await;
        if !channel.is_current(&message) {
            continue;
        }
        let proxy = &channel.proxies[message.proxy as usize];
        let applied_at = proxy.apply(message.assigned_table, &message.ejected, message.lines);
        if let Some(number) = message.acknowledgement_number {
            let acknowledgement =
                Acknowledgement { number, proxy: message.proxy, latency: channel.message_delay };
            tokio::spawn(acknowledge(acknowledgement, applied_at, acknowledgements.clone()));
        }
    }
}

/// Sends an acknowledgement when the proxy has applied the message.
async fn acknowledge(
    acknowledgement: Acknowledgement,
    applied_at: Instant,
    acknowledgements: mpsc::UnboundedSender<Acknowledgement>,
) {
    sleep_until(applied_at).await;
    // Fails only when the control-plane instance has ended.
    let _ = acknowledgements.send(acknowledgement);
}
