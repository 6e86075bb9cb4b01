//! The traffic between control-plane instances and the rest of the fleet: load reports and endpoint list
//! updates reach an instance with a delay, and its commands reach the proxies as messages sent in order
//! through a rate-limited channel.

use crate::clock::{micros, moment, Time};
use crate::engine::Engine;
use crate::event::Event;
use crate::queue::Phase;
use crate::route_table::{TableSnapshot, WeightedEndpoints};
use crate::setup::endpoint_list_entry;
use crate::simulated_host::SimulatedHost;
use otterwinch::controller::Controller;
use otterwinch::host::EndpointUpdate;
use otterwinch::time::{Moment, Span};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// The fleet utilisation assumed in the request rates that proxies state when they connect. Only the ratio
/// between the proxies' estimates matters, not their absolute value.
const ASSUMED_UTILISATION: f64 = 0.6;

/// A message in transit from a control-plane instance to a proxy.
pub(crate) struct Message {
    proxy: u32,
    /// The number of the proxy's stream when the message was sent. If the stream has ended since, the message
    /// is lost.
    stream: u32,
    /// The content of the table assigned to the proxy; `None` if none is assigned.
    table: Option<Arc<TableSnapshot>>,
    /// All endpoints that were ejected when the message was sent.
    ejected: Rc<BTreeSet<u32>>,
    /// The number to acknowledge the message with, if the controller requested an acknowledgement.
    acknowledgement: Option<u32>,
    /// The length of the message, without the per-message overhead.
    lines: f64,
}

impl Engine<'_> {
    /// Passes an event to the controller of an instance, then schedules the timers and commands that result.
    pub(crate) fn notify_controller(
        &mut self,
        instance_index: u32,
        event: impl FnOnce(&mut Controller<SimulatedHost>, Moment),
    ) {
        event(&mut self.instances[instance_index as usize].controller, moment(self.now));
        self.schedule_controller_output(instance_index);
    }

    /// Schedules the timers that a controller has requested. Its commands are sent after all other events of
    /// the present time, so that they are sent as one batch.
    pub(crate) fn schedule_controller_output(&mut self, instance_index: u32) {
        let instance = &mut self.instances[instance_index as usize];
        let host = instance.controller.host_mut();
        let timers = std::mem::take(&mut host.timers);
        let needs_sending = !host.commands.is_empty() && !instance.send_scheduled;
        instance.send_scheduled |= needs_sending;
        for (after, timer) in timers {
            let at = self.now + micros(after).max(1);
            self.schedule_for_control_plane(at, Event::TimerFired { instance: instance_index, timer });
        }
        if needs_sending {
            self.queue.push(self.now, Phase::Commands, Event::SendCommands { instance: instance_index });
        }
    }

    /// Opens the stream between a proxy and its control-plane instance.
    pub(crate) fn connect_proxy(&mut self, proxy_index: u32) {
        let proxy = &mut self.proxies[proxy_index as usize];
        proxy.stream += 1;
        let zone = proxy.zone;
        let Some(instance) = proxy.instance else { return };
        let rate = self.estimated_request_rate(zone);
        self.instances[instance as usize].channel.connect(proxy_index);
        self.notify_controller(instance, |controller, now| {
            controller.proxy_joined(now, proxy_index, zone as u32, rate, true)
        });
    }

    /// Ends the stream between a proxy and its control-plane instance.
    pub(crate) fn disconnect_proxy(&mut self, proxy_index: u32) {
        let proxy = &mut self.proxies[proxy_index as usize];
        proxy.stream += 1;
        let Some(instance) = proxy.instance else { return };
        self.instances[instance as usize].channel.disconnect(proxy_index);
        self.notify_controller(instance, |controller, now| controller.proxy_left(now, proxy_index));
    }

    /// Returns the request rate that a proxy of this zone states when it connects: the zone's share of a
    /// typical load, divided evenly among its proxies.
    fn estimated_request_rate(&self, zone: usize) -> f64 {
        let zone = &self.fleet.zones[zone];
        let total_rate = self.fleet.capacity() / self.fleet.mean_work().max(1e-9) * ASSUMED_UTILISATION;
        total_rate * zone.client_share / f64::from(zone.proxy_count)
    }

    /// Ends a report interval: sends its report and starts the next interval.
    pub(crate) fn close_report(&mut self, instance_index: u32) {
        self.instances[instance_index as usize].close_report();
        let control_plane = &self.fleet.control_plane;
        let arrival = self.now + micros(control_plane.report_delay);
        let next_report = self.now + micros(control_plane.report_interval);
        self.schedule_for_control_plane(arrival, Event::ReportArrives { instance: instance_index });
        self.schedule_for_control_plane(next_report, Event::ReportDue { instance: instance_index });
    }

    /// Passes the earliest load report in transit to the controller of the instance.
    pub(crate) fn deliver_report(&mut self, instance_index: u32) {
        let instance = &mut self.instances[instance_index as usize];
        let Some(report) = instance.reports_in_transit.pop_front() else { return };
        let controller = &mut instance.controller;
        let interval = self.fleet.control_plane.report_interval;
        for (key, outcomes) in &report.outcomes {
            let id = &self.endpoints[key.endpoint as usize].id;
            let answered = outcomes.attempts - outcomes.failed;
            let mean_latency = Span::from_us((outcomes.latency_us / u64::from(answered.max(1))) as i64);
            let (attempts, failed) = (f64::from(outcomes.attempts), f64::from(outcomes.failed));
            controller.outcomes_reported(moment(self.now), id, attempts, failed, mean_latency, interval);
        }
        for (class, requests) in (0..).zip(&report.demand) {
            if *requests > 0 {
                controller.demand_reported(class, f64::from(*requests));
            }
        }
        self.schedule_controller_output(instance_index);
    }

    /// Sends the changed entries of the endpoint list to all instances, which receive them after a delay.
    pub(crate) fn publish_endpoints(&mut self, endpoints: &[u32]) {
        if self.instances.is_empty() {
            return;
        }
        let entry = |index: &u32| endpoint_list_entry(&self.endpoints[*index as usize]);
        let entries: Vec<EndpointUpdate> = endpoints.iter().map(entry).collect();
        let update = self.endpoint_updates.len() as u32;
        self.endpoint_updates.push(entries);
        let arrival = self.now + micros(self.fleet.control_plane.endpoint_list_delay);
        for instance in 0..self.instances.len() as u32 {
            self.schedule_for_control_plane(arrival, Event::EndpointsUpdated { instance, update });
        }
    }

    /// Passes an update of the endpoint list to the controller of an instance.
    pub(crate) fn deliver_endpoint_update(&mut self, instance_index: u32, update: u32) {
        let controller = &mut self.instances[instance_index as usize].controller;
        controller.endpoints_updated(moment(self.now), &self.endpoint_updates[update as usize]);
        self.schedule_controller_output(instance_index);
    }

    /// Sends the commands that an instance has issued at this time, as one message to each proxy that they
    /// affect.
    pub(crate) fn send_commands(&mut self, instance_index: u32) {
        let Engine { instances, proxies, .. } = self;
        let instance = &mut instances[instance_index as usize];
        instance.send_scheduled = false;
        let commands = std::mem::take(&mut instance.controller.host_mut().commands);
        let channel = &mut instance.channel;
        let batch = channel.apply_commands(commands, |proxy, endpoint| {
            proxies[proxy as usize].initial_endpoints.contains(&endpoint)
        });
        let ejected = Rc::new(channel.ejected_endpoints.clone());
        let mut departures = Vec::with_capacity(batch.lines_by_proxy.len());
        for (proxy, lines) in batch.lines_by_proxy {
            departures.push(channel.send_queue.enqueue(self.now, lines));
            instance.messages_in_transit.push_back(Message {
                proxy,
                stream: proxies[proxy as usize].stream,
                table: channel.table_snapshot(proxy),
                ejected: ejected.clone(),
                acknowledgement: batch.acknowledgement,
                lines,
            });
        }
        for departure in departures {
            let arrival = departure + micros(self.fleet.control_plane.message_delay);
            self.schedule(arrival, Event::MessageAtProxy { instance: instance_index });
        }
    }

    /// Applies the earliest message in transit at its proxy, which handles no attempts while it does so.
    pub(crate) fn deliver_message(&mut self, instance_index: u32) {
        let instance = &mut self.instances[instance_index as usize];
        let Some(message) = instance.messages_in_transit.pop_front() else { return };
        let proxy = &mut self.proxies[message.proxy as usize];
        if proxy.stream != message.stream {
            return;
        }
        if let Some(table) = message.table {
            proxy.table = table;
            proxy.has_assigned_table = true;
        } else if !proxy.has_assigned_table {
            let usable =
                proxy.initial_endpoints.iter().filter(|endpoint| !message.ejected.contains(endpoint));
            let endpoints = WeightedEndpoints::new(usable.map(|endpoint| (*endpoint, 1.0)));
            let admission = proxy.table.admission.clone();
            proxy.table = Arc::new(TableSnapshot { endpoints, admission });
        }
        let pause = (micros(self.fleet.proxies.apply_time_per_line) as f64 * message.lines) as Time;
        proxy.paused_until = proxy.paused_until.max(self.now + pause);
        if let Some(acknowledgement) = message.acknowledgement {
            let arrival = self.now + pause + micros(self.fleet.network.client_latency);
            let (proxy, stream) = (message.proxy, message.stream);
            let event = Event::Acknowledged { instance: instance_index, acknowledgement, proxy, stream };
            self.schedule_for_control_plane(arrival, event);
        }
    }

    /// Passes a proxy's acknowledgement to the controller, unless the stream that it was sent on has ended.
    pub(crate) fn deliver_acknowledgement(
        &mut self,
        instance: u32,
        acknowledgement: u32,
        proxy: u32,
        stream: u32,
    ) {
        if self.proxies[proxy as usize].stream == stream {
            self.notify_controller(instance, |controller, now| {
                controller.commands_acknowledged(now, acknowledgement, proxy)
            });
        }
    }
}
