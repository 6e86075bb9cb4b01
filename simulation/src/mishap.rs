//! What befalls a fleet.

use crate::engine::*;
use crate::happening::Happening;
use crate::queue::Class;
use crate::tally::End;
use otterwinch::host::EndpointState;

impl Engine<'_> {
    pub(crate) fn befalls(&mut self, k: u32) {
        match self.happenings[k as usize].what.clone() {
            Happening::Dies(node) => self.node_dies(node),
            Happening::Returns(node) => self.node_returns(node),
            Happening::Drains(node) => {
                self.nodes[node as usize].standing = EndpointState::Draining;
                self.lists(&[node]);
            }
            Happening::Slows(node, times) => self.nodes[node as usize].slow = times,
            Happening::Fails(node, part) => self.nodes[node as usize].fails = part,
            Happening::Hangs(node, does) => self.nodes[node as usize].hangs = does,
            Happening::HallLost(hall) => {
                self.of_hall(hall).into_iter().for_each(|node| self.node_dies(node));
                for number in std::mem::take(&mut self.front[hall]) {
                    self.forwarder_dies(number);
                }
            }
            Happening::HallBack(hall) => {
                self.of_hall(hall).into_iter().for_each(|node| self.node_returns(node));
                for number in 0..self.forwarders.len() as u32 {
                    if self.forwarders[number as usize].hall == hall && !self.forwarders[number as usize].up {
                        self.forwarders[number as usize].up = true;
                        self.front[hall].push(number);
                        self.joins(number, true);
                    }
                }
            }
        }
    }

    fn of_hall(&self, hall: usize) -> Vec<u32> {
        (0..).zip(&self.nodes).filter(|(_, node)| node.hall == hall).map(|(k, _)| k).collect()
    }

    /// A node's process ends: whatever it held is lost, and the list says so later.
    pub(crate) fn node_dies(&mut self, number: u32) {
        if !self.nodes[number as usize].up {
            return;
        }
        self.nodes[number as usize].die(self.now);
        self.nodes[number as usize].standing = EndpointState::Removed;
        let held: Vec<u32> = (0..self.attempts.len() as u32)
            .filter(|slot| {
                let attempt = &self.attempts[*slot as usize];
                attempt.node == number && matches!(attempt.stage, Stage::Waits | Stage::Runs | Stage::Hangs)
            })
            .collect();
        held.into_iter().for_each(|slot| self.answers(slot, Came::Broken));
        self.lists(&[number]);
    }

    fn node_returns(&mut self, number: u32) {
        if self.nodes[number as usize].up {
            return;
        }
        self.nodes[number as usize].come_back(self.now);
        self.nodes[number as usize].standing = EndpointState::Ready;
        self.lists(&[number]);
    }

    /// A forwarder is gone, and whatever tries it held with it.
    fn forwarder_dies(&mut self, number: u32) {
        self.forwarders[number as usize].up = false;
        self.leaves(number);
        let pools = std::mem::take(&mut self.forwarders[number as usize].pools);
        for (node, pool) in pools {
            if pool.life == self.nodes[node as usize].life {
                self.nodes[node as usize].open -= pool.idle.len() as u32;
            }
        }
        let held: Vec<u32> = (0..self.attempts.len() as u32)
            .filter(|slot| {
                let attempt = &self.attempts[*slot as usize];
                attempt.forwarder == number && !attempt.left && attempt.stage != Stage::Free
            })
            .collect();
        for slot in held {
            let attempt = &mut self.attempts[slot as usize];
            attempt.left = true;
            let (place, txn_life, life) = (attempt.txn, attempt.txn_life, attempt.life);
            self.queue.push(self.now, Class::World, Event::Cancelled { attempt: slot, life });
            if self.txns[place as usize].life == txn_life {
                self.txns[place as usize].attempt = NONE;
                self.comes_again(place, End::Voided, false, self.now);
            }
        }
        // A hall that comes back starts from tables of its own.
        let forwarder = &mut self.forwarders[number as usize];
        forwarder.bound = forwarder.supervisor == NONE;
    }

    /// Books what nodes used up to now.
    pub(crate) fn books(&mut self) {
        let at = (self.now.saturating_sub(self.lead)) as f64 / 1e6 - 0.001;
        for k in 0..self.nodes.len() {
            let used = self.nodes[k].used_by(self.now);
            let more = used - self.booked[k];
            self.booked[k] = used;
            if self.now > self.lead && !self.loaded {
                self.used[k] += more;
                let hall = self.nodes[k].hall;
                self.tally.window(at).used[hall] += more;
            }
        }
    }

    /// Each second: what nodes used is booked, and connections that stand idle are closed.
    pub(crate) fn second(&mut self) {
        self.books();
        let idle = us(self.fleet.proxies.idle_timeout);
        let since = self.now.saturating_sub(idle);
        for forwarder in &mut self.forwarders {
            for (node, pool) in &mut forwarder.pools {
                let node = &mut self.nodes[*node as usize];
                if pool.life != node.life {
                    pool.idle.clear();
                    continue;
                }
                let had = pool.idle.len();
                pool.idle.retain(|used| *used > since);
                node.open -= (had - pool.idle.len()) as u32;
            }
        }
        self.queue.push(self.now + 1_000_000, Class::World, Event::Second);
    }
}
