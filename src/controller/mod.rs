//! All decisions of a supervisor, its tables and its tuned values. The host calls one method for each thing
//! that happens (`list_changed`, `met`, `woke` ...) with the present moment; the rules act at once through
//! the `Host` (`host.rs`) given to `open`, and read `config.rs`. A moment's commands travel together.
//!
//! The ordinary path is that of docs/design.md: few shared tables of the listed servers at listed weight,
//! looked at every `turn`, only changes sent. The guards: rule 1 `wanted`, `bind_waiting`, rule 2 `RETRY`,
//! `publish_slices`, `commands_lost`, rule 3 `leaving` in `publish`, rule 4 `warmth`, `eased`, rule 5 `room`.

use crate::channel_backlog::ChannelBacklog;
use crate::config::ControllerConfig;
use crate::host::{EndpointId, EndpointState, EndpointUpdate, Host, RequestClassSet, Timer};
use crate::seeded_rng::SeededRng;
use crate::state::{ring_place, weigh, Change, Proxy, PublicationState, RouteTable, RoutingSnapshot, Shard};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

mod admission;
pub(crate) mod candidate;
mod endpoints;
mod fleet_load;
mod outliers;
mod slow_start;

use admission::{Admission, RETRY_POLICY};
use candidate::Candidate;
use endpoints::{Endpoint, EndpointRegistry, EndpointWatch};
use fleet_load::FleetLoad;
use outliers::Outcomes;
use slow_start::{slow_start_weights, EndpointWeight, FleetCondition};

/// The design's open values: the gathering of changes, the heartbeat, the budget of a first join.
/// The least interval of changes that can wait.
const GATHER: Span = Span::from_us(1_000_000);
const HEARTBEAT_EVERY: Span = Span::from_us(3_000_000);
const JOIN_BUDGET: Span = Span::from_us(5_000_000);
const JOINS_GATHERED: Span = Span::from_us(150_000);
const LOOK_AGAIN: Span = Span::from_us(50_000);

pub(super) const EVALUATION_INTERVAL: Span = Span::from_us(1_000_000);
const STEP: f64 = 1.25;

/// Where crossing zones costs: the most that stays at home, and how far off the rest may stand.
const STAY: f64 = 0.9;
const FAR_STEP: f64 = 1.5;

/// Parts of the waiting lines and messages for all and for what can wait; messages kept back for drains; the
/// part of its stated pace that a channel is trusted with until proxies say what has come.
const MOST_LINES: f64 = 0.9;
const ORDINARY_LINES: f64 = 0.08;
const ORDINARY_MESSAGES: f64 = 0.5;
const BURST: usize = 3;
const IN_FLIGHT: f64 = 3.0;
const PACE_TRUSTED: f64 = 0.04;
const MARKED_FROM: f64 = 0.05;
/// The part of the fleet whose leaving at once must find room, and of the grace's lines it may take; how far
/// above the mean chance may lie; the least piece of the queue; what loss makes standing tables thin.
const LEAVES_AT_ONCE: f64 = 0.2;
const FOR_LEAVING: f64 = 0.78;
const CHANCE: f64 = 1.5;
const PIECE: f64 = 0.4;
const THIN: f64 = 0.2;
/// Tables that share the servers of a place where none may hold all; the part of a table for other zones; how
/// much more of what stands is kept; the part of the grace for which proxies are bound before they are told.
const ARCS: u32 = 16;
const AWAY: usize = 4;
const SLACK: usize = 8;
const PATIENCE: f64 = 0.25;
/// Changes are gathered for so many times their way through the channel; one goes out if it is so great a
/// part of a mean line for each second that a line takes to all of a table.
const SPARING: f64 = 2.0;
const SLIGHT: f64 = 4.0;

pub struct Controller<H: Host> {
    host: H,
    config: ControllerConfig,
    chance: SeededRng,
    /// Each supervisor lays the ring in an order of its own.
    salt: u32,
    endpoints: EndpointRegistry,
    endpoint_watch: EndpointWatch,
    tbls: BTreeMap<u32, RouteTable>,
    proxies: BTreeMap<u32, Proxy>,
    /// Zone and usual rate of each proxy ever served or seen here.
    usual: BTreeMap<u32, (u32, f64)>,
    slices: BTreeMap<u32, Shard>,
    fleet_load: FleetLoad,
    admission: Admission,
    ledger: ChannelBacklog,
    held: PublicationState,
}

impl<H: Host> Controller<H> {
    pub fn start(mut host: H, config: ControllerConfig, seed: u64, now: Moment) -> Self {
        if config.polls_endpoint_list {
            host.watch_endpoints();
        }
        host.schedule_timer(EVALUATION_INTERVAL, Timer::Evaluation);
        let mut chance = SeededRng::new(seed);
        let salt = (chance.next_f64() * f64::from(u32::MAX)) as u32;
        Controller {
            host,
            chance,
            salt,
            endpoints: EndpointRegistry::default(),
            endpoint_watch: EndpointWatch::default(),
            tbls: BTreeMap::new(),
            proxies: BTreeMap::new(),
            usual: BTreeMap::new(),
            slices: BTreeMap::new(),
            fleet_load: FleetLoad::new(config.request_classes.len()),
            admission: Admission::new(&config),
            ledger: ChannelBacklog::new(config.channel_rate * PACE_TRUSTED),
            held: PublicationState { gathered: now, ..PublicationState::default() },
            config,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    pub fn endpoint_list_replaced(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        self.endpoints.remove_unlisted(now, updates);
        self.endpoints_updated(now, updates);
    }

    pub fn endpoints_updated(&mut self, now: Moment, updates: &[EndpointUpdate]) {
        self.endpoints.apply_updates(now, updates);
        self.turn(now);
    }

    /// A call to the list failed or the subscription dropped: what is known stays, and it is asked again, the
    /// first time at once: a drain that was told meanwhile has its grace running.
    pub fn endpoint_watch_failed(&mut self, now: Moment) {
        let delay = self.endpoint_watch.retry_delay(now, &mut self.chance);
        self.host.schedule_timer(delay, Timer::WatchRetry);
    }

    pub fn proxy_joined(&mut self, now: Moment, proxy: u32, zone: u32, rate: f64, fresh: bool) {
        let known = self.usual.insert(proxy, (zone, rate)).is_some();
        // Where crossing zones costs or is barred, each zone's proxies have a table of their own.
        let zoned = self.config.cross_zone_costs || self.config.request_classes.iter().any(|p| p.zone_local);
        let (place, home) = if zoned { (1 + zone, Some(zone)) } else { (0, None) };
        // One table where it holds the fleet and as much again; else several, an arc of the ring each.
        let whole = self.endpoints.len() > 0 && self.endpoints.len() <= self.lines_most() / 2;
        let tbl = place * ARCS + if whole { 0 } else { proxy % ARCS };
        // Rule 5: one told of anew while it is joined may never have left; until it is bound again its
        // table's lines reach it as before.
        let stood = self.proxies.get(&proxy).is_some_and(|p| p.reached && p.tbl == tbl);
        let fresh = fresh && !known;
        self.proxies.insert(proxy, Proxy { rate, joined: now, fresh, tbl, bound: false, reached: stood });
        self.tbls.entry(tbl).or_insert(RouteTable { home, afar: 1.0, ..RouteTable::default() });
        // Rule 3: until it is bound it holds tables that are not ours, with servers that may have left.
        self.endpoints.reset_ejected_everywhere();
        self.look();
    }

    fn look(&mut self) {
        if self.held.wakes.insert(Timer::Recheck) {
            self.host.schedule_timer(LOOK_AGAIN, Timer::Recheck);
        }
    }

    pub fn proxy_left(&mut self, now: Moment, proxy: u32) {
        self.proxies.remove(&proxy);
        self.ledger.proxy_left(now, proxy);
    }

    pub fn endpoint_outcomes(
        &mut self,
        now: Moment,
        id: &str,
        attempts: f64,
        failed: f64,
        latency: Span,
        interval: Span,
    ) {
        let Some(endpoint) = self.endpoints.by_id.get_mut(id) else { return };
        let answered = (attempts - failed).max(0.0);
        self.fleet_load.record_outcomes(attempts, answered);
        let objectives = self.config.request_classes.iter().map(|class| class.latency_objective);
        let objective = objectives.min().unwrap_or_default();
        let outcomes = Outcomes { answered, failed, latency, interval };
        outliers::record_outcomes(endpoint, now, &outcomes, objective);
    }

    pub fn demand(&mut self, class: u32, requests: f64) {
        self.fleet_load.record_demand(class as usize, requests);
    }

    pub fn acknowledged(&mut self, now: Moment, number: u32, proxy: u32) {
        self.ledger.acknowledged(now, number, proxy);
    }

    pub fn timer_fired(&mut self, now: Moment, timer: Timer) {
        self.held.wakes.remove(&timer);
        match timer {
            Timer::WatchRetry => return self.host.watch_endpoints(),
            Timer::Resend => return self.host.resend_commands(),
            Timer::Evaluation => self.evaluate(now),
            _ => {}
        }
        self.turn(now);
    }

    fn evaluate(&mut self, now: Moment) {
        self.fleet_load.window = self.fleet_load.window + EVALUATION_INTERVAL;
        self.detect_outliers(now);
        self.shed_load(now);
        self.endpoints.decay();
        self.fleet_load.decay();
        self.forget_removed_endpoints(now);
        self.host.schedule_timer(EVALUATION_INTERVAL, Timer::Evaluation);
    }

    fn detect_outliers(&mut self, now: Moment) {
        self.fleet_load.median_score = outliers::detect_outliers(&mut self.endpoints, now);
    }

    fn shed_load(&mut self, now: Moment) {
        let joined_rate = self.proxies.values().map(|p| p.rate).sum::<f64>();
        self.admission.shed_load(now, &mut self.fleet_load, joined_rate, &self.config);
    }

    /// Lifts the ejection of what was removed long ago and is in no table, so that its id may return as a new one:
    /// a service that replaces its endpoints all day would make each join pay for all the dead.
    fn forget_removed_endpoints(&mut self, now: Moment) {
        if self.held.unanswered {
            return;
        }
        let tbls = &self.tbls;
        let in_use = |id: &EndpointId| tbls.values().any(|t| t.lines.contains_key(id));
        for (id, endpoint) in self.endpoints.forget_removed(now, in_use) {
            if endpoint.ejected {
                self.host.restore_endpoint(&id);
            }
            self.host.forget_endpoint(&id);
        }
    }

    fn parts(&self, now: Moment) -> Vec<Candidate> {
        let part = |(id, s): (&EndpointId, &Endpoint)| Candidate {
            id: id.clone(),
            zone: s.zone,
            weight: outliers::effective_weight(s),
            slow_start_factor: slow_start::slow_start_factor(self.config.slow_start_window, s.started, now),
        };
        self.endpoints.ready().map(part).collect()
    }

    /// What all tables of a moment are made of: the servers in the order of a ring, and what each zone gets.
    fn present(&self, now: Moment) -> RoutingSnapshot {
        let mut parts = self.parts(now);
        parts.sort_by_cached_key(|p| ring_place(&p.id, self.salt));
        let mut rates = BTreeMap::<u32, f64>::new();
        self.usual.values().for_each(|(zone, rate)| *rates.entry(*zone).or_default() += rate);
        let whole = weigh(parts.iter().filter(|p| rates.contains_key(&p.zone)));
        RoutingSnapshot { parts, rates, whole }
    }

    /// What a table should hold: every listed server, at listed weight but for the exceptions, and whether it
    /// is warm. Where all proxies could not leave in time, each table holds an arc of the ring, home ones
    /// first.
    fn wanted(&mut self, number: u32, all: &RoutingSnapshot) -> BTreeMap<EndpointId, EndpointWeight> {
        let Some(tbl) = self.tbls.get(&number) else { return BTreeMap::new() };
        let (near, mut away): (Vec<&Candidate>, Vec<&Candidate>) =
            all.parts.iter().partition(|p| tbl.home == Some(p.zone));
        if self.config.request_classes.iter().any(|p| p.zone_local) {
            away.clear();
        }
        let most = self.lines_most();
        let (sum_near, sum_away) = (weigh(near.iter().copied()), weigh(away.iter().copied()));
        let here = self.arc(number, near, most - (most / AWAY).min(away.len()));
        let there = self.arc(number, away, most.saturating_sub(here.len()));
        let mut afar = 1.0;
        if let Some(home) = tbl.home {
            let (in_here, in_there) = (weigh(here.iter().copied()), weigh(there.iter().copied()));
            let due =
                all.rates.get(&home).unwrap_or(&0.0) / all.rates.values().sum::<f64>().max(1e-9) * all.whole;
            if in_here > 0.0 && in_there > 0.0 && due > 0.0 {
                // What carries a tenth of the zone's txns, or all that its own servers do not cover. Cold
                // ones count short; those in the table stand for the others.
                let stay = (sum_near / due).min(1.0) * STAY;
                let even = sum_away / in_there * in_here / sum_near;
                afar = (in_here * (1.0 - stay) / (stay * in_there)).min(even).max(0.01);
            }
            // In coarse steps, or each server held back would move every line of the other zones.
            if (afar / tbl.afar).max(tbl.afar / afar) <= FAR_STEP {
                afar = tbl.afar;
            }
        }
        let far = there.into_iter().map(|p| Candidate { weight: p.weight * afar, ..p.clone() });
        let parts = here.into_iter().cloned().chain(far).collect();
        self.tbls.get_mut(&number).expect("just read").afar = afar;
        slow_start_weights(parts, &FleetCondition::new(&self.config, &self.endpoints, &self.fleet_load))
    }

    /// A table's arc of a ring, so long at most. Of what stands a little more is kept at both ends, or each
    /// server that comes or goes would push another in or out.
    fn arc<'a>(&self, number: u32, ring: Vec<&'a Candidate>, most: usize) -> Vec<&'a Candidate> {
        let (n, slack, lines) = (ring.len(), most.div_ceil(SLACK), &self.tbls[&number].lines);
        let start = n * (number % ARCS) as usize / ARCS as usize;
        let within = |at: usize, p: &Candidate| {
            at < most || (at < most + slack || at + slack >= n) && lines.contains_key(&p.id)
        };
        let placed = ring.into_iter().enumerate().map(|(i, p)| ((i + n - start) % n, p));
        placed.filter(|(at, p)| n <= most || within(*at, p)).map(|(_, p)| p).collect()
    }

    /// What differs from what stands, widest gaps first; slight ones are not worth their way. Can't wait:
    /// servers that left, a table's first usable lines, a known server that came back cold.
    fn changes(&mut self, now: Moment, number: u32, users: f64, all: &RoutingSnapshot) -> Vec<Change> {
        let wanted = self.wanted(number, all);
        if wanted.is_empty() && self.carried(now, number) {
            return Vec::new();
        }
        let way = users / self.config.channel_rate.max(1.0);
        let mean = wanted.values().map(|w| w.weight).sum::<f64>() / wanted.len().max(1) as f64;
        let Some(tbl) = self.tbls.get_mut(&number) else { return Vec::new() };
        tbl.carried = None;
        let left =
            |(id, gap): (&EndpointId, &f64)| Change { id: id.clone(), weight: 0.0, urgent: true, gap: *gap };
        let gone = tbl.lines.iter().filter(|(id, _)| !wanted.contains_key(*id));
        let mut changes: Vec<Change> = gone.map(left).collect();
        for (id, EndpointWeight { weight, is_warm: warm }) in wanted {
            let set_state = tbl.lines.get(&id).copied().unwrap_or(0.0);
            let (off, gap) = ((set_state / weight).max(weight / set_state), (set_state - weight).abs());
            if (off > STEP || warm && off > 1.001) && (gap > mean * way * SLIGHT || set_state == 0.0) {
                let urgent = tbl.lines.is_empty() || !warm && set_state > 2.0 * weight;
                changes.push(Change { id, weight, urgent, gap });
            }
        }
        changes.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.gap.total_cmp(&a.gap)));
        changes
    }

    /// A table that lost every server while some still report is carried for one heartbeat, or as long as
    /// rule 3 allows: a list that dropped them all at once is more often wrong than right.
    fn carried(&mut self, now: Moment, number: u32) -> bool {
        let Some(tbl) = self.tbls.get_mut(&number) else { return false };
        let (long, in_grace) = (HEARTBEAT_EVERY, self.config.drain_grace * 0.6 - self.config.max_transit);
        let spell = if self.config.removal_not_binding { long } else { long.min(in_grace) };
        let reports = |s: &Endpoint| {
            s.state == EndpointState::Removed && s.last_answered.is_some_and(|h| now - h < long)
        };
        if tbl.carried.is_none()
            && tbl.lines.keys().any(|id| self.endpoints.by_id.get(id).is_some_and(reports))
        {
            tbl.carried = Some(now);
        }
        let carried = tbl.carried.is_some_and(|since| now - since < spell);
        carried.then(|| self.look()).is_some()
    }

    /// A moment's commands came to nothing, or nobody knows. They go again as they were, and nothing before
    /// they are taken: what piled up behind them would come in one burst.
    pub fn commands_lost(&mut self, now: Moment, unsure: bool) {
        self.held.unanswered = true;
        // Rule 5: were they carried out, their lines wait twice; a mark of the repeat's tells when it came.
        let (lines, number) =
            if unsure { self.ledger.record_resend(now, self.held.moment) } else { (0.0, None) };
        if let Some(number) = number {
            self.host.request_acknowledgement(number);
            self.held.moment = now;
        }
        self.host.schedule_timer(
            LOOK_AGAIN + Span::secs(lines / self.config.channel_rate.max(1.0)),
            Timer::Resend,
        );
    }

    pub fn commands_accepted(&mut self, now: Moment) {
        if std::mem::take(&mut self.held.unanswered) {
            self.turn(now);
        }
    }

    pub fn assignment_rejected(&mut self, now: Moment, proxy: u32) {
        self.proxies.get_mut(&proxy).into_iter().for_each(|p| (p.bound, p.joined) = (false, now));
        self.look();
    }

    pub fn weight_rejected(&mut self, tbl: u32, id: &EndpointId) {
        self.tbls.get_mut(&tbl).and_then(|tbl| tbl.lines.remove(id));
        self.look();
    }

    /// All that a moment orders. Where the queue is no longer short, the proxies are asked to tell what came.
    fn turn(&mut self, now: Moment) {
        // The grace of strays runs on while no command gets out.
        let untold = self.held.unanswered && self.endpoints.by_id.values().any(|s| s.needs_ejection());
        if untold && self.proxies.values().any(|p| !p.bound) {
            self.held.barring.get_or_insert(now);
        }
        match self.config.shards {
            _ if self.held.unanswered => return,
            0 => {}
            _ => return self.publish_slices(now),
        }
        self.held.moment = now;
        // EndpointState tables are thinned by all that leaves: before one is bare its proxy must be bound. Else
        // binds can wait longest: each takes what a line to all would.
        let lost = self.endpoints.unready_count() as f64;
        let thin = lost > self.endpoints.len() as f64 * THIN && self.proxies.values().any(|p| !p.bound);
        // What can't wait goes once the queue is short: put behind a long one it comes no sooner, and what
        // else leaves meanwhile would cost every proxy a message more.
        let clear = self.ledger.queued_lines(now) <= self.lines_may_wait(false);
        let late = self.publish(now, now >= self.held.gathered && !thin, clear) | self.bar(now, clear);
        if late {
            self.look();
        } else {
            self.bind_waiting(now);
        }
        let waiting = self.ledger.queued_lines(now);
        let through = Span::secs(waiting / self.config.channel_rate.max(1.0)) + self.config.max_transit * 2.0;
        if waiting > self.lines_may_wait(false) && now - self.ledger.last_activity > through {
            // All answers due are lost, with their proxies or with the event stream: one is asked anew.
            let asked = self.proxies_that(|p| self.usable(p.tbl));
            let place = (asked.len() as f64 * self.chance.next_f64()) as usize;
            asked.get(place).into_iter().for_each(|proxy| self.bind(now, *proxy));
        }
        if self.ledger.queued_lines(now) > self.config.max_queued_lines * MARKED_FROM {
            self.ledger
                .request_acknowledgement(now)
                .into_iter()
                .for_each(|number| self.host.request_acknowledgement(number));
        }
    }

    /// What can't wait goes in pieces that fit and takes along what else has changed and fits; the rest is
    /// gathered, the longer the more of the channel it takes. Tells whether something found no room.
    fn publish(&mut self, now: Moment, due: bool, clear: bool) -> bool {
        let (mut changed, mut hasty, all) = (Vec::new(), BTreeSet::new(), self.present(now));
        let (mut users, reached) = (BTreeMap::<u32, Vec<u32>>::new(), self.proxies_that(|p| p.reached));
        reached.iter().for_each(|proxy| users.entry(self.proxies[proxy].tbl).or_default().push(*proxy));
        for number in self.tbls.keys().copied().collect::<Vec<_>>() {
            let users = users.remove(&number).unwrap_or_default();
            let changes = self.changes(now, number, users.len() as f64, &all);
            if users.is_empty() {
                self.send(now, number, changes, true, &users);
            } else {
                // Who left first goes first.
                let left = |id| self.endpoints.by_id.get(id).map(|s| s.left);
                hasty.extend(changes.iter().filter(|c| c.urgent).map(|c| (left(&c.id), c.id.clone())));
                changed.push((number, users, changes));
            }
        }
        let order: BTreeMap<EndpointId, usize> =
            hasty.into_iter().enumerate().map(|(n, h)| (h.1, n)).collect();
        let (head, whole) = (self.config.message_overhead_lines, order.len());
        let goes = |n: usize, c: &Change| c.urgent && order[&c.id] < n;
        let lines = |n, c: &Vec<Change>| c.iter().filter(|c| goes(n, c)).count() as f64;
        let each = |lines: f64| if lines > 0.0 { head + lines } else { 0.0 };
        let cost =
            |n| changed.iter().map(|(_, users, c)| users.len() as f64 * each(lines(n, c))).sum::<f64>();
        let room = self.room(now, true, &reached);
        let n = if clear { self.piece(whole, room, cost) } else { 0 };
        let paid = self.ledger.recorded_lines + if n > 0 { cost(n) } else { 0.0 };
        let mut late = n < whole;
        let due = due && !late;
        // The table that has waited longest first, or one that always changes would take all the room.
        changed.sort_by_key(|(number, ..)| self.tbls[number].sent);
        for (number, users, mut changes) in changed {
            let urgent = changes.iter().filter(|c| goes(n, c)).count();
            let rest = changes.len() - urgent;
            if urgent == 0 && (!due || now - self.tbls[&number].sent < GATHER) {
                self.look();
                continue;
            }
            let room = self.room(now, false, &users) / users.len() as f64;
            let room =
                room - if urgent == 0 { head } else { urgent as f64 } - self.admission.levels.len() as f64;
            late |= (room as usize) < rest;
            if urgent == 0 && (room < 0.0 || (room as usize) < rest && room < head) {
                continue;
            }
            let mut more = if due || n == whole { room as usize } else { 0 };
            changes.retain(|c| goes(n, c) || !c.urgent && more > 0 && (more -= 1, true).1);
            self.send(now, number, changes, n == whole, &users);
        }
        let took = (self.ledger.recorded_lines - paid) / self.config.channel_rate.max(1.0);
        if took > 0.0 {
            self.held.gathered = now + Span::secs(took * SPARING);
        }
        late
    }

    /// The most that costs no more than there is room for; each more costs more. Many small pieces would cost
    /// more in heads than they carry.
    fn piece(&self, whole: usize, room: f64, cost: impl Fn(usize) -> f64) -> usize {
        let (mut fits, mut not) = (0, whole + 1);
        while not - fits > 1 {
            let half = (fits + not) / 2;
            (fits, not) = if cost(half) <= room { (half, not) } else { (fits, half) };
        }
        if fits < whole && cost(fits) < self.config.max_queued_lines * PIECE {
            0
        } else {
            fits
        }
    }

    /// Rule 3 at proxies with tables that are not ours, which only a withdrawal reaches, until a bind rids
    /// them of those. Where many have come at once as many are bound as find room, and the others told in one
    /// message after a part of the grace. Tells whether something found no room.
    fn bar(&mut self, now: Moment, clear: bool) -> bool {
        let leaving = self.leaving();
        let (whole, since) = (self.strays_cost(leaving.len()), self.held.barring.unwrap_or(now));
        let patience = (self.config.drain_grace - self.config.max_transit) * PATIENCE;
        // Else each moment's few would cost all who wait a message.
        let idle = whole + self.ledger.queued_lines(now) <= self.config.max_queued_lines * MARKED_FROM;
        if !idle && whole > 0.0 && now - since < patience {
            self.held.barring = Some(since);
            self.look();
            return false;
        }
        let unbound = self.proxies_that(|p| !p.bound);
        let room = self.room(now, true, &unbound);
        let n = if clear { self.piece(leaving.len(), room, |n| self.strays_cost(n)) } else { 0 };
        for id in &leaving[..n] {
            let endpoint = self.endpoints.by_id.get_mut(id).expect("a listed server");
            endpoint.mark_ejected();
            self.host.eject_endpoint(id);
        }
        self.tell_strays(now, n);
        self.held.barring = (n < leaving.len()).then_some(since);
        n < leaving.len()
    }

    /// What drains or is gone, is in no table and not withdrawn from all; who left first first.
    fn leaving(&self) -> Vec<EndpointId> {
        let held: BTreeSet<&EndpointId> = self.tbls.values().flat_map(|t| t.lines.keys()).collect();
        let left = self.endpoints.by_id.iter().filter(|(id, s)| s.needs_ejection() && !held.contains(id));
        let mut left: Vec<(Moment, EndpointId)> = left.map(|(id, s)| (s.left, id.clone())).collect();
        left.sort();
        left.into_iter().map(|l| l.1).collect()
    }

    /// The lines and the head that so many withdrawals cost each unbound proxy. A standing table holds few
    /// servers, drawn by chance; one that was laid on an earlier stream as many as ours.
    fn strays(&self, withdrawals: usize) -> impl Iterator<Item = (u32, f64, f64)> + '_ {
        let (each, head) = (
            withdrawals as f64 * CHANCE / self.endpoints.len().max(1) as f64,
            self.config.message_overhead_lines,
        );
        let (drawn, laid) = (f64::from(self.config.initial_table_size), self.lines_most() as f64);
        let lines = move |p: &Proxy| (each * if p.fresh { drawn } else { laid }).min(withdrawals as f64);
        let unbound = self.proxies.iter().filter(move |(_, p)| !p.bound && withdrawals > 0);
        unbound.map(move |(n, p)| (*n, lines(p), head * lines(p).min(1.0)))
    }

    fn strays_cost(&self, withdrawals: usize) -> f64 {
        self.strays(withdrawals).map(|(_, lines, head)| lines + head).sum()
    }

    fn tell_strays(&mut self, now: Moment, withdrawals: usize) {
        for (proxy, lines, head) in self.strays(withdrawals).collect::<Vec<_>>() {
            self.ledger.record(now, proxy, lines, head);
        }
    }

    fn send(&mut self, now: Moment, number: u32, changes: Vec<Change>, all: bool, users: &[u32]) {
        let (mut commands, mut back) = (0, 0);
        let Some(tbl) = self.tbls.get_mut(&number) else { return };
        for Change { id, weight, .. } in changes {
            // One that returns is let back in with its first line, not before: until then it may be cold.
            if let Some(endpoint) = self.endpoints.by_id.get_mut(&id).filter(|s| s.ejected && s.is_ready()) {
                endpoint.mark_restored();
                self.host.restore_endpoint(&id);
                back += 1;
            }
            self.host.set_endpoint_weight(number, &id, weight);
            commands += 1;
            tbl.lines.insert(id, weight);
        }
        tbl.lines.retain(|_, weight| *weight > 0.0);
        for (k, level) in self.admission.levels.iter().copied().enumerate().filter(|_| all) {
            if tbl.levels.insert(k, level) != Some(level) {
                self.host.set_admission(number, 1 << k, level, RETRY_POLICY);
                commands += 1;
            }
        }
        if commands > 0 {
            tbl.sent = now;
            for proxy in users {
                self.ledger.record(now, *proxy, f64::from(commands), self.config.message_overhead_lines);
            }
            self.tell_strays(now, back);
        }
    }

    /// A bind goes out once its table holds a usable server and the channel has room; one never served waits
    /// no longer than a budget. Those with the least to go by come first, then those with most traffic. They
    /// are gathered: what a table keeps at home hangs on all who join in a moment.
    fn bind_waiting(&mut self, now: Moment) {
        let (most, head) = (self.lines_may_wait(false), self.config.message_overhead_lines);
        let waits = self.proxies.iter().filter(|(_, p)| !p.bound);
        let mut queue: Vec<(bool, f64, u32)> = waits.map(|(n, p)| (!p.fresh, -p.rate, *n)).collect();
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, proxy) in queue {
            let Proxy { tbl: number, joined, fresh, .. } = self.proxies[&proxy];
            let (lines, waiting) = (self.tbls[&number].sent_by_a_bind(), self.ledger.queued_lines(now));
            if now - joined < JOINS_GATHERED || waiting > 1.0 && waiting + head + lines > most {
                self.look();
            } else if self.usable(number) || fresh && now - joined >= JOIN_BUDGET {
                self.bind(now, proxy);
            } else if self.held.wakes.insert(Timer::Heartbeat) {
                self.host
                    .schedule_timer(HEARTBEAT_EVERY * (0.8 + 0.4 * self.chance.next_f64()), Timer::Heartbeat);
            }
        }
    }

    fn usable(&self, tbl: u32) -> bool {
        self.tbls[&tbl].lines.keys().any(|id| self.endpoints.is_ready(id))
    }

    fn bind(&mut self, now: Moment, proxy: u32) {
        let bound = self.proxies.get_mut(&proxy).expect("a joined proxy");
        (bound.bound, bound.reached) = (true, true);
        self.host.assign_table(proxy, bound.tbl);
        self.ledger.record(
            now,
            proxy,
            self.tbls[&bound.tbl].sent_by_a_bind(),
            self.config.message_overhead_lines,
        );
    }

    fn in_grace(&self) -> f64 {
        self.config.lines_within_grace().min(self.config.max_queued_lines * MOST_LINES) * FOR_LEAVING
    }

    /// How many lines a table may hold so that, with all proxies here, a part of the fleet can leave while
    /// the same is still on its way.
    fn lines_most(&self) -> usize {
        let ControllerConfig {
            channel_rate,
            max_queued_lines: most_waiting,
            message_overhead_lines: message_head,
            ..
        } = self.config;
        let proxies = f64::from(self.config.proxy_count.max(1));
        let each = (self.in_grace() / 2.0 / proxies - message_head) / LEAVES_AT_ONCE;
        let each = if channel_rate * most_waiting > 0.0 { each } else { f64::INFINITY };
        let conns =
            f64::from(self.config.min_endpoint_connections) * self.endpoints.ready().count() as f64 / proxies;
        let conns = if conns > 0.0 { conns } else { f64::INFINITY };
        each.min(conns).max(f64::from(self.config.initial_table_size.max(1))) as usize
    }

    /// What can wait leaves room for a part of the fleet to leave, within the grace, with all proxies here;
    /// and no more is laid in than keeps the channel busy until answers to marks have come.
    fn lines_may_wait(&self, urgent: bool) -> f64 {
        let most = self.config.max_queued_lines * MOST_LINES;
        let lines = self.lines_most().min(self.endpoints.len()) as f64;
        let kept = f64::from(self.config.proxy_count)
            * (self.config.message_overhead_lines + lines * LEAVES_AT_ONCE);
        if most <= 0.0 || self.config.channel_rate <= 0.0 {
            f64::INFINITY
        } else if urgent {
            most
        } else {
            let busy = (self.config.max_transit * IN_FLIGHT).as_secs() * self.config.channel_rate;
            (self.in_grace() / FOR_LEAVING - kept).min(busy).max(most * ORDINARY_LINES)
        }
    }

    fn proxies_that(&self, which: impl Fn(&Proxy) -> bool) -> Vec<u32> {
        self.proxies.iter().filter(|(_, p)| which(p)).map(|(proxy, _)| *proxy).collect()
    }

    /// The lines that fit for some proxies in all. What can't wait goes at once a few times, then at a pace
    /// that the limit of messages bears for ever.
    fn room(&mut self, now: Moment, urgent: bool, proxies: &[u32]) -> f64 {
        let (over, most) = (self.config.push_window, self.config.max_pushes as usize);
        let pace = over * (1.0 / most.saturating_sub(BURST).max(1) as f64);
        for proxy in proxies.iter().filter(|_| most > 0) {
            let (count, last) = self.ledger.messages(now, *proxy, over);
            let fits = last == Some(now)
                || count == 0
                || !urgent && (count as f64) < most as f64 * ORDINARY_MESSAGES
                || urgent && count < most && (count < BURST || last.is_some_and(|last| now - last >= pace));
            if !fits {
                return 0.0;
            }
        }
        let waiting = self.ledger.queued_lines(now);
        // Whatever the limits, an idle channel takes a line to all.
        let least = proxies.len() as f64
            * (self.config.message_overhead_lines + self.admission.levels.len() as f64 + 1.0);
        (self.lines_may_wait(urgent) - waiting).max(if waiting < 1.0 { least } else { 0.0 })
    }

    pub fn shard_assigned(&mut self, slice: u32) {
        self.slices.insert(slice, Shard::default());
    }

    pub fn shard_weight_restored(&mut self, slice: u32, id: &EndpointId, weight: f64) {
        self.slices.entry(slice).or_default().lines.insert(id.clone(), weight);
    }

    pub fn shard_revoked(&mut self, slice: u32) {
        self.slices.remove(&slice);
    }

    /// A slice stays where it is while a server of its table is usable; else it goes to one drawn by weight.
    fn publish_slices(&mut self, now: Moment) {
        for (id, endpoint) in self.endpoints.by_id.iter_mut().filter(|(_, s)| s.ejected == s.is_ready()) {
            endpoint.ejected = !endpoint.is_ready();
            if endpoint.ejected {
                self.host.eject_endpoint(id);
            } else {
                self.host.restore_endpoint(id);
            }
        }
        let usable = slow_start_weights(
            self.parts(now),
            &FleetCondition::new(&self.config, &self.endpoints, &self.fleet_load),
        );
        let writing = self.config.request_classes.iter().enumerate().filter(|(_, p)| p.writes);
        let writes: RequestClassSet = writing.fold(0, |set, (k, _)| set | 1 << k);
        let in_hand = self.config.max_transit + self.config.lease + self.config.settle_time;
        let (whole, one) = (usable.values().map(|u| u.weight).sum::<f64>(), self.config.single_writer);
        for (&number, slice) in self.slices.iter_mut() {
            if slice.moving.is_none() && slice.lines.keys().any(|id| usable.contains_key(id)) {
                continue;
            }
            let mut drawn = whole * self.chance.next_f64();
            let Some((id, _)) = usable.iter().find(|(_, u)| (drawn -= u.weight, drawn < 0.0).1) else {
                continue;
            };
            if one && !slice.lines.is_empty() {
                // Rule 2: writes stop, and those in hand or still sent on a lease end, before another owns.
                let since = *slice.moving.get_or_insert(now);
                if since == now {
                    self.host.set_admission(number, writes, 0.0, RETRY_POLICY);
                }
                if now - since < in_hand * 1.5 {
                    continue;
                }
                slice.moving = None;
                self.host.set_admission(number, writes, 1.0, RETRY_POLICY);
            }
            for old in std::mem::take(&mut slice.lines).into_keys().filter(|_| !one) {
                self.host.set_endpoint_weight(number, &old, 0.0);
            }
            self.host.set_endpoint_weight(number, id, 1.0);
            slice.lines.insert(id.clone(), 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
