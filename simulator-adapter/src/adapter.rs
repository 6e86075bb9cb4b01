//! The state of the process: the controller instances, the simulated time and the pages of the endpoint list.
//! Passes each message to the instance that it names and collects the reply to a batch.

use crate::decode::{decode_event, EndpointPages, Event, Message, MessageError};
use crate::encode;
use crate::wire_host::WireHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use otterwinch_adapter_support::{catch_panic, JsonFields};
use serde_json::Value;
use std::collections::BTreeMap;

/// Whether the current batch is complete and can be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// More lines of the batch follow.
    Incomplete,
    /// The batch is complete, and the simulator waits for the reply.
    Complete,
}

/// All controller instances in this process. They share the simulated time and the pages of the endpoint
/// list, and nothing else.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Controller<WireHost>>,
    pages: EndpointPages,
    now: Moment,
    /// The number of the current batch, which the reply repeats.
    batch_number: u64,
    /// The encoded failure reports of instances that panicked during the current batch.
    failure_reports: Vec<u8>,
}

impl Adapter {
    /// Handles one line of a batch. Returns an error, and changes nothing, if the line is invalid.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<BatchState, MessageError> {
        let value: Value = serde_json::from_slice(line)?;
        match Message::decode(&value)? {
            Message::BatchStart { now, number } => {
                self.now = now;
                self.batch_number = number;
            }
            Message::BatchEnd => return Ok(BatchState::Complete),
            Message::EndpointPage { page, entries } => {
                self.pages.insert(page, entries);
            }
            Message::StartInstance { instance, config, seed } => {
                let host = WireHost::new(instance, &config);
                let now = self.now;
                self.stop_instance_on_panic(instance, |adapter| {
                    let controller = Controller::start(host, config, seed, now);
                    adapter.instances.insert(instance, controller);
                });
            }
            Message::StopInstance { instance } => {
                self.instances.remove(&instance);
            }
            Message::InstanceEvent { instance, fields } => self.handle_event(instance, &fields)?,
        }
        Ok(BatchState::Incomplete)
    }

    fn handle_event(&mut self, instance: u64, fields: &JsonFields) -> Result<(), MessageError> {
        if !self.instances.contains_key(&instance) {
            return Err(MessageError::UnknownInstance { kind: fields.kind.to_owned(), instance });
        }
        let Some(event) = decode_event(fields, &self.pages)? else {
            return Ok(());
        };
        let now = self.now;
        self.stop_instance_on_panic(instance, |adapter| {
            if let Some(controller) = adapter.instances.get_mut(&instance) {
                dispatch(controller, now, event);
            }
        });
        Ok(())
    }

    /// Runs a call on behalf of an instance. If it panics, only that instance is stopped, and the panic is
    /// reported to the simulator.
    fn stop_instance_on_panic(&mut self, instance: u64, call: impl FnOnce(&mut Self)) {
        if let Err(panic) = catch_panic(|| call(self)) {
            self.instances.remove(&instance);
            encode::append_line(
                &mut self.failure_reports,
                &encode::instance_failed(instance, &panic.message),
            );
        }
    }

    /// Returns the reply to the batch: the reports of failed instances, the commands of each instance and the
    /// number of the batch.
    pub fn take_reply(&mut self) -> Vec<u8> {
        let mut reply = std::mem::take(&mut self.failure_reports);
        for controller in self.instances.values_mut() {
            reply.append(&mut controller.host_mut().encoded_commands);
        }
        encode::append_line(&mut reply, &encode::batch_finished(self.batch_number));
        reply
    }
}

/// Passes an event to the controller, after updating the endpoints, proxies and shards that the validator
/// allows in commands.
fn dispatch(controller: &mut Controller<WireHost>, now: Moment, event: Event) {
    match event {
        Event::EndpointsUpdated(entries) => {
            controller.host_mut().validator.add_endpoints(entries.iter().map(|entry| &entry.id));
            controller.endpoints_updated(now, &entries);
        }
        Event::EndpointListReplaced(entries) => {
            controller.host_mut().validator.add_endpoints(entries.iter().map(|entry| &entry.id));
            controller.endpoint_list_replaced(now, &entries);
        }
        Event::EndpointWatchFailed => controller.endpoint_watch_failed(now),
        Event::ProxyJoined { proxy, zone, has_initial_table, rate } => {
            controller.host_mut().validator.set_proxy_joined(proxy, true);
            controller.proxy_joined(now, proxy, zone, rate, has_initial_table);
        }
        Event::ProxyLeft { proxy } => {
            controller.host_mut().validator.set_proxy_joined(proxy, false);
            controller.proxy_left(now, proxy);
        }
        Event::EndpointOutcomes { endpoint, attempts, failures, latency, interval } => {
            controller.outcomes_reported(now, endpoint, attempts, failures, latency, interval);
        }
        Event::Demand { class, requests } => controller.demand_reported(class, requests),
        Event::TimerFired(timer) => controller.timer_fired(now, timer),
        Event::ShardAssigned { shard } => {
            controller.host_mut().validator.set_shard_owned(shard, true);
            controller.shard_assigned(shard);
        }
        Event::ShardRevoked { shard } => {
            controller.host_mut().validator.set_shard_owned(shard, false);
            controller.shard_revoked(shard);
        }
        Event::ShardWeightRestored { shard, endpoint, weight } => {
            controller.host_mut().validator.add_endpoints([&endpoint].into_iter());
            controller.shard_weight_restored(shard, &endpoint, weight);
        }
        Event::Acknowledged { number, proxy } => controller.commands_acknowledged(now, number, proxy),
    }
}

#[cfg(test)]
mod tests;
