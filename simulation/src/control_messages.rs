//! What control-plane instances learn, and what becomes of their commands: load reports and changes of the endpoint list
//! arrive late, messages to the proxies one after the other.

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

/// The utilisation that proxies assume when they estimate their request rate. Only the proportions of their estimates
/// count.
const ASSUMED_UTILISATION: f64 = 0.6;

/// A message on its way to a proxy.
pub(crate) struct Message {
    proxy: u32,
    /// The proxy's stream that carries it.
    stream: u32,
    /// The state of the proxy's table; `None` where it was assigned none.
    table: Option<Arc<TableSnapshot>>,
    ejected: Rc<BTreeSet<u32>>,
    acknowledgement: Option<u32>,
    lines: f64,
}

impl Engine<'_> {
    /// Notifies the controller of an instance, and schedules what it asks for.
    pub(crate) fn notify(&mut self, number: u32, event: impl FnOnce(&mut Controller<SimulatedHost>, Moment)) {
        event(&mut self.instances[number as usize].controller, moment(self.now));
        self.schedule_controller_output(number);
    }

    /// Schedules the timers of a controller, and the sending of its commands when all else of this time has happened.
    pub(crate) fn schedule_controller_output(&mut self, number: u32) {
        let instance = &mut self.instances[number as usize];
        let host = instance.controller.host();
        let timers = std::mem::take(&mut host.timers);
        let send = !host.commands.is_empty() && !instance.send_scheduled;
        instance.send_scheduled |= send;
        for (after, timer) in timers {
            let at = self.now + micros(after).max(1);
            self.schedule_for_control_plane(at, Event::TimerFired { instance: number, timer });
        }
        if send {
            self.queue.push(self.now, Phase::Commands, Event::SendCommands { instance: number });
        }
    }

    /// A proxy opens its stream to its control-plane instance.
    pub(crate) fn connect_proxy(&mut self, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        proxy.stream += 1;
        let zone = proxy.zone;
        let Some(instance) = proxy.instance else { return };
        let rate = self.estimated_request_rate(zone);
        self.instances[instance as usize].channel.connect(number);
        self.notify(instance, |controller, now| {
            controller.proxy_joined(now, number, zone as u32, rate, true)
        });
    }

    /// The stream of a proxy to its control-plane instance ends.
    pub(crate) fn disconnect_proxy(&mut self, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        proxy.stream += 1;
        let Some(instance) = proxy.instance else { return };
        self.instances[instance as usize].channel.disconnect(number);
        self.notify(instance, |controller, now| controller.proxy_left(now, number));
    }

    /// The request rate that a proxy states when it connects: the zone's part of a typical load, spread evenly.
    fn estimated_request_rate(&self, zone: usize) -> f64 {
        let zone = &self.fleet.zones[zone];
        let total = self.fleet.capacity() / self.fleet.mean_work().max(1e-9) * ASSUMED_UTILISATION;
        total * zone.client_share / f64::from(zone.proxy_count)
    }

    /// A report interval ends: its report is on its way, and the next interval begins.
    pub(crate) fn close_report(&mut self, number: u32) {
        self.instances[number as usize].close_report();
        let control_plane = &self.fleet.control_plane;
        let arrives = self.now + micros(control_plane.report_delay);
        let next = self.now + micros(control_plane.report_interval);
        self.schedule_for_control_plane(arrives, Event::ReportArrives { instance: number });
        self.schedule_for_control_plane(next, Event::ReportDue { instance: number });
    }

    /// A report reaches its instance.
    pub(crate) fn deliver_report(&mut self, number: u32) {
        let instance = &mut self.instances[number as usize];
        let Some(report) = instance.reports_in_transit.pop_front() else { return };
        let controller = &mut instance.controller;
        let interval = self.fleet.control_plane.report_interval;
        for (key, outcomes) in &report.outcomes {
            let id = &self.endpoints[key.endpoint as usize].id;
            let answered = outcomes.attempts - outcomes.failed;
            let mean_latency = Span::from_us((outcomes.latency_us / u64::from(answered.max(1))) as i64);
            let (attempts, failed) = (f64::from(outcomes.attempts), f64::from(outcomes.failed));
            controller.endpoint_outcomes(moment(self.now), id, attempts, failed, mean_latency, interval);
        }
        for (class, requests) in (0..).zip(&report.demand) {
            if *requests > 0 {
                controller.demand(class, f64::from(*requests));
            }
        }
        self.schedule_controller_output(number);
    }

    /// Entries of the endpoint list have changed: all instances learn of it later.
    pub(crate) fn publish_endpoints(&mut self, endpoints: &[u32]) {
        if self.instances.is_empty() {
            return;
        }
        let entry = |number: &u32| endpoint_list_entry(&self.endpoints[*number as usize]);
        let entries: Vec<EndpointUpdate> = endpoints.iter().map(entry).collect();
        let update = self.endpoint_updates.len() as u32;
        self.endpoint_updates.push(entries);
        let arrives = self.now + micros(self.fleet.control_plane.endpoint_list_delay);
        for instance in 0..self.instances.len() as u32 {
            self.schedule_for_control_plane(arrives, Event::EndpointsUpdated { instance, update });
        }
    }

    /// A change of the endpoint list reaches an instance.
    pub(crate) fn deliver_endpoint_update(&mut self, number: u32, update: u32) {
        let controller = &mut self.instances[number as usize].controller;
        controller.endpoints_updated(moment(self.now), &self.endpoint_updates[update as usize]);
        self.schedule_controller_output(number);
    }

    /// Sends the commands that an instance has issued at this time, as one message for each proxy that they concern.
    pub(crate) fn send_commands(&mut self, number: u32) {
        let Engine { instances, proxies, .. } = self;
        let instance = &mut instances[number as usize];
        instance.send_scheduled = false;
        let commands = std::mem::take(&mut instance.controller.host().commands);
        let channel = &mut instance.channel;
        let batch = channel
            .apply(commands, |proxy, endpoint| proxies[proxy as usize].initial_endpoints.contains(&endpoint));
        let ejected = Rc::new(channel.ejected.clone());
        let mut departures = Vec::with_capacity(batch.lines.len());
        for (proxy, lines) in batch.lines {
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
            let arrives = departure + micros(self.fleet.control_plane.message_delay);
            self.schedule(arrives, Event::MessageAtProxy { instance: number });
        }
    }

    /// The earliest message in transit reaches its proxy, which pauses while it applies it.
    pub(crate) fn deliver_message(&mut self, number: u32) {
        let instance = &mut self.instances[number as usize];
        let Some(message) = instance.messages_in_transit.pop_front() else { return };
        let proxy = &mut self.proxies[message.proxy as usize];
        if proxy.stream != message.stream {
            return;
        }
        if let Some(table) = message.table {
            proxy.table = table;
            proxy.has_assigned_table = true;
        } else if !proxy.has_assigned_table {
            let usable = proxy.initial_endpoints.iter().filter(|number| !message.ejected.contains(number));
            let endpoints = WeightedEndpoints::new(usable.map(|endpoint| (*endpoint, 1.0)));
            let admission = proxy.table.admission.clone();
            proxy.table = Arc::new(TableSnapshot { endpoints, admission });
        }
        let pause = (micros(self.fleet.proxies.apply_time_per_line) as f64 * message.lines) as Time;
        proxy.paused_until = proxy.paused_until.max(self.now + pause);
        if let Some(acknowledgement) = message.acknowledgement {
            let arrives = self.now + pause + micros(self.fleet.network.client_latency);
            let (proxy, stream) = (message.proxy, message.stream);
            let event = Event::Acknowledged { instance: number, number: acknowledgement, proxy, stream };
            self.schedule_for_control_plane(arrives, event);
        }
    }

    /// An acknowledgement reaches its instance, unless the proxy's stream has ended meanwhile.
    pub(crate) fn deliver_acknowledgement(&mut self, instance: u32, number: u32, proxy: u32, stream: u32) {
        if self.proxies[proxy as usize].stream == stream {
            self.notify(instance, |controller, now| controller.acknowledged(now, number, proxy));
        }
    }
}
