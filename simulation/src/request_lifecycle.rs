//! The life of a txn, top to bottom: its client sends it, a forwarder lets it in and picks a node, the node works on it,
//! the answer goes back; or it is turned away, fails, or is given up on the way.

use crate::endpoint::Offer;
use crate::engine::*;
use crate::queue::{Class, Time};
use crate::results::RequestEnd;
use crate::route_table::WeightedEndpoints;
use otterwinch::host::RetryPolicy;
use otterwinch_fleet::model::Idempotency;
use otterwinch_fleet::ScheduledRequest;

impl Engine<'_> {
    /// It is due: its client sends it.
    pub(crate) fn comes(&mut self, nth: u64, due: &ScheduledRequest) {
        let request = Request {
            nth,
            due: self.now,
            request_class: due.request_class,
            zone: due.zone,
            work: due.work,
            attempt_number: 0,
            give_up: Time::MAX,
            proxy: NONE,
            attempt: NONE,
            incarnation: 0,
        };
        self.in_flight += 1;
        let place = match self.free_requests.pop() {
            Some(place) => {
                let incarnation = self.requests[place as usize].incarnation;
                self.requests[place as usize] = Request { incarnation, ..request };
                place
            }
            None => {
                self.requests.push(request);
                self.requests.len() as u32 - 1
            }
        };
        self.sends(place);
    }

    /// A client's try begins now: it sets its own limit and goes to a forwarder of its hall.
    pub(crate) fn sends(&mut self, place: u32) {
        let (seed, now) = (self.seed, self.now);
        let request = &mut self.requests[place as usize];
        request.attempt_number += 1;
        let (nth, attempt_number, incarnation) = (request.nth, request.attempt_number, request.incarnation);
        let expiry = us(self.fleet.request_classes[request.request_class].timeout);
        let (least, most) = self.fleet.clients.attempt_timeout_fraction;
        let patience = least + (most - least) * drawn(seed, nth, attempt_number, PATIENCE);
        request.give_up = (now + (expiry as f64 * patience) as Time).min(request.due + expiry);
        let unit = drawn(seed, nth, attempt_number, FRONT);
        let one_of = |front: &[u32]| front.get((unit * front.len() as f64) as usize).copied();
        // Where the hall's front is gone its clients come to all others alike.
        let all = || self.front.iter().flatten().copied().collect::<Vec<u32>>();
        let proxy = one_of(&self.front[request.zone]).or_else(|| one_of(&all()));
        request.proxy = proxy.unwrap_or(NONE);
        let (give_up, request_class, zone) = (request.give_up, request.request_class, request.zone);
        self.results.record_attempt(request_class, zone, (now - self.lead) as f64 / 1e6);
        if proxy.is_none() {
            return self.comes_again(place, RequestEnd::Failed, true, now);
        }
        self.queue.push(give_up, Class::World, Event::GiveUp { request: place, incarnation, attempt_number });
        let at = now + us(self.fleet.network.client_latency);
        self.queue.push(at, Class::World, Event::Try { request: place, incarnation, attempt_number });
    }

    /// A try reaches its forwarder, which lets it in or turns it away, and picks a node.
    pub(crate) fn attempt_arrives(&mut self, place: u32, incarnation: u32, attempt_number: u32) {
        let request = &self.requests[place as usize];
        if request.incarnation != incarnation
            || request.attempt_number != attempt_number
            || request.give_up == Time::MAX
        {
            return;
        }
        let (nth, request_class, number) = (request.nth, request.request_class, request.proxy);
        let proxy = &self.proxies[number as usize];
        if !proxy.up {
            return self.client_hears(place, RequestEnd::Failed, true);
        }
        if proxy.still_until > self.now {
            // It stands still while it applies a table.
            let at = proxy.still_until;
            return self.queue.push(
                at,
                Class::World,
                Event::Try { request: place, incarnation, attempt_number },
            );
        }
        if proxy.instance != NONE {
            self.instances[proxy.instance as usize].sums.demand[request_class] += 1;
        }
        let let_in = match proxy.held.admission[request_class] {
            Some(level) => drawn(self.seed, nth, attempt_number, LET_IN) < level.admitted,
            None => true,
        };
        match proxy.held.endpoints.pick(drawn(self.seed, nth, attempt_number, PICK)) {
            Some(endpoint) if let_in => self.goes(place, endpoint, false),
            _ => self.client_hears(place, RequestEnd::Rejected, true),
        }
    }

    pub(crate) fn way(&self, proxy: u32, endpoint: u32) -> Time {
        let (from, to) = (self.proxies[proxy as usize].zone, self.endpoints[endpoint as usize].zone);
        us(self.fleet.network.zone_latency[from][to])
    }

    /// The forwarder sends it on, over a connection that is open or over a new one.
    fn goes(&mut self, place: u32, endpoint: u32, second: bool) {
        let request = &self.requests[place as usize];
        let (number, work, request_incarnation) = (request.proxy, request.work, request.incarnation);
        let way = self.way(number, endpoint);
        let target = &self.endpoints[endpoint as usize];
        let (zone, endpoint_incarnation) = (target.zone, target.incarnation);
        let proxy = &mut self.proxies[number as usize];
        let pool = proxy.pools.get_mut(&endpoint).filter(|pool| pool.incarnation == endpoint_incarnation);
        let connected = pool.and_then(|pool| pool.idle.pop()).is_some();
        self.cross_zone_attempts += u64::from(zone != proxy.zone);
        self.tried += 1;
        let attempt = Attempt {
            request: place,
            request_incarnation,
            endpoint,
            endpoint_incarnation,
            proxy: number,
            work,
            began: self.now,
            opens: !connected,
            connected,
            left: false,
            second,
            stage: Stage::OnItsWay,
            incarnation: 0,
        };
        let slot = match self.free_attempts.pop() {
            Some(slot) => {
                let incarnation = self.attempts[slot as usize].incarnation;
                self.attempts[slot as usize] = Attempt { incarnation, ..attempt };
                slot
            }
            None => {
                self.attempts.push(attempt);
                self.attempts.len() as u32 - 1
            }
        };
        self.requests[place as usize].attempt = slot;
        // A connection takes a way there and back before its first byte.
        let at = self.now + if connected { way } else { 3 * way };
        self.queue.push(at, Class::World, Event::AtNode { attempt: slot });
    }

    /// It reaches the node.
    pub(crate) fn reaches(&mut self, slot: u32) {
        let attempt = &mut self.attempts[slot as usize];
        let number = attempt.endpoint;
        let endpoint = &mut self.endpoints[number as usize];
        if attempt.opens {
            if !endpoint.connects() {
                return self.answers(slot, Came::NeverRan);
            }
            (attempt.connected, attempt.endpoint_incarnation) = (true, endpoint.incarnation);
            attempt.work += endpoint.connection_work;
        } else if attempt.endpoint_incarnation != endpoint.incarnation {
            return self.answers(slot, Came::Broken);
        }
        if attempt.left {
            endpoint.open -= 1;
            return self.frees(slot);
        }
        if endpoint.hangs {
            attempt.stage = Stage::Hangs;
            return;
        }
        let (work, request) = (attempt.work, &self.requests[attempt.request as usize]);
        if endpoint.fails > 0.0
            && drawn(self.seed, request.nth, request.attempt_number, FAILS) < endpoint.fails
        {
            return self.answers(slot, Came::Failed);
        }
        match endpoint.offer(self.now, slot, work) {
            Offer::Starts(done) => self.runs(slot, done),
            Offer::Waits => attempt.stage = Stage::Waits,
            Offer::TurnedAway if endpoint.collapsed => {
                self.answers(slot, Came::Broken);
                self.crash_endpoint(number);
            }
            Offer::TurnedAway => self.answers(slot, Came::NeverRan),
        }
    }

    fn runs(&mut self, slot: u32, done: Time) {
        let attempt = &mut self.attempts[slot as usize];
        attempt.stage = Stage::Runs;
        let incarnation = attempt.incarnation;
        self.queue.push(done, Class::World, Event::Done { attempt: slot, incarnation });
    }

    /// A core has done its work.
    pub(crate) fn done(&mut self, slot: u32, incarnation: u32) {
        let attempt = &self.attempts[slot as usize];
        if attempt.incarnation != incarnation || attempt.stage != Stage::Runs {
            return;
        }
        let (endpoint, left) = (attempt.endpoint, attempt.left);
        if left {
            // Nobody waits for it any more, and its connection was closed.
            self.frees(slot);
        } else {
            self.answers(slot, Came::Answered);
        }
        self.core_is_free(endpoint);
    }

    fn core_is_free(&mut self, number: u32) {
        if let Some(next) = self.endpoints[number as usize].finish(self.now) {
            let work = self.attempts[next as usize].work;
            let done = self.endpoints[number as usize].start(self.now, work);
            self.runs(next, done);
        }
    }

    /// The node's word, or what its machine says in its place, goes back to the forwarder.
    pub(crate) fn answers(&mut self, slot: u32, came: Came) {
        let attempt = &mut self.attempts[slot as usize];
        attempt.stage = Stage::Answered;
        let (proxy, endpoint) = (attempt.proxy, attempt.endpoint);
        let at = self.now + self.way(proxy, endpoint);
        self.queue.push(at, Class::World, Event::Back { attempt: slot, came });
    }

    /// It is back at the forwarder, which keeps the connection, counts what it met, and may try once more.
    pub(crate) fn comes_back(&mut self, slot: u32, came: Came) {
        let now = self.now;
        let attempt = &self.attempts[slot as usize];
        let (number, endpoint, left, second) =
            (attempt.proxy, attempt.endpoint, attempt.left, attempt.second);
        let (place, request_incarnation, took) =
            (attempt.request, attempt.request_incarnation, now - attempt.began);
        let target = &mut self.endpoints[endpoint as usize];
        if attempt.connected && attempt.endpoint_incarnation == target.incarnation {
            if left || matches!(came, Came::Failed | Came::Broken) {
                target.open -= 1;
            } else {
                let fresh = || Pool { incarnation: target.incarnation, idle: Vec::new() };
                let pool = self.proxies[number as usize].pools.entry(endpoint).or_insert_with(fresh);
                if pool.incarnation != target.incarnation {
                    *pool = fresh();
                }
                pool.idle.push(now);
            }
        }
        self.frees(slot);
        if left || self.requests[place as usize].incarnation != request_incarnation {
            return;
        }
        self.met(number, endpoint, came != Came::Answered, took);
        self.requests[place as usize].attempt = NONE;
        match came {
            Came::Answered => self.client_hears(place, RequestEnd::Answered(0), false),
            Came::NeverRan if !second && self.tries_again(place, endpoint) => {}
            Came::NeverRan => self.client_hears(place, RequestEnd::Failed, true),
            Came::Failed | Came::Broken => self.client_hears(place, RequestEnd::Failed, false),
        }
    }

    fn frees(&mut self, slot: u32) {
        let attempt = &mut self.attempts[slot as usize];
        (attempt.incarnation, attempt.stage) = (attempt.incarnation + 1, Stage::Free);
        self.free_attempts.push(slot);
    }

    fn met(&mut self, proxy: u32, endpoint: u32, failed: bool, took: Time) {
        let proxy = &self.proxies[proxy as usize];
        if proxy.instance == NONE {
            return;
        }
        let sums = &mut self.instances[proxy.instance as usize].sums;
        let met = sums.met.entry((endpoint, proxy.zone as u32)).or_default();
        met.attempts += 1;
        if failed {
            met.failed += 1;
        } else {
            met.latency_us += took;
        }
    }

    /// The forwarder's own second try, after proof that the first never ran.
    fn tries_again(&mut self, place: u32, not: u32) -> bool {
        let request = &self.requests[place as usize];
        let proxy = &self.proxies[request.proxy as usize];
        let retry = match proxy.held.admission[request.request_class] {
            Some(level) => level.retry,
            None if self.fleet.proxies.retries_unexecuted => RetryPolicy::IfNeverRan,
            None => RetryPolicy::Never,
        };
        if retry == RetryPolicy::Never {
            return false;
        }
        let others = WeightedEndpoints::new(proxy.held.endpoints.iter().filter(|line| line.0 != not));
        let Some(endpoint) = others.pick(drawn(self.seed, request.nth, request.attempt_number, PICK_AGAIN))
        else {
            return false;
        };
        self.goes(place, endpoint, true);
        true
    }

    /// What came of a try reaches the client, a way later. It comes again, or that was it.
    fn client_hears(&mut self, place: u32, how: RequestEnd, never_ran: bool) {
        let at = self.now + us(self.fleet.network.client_latency);
        let request = &self.requests[place as usize];
        match how {
            RequestEnd::Answered(_) if at <= request.give_up => {
                self.ends(place, RequestEnd::Answered(at - request.due))
            }
            // It gives up before the answer is there.
            RequestEnd::Answered(_) => {}
            how => self.comes_again(place, how, never_ran, at),
        }
    }

    /// A try has come to nothing by `at`. The client comes again where its product and its own limits let it.
    pub(crate) fn comes_again(&mut self, place: u32, how: RequestEnd, never_ran: bool, at: Time) {
        let (fleet, clients) = (self.fleet, &self.fleet.clients);
        let request = &mut self.requests[place as usize];
        let request_class = &fleet.request_classes[request.request_class];
        let may = match request_class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithIdempotencyKey => {
                never_ran || at - request.due < us(request_class.deduplication_window)
            }
            Idempotency::NotIdempotent => never_ran,
        };
        let (from, to) = (us(clients.retry_wait.0), us(clients.retry_wait.1));
        let wait =
            from + ((to - from) as f64 * drawn(self.seed, request.nth, request.attempt_number, WAIT)) as Time;
        let expires = request.due + us(request_class.timeout);
        if !may
            || self.lifted_limits.retries
            || request.attempt_number > clients.max_retries
            || at + wait >= expires
        {
            return self.ends(place, how);
        }
        // Nothing limits the wait but the expiry.
        (request.attempt, request.give_up) = (NONE, Time::MAX);
        let incarnation = request.incarnation;
        self.queue.push(at + wait, Class::World, Event::Again { request: place, incarnation });
    }

    /// The client has waited long enough for this try.
    pub(crate) fn gives_up(&mut self, place: u32, incarnation: u32, attempt_number: u32) {
        let request = &self.requests[place as usize];
        if request.incarnation != incarnation
            || request.attempt_number != attempt_number
            || request.give_up == Time::MAX
        {
            return;
        }
        let (slot, number) = (request.attempt, request.proxy);
        if slot != NONE {
            let attempt = &mut self.attempts[slot as usize];
            attempt.left = true;
            let (endpoint, incarnation, took) =
                (attempt.endpoint, attempt.incarnation, self.now - attempt.began);
            let at = self.now + us(self.fleet.network.client_latency) + self.way(number, endpoint);
            self.queue.push(at, Class::World, Event::Cancelled { attempt: slot, incarnation });
            self.met(number, endpoint, true, took);
        }
        self.comes_again(place, RequestEnd::Failed, false, self.now);
    }

    /// The node sees that the connection was closed.
    pub(crate) fn cancelled(&mut self, slot: u32, incarnation: u32) {
        let attempt = &self.attempts[slot as usize];
        let number = attempt.endpoint;
        let endpoint = &mut self.endpoints[number as usize];
        // Freed, or its node has died since and answered for all it held.
        if attempt.incarnation != incarnation
            || attempt.connected && attempt.endpoint_incarnation != endpoint.incarnation
        {
            return;
        }
        match attempt.stage {
            // It finds out there; its answer closes the connection.
            Stage::OnItsWay | Stage::Answered | Stage::Free => {}
            Stage::Waits => {
                endpoint.drop_waiting(slot);
                endpoint.open -= 1;
                self.frees(slot);
            }
            Stage::Hangs => {
                endpoint.open -= 1;
                self.frees(slot);
            }
            Stage::Runs => {
                endpoint.open -= 1;
                if !endpoint.works_on {
                    self.frees(slot);
                    self.core_is_free(number);
                }
            }
        }
    }

    fn ends(&mut self, place: u32, how: RequestEnd) {
        let request = &mut self.requests[place as usize];
        let (request_class, zone, due) =
            (request.request_class, request.zone, (request.due - self.lead) as f64 / 1e6);
        request.incarnation += 1;
        self.free_requests.push(place);
        self.in_flight -= 1;
        self.results.record_end(request_class, zone, due, how);
    }
}
