//! What supervisors hear, and what becomes of their commands: sums late, the list later, messages one after the other.

use crate::control::{moment, Sums, Supervisor};
use crate::engine::*;
use crate::queue::{Class, Time};
use crate::table::{Lines, Version};
use otterwinch::host::EndpointUpdate;
use otterwinch::time::{Moment, Span};
use std::rc::Rc;
use std::sync::Arc;

impl Engine<'_> {
    /// Tells a supervisor something, and sees to what it asks for.
    pub(crate) fn hears(&mut self, number: u32, tell: impl FnOnce(&mut Supervisor, Moment)) {
        tell(&mut self.supervisors[number as usize], moment(self.now));
        self.asks(number);
    }

    /// Takes up a supervisor's wake-ups; its commands of this instant are gathered at the instant's end.
    pub(crate) fn asks(&mut self, number: u32) {
        let supervisor = &mut self.supervisors[number as usize];
        for (after, timer) in std::mem::take(&mut supervisor.controller.host().wakes) {
            let at = self.now + us(after).max(1);
            self.queue.push(at, Class::Word, Event::Wake { supervisor: number, timer });
        }
        if !supervisor.gathers && !supervisor.controller.host().commands.is_empty() {
            supervisor.gathers = true;
            self.queue.push(self.now, Class::Commands, Event::Gather(number));
        }
    }

    /// A forwarder's stream is made.
    pub(crate) fn joins(&mut self, number: u32, fresh: bool) {
        let forwarder = &mut self.forwarders[number as usize];
        forwarder.stream += 1;
        let (supervisor, hall) = (forwarder.supervisor, forwarder.hall);
        if supervisor == NONE {
            return;
        }
        let rate = self.usual_rate(hall);
        self.supervisors[supervisor as usize].plane.joined.insert(number);
        self.hears(supervisor, |s, now| s.controller.proxy_joined(now, number, hall as u32, rate, fresh));
    }

    pub(crate) fn leaves(&mut self, number: u32) {
        let forwarder = &mut self.forwarders[number as usize];
        forwarder.stream += 1;
        let supervisor = forwarder.supervisor;
        if supervisor != NONE {
            self.supervisors[supervisor as usize].plane.leaves(number);
            self.hears(supervisor, |s, now| s.controller.proxy_left(now, number));
        }
    }

    /// A rough figure, as forwarders give it when they join: the hall's clients spread over its forwarders.
    fn usual_rate(&self, hall: usize) -> f64 {
        let told = &self.fleet.zones[hall];
        // Of a fleet that is three fifths full; only its proportions count.
        let whole = self.fleet.capacity() / self.fleet.mean_work().max(1e-9) * 0.6;
        whole * told.client_share / f64::from(told.proxy_count)
    }

    /// The interval's sums are closed, and on their way.
    pub(crate) fn reports(&mut self, number: u32) {
        let products = self.fleet.request_classes.len();
        let supervisor = &mut self.supervisors[number as usize];
        let sums = std::mem::replace(&mut supervisor.sums, Sums::new(products));
        let report = self.reports.iter().position(Option::is_none).unwrap_or_else(|| {
            self.reports.push(None);
            self.reports.len() - 1
        });
        self.reports[report] = Some(sums);
        let told = &self.fleet.control_plane;
        let late = self.now + us(told.report_delay);
        self.queue.push(late, Class::Word, Event::Heard { supervisor: number, report: report as u32 });
        self.queue.push(self.now + us(told.report_interval), Class::Word, Event::Report(number));
    }

    pub(crate) fn heard(&mut self, number: u32, report: u32) {
        let Some(sums) = self.reports[report as usize].take() else { return };
        let over = self.fleet.control_plane.report_interval;
        let ids: Vec<_> = sums.met.keys().map(|(node, _)| self.nodes[*node as usize].id.clone()).collect();
        self.hears(number, |s, now| {
            for (met, id) in sums.met.values().zip(&ids) {
                let answered = met.tries - met.voided;
                let took = Span::from_us((met.took_us / u64::from(answered.max(1))) as i64);
                s.controller.endpoint_outcomes(
                    now,
                    id,
                    f64::from(met.tries),
                    f64::from(met.voided),
                    took,
                    over,
                );
            }
            for (product, txns) in (0..).zip(&sums.asked).filter(|(_, txns)| **txns > 0) {
                s.controller.demand(product, f64::from(*txns));
            }
        });
    }

    /// The list has changed; each supervisor is told later.
    pub(crate) fn lists(&mut self, nodes: &[u32]) {
        if self.supervisors.is_empty() {
            return;
        }
        let listings: Vec<EndpointUpdate> = nodes.iter().map(|k| listing(&self.nodes[*k as usize])).collect();
        self.lists.push(listings);
        let at = self.now + us(self.fleet.control_plane.endpoint_list_delay);
        let list = self.lists.len() as u32 - 1;
        for supervisor in 0..self.supervisors.len() as u32 {
            self.queue.push(at, Class::Word, Event::Listed { supervisor, list });
        }
    }

    /// A moment's commands become one message for each forwarder that they reach, and these leave one after the other.
    pub(crate) fn gathers(&mut self, number: u32) {
        let Engine { supervisors, forwarders, .. } = self;
        let supervisor = &mut supervisors[number as usize];
        supervisor.gathers = false;
        let commands = std::mem::take(&mut supervisor.controller.host().commands);
        let standing = |f: u32, node: u32| forwarders[f as usize].standing.contains(&node);
        let plane = &mut supervisor.plane;
        let gathered = plane.take(commands, standing);
        let barred = Rc::new(plane.barred.clone());
        for (forwarder, lines) in gathered.lines {
            let left = plane.channel.put(self.now, lines);
            let version = plane.version(forwarder);
            let stream = forwarders[forwarder as usize].stream;
            let (barred, mark) = (barred.clone(), gathered.mark);
            let message = Message { supervisor: number, forwarder, stream, version, barred, mark, lines };
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
        let forwarder = &mut self.forwarders[message.forwarder as usize];
        if forwarder.stream != message.stream {
            return;
        }
        match message.version {
            Some(version) => (forwarder.held, forwarder.bound) = (version, true),
            None if !forwarder.bound => {
                let kept = forwarder.standing.iter().filter(|node| !message.barred.contains(node));
                let lines = Lines::of(kept.map(|node| (*node, 1.0)));
                let levels = forwarder.held.levels.clone();
                forwarder.held = Arc::new(Version { lines, levels });
            }
            None => {}
        }
        let still = (us(self.fleet.proxies.apply_time_per_line) as f64 * message.lines) as Time;
        forwarder.still_until = forwarder.still_until.max(self.now + still);
        if let Some(number) = message.mark {
            let Message { supervisor, forwarder, stream, .. } = message;
            let at = self.now + still + us(self.fleet.network.client_latency);
            let event = Event::Applied { supervisor, number, forwarder, stream };
            self.queue.push(at, Class::Word, event);
        }
    }
}
