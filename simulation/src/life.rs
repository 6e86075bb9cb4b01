//! The life of a txn, top to bottom: its client sends it, a forwarder lets it in and picks a node, the node works on it,
//! the answer goes back; or it is turned away, fails, or is given up on the way.

use crate::engine::*;
use crate::node::Offer;
use crate::queue::{Class, Time};
use crate::table::Lines;
use crate::tally::End;
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::model::Idempotency;
use otterwinch_fleet::ScheduledRequest;

impl Engine<'_> {
    /// It is due: its client sends it.
    pub(crate) fn comes(&mut self, nth: u64, due: &ScheduledRequest) {
        let txn = Txn {
            nth,
            due: self.now,
            product: due.request_class,
            hall: due.zone,
            work: due.work,
            tries: 0,
            give_up: Time::MAX,
            forwarder: NONE,
            attempt: NONE,
            life: 0,
        };
        self.in_flight += 1;
        let place = match self.free_txns.pop() {
            Some(place) => {
                let life = self.txns[place as usize].life;
                self.txns[place as usize] = Txn { life, ..txn };
                place
            }
            None => {
                self.txns.push(txn);
                self.txns.len() as u32 - 1
            }
        };
        self.sends(place);
    }

    /// A client's try begins now: it sets its own limit and goes to a forwarder of its hall.
    pub(crate) fn sends(&mut self, place: u32) {
        let (seed, now) = (self.seed, self.now);
        let txn = &mut self.txns[place as usize];
        txn.tries += 1;
        let (nth, tries, life) = (txn.nth, txn.tries, txn.life);
        let expiry = us(self.fleet.request_classes[txn.product].timeout);
        let (least, most) = self.fleet.clients.attempt_timeout_fraction;
        let patience = least + (most - least) * drawn(seed, nth, tries, PATIENCE);
        txn.give_up = (now + (expiry as f64 * patience) as Time).min(txn.due + expiry);
        let unit = drawn(seed, nth, tries, FRONT);
        let one_of = |front: &[u32]| front.get((unit * front.len() as f64) as usize).copied();
        // Where the hall's front is gone its clients come to all others alike.
        let all = || self.front.iter().flatten().copied().collect::<Vec<u32>>();
        let forwarder = one_of(&self.front[txn.hall]).or_else(|| one_of(&all()));
        txn.forwarder = forwarder.unwrap_or(NONE);
        let (give_up, product, hall) = (txn.give_up, txn.product, txn.hall);
        self.tally.tried(product, hall, (now - self.lead) as f64 / 1e6);
        if forwarder.is_none() {
            return self.comes_again(place, End::Voided, true, now);
        }
        self.queue.push(give_up, Class::World, Event::GiveUp { txn: place, life, tries });
        let at = now + us(self.fleet.network.client_latency);
        self.queue.push(at, Class::World, Event::Try { txn: place, life, tries });
    }

    /// A try reaches its forwarder, which lets it in or turns it away, and picks a node.
    pub(crate) fn tries(&mut self, place: u32, life: u32, tries: u32) {
        let txn = &self.txns[place as usize];
        if txn.life != life || txn.tries != tries || txn.give_up == Time::MAX {
            return;
        }
        let (nth, product, number) = (txn.nth, txn.product, txn.forwarder);
        let forwarder = &self.forwarders[number as usize];
        if !forwarder.up {
            return self.client_hears(place, End::Voided, true);
        }
        if forwarder.still_until > self.now {
            // It stands still while it applies a table.
            let at = forwarder.still_until;
            return self.queue.push(at, Class::World, Event::Try { txn: place, life, tries });
        }
        if forwarder.supervisor != NONE {
            self.supervisors[forwarder.supervisor as usize].sums.asked[product] += 1;
        }
        let let_in = match forwarder.held.levels[product] {
            Some(level) => drawn(self.seed, nth, tries, LET_IN) < level.share,
            None => true,
        };
        match forwarder.held.lines.pick(drawn(self.seed, nth, tries, PICK)) {
            Some(node) if let_in => self.goes(place, node, false),
            _ => self.client_hears(place, End::Declined, true),
        }
    }

    pub(crate) fn way(&self, forwarder: u32, node: u32) -> Time {
        let (from, to) = (self.forwarders[forwarder as usize].hall, self.nodes[node as usize].hall);
        us(self.fleet.network.zone_latency[from][to])
    }

    /// The forwarder sends it on, over a connection that is open or over a new one.
    fn goes(&mut self, place: u32, node: u32, second: bool) {
        let txn = &self.txns[place as usize];
        let (number, work, txn_life) = (txn.forwarder, txn.work, txn.life);
        let way = self.way(number, node);
        let target = &self.nodes[node as usize];
        let (hall, node_life) = (target.hall, target.life);
        let forwarder = &mut self.forwarders[number as usize];
        let pool = forwarder.pools.get_mut(&node).filter(|pool| pool.life == node_life);
        let connected = pool.and_then(|pool| pool.idle.pop()).is_some();
        self.crossed += u64::from(hall != forwarder.hall);
        self.tried += 1;
        let attempt = Attempt {
            txn: place,
            txn_life,
            node,
            node_life,
            forwarder: number,
            work,
            began: self.now,
            opens: !connected,
            connected,
            left: false,
            second,
            stage: Stage::OnItsWay,
            life: 0,
        };
        let slot = match self.free_attempts.pop() {
            Some(slot) => {
                let life = self.attempts[slot as usize].life;
                self.attempts[slot as usize] = Attempt { life, ..attempt };
                slot
            }
            None => {
                self.attempts.push(attempt);
                self.attempts.len() as u32 - 1
            }
        };
        self.txns[place as usize].attempt = slot;
        // A connection takes a way there and back before its first byte.
        let at = self.now + if connected { way } else { 3 * way };
        self.queue.push(at, Class::World, Event::AtNode { attempt: slot });
    }

    /// It reaches the node.
    pub(crate) fn reaches(&mut self, slot: u32) {
        let attempt = &mut self.attempts[slot as usize];
        let number = attempt.node;
        let node = &mut self.nodes[number as usize];
        if attempt.opens {
            if !node.connects() {
                return self.answers(slot, Came::NeverRan);
            }
            (attempt.connected, attempt.node_life) = (true, node.life);
            attempt.work += node.connection_work;
        } else if attempt.node_life != node.life {
            return self.answers(slot, Came::Broken);
        }
        if attempt.left {
            node.open -= 1;
            return self.frees(slot);
        }
        if node.hangs {
            attempt.stage = Stage::Hangs;
            return;
        }
        let (work, txn) = (attempt.work, &self.txns[attempt.txn as usize]);
        if node.fails > 0.0 && drawn(self.seed, txn.nth, txn.tries, FAILS) < node.fails {
            return self.answers(slot, Came::Failed);
        }
        match node.offer(self.now, slot, work) {
            Offer::Starts(done) => self.runs(slot, done),
            Offer::Waits => attempt.stage = Stage::Waits,
            Offer::TurnedAway if node.toppled => {
                self.answers(slot, Came::Broken);
                self.node_dies(number);
            }
            Offer::TurnedAway => self.answers(slot, Came::NeverRan),
        }
    }

    fn runs(&mut self, slot: u32, done: Time) {
        let attempt = &mut self.attempts[slot as usize];
        attempt.stage = Stage::Runs;
        let life = attempt.life;
        self.queue.push(done, Class::World, Event::Done { attempt: slot, life });
    }

    /// A core has done its work.
    pub(crate) fn done(&mut self, slot: u32, life: u32) {
        let attempt = &self.attempts[slot as usize];
        if attempt.life != life || attempt.stage != Stage::Runs {
            return;
        }
        let (node, left) = (attempt.node, attempt.left);
        if left {
            // Nobody waits for it any more, and its connection was closed.
            self.frees(slot);
        } else {
            self.answers(slot, Came::Answered);
        }
        self.core_is_free(node);
    }

    fn core_is_free(&mut self, number: u32) {
        if let Some(next) = self.nodes[number as usize].finish(self.now) {
            let work = self.attempts[next as usize].work;
            let done = self.nodes[number as usize].start(self.now, work);
            self.runs(next, done);
        }
    }

    /// The node's word, or what its machine says in its place, goes back to the forwarder.
    pub(crate) fn answers(&mut self, slot: u32, came: Came) {
        let attempt = &mut self.attempts[slot as usize];
        attempt.stage = Stage::Answered;
        let (forwarder, node) = (attempt.forwarder, attempt.node);
        let at = self.now + self.way(forwarder, node);
        self.queue.push(at, Class::World, Event::Back { attempt: slot, came });
    }

    /// It is back at the forwarder, which keeps the connection, counts what it met, and may try once more.
    pub(crate) fn comes_back(&mut self, slot: u32, came: Came) {
        let now = self.now;
        let attempt = &self.attempts[slot as usize];
        let (number, node, left, second) = (attempt.forwarder, attempt.node, attempt.left, attempt.second);
        let (place, txn_life, took) = (attempt.txn, attempt.txn_life, now - attempt.began);
        let target = &mut self.nodes[node as usize];
        if attempt.connected && attempt.node_life == target.life {
            if left || matches!(came, Came::Failed | Came::Broken) {
                target.open -= 1;
            } else {
                let fresh = || Pool { life: target.life, idle: Vec::new() };
                let pool = self.forwarders[number as usize].pools.entry(node).or_insert_with(fresh);
                if pool.life != target.life {
                    *pool = fresh();
                }
                pool.idle.push(now);
            }
        }
        self.frees(slot);
        if left || self.txns[place as usize].life != txn_life {
            return;
        }
        self.met(number, node, came != Came::Answered, took);
        self.txns[place as usize].attempt = NONE;
        match came {
            Came::Answered => self.client_hears(place, End::Settled(0), false),
            Came::NeverRan if !second && self.tries_again(place, node) => {}
            Came::NeverRan => self.client_hears(place, End::Voided, true),
            Came::Failed | Came::Broken => self.client_hears(place, End::Voided, false),
        }
    }

    fn frees(&mut self, slot: u32) {
        let attempt = &mut self.attempts[slot as usize];
        (attempt.life, attempt.stage) = (attempt.life + 1, Stage::Free);
        self.free_attempts.push(slot);
    }

    fn met(&mut self, forwarder: u32, node: u32, voided: bool, took: Time) {
        let forwarder = &self.forwarders[forwarder as usize];
        if forwarder.supervisor == NONE {
            return;
        }
        let sums = &mut self.supervisors[forwarder.supervisor as usize].sums;
        let met = sums.met.entry((node, forwarder.hall as u32)).or_default();
        met.tries += 1;
        if voided {
            met.voided += 1;
        } else {
            met.took_us += took;
        }
    }

    /// The forwarder's own second try, after proof that the first never ran.
    fn tries_again(&mut self, place: u32, not: u32) -> bool {
        let txn = &self.txns[place as usize];
        let forwarder = &self.forwarders[txn.forwarder as usize];
        let retry = match forwarder.held.levels[txn.product] {
            Some(level) => level.retry,
            None if self.fleet.proxies.retries_unexecuted => RetryPolicy::IfNeverRan,
            None => RetryPolicy::Never,
        };
        if retry == RetryPolicy::Never {
            return false;
        }
        let others = Lines::of(forwarder.held.lines.iter().filter(|line| line.0 != not));
        let Some(node) = others.pick(drawn(self.seed, txn.nth, txn.tries, PICK_AGAIN)) else { return false };
        self.goes(place, node, true);
        true
    }

    /// What came of a try reaches the client, a way later. It comes again, or that was it.
    fn client_hears(&mut self, place: u32, how: End, never_ran: bool) {
        let at = self.now + us(self.fleet.network.client_latency);
        let txn = &self.txns[place as usize];
        match how {
            End::Settled(_) if at <= txn.give_up => self.ends(place, End::Settled(at - txn.due)),
            // It gives up before the answer is there.
            End::Settled(_) => {}
            how => self.comes_again(place, how, never_ran, at),
        }
    }

    /// A try has come to nothing by `at`. The client comes again where its product and its own limits let it.
    pub(crate) fn comes_again(&mut self, place: u32, how: End, never_ran: bool, at: Time) {
        let (fleet, clients) = (self.fleet, &self.fleet.clients);
        let txn = &mut self.txns[place as usize];
        let product = &fleet.request_classes[txn.product];
        let may = match product.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => never_ran || at - txn.due < us(product.deduplication_window),
            Idempotency::NotIdempotent => never_ran,
        };
        let (from, to) = (us(clients.retry_wait.0), us(clients.retry_wait.1));
        let wait = from + ((to - from) as f64 * drawn(self.seed, txn.nth, txn.tries, WAIT)) as Time;
        let expires = txn.due + us(product.timeout);
        if !may || self.without.retries || txn.tries > clients.max_retries || at + wait >= expires {
            return self.ends(place, how);
        }
        // Nothing limits the wait but the expiry.
        (txn.attempt, txn.give_up) = (NONE, Time::MAX);
        let life = txn.life;
        self.queue.push(at + wait, Class::World, Event::Again { txn: place, life });
    }

    /// The client has waited long enough for this try.
    pub(crate) fn gives_up(&mut self, place: u32, life: u32, tries: u32) {
        let txn = &self.txns[place as usize];
        if txn.life != life || txn.tries != tries || txn.give_up == Time::MAX {
            return;
        }
        let (slot, number) = (txn.attempt, txn.forwarder);
        if slot != NONE {
            let attempt = &mut self.attempts[slot as usize];
            attempt.left = true;
            let (node, life, took) = (attempt.node, attempt.life, self.now - attempt.began);
            let at = self.now + us(self.fleet.network.client_latency) + self.way(number, node);
            self.queue.push(at, Class::World, Event::Cancelled { attempt: slot, life });
            self.met(number, node, true, took);
        }
        self.comes_again(place, End::Voided, false, self.now);
    }

    /// The node sees that the connection was closed.
    pub(crate) fn cancelled(&mut self, slot: u32, life: u32) {
        let attempt = &self.attempts[slot as usize];
        let number = attempt.node;
        let node = &mut self.nodes[number as usize];
        // Freed, or its node has died since and answered for all it held.
        if attempt.life != life || attempt.connected && attempt.node_life != node.life {
            return;
        }
        match attempt.stage {
            // It finds out there; its answer closes the connection.
            Stage::OnItsWay | Stage::Answered | Stage::Free => {}
            Stage::Waits => {
                node.drop_waiting(slot);
                node.open -= 1;
                self.frees(slot);
            }
            Stage::Hangs => {
                node.open -= 1;
                self.frees(slot);
            }
            Stage::Runs => {
                node.open -= 1;
                if !node.works_on {
                    self.frees(slot);
                    self.core_is_free(number);
                }
            }
        }
    }

    fn ends(&mut self, place: u32, how: End) {
        let txn = &mut self.txns[place as usize];
        let (product, hall, due) = (txn.product, txn.hall, (txn.due - self.lead) as f64 / 1e6);
        txn.life += 1;
        self.free_txns.push(place);
        self.in_flight -= 1;
        self.tally.ended(product, hall, due, how);
    }
}
