//! A control-plane instance of a testbed, in this process or in a separate one.

use super::control_plane_process::{ControlPlaneProcess, ProcessSpec};
use super::endpoint_registry::ListUpdate;
use super::{TableSource, Testbed};
use crate::error::TestbedError;
use crate::in_process_control_plane::{self, ControlPlaneEvent, InstanceSpec};
use crate::proxy_channel::{Acknowledgement, JoinedProxy, ProxyChannel};
use std::sync::Arc;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

/// A running instance. It stops when it is dropped.
pub(super) enum Instance {
    InProcess(InProcessInstance),
    Process(Box<ControlPlaneProcess>),
}

/// The testbed's handle to an instance in this process.
pub(super) struct InProcessInstance {
    events: UnboundedSender<ControlPlaneEvent>,
    channel: Arc<ProxyChannel>,
}

impl InProcessInstance {
    /// Sends an event to the instance; has no effect if the instance has ended.
    fn notify(&self, event: ControlPlaneEvent) {
        let _ = self.events.send(event);
    }
}

impl Instance {
    /// Connects a proxy to the instance.
    pub(super) fn join(&self, proxy: JoinedProxy) {
        match self {
            Instance::InProcess(instance) => {
                instance.channel.connect(proxy.number);
                instance.notify(ControlPlaneEvent::ProxyJoined(proxy));
            }
            Instance::Process(process) => process.relay.join(proxy),
        }
    }

    /// Disconnects a proxy from the instance.
    pub(super) fn leave(&self, proxy: u32) {
        match self {
            Instance::InProcess(instance) => {
                instance.channel.disconnect(proxy);
                instance.notify(ControlPlaneEvent::ProxyLeft(proxy));
            }
            Instance::Process(process) => process.relay.leave(proxy),
        }
    }

    /// Sends an update of the endpoint list to the instance.
    pub(super) fn update_endpoints(&self, update: &ListUpdate) {
        match self {
            Instance::InProcess(instance) => {
                instance.notify(ControlPlaneEvent::EndpointsUpdated(update.statuses.clone()));
            }
            Instance::Process(process) => process.endpoint_list.update(update.entries.clone()),
        }
    }

    /// The largest number of lines that were queued at any time in the channel to its proxies.
    pub(super) fn peak_queued_lines(&self) -> f64 {
        match self {
            Instance::InProcess(instance) => instance.channel.peak_queued_lines(),
            Instance::Process(process) => process.channel.peak_queued_lines(),
        }
    }
}

impl Testbed {
    /// Starts the instances of the fleet's control plane; none with fixed tables.
    pub(super) async fn start_instances(
        &self,
        table_source: &TableSource,
    ) -> Result<Vec<Instance>, TestbedError> {
        let mut instances = Vec::new();
        for index in 0..self.fleet.control_plane.instance_count {
            let (channel, acknowledgements) = self.open_channel();
            let instance = match table_source {
                TableSource::Fixed { .. } => break,
                TableSource::InProcess => self.start_in_process(index, channel, acknowledgements),
                TableSource::Program { path, directory } => {
                    let spec = ProcessSpec { index, path, directory, seed: self.instance_seed(index) };
                    let process = self.start_process(spec, channel, acknowledgements).await?;
                    Instance::Process(Box::new(process))
                }
            };
            instances.push(instance);
        }
        Ok(instances)
    }

    fn open_channel(&self) -> (Arc<ProxyChannel>, UnboundedReceiver<Acknowledgement>) {
        let request_class_count = self.fleet.request_classes.len();
        ProxyChannel::open(&self.fleet.control_plane, request_class_count, self.proxies.clone())
    }

    fn instance_seed(&self, index: u32) -> u64 {
        self.seed.wrapping_add(u64::from(index) + 1)
    }

    fn start_in_process(
        &self,
        index: u32,
        channel: Arc<ProxyChannel>,
        acknowledgements: UnboundedReceiver<Acknowledgement>,
    ) -> Instance {
        let (event_sender, events) = mpsc::unbounded_channel();
        let spec = InstanceSpec {
            fleet: self.fleet.clone(),
            endpoint_names: self.registry.names(),
            channel: channel.clone(),
            proxies: self.proxies.clone(),
            seed: self.instance_seed(index),
        };
        tokio::task::spawn_local(in_process_control_plane::run(spec, events, acknowledgements));
        let instance = InProcessInstance { events: event_sender, channel };
        instance.notify(ControlPlaneEvent::EndpointsUpdated(self.registry.whole_list().statuses));
        Instance::InProcess(instance)
    }
}
