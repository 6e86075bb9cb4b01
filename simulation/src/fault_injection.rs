//! What befalls a fleet.

use crate::engine::*;
use crate::fault::Fault;
use crate::queue::Class;
use crate::results::RequestEnd;
use otterwinch::host::EndpointState;

impl Engine<'_> {
    pub(crate) fn inject_fault(&mut self, k: u32) {
        match self.faults[k as usize].fault.clone() {
            Fault::Crash(endpoint) => self.crash_endpoint(endpoint),
            Fault::Restart(endpoint) => self.restart_endpoint(endpoint),
            Fault::Drain(endpoint) => {
                self.endpoints[endpoint as usize].standing = EndpointState::Draining;
                self.lists(&[endpoint]);
            }
            Fault::SlowDown(endpoint, factor) => self.endpoints[endpoint as usize].slow = factor,
            Fault::FailRequests(endpoint, part) => self.endpoints[endpoint as usize].fails = part,
            Fault::Hang(endpoint, does) => self.endpoints[endpoint as usize].hangs = does,
            Fault::ZoneOutage(zone) => {
                self.endpoints_in_zone(zone).into_iter().for_each(|endpoint| self.crash_endpoint(endpoint));
                for number in std::mem::take(&mut self.front[zone]) {
                    self.crash_proxy(number);
                }
            }
            Fault::ZoneRecovery(zone) => {
                self.endpoints_in_zone(zone).into_iter().for_each(|endpoint| self.restart_endpoint(endpoint));
                for number in 0..self.proxies.len() as u32 {
                    if self.proxies[number as usize].zone == zone && !self.proxies[number as usize].up {
                        self.proxies[number as usize].up = true;
                        self.front[zone].push(number);
                        self.joins(number, true);
                    }
                }
            }
        }
    }

    fn endpoints_in_zone(&self, zone: usize) -> Vec<u32> {
        (0..).zip(&self.endpoints).filter(|(_, endpoint)| endpoint.zone == zone).map(|(k, _)| k).collect()
    }

    /// A node's process ends: whatever it held is lost, and the list says so later.
    pub(crate) fn crash_endpoint(&mut self, number: u32) {
        if !self.endpoints[number as usize].up {
            return;
        }
        self.endpoints[number as usize].die(self.now);
        self.endpoints[number as usize].standing = EndpointState::Removed;
        let held: Vec<u32> = (0..self.attempts.len() as u32)
            .filter(|slot| {
                let attempt = &self.attempts[*slot as usize];
                attempt.endpoint == number
                    && matches!(attempt.stage, Stage::Waits | Stage::Runs | Stage::Hangs)
            })
            .collect();
        held.into_iter().for_each(|slot| self.answers(slot, Came::Broken));
        self.lists(&[number]);
    }

    fn restart_endpoint(&mut self, number: u32) {
        if self.endpoints[number as usize].up {
            return;
        }
        self.endpoints[number as usize].come_back(self.now);
        self.endpoints[number as usize].standing = EndpointState::Ready;
        self.lists(&[number]);
    }

    /// A forwarder is gone, and whatever tries it held with it.
    fn crash_proxy(&mut self, number: u32) {
        self.proxies[number as usize].up = false;
        self.leaves(number);
        let pools = std::mem::take(&mut self.proxies[number as usize].pools);
        for (endpoint, pool) in pools {
            if pool.incarnation == self.endpoints[endpoint as usize].incarnation {
                self.endpoints[endpoint as usize].open -= pool.idle.len() as u32;
            }
        }
        let held: Vec<u32> = (0..self.attempts.len() as u32)
            .filter(|slot| {
                let attempt = &self.attempts[*slot as usize];
                attempt.proxy == number && !attempt.left && attempt.stage != Stage::Free
            })
            .collect();
        for slot in held {
            let attempt = &mut self.attempts[slot as usize];
            attempt.left = true;
            let (place, request_incarnation, incarnation) =
                (attempt.request, attempt.request_incarnation, attempt.incarnation);
            self.queue.push(self.now, Class::World, Event::Cancelled { attempt: slot, incarnation });
            if self.requests[place as usize].incarnation == request_incarnation {
                self.requests[place as usize].attempt = NONE;
                self.comes_again(place, RequestEnd::Failed, false, self.now);
            }
        }
        // A hall that comes back starts from tables of its own.
        let proxy = &mut self.proxies[number as usize];
        proxy.assigned = proxy.instance == NONE;
    }

    /// Books what nodes used up to now.
    pub(crate) fn books(&mut self) {
        let at = (self.now.saturating_sub(self.lead)) as f64 / 1e6 - 0.001;
        for k in 0..self.endpoints.len() {
            let used = self.endpoints[k].used_by(self.now);
            let more = used - self.booked[k];
            self.booked[k] = used;
            if self.now > self.lead && !self.loaded {
                self.used[k] += more;
                let zone = self.endpoints[k].zone;
                self.results.window(at).used[zone] += more;
            }
        }
    }

    /// Each second: what nodes used is booked, and connections that stand idle are closed.
    pub(crate) fn second(&mut self) {
        self.books();
        let idle = us(self.fleet.proxies.idle_timeout);
        let since = self.now.saturating_sub(idle);
        for proxy in &mut self.proxies {
            for (endpoint, pool) in &mut proxy.pools {
                let endpoint = &mut self.endpoints[*endpoint as usize];
                if pool.incarnation != endpoint.incarnation {
                    pool.idle.clear();
                    continue;
                }
                let had = pool.idle.len();
                pool.idle.retain(|used| *used > since);
                endpoint.open -= (had - pool.idle.len()) as u32;
            }
        }
        self.queue.push(self.now + 1_000_000, Class::World, Event::Second);
    }
}
