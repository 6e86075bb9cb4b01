//! The state of the process: the instances of the controller, the clock and the pages of the endpoint list. It hands
//! each message to the instance that it names and gathers the reply to a batch.

use crate::decode::{decode_event, EndpointPages, Event, Message, MessageError};
use crate::encode;
use crate::wire_host::WireHost;
use otterwinch::controller::Controller;
use otterwinch::time::Moment;
use otterwinch_adapter_support::{catch_panic, JsonFields};
use serde_json::Value;
use std::collections::BTreeMap;

/// Whether more lines of a batch are to come before it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// The batch goes on.
    Open,
    /// The batch has ended: the simulator waits for the reply.
    Complete,
}

/// All instances that run in this process. They share the clock and the pages, and nothing else.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Controller<WireHost>>,
    pages: EndpointPages,
    now: Moment,
    /// The number of the current batch, which its reply repeats.
    batch_serial: u64,
    /// Encoded reports of instances that panicked in the current batch.
    failure_reports: Vec<u8>,
}

impl Adapter {
    /// Handles one line of a batch. A line that returns an error has changed nothing.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<BatchState, MessageError> {
        let value: Value = serde_json::from_slice(line)?;
        match Message::decode(&value)? {
            Message::Tick { now, serial } => {
                self.now = now;
                self.batch_serial = serial;
            }
            Message::EndOfBatch => return Ok(BatchState::Complete),
            Message::EndpointPage { page, entries } => {
                self.pages.insert(page, entries);
            }
            Message::StartInstance { instance, config, seed } => {
                let host = WireHost::new(instance, &config);
                let now = self.now;
                self.guard_instance(instance, |adapter| {
                    let controller = Controller::start(host, config, seed, now);
                    adapter.instances.insert(instance, controller);
                });
            }
            Message::StopInstance { instance } => {
                self.instances.remove(&instance);
            }
            Message::ForInstance { instance, fields } => self.handle_event(instance, &fields)?,
        }
        Ok(BatchState::Open)
    }

    fn handle_event(&mut self, instance: u64, fields: &JsonFields) -> Result<(), MessageError> {
        if !self.instances.contains_key(&instance) {
            return Err(MessageError::UnknownInstance { kind: fields.kind.to_owned(), instance });
        }
        let Some(event) = decode_event(fields, &self.pages)? else {
            return Ok(());
        };
        let now = self.now;
        self.guard_instance(instance, |adapter| {
            if let Some(controller) = adapter.instances.get_mut(&instance) {
                dispatch(controller, now, event);
            }
        });
        Ok(())
    }

    /// Runs a call on behalf of an instance. A panic stops that instance alone and is reported to the simulator.
    fn guard_instance(&mut self, instance: u64, call: impl FnOnce(&mut Self)) {
        if let Err(panic) = catch_panic(|| call(self)) {
            self.instances.remove(&instance);
            encode::append_line(
                &mut self.failure_reports,
                &encode::instance_failed(instance, &panic.message),
            );
        }
    }

    /// The reply to the batch: reports of failed instances, the commands of each instance, the number of the batch.
    pub fn take_reply(&mut self) -> Vec<u8> {
        let mut reply = std::mem::take(&mut self.failure_reports);
        for controller in self.instances.values_mut() {
            reply.append(&mut controller.host().encoded_commands);
        }
        encode::append_line(&mut reply, &encode::batch_finished(self.batch_serial));
        reply
    }
}

/// Calls the method of the controller that an event is for, and tells the validator what the controller may name.
fn dispatch(controller: &mut Controller<WireHost>, now: Moment, event: Event) {
    match event {
        Event::EndpointsUpdated(entries) => {
            controller.host().validator.add_endpoints(entries.iter().map(|entry| &entry.id));
            controller.endpoints_updated(now, &entries);
        }
        Event::EndpointListReplaced(entries) => {
            controller.host().validator.add_endpoints(entries.iter().map(|entry| &entry.id));
            controller.endpoint_list_replaced(now, &entries);
        }
        Event::EndpointWatchFailed => controller.endpoint_watch_failed(now),
        Event::ProxyJoined { proxy, zone, fresh, rate } => {
            controller.host().validator.set_proxy_joined(proxy, true);
            controller.proxy_joined(now, proxy, zone, rate, fresh);
        }
        Event::ProxyLeft { proxy } => {
            controller.host().validator.set_proxy_joined(proxy, false);
            controller.proxy_left(now, proxy);
        }
        Event::EndpointOutcomes { endpoint, attempts, failures, latency, period } => {
            controller.outcomes_reported(now, endpoint, attempts, failures, latency, period);
        }
        Event::Demand { request_class, requests } => controller.demand_reported(request_class, requests),
        Event::TimerFired(timer) => controller.timer_fired(now, timer),
        Event::ShardAssigned { shard } => {
            controller.host().validator.set_shard_owned(shard, true);
            controller.shard_assigned(shard);
        }
        Event::ShardRevoked { shard } => {
            controller.host().validator.set_shard_owned(shard, false);
            controller.shard_revoked(shard);
        }
        Event::ShardWeightRestored { shard, endpoint, weight } => {
            controller.host().validator.add_endpoints([&endpoint].into_iter());
            controller.shard_weight_restored(shard, &endpoint, weight);
        }
        Event::Acknowledged { number, proxy } => controller.commands_acknowledged(now, number, proxy),
    }
}

#[cfg(test)]
mod tests;
