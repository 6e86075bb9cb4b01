//! What supervisors hear, and what becomes of their commands: sums late, the list later, messages one after the other.

use crate::control_plane_instance::{moment, ControlPlaneInstance, Sums};
use crate::engine::*;
use crate::queue::{Class, Time};
use crate::route_table::{TableSnapshot, WeightedEndpoints};
use otterwinch::host::EndpointUpdate;
use otterwinch::time::{Moment, Span};
use std::rc::Rc;
use std::sync::Arc;

impl Engine<'_> {
    /// Tells a supervisor something, and sees to what it asks for.
    pub(crate) fn hears(&mut self, number: u32, tell: impl FnOnce(&mut ControlPlaneInstance, Moment)) {
        tell(&mut self.instances[number as usize], moment(self.now));
        self.asks(number);
    }

    /// Takes up a supervisor's wake-ups; its commands of this instant are gathered at the instant's end.
    pub(crate) fn asks(&mut self, number: u32) {
        let instance = &mut self.instances[number as usize];
        for (after, timer) in std::mem::take(&mut instance.controller.host().timers) {
            let at = self.now + us(after).max(1);
            self.queue.push(at, Class::Word, Event::Wake { instance: number, timer });
        }
        if !instance.gathers && !instance.controller.host().commands.is_empty() {
            instance.gathers = true;
            self.queue.push(self.now, Class::Commands, Event::Gather(number));
        }
    }

    /// A forwarder's stream is made.
    pub(crate) fn joins(&mut self, number: u32, fresh: bool) {
        let proxy = &mut self.proxies[number as usize];
        proxy.stream += 1;
        let (instance, zone) = (proxy.instance, proxy.zone);
        if instance == NONE {
            return;
        }
        let rate = self.usual_rate(zone);
        self.instances[instance as usize].channel.connect(number);
        self.hears(instance, |s, now| s.controller.proxy_joined(now, number, zone as u32, rate, fresh));
    }

    pub(crate) fn leaves(&mut self, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        proxy.stream += 1;
        let instance = proxy.instance;
        if instance != NONE {
            self.instances[instance as usize].channel.disconnect(number);
            self.hears(instance, |s, now| s.controller.proxy_left(now, number));
        }
    }

    /// A rough figure, as forwarders give it when they join: the hall's clients spread over its forwarders.
    fn usual_rate(&self, zone: usize) -> f64 {
        let told = &self.fleet.zones[zone];
        // Of a fleet that is three fifths full; only its proportions count.
        let total = self.fleet.capacity() / self.fleet.mean_work().max(1e-9) * 0.6;
        total * told.client_share / f64::from(told.proxy_count)
    }

    /// The interval's sums are closed, and on their way.
    pub(crate) fn reports(&mut self, number: u32) {
        let request_classes = self.fleet.request_classes.len();
        let instance = &mut self.instances[number as usize];
        let sums = std::mem::replace(&mut instance.sums, Sums::new(request_classes));
        let report = self.reports.iter().position(Option::is_none).unwrap_or_else(|| {
            self.reports.push(None);
            self.reports.len() - 1
        });
        self.reports[report] = Some(sums);
        let told = &self.fleet.control_plane;
        let late = self.now + us(told.report_delay);
        self.queue.push(late, Class::Word, Event::Heard { instance: number, report: report as u32 });
        self.queue.push(self.now + us(told.report_interval), Class::Word, Event::Report(number));
    }

    pub(crate) fn heard(&mut self, number: u32, report: u32) {
        let Some(sums) = self.reports[report as usize].take() else { return };
        let over = self.fleet.control_plane.report_interval;
        let ids: Vec<_> =
            sums.met.keys().map(|(endpoint, _)| self.endpoints[*endpoint as usize].id.clone()).collect();
        self.hears(number, |s, now| {
            for (met, id) in sums.met.values().zip(&ids) {
                let answered = met.attempts - met.failed;
                let took = Span::from_us((met.latency_us / u64::from(answered.max(1))) as i64);
                s.controller.endpoint_outcomes(
                    now,
                    id,
                    f64::from(met.attempts),
                    f64::from(met.failed),
                    took,
                    over,
                );
            }
            for (request_class, requests) in (0..).zip(&sums.demand).filter(|(_, requests)| **requests > 0) {
                s.controller.demand(request_class, f64::from(*requests));
            }
        });
    }

    /// The list has changed; each supervisor is told later.
    pub(crate) fn lists(&mut self, endpoints: &[u32]) {
        if self.instances.is_empty() {
            return;
        }
        let listings: Vec<EndpointUpdate> =
            endpoints.iter().map(|k| listing(&self.endpoints[*k as usize])).collect();
        self.lists.push(listings);
        let at = self.now + us(self.fleet.control_plane.endpoint_list_delay);
        let list = self.lists.len() as u32 - 1;
        for instance in 0..self.instances.len() as u32 {
            self.queue.push(at, Class::Word, Event::Listed { instance, list });
        }
    }

    /// A moment's commands become one message for each forwarder that they reach, and these leave one after the other.
    pub(crate) fn gathers(&mut self, number: u32) {
        let Engine { instances, proxies, .. } = self;
        let instance = &mut instances[number as usize];
        instance.gathers = false;
        let commands = std::mem::take(&mut instance.controller.host().commands);
        let standing = |f: u32, endpoint: u32| proxies[f as usize].standing.contains(&endpoint);
        let channel = &mut instance.channel;
        let gathered = channel.apply(commands, standing);
        let ejected = Rc::new(channel.ejected.clone());
        for (proxy, lines) in gathered.lines {
            let left = channel.send_queue.enqueue(self.now, lines);
            let version = channel.table_snapshot(proxy);
            let stream = proxies[proxy as usize].stream;
            let (ejected, acknowledgement) = (ejected.clone(), gathered.acknowledgement);
            let message =
                Message { instance: number, proxy, stream, version, ejected, acknowledgement, lines };
            let slot = match self.free_messages.pop() {
                Some(slot) => {
                    self.messages[slot as usize] = Some(message);
                    slot
                }
                None => {
                    self.messages.push(Some(message));
                    self.messages.len() as u32 - 1
                }
            };
            let at = left + us(self.fleet.control_plane.message_delay);
            self.queue.push(at, Class::World, Event::Message(slot));
        }
    }

    /// A message reaches its forwarder, which stands still while it applies it.
    pub(crate) fn arrives(&mut self, slot: u32) {
        let Some(message) = self.messages[slot as usize].take() else { return };
        self.free_messages.push(slot);
        let proxy = &mut self.proxies[message.proxy as usize];
        if proxy.stream != message.stream {
            return;
        }
        match message.version {
            Some(version) => (proxy.held, proxy.assigned) = (version, true),
            None if !proxy.assigned => {
                let kept = proxy.standing.iter().filter(|endpoint| !message.ejected.contains(endpoint));
                let endpoints = WeightedEndpoints::new(kept.map(|endpoint| (*endpoint, 1.0)));
                let admission = proxy.held.admission.clone();
                proxy.held = Arc::new(TableSnapshot { endpoints, admission });
            }
            None => {}
        }
        let still = (us(self.fleet.proxies.apply_time_per_line) as f64 * message.lines) as Time;
        proxy.still_until = proxy.still_until.max(self.now + still);
        if let Some(number) = message.acknowledgement {
            let Message { instance, proxy, stream, .. } = message;
            let at = self.now + still + us(self.fleet.network.client_latency);
            let event = Event::Applied { instance, number, proxy, stream };
            self.queue.push(at, Class::Word, event);
        }
    }
}
