//! The channel between a control-plane instance and its proxies: takes the commands of an instant, sends the messages that
//! they make at the channel's rate, and reports when a proxy has applied a message that asks for an acknowledgement. Both
//! the emulated relay and the control plane in this process send their commands through it.

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

/// Messages in the channel, beyond which they are lost. No controller that keeps the channel's limits comes near.
const MAX_QUEUED_MESSAGES: usize = 1 << 20;

/// A message to a proxy.
struct Message {
    /// When it reaches the proxy.
    arrives_at: Instant,
    proxy: u32,
    /// The connection that it is sent on.
    connection: u32,
    assigned_table: Option<Arc<TableSnapshot>>,
    ejected: Arc<BTreeSet<u32>>,
    lines: f64,
    acknowledgement: Option<u32>,
}

/// What a proxy states of itself when it connects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JoinedProxy {
    pub(crate) number: u32,
    /// The index of its zone.
    pub(crate) zone: u32,
    /// The requests that it expects, per second.
    pub(crate) expected_rate: f64,
    /// Whether it holds the table that it drew at its start.
    pub(crate) has_initial_table: bool,
}

/// A proxy's answer that it has applied all commands up to a number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledgement {
    /// The number that the control plane asked for.
    pub(crate) number: u32,
    /// The proxy that answers.
    pub(crate) proxy: u32,
    /// The delay of messages to it.
    pub(crate) latency: Duration,
}

/// A running channel.
pub(crate) struct ProxyChannel {
    state: Mutex<ChannelState>,
    began: Instant,
    message_delay: Duration,
    proxies: Arc<Vec<Proxy>>,
    messages: mpsc::Sender<Message>,
}

struct ChannelState {
    model: ChannelModel,
    /// By proxy: the number of its present connection. It changes with each connect and disconnect, so that messages of
    /// an earlier connection are recognized and dropped.
    connections: Vec<u32>,
}

impl ProxyChannel {
    /// Opens a channel without connected proxies; acknowledgements come through the receiver.
    pub(crate) fn open(
        control_plane: &ControlPlane,
        request_classes: usize,
        proxies: Arc<Vec<Proxy>>,
    ) -> (Arc<ProxyChannel>, mpsc::UnboundedReceiver<Acknowledgement>) {
        let (message_sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (acknowledgement_sender, acknowledgements) = mpsc::unbounded_channel();
        let state = ChannelState {
            model: ChannelModel::new(control_plane, request_classes),
            connections: vec![0; proxies.len()],
        };
        let channel = Arc::new(ProxyChannel {
            state: Mutex::new(state),
            began: Instant::now(),
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
        state.connections[proxy as usize] += 1;
    }

    /// Disconnects a proxy. Messages that have not reached it are lost.
    pub(crate) fn disconnect(&self, proxy: u32) {
        let mut state = lock(&self.state);
        state.model.disconnect(proxy);
        state.connections[proxy as usize] += 1;
    }

    /// Whether a proxy is connected.
    pub(crate) fn is_connected(&self, proxy: u32) -> bool {
        lock(&self.state).model.connected_proxies.contains(&proxy)
    }

    /// Sends the commands of an instant.
    pub(crate) fn send(&self, commands: Vec<Command>) {
        let now = Instant::now();
        let now_us = (now - self.began).as_micros() as u64;
        let ChannelState { model, connections } = &mut *lock(&self.state);
        let in_initial_table = |proxy: u32, endpoint| self.proxies[proxy as usize].in_initial_table(endpoint);
        let batch = model.apply_commands(commands, in_initial_table);
        let ejected = Arc::new(model.ejected_endpoints.clone());
        for (proxy, lines) in batch.lines_by_proxy {
            let sent_us = model.send_queue.enqueue(now_us, lines);
            let message = Message {
                arrives_at: self.began + Duration::from_micros(sent_us) + self.message_delay,
                proxy,
                connection: connections[proxy as usize],
                assigned_table: model.table_snapshot(proxy),
                ejected: ejected.clone(),
                lines,
                acknowledgement: batch.acknowledgement,
            };
            // Fails only when the runtime is shutting down, or far beyond the channel's limits.
            let _ = self.messages.try_send(message);
        }
    }

    /// The most lines that were ever queued.
    pub(crate) fn max_queued_lines(&self) -> f64 {
        lock(&self.state).model.send_queue.peak_queued_lines
    }

    /// Whether the connection that a message was sent on still exists.
    fn is_current(&self, message: &Message) -> bool {
        lock(&self.state).connections[message.proxy as usize] == message.connection
    }
}

/// Delivers the messages. Their delay is the same, so that they arrive in the order in which they are sent.
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
        if let Some(number) = message.acknowledgement {
            let acknowledgement =
                Acknowledgement { number, proxy: message.proxy, latency: channel.message_delay };
            tokio::spawn(acknowledge(acknowledgement, applied_at, acknowledgements.clone()));
        }
    }
}

/// Sends an acknowledgement once the message is applied.
async fn acknowledge(
    acknowledgement: Acknowledgement,
    applied_at: Instant,
    acknowledgements: mpsc::UnboundedSender<Acknowledgement>,
) {
    sleep_until(applied_at).await;
    // Fails only when the control-plane instance has ended.
    let _ = acknowledgements.send(acknowledgement);
}
