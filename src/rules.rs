//! All decisions of a supervisor. The host calls one method for each thing that happens (`list_whole`,
//! `proxy_joined`, `met`, `woke` ...), each with the present moment; the rules act at once by calling the
//! `Host` they were given at start (`host.rs`). What is read at start is a `Charter` (`charter.rs`).
//!
//! The ordinary path is that of docs/design.md: few shared tables of all listed servers at listed weight,
//! published every turn, only changes sent. Below it stand the exceptions and a guard for each rule.

use crate::chance::Chance;
use crate::charter::{Admission, Charter, Repeat};
use crate::histogram::Histogram;
use crate::host::{Host, Id, Listing, Load, Products, Retry, Standing};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TURN: u64 = 1;
const HEARTBEAT: u64 = 2;
const SUBSCRIBE: u64 = 3;
const URGENT: u64 = 4;

/// Changed lines are gathered for so long; list changes that can't wait are not.
const GATHER: Span = Span::from_us(1_000_000);
const HEARTBEAT_EVERY: Span = Span::from_us(3_000_000);
const JOINS_GATHERED: Span = Span::from_us(150_000);
const JOIN_BUDGET: Span = Span::from_us(5_000_000);
const SUBSCRIBE_AGAIN: Span = Span::from_us(700_000);
const URGENT_AGAIN: Span = Span::from_us(150_000);

/// A new server starts at this part of its weight; a line is sent again when its weight is off by `STEP`.
const RAMP_FROM: f64 = 0.1;
const STEP: f64 = 1.25;
const FAR_STEP: f64 = 1.5;

/// The most of a zone's traffic that is kept at home where crossing costs.
const STAY: f64 = 0.9;
/// How much more the warm servers of a table may get so that the cold ones get less.
const WARM_BEARS: f64 = 1.25;
const STAMPEDE: f64 = 0.7;
const CALM: f64 = 0.85;
const UNEASY: f64 = 0.2;
const FULL: [f64; 2] = [0.75, 0.9];
const MOSTLY_FULL: f64 = 0.6;
const PROBE_ONE_IN: u64 = 2;

/// Shares of the waiting-lines and messages budgets that ordinary changes may use; the rest is the reserve.
const ORDINARY_LINES: f64 = 0.4;
const ORDINARY_MESSAGES: f64 = 0.5;
/// A channel may be slower than stated, and nobody says so: its pace is taken as this share.
const PACE_TRUSTED: f64 = 0.15;

/// Parts of its listed weight that a troubled server is left with, and what each band of outcomes hurts.
const RUNGS: [f64; 6] = [1.0, 0.75, 0.55, 0.35, 0.15, 0.04];
const HURT: [f64; 5] = [0.0, 0.0, 0.3, 1.0, 1.0];
const VOIDED: usize = 4;
const ENOUGH: f64 = 6.0;
const STANDS_OUT: f64 = 0.2;
const HOPELESS: f64 = 0.7;
const AT_PAR: f64 = 0.08;
const REST: Span = Span::from_us(4_000_000);
const MOST_HELD_BACK: f64 = 0.35;
const REPORT_LAG: Span = Span::from_us(1_500_000);

/// Levels: all servers hurting together is load, not health.
const OVERLOADED: f64 = 0.25;
const RELIEVED: f64 = 0.1;
const LEVEL_FLOOR: f64 = 0.1;
const SAFE_SHARE: f64 = 0.9;
const RELIEF: f64 = 1.08;

struct Server {
    zone: u32,
    weight: f64,
    standing: Standing,
    started: Option<Moment>,
    heard: Option<Moment>,
    out: bool,
    tally: Histogram<5>,
    rung: usize,
    strikes: u32,
    judged: Moment,
}

struct Tbl {
    zone: Option<u32>,
    own_zone: bool,
    products: Products,
    lines: BTreeMap<Id, f64>,
    afar: f64,
    carried: Option<Moment>,
    levels: Vec<(Products, f64, Retry)>,
}

struct Part {
    id: Id,
    zone: u32,
    weight: f64,
    warmth: f64,
}

struct Proxy {
    zone: u32,
    joined: Moment,
    fresh: bool,
    bound: BTreeSet<u32>,
    sent: VecDeque<Moment>,
}

struct Slice {
    lines: BTreeMap<Id, f64>,
    moving: Option<(Moment, Id)>,
}

pub struct Rules<H: Host> {
    host: H,
    charter: Charter,
    chance: Chance,
    servers: BTreeMap<Id, Server>,
    tbls: BTreeMap<u32, Tbl>,
    proxies: BTreeMap<u32, Proxy>,
    served: BTreeSet<u32>,
    usual: BTreeMap<u32, (u32, f64)>,
    slices: BTreeMap<u32, Slice>,
    levels: Vec<f64>,
    asked: Vec<f64>,
    answered: f64,
    tries: f64,
    seen: Span,
    budget: Option<f64>,
    middle: f64,
    struggling: bool,
    peak: f64,
    busy: Histogram<3>,
    round: u64,
    shed_at: Moment,
    waiting: (f64, Moment),
    gathered: Moment,
    halved: Moment,
    following: bool,
    heartbeat_set: bool,
}

impl<H: Host> Rules<H> {
    pub fn open(host: H, charter: Charter, seed: u64, now: Moment) -> Self {
        let levels = vec![1.0; charter.products.len()];
        let mut rules = Rules {
            host,
            chance: Chance::new(seed),
            servers: BTreeMap::new(),
            tbls: BTreeMap::new(),
            proxies: BTreeMap::new(),
            served: BTreeSet::new(),
            usual: BTreeMap::new(),
            slices: BTreeMap::new(),
            levels,
            asked: vec![0.0; charter.products.len()],
            answered: 0.0,
            tries: 0.0,
            seen: Span::ZERO,
            budget: None,
            middle: 0.0,
            struggling: false,
            peak: 0.0,
            busy: Histogram::default(),
            round: 0,
            shed_at: now,
            waiting: (0.0, now),
            gathered: now,
            halved: now,
            following: false,
            heartbeat_set: false,
            charter,
        };
        rules.subscribe();
        rules.host.wake(GATHER, TURN);
        rules
    }

    /// The host, for those who hold it on the rules' behalf.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    // ---- the list ----

    pub fn list_whole(&mut self, now: Moment, listings: &[Listing]) {
        let listed: BTreeSet<&Id> = listings.iter().map(|l| &l.id).collect();
        for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            server.standing = Standing::Gone;
        }
        self.list_changed(now, listings);
    }

    /// After a start: the list as it was last held, perhaps stale.
    pub fn list_remembered(&mut self, now: Moment, listings: &[Listing]) {
        let following = self.following;
        self.list_whole(now, listings);
        self.following = following;
    }

    pub fn list_changed(&mut self, now: Moment, listings: &[Listing]) {
        self.following = self.charter.list_on_request;
        for l in listings {
            let server = self.servers.entry(l.id.clone()).or_insert(Server {
                zone: l.zone,
                weight: 0.0,
                standing: Standing::Gone,
                started: None,
                heard: None,
                out: false,
                tally: Histogram::default(),
                rung: 0,
                strikes: 0,
                judged: now,
            });
            if l.started > server.started {
                server.tally = Histogram::default();
                (server.rung, server.strikes, server.judged) = (0, 0, now);
            }
            server.zone = l.zone;
            server.weight = if l.weight.is_finite() { l.weight.max(0.01) } else { 0.01 };
            server.standing = l.standing;
            server.started = l.started.max(server.started);
        }
        self.peak = self.peak.max(self.ready_weight());
        self.publish(now);
    }

    fn ready_weight(&self) -> f64 {
        self.servers.values().filter(|s| s.standing == Standing::Ready).map(|s| s.weight).sum()
    }

    /// A call to the list failed or the subscription dropped: what is known stays, and it is asked again.
    pub fn list_failed(&mut self, _now: Moment) {
        self.following = false;
        let again = SUBSCRIBE_AGAIN * (0.5 + self.chance.unit());
        self.host.wake(again, SUBSCRIBE);
    }

    fn subscribe(&mut self) {
        if self.charter.list_on_request && !self.following {
            self.host.follow_list();
        }
    }

    // ---- proxies ----

    pub fn proxy_joined(&mut self, now: Moment, proxy: u32, zone: u32, rate: f64, fresh: bool) {
        let fresh = fresh && !self.served.contains(&proxy);
        let joined = Proxy { zone, joined: now, fresh, bound: BTreeSet::new(), sent: VecDeque::new() };
        self.proxies.insert(proxy, joined);
        self.usual.insert(proxy, (zone, rate));
        self.tbls_of(zone)
            .into_iter()
            .for_each(|(number, home, own_zone)| self.lay(now, number, home, own_zone));
        if self.usable(self.tbls_of(zone)[0].0) {
            self.bind_waiting(now);
        } else {
            // Many join within a moment, and what a zone keeps at home depends on all of them.
            self.host.wake(JOINS_GATHERED, URGENT);
        }
        if self.proxies[&proxy].bound.is_empty() {
            // Rule 3 against tables we did not write: one that stays on its own needs the withdrawals too.
            let out: Vec<Id> = self.servers.iter().filter(|(_, s)| s.out).map(|(id, _)| id.clone()).collect();
            out.iter().for_each(|id| self.host.withdraw(id, true));
            self.count(now, out.len() as f64);
        }
    }

    pub fn proxy_left(&mut self, _now: Moment, proxy: u32) {
        self.proxies.remove(&proxy);
    }

    // ---- what is met, asked for and probed ----

    #[allow(clippy::too_many_arguments)]
    pub fn met(&mut self, now: Moment, id: &str, _zone: u32, tries: f64, bad: f64, took: Span, _load: &Load) {
        let sla = self.charter.products.iter().map(|p| p.sla).min().unwrap_or(Span::secs(1.0));
        let Some(server) = self.servers.get_mut(id) else { return };
        self.answered += (tries - bad).max(0.0);
        self.tries += tries;
        if bad < tries {
            server.heard = Some(now);
        }
        if now - server.judged < REPORT_LAG + self.charter.report_every && server.rung != 0 {
            return;
        }
        let band = if took < sla * 0.4 {
            0
        } else if took < sla * 0.6 {
            1
        } else if took < sla {
            2
        } else {
            3
        };
        server.tally.add(VOIDED, bad);
        server.tally.add(band, (tries - bad).max(0.0));
    }

    pub fn asked(&mut self, product: u32, txns: f64) {
        if let Some(asked) = self.asked.get_mut(product as usize) {
            *asked += txns;
        }
    }

    pub fn probed(&mut self, now: Moment, id: &str, answered: bool, load: &Load) {
        if let Some(server) = self.servers.get_mut(id).filter(|_| answered) {
            server.heard = Some(now);
        }
        if let Some(busy) = load.busy {
            self.busy.add(FULL.iter().filter(|edge| busy >= **edge).count(), 1.0);
        }
    }

    /// What proxies met comes seconds late, too late for a cold server among proxies that shun: while one
    /// is to be eased in, some of the fleet is asked how busy it is.
    fn probe_some(&mut self, now: Moment) {
        self.round += 1;
        let ready = || self.servers.iter().filter(|(_, s)| s.standing == Standing::Ready);
        if self.charter.shuns_after > 0
            && self.charter.busy_by_probe
            && ready().any(|(_, s)| self.warmth(now, s) < 1.0)
        {
            let some = ready().enumerate().filter(|(k, _)| (*k as u64 + self.round) % PROBE_ONE_IN == 0);
            some.for_each(|(_, (id, _))| self.host.probe(id));
        }
    }

    // ---- slices ----

    pub fn slice_given(&mut self, _now: Moment, slice: u32) {
        self.slices.insert(slice, Slice { lines: BTreeMap::new(), moving: None });
    }

    pub fn slice_line(&mut self, _now: Moment, slice: u32, id: &str, weight: f64) {
        if let Some(held) = self.slices.get_mut(&slice) {
            held.lines.insert(Id::from(id), weight);
        }
    }

    pub fn slice_taken(&mut self, _now: Moment, slice: u32) {
        self.slices.remove(&slice);
    }

    // ---- time ----

    pub fn woke(&mut self, now: Moment, label: u64) {
        match label {
            TURN => {
                self.seen = self.seen + GATHER;
                self.probe_some(now);
                self.judge(now);
                self.shed(now);
                self.publish(now);
                self.bind_waiting(now);
                self.host.wake(GATHER, TURN);
            }
            HEARTBEAT => {
                self.heartbeat_set = false;
                self.publish(now);
                self.bind_waiting(now);
            }
            SUBSCRIBE => self.subscribe(),
            _ => {
                self.publish(now);
                self.bind_waiting(now);
            }
        }
    }

    // ---- tables ----

    fn products(&self, which: impl Fn(bool) -> bool) -> Products {
        let rows = self.charter.products.iter().enumerate();
        rows.filter(|(_, p)| which(p.own_zone)).fold(0, |set, (k, _)| set | 1 << k)
    }

    fn lay(&mut self, now: Moment, number: u32, zone: Option<u32>, own_zone: bool) {
        let products = self.products(|own| own == own_zone);
        if self.tbls.contains_key(&number) || products == 0 || self.charter.slices > 0 {
            return;
        }
        let (lines, levels) = (BTreeMap::new(), Vec::new());
        let tbl = Tbl { zone, own_zone, products, lines, afar: 1.0, carried: None, levels };
        self.tbls.insert(number, tbl);
        self.order_levels(now, number);
    }

    /// The tables that a zone's proxies use: one for all zones unless crossing costs, and a further one
    /// where a product must stay in its zone.
    fn tbls_of(&self, zone: u32) -> [(u32, Option<u32>, bool); 2] {
        let shared =
            if self.charter.crossing_costs { (2 + 2 * zone, Some(zone), false) } else { (0, None, false) };
        [shared, (3 + 2 * zone, Some(zone), true)]
    }

    /// Rule 2: a further try after one that may have run only where the product allows the repeat.
    fn retry_for(&self, product: usize) -> Retry {
        match self.charter.products[product].repeat {
            Repeat::InquiryLike => Retry::IfNeverRan,
            Repeat::Referenced { all_servers: true, window } => {
                let longest = self.charter.products[product].sla * (self.charter.try_factor + 0.5);
                if longest < window {
                    Retry::IfNeverRan
                } else {
                    Retry::IfNeverRan
                }
            }
            Repeat::Referenced { .. } | Repeat::OnceOnly => Retry::IfNeverRan,
        }
    }

    fn order_levels(&mut self, now: Moment, number: u32) {
        for k in 0..self.charter.products.len() {
            // Each try that a full server turns away comes back at another: no help when most are full.
            let retry = if self.struggling { Retry::Never } else { self.retry_for(k) };
            let Some(tbl) = self.tbls.get_mut(&number).filter(|t| t.products & (1 << k) != 0) else {
                continue;
            };
            let level = match self.charter.admission {
                Admission::Share => self.levels[k],
                Admission::PerSecond => 1e6,
                Admission::Ignored => 1.0,
            };
            let standing = (1 << k, level, retry);
            if !tbl.levels.contains(&standing) {
                tbl.levels.retain(|l| l.0 != 1 << k);
                tbl.levels.push(standing);
                self.host.level(number, 1 << k, level, retry);
                self.count_for(now, number, 1.0);
            }
        }
    }

    /// Rule 4: no server gets more of its weight than the slowest warm-up allows at its age.
    fn warmth(&self, now: Moment, server: &Server) -> f64 {
        let age = server.started.map_or(self.charter.cold_for, |started| now - started);
        if self.charter.cold_for <= Span::ZERO || age >= self.charter.cold_for {
            return 1.0;
        }
        RAMP_FROM + (1.0 - RAMP_FROM) * (age.as_secs() / self.charter.cold_for.as_secs()).clamp(0.0, 1.0)
    }

    /// Each ready server's weight, held back while troubled, and how far it has warmed.
    fn parts(&self, now: Moment) -> Vec<Part> {
        let ready = self.servers.iter().filter(|(_, s)| s.standing == Standing::Ready);
        ready
            .map(|(id, s)| Part {
                id: id.clone(),
                zone: s.zone,
                weight: s.weight * RUNGS[s.rung],
                warmth: self.warmth(now, s),
            })
            .collect()
    }

    /// What a table should hold: its listed servers, eased in while cold, held back while troubled.
    fn wanted(&self, now: Moment, zone: Option<u32>, own_zone: bool, afar: f64) -> BTreeMap<Id, f64> {
        let mut parts = self.parts(now);
        parts.retain(|p| !own_zone || zone == Some(p.zone));
        parts.iter_mut().filter(|p| zone.is_some_and(|home| p.zone != home)).for_each(|p| p.weight *= afar);
        // A fleet that has shrunk, or turns most tries away and sees them again, brings a cold server more
        // than its weight says: cold lines are cut by as much, but never so far that the warm ones pay for it.
        let (mut cold, mut warm) = (0.0, 0.0);
        parts
            .iter()
            .for_each(|p| *(if p.warmth < 1.0 { &mut cold } else { &mut warm }) += p.weight * p.warmth);
        let crowded = (self.ready_weight() / self.peak.max(1e-9)) * (self.answered / self.tries.max(1.0));
        let least = if cold > 0.0 { ((cold + warm) / WARM_BEARS - warm) / cold } else { 1.0 };
        let cut = crowded.max(least).clamp(0.05, 1.0);
        let ease = |part: f64| if part < 1.0 { part * cut } else { part };
        // Proxies that shun by themselves leave a struggling fleet for whatever they have not tried yet: then
        // no weight is small enough, and cold servers stay out until the fleet answers or they are warm.
        let full =
            self.busy.mean_of([0.0, 0.0, 1.0]).map_or(self.charter.busy_by_probe, |full| full > MOSTLY_FULL);
        let stampede = self.charter.shuns_after > 0 && (self.struggling || full) && warm > 0.0;
        let kept = parts.into_iter().filter(|p| p.warmth >= 1.0 || !stampede);
        kept.map(|p| (p.id, p.weight * ease(p.warmth))).collect()
    }

    /// Where crossing zones costs, servers of other zones get this part of their weight: no more than it
    /// takes to carry what the zone's usual traffic has over its servers' part of the fleet.
    fn afar(&self, now: Moment, home: u32) -> f64 {
        let parts = self.parts(now);
        let sum = |which: &dyn Fn(u32) -> bool| -> f64 {
            parts.iter().filter(|p| which(p.zone)).map(|p| p.weight * p.warmth * p.warmth).sum()
        };
        let (here, there) = (sum(&|zone| zone == home), sum(&|zone| zone != home));
        let known: BTreeSet<u32> = self.usual.values().map(|u| u.0).collect();
        let known_weight = sum(&|zone| known.contains(&zone));
        let rate: f64 = self.usual.values().map(|u| u.1).sum();
        let home_rate: f64 = self.usual.values().filter(|u| u.0 == home).map(|u| u.1).sum();
        if here <= 0.0 || there <= 0.0 || home_rate <= 0.0 {
            return 1.0;
        }
        let due = home_rate / rate * known_weight;
        let stay = (here / due * STAY).clamp(0.0, STAY);
        (here * (1.0 - stay) / (stay * there)).clamp(0.01, 1.0)
    }

    /// One turn: drains and first usable lines at once, all else gathered and within the budgets.
    fn publish(&mut self, now: Moment) {
        if self.charter.slices > 0 {
            return self.publish_slices(now);
        }
        let numbers: Vec<u32> = self.tbls.keys().copied().collect();
        let gathered = now - self.gathered >= GATHER;
        for number in numbers {
            let tbl = &self.tbls[&number];
            // Moved in coarse steps only, or each held-back server would move every line of other zones.
            let afar = tbl.zone.map_or(1.0, |home| self.afar(now, home));
            let afar = if (afar / tbl.afar).max(tbl.afar / afar) > FAR_STEP { afar } else { tbl.afar };
            let wanted = self.wanted(now, tbl.zone, tbl.own_zone, afar);
            self.tbls.get_mut(&number).expect("the table was laid").afar = afar;
            if self.carry(now, number, wanted.is_empty()) {
                continue;
            }
            let tbl = &self.tbls[&number];
            let bare = !tbl.lines.is_empty() && !tbl.lines.keys().any(|id| wanted.contains_key(id));
            let (mut urgent, mut ordinary) = (Vec::new(), Vec::new());
            for id in tbl.lines.keys().filter(|id| !wanted.contains_key(*id)) {
                urgent.push((id.clone(), 0.0));
            }
            for (id, &weight) in &wanted {
                let listed = self.servers[id].weight.max(0.01);
                let stands = tbl.lines.get(id).copied();
                let settled = stands.is_some_and(|s| (s - weight).abs() < 0.02 * listed);
                if settled {
                    continue;
                }
                let step = stands.is_none_or(|s| (s / weight).max(weight / s) > STEP);
                let fresh_start = stands.is_some_and(|s| s > 2.0 * weight) && self.servers[id].rung == 0;
                if bare || fresh_start {
                    urgent.push((id.clone(), weight));
                } else if step || weight >= listed * RUNGS[self.servers[id].rung] * 0.99 {
                    ordinary.push((id.clone(), weight));
                }
            }
            let may_wait = urgent.is_empty();
            let unused = !self.proxies.values().any(|p| p.bound.contains(&number));
            if may_wait && !unused && !(gathered && self.room(now, number, ordinary.len(), true)) {
                continue;
            }
            if !may_wait && !self.room(now, number, urgent.len(), false) {
                self.host.wake(URGENT_AGAIN, URGENT);
                continue;
            }
            urgent.append(&mut ordinary);
            if urgent.is_empty() {
                continue;
            }
            if !unused {
                self.gathered = now;
            }
            self.send(now, number, urgent);
        }
        self.withdrawals(now);
    }

    fn send(&mut self, now: Moment, number: u32, lines: Vec<(Id, f64)>) {
        for (id, weight) in &lines {
            let server = self.servers.get_mut(id).expect("a line's server has been listed");
            if *weight > 0.0 && server.out {
                server.out = false;
                self.host.withdraw(id, false);
            }
            self.host.line(number, id, *weight);
            let tbl = self.tbls.get_mut(&number).expect("the table was laid");
            if *weight > 0.0 {
                tbl.lines.insert(id.clone(), *weight);
            } else {
                tbl.lines.remove(id);
            }
        }
        self.count_for(now, number, lines.len() as f64);
    }

    /// Rule 3: what drains or is gone is barred whatever tables joined proxies hold.
    fn withdrawals(&mut self, now: Moment) {
        let carried: BTreeSet<Id> = self
            .tbls
            .values()
            .filter(|t| t.carried.is_some())
            .flat_map(|t| t.lines.keys().cloned())
            .collect();
        let mut orders = 0.0;
        for (id, server) in self.servers.iter_mut() {
            let leave = server.standing != Standing::Ready && !carried.contains(id);
            if leave && !server.out {
                server.out = true;
                self.host.withdraw(id, true);
                orders += 1.0;
            } else if server.out && server.standing == Standing::Ready {
                server.out = false;
                self.host.withdraw(id, false);
                orders += 1.0;
            }
        }
        if orders > 0.0 {
            self.count(now, orders);
        }
    }

    /// A table that lost every server while some still report is carried for one heartbeat, or for as long
    /// as rule 3 allows: a list that dropped them all is more often wrong than right.
    fn carry(&mut self, now: Moment, number: u32, empty: bool) -> bool {
        let tbl = self.tbls.get_mut(&number).expect("the table was laid");
        let lately = |id: &Id| {
            let server = self.servers.get(id);
            server.is_some_and(|s| {
                s.standing == Standing::Gone && s.heard.is_some_and(|h| now - h < HEARTBEAT_EVERY)
            })
        };
        if !empty || tbl.lines.is_empty() {
            tbl.carried = None;
            return false;
        }
        let spare = self.charter.drain_grace * 0.6 + self.charter.way_most * -1.0;
        let spell = if self.charter.only_drains_bind { HEARTBEAT_EVERY } else { HEARTBEAT_EVERY.min(spare) };
        match tbl.carried {
            None if tbl.lines.keys().any(lately) && spell > Span::ZERO => {
                tbl.carried = Some(now);
                self.host.wake(spell, URGENT);
                true
            }
            Some(since) if now - since < spell => true,
            _ => {
                tbl.carried = None;
                false
            }
        }
    }

    // ---- binds ----

    fn usable(&self, number: u32) -> bool {
        let ready = |id: &Id| self.servers.get(id).is_some_and(|s| s.standing == Standing::Ready);
        self.tbls.get(&number).is_some_and(|t| t.lines.keys().any(ready))
    }

    /// Binds go out once their table holds a usable server; the old ones stand meanwhile.
    fn bind_waiting(&mut self, now: Moment) {
        if self.charter.slices > 0 {
            return;
        }
        let mut held = false;
        let waiting: Vec<u32> = self.proxies.keys().copied().collect();
        for proxy in waiting {
            let p = &self.proxies[&proxy];
            let missing: Vec<u32> = self
                .tbls_of(p.zone)
                .iter()
                .map(|t| t.0)
                .filter(|t| self.tbls.contains_key(t) && !p.bound.contains(t))
                .collect();
            let usable: Vec<u32> = missing.iter().copied().filter(|t| self.usable(*t)).collect();
            let partial = usable.len() < missing.len();
            let may_go = !partial || p.fresh && now - p.joined >= JOIN_BUDGET;
            for number in usable.into_iter().filter(|_| may_go) {
                let lines = self.tbls[&number].lines.len() + self.charter.products.len() + 1;
                let out = self.servers.values().filter(|s| s.out).count();
                self.host.bind(proxy, number, self.tbls[&number].products);
                self.proxies.get_mut(&proxy).expect("just read").bound.insert(number);
                self.served.insert(proxy);
                self.message(now, proxy, (lines + out) as f64);
            }
            held |= partial;
        }
        if held && !self.heartbeat_set {
            self.heartbeat_set = true;
            let jitter = 0.8 + 0.4 * self.chance.unit();
            self.host.wake(HEARTBEAT_EVERY * jitter, HEARTBEAT);
        }
    }

    // ---- rule 5: the budgets ----

    fn waiting(&self, now: Moment) -> f64 {
        let drained = (now - self.waiting.1).as_secs() * self.charter.channel_rate * PACE_TRUSTED;
        (self.waiting.0 - drained).max(0.0)
    }

    /// Whether one more message of so many lines to each proxy fits. Ordinary ones leave a reserve.
    fn room(&mut self, now: Moment, number: u32, lines: usize, ordinary: bool) -> bool {
        let over = self.charter.messages_over;
        let most = f64::from(self.charter.messages_most);
        let (line_part, message_part) =
            if ordinary { (ORDINARY_LINES, ORDINARY_MESSAGES) } else { (0.95, 1.0) };
        let mut users = 0.0;
        for p in self.proxies.values_mut().filter(|p| !ordinary || p.bound.contains(&number)) {
            users += 1.0;
            while p.sent.front().is_some_and(|first| now - *first > over) {
                p.sent.pop_front();
            }
            let together = p.sent.back() == Some(&now);
            if most > 0.0 && !together && p.sent.len() as f64 + 1.0 > (most * message_part).max(1.0) {
                return false;
            }
        }
        let cost = users * (self.charter.message_head + lines as f64);
        self.waiting(now) + cost <= self.charter.most_waiting * line_part || self.charter.most_waiting <= 0.0
    }

    fn message(&mut self, now: Moment, proxy: u32, lines: f64) {
        let head = self.charter.message_head;
        let mut waiting = self.waiting(now) + lines;
        if let Some(p) = self.proxies.get_mut(&proxy).filter(|p| p.sent.back() != Some(&now)) {
            p.sent.push_back(now);
            waiting += head;
        }
        self.waiting = (waiting, now);
    }

    fn count_for(&mut self, now: Moment, number: u32, lines: f64) {
        let users: Vec<u32> =
            self.proxies.iter().filter(|(_, p)| p.bound.contains(&number)).map(|(n, _)| *n).collect();
        users.into_iter().for_each(|proxy| self.message(now, proxy, lines));
    }

    fn count(&mut self, now: Moment, lines: f64) {
        let proxies: Vec<u32> = self.proxies.keys().copied().collect();
        proxies.into_iter().for_each(|proxy| self.message(now, proxy, lines));
    }

    // ---- health and levels ----

    fn judge(&mut self, now: Moment) {
        let ready = || self.servers.iter().filter(|(_, s)| s.standing == Standing::Ready);
        let mut fleet = Histogram::<5>::default();
        ready().for_each(|(_, s)| fleet.merge(&s.tally));
        let whole: f64 = ready().map(|(_, s)| s.weight).sum();
        let mut held_back: f64 = ready().map(|(_, s)| s.weight * (1.0 - RUNGS[s.rung])).sum();
        let mut worst: Vec<(f64, Id)> =
            ready().map(|(id, s)| (s.tally.mean_of(HURT).unwrap_or(0.0), id.clone())).collect();
        worst.sort_by(|a, b| b.0.total_cmp(&a.0));
        let par = fleet.mean_of(HURT).unwrap_or(0.0);
        let known: Vec<f64> =
            worst.iter().filter(|w| self.servers[&w.1].tally.total() >= ENOUGH).map(|w| w.0).collect();
        self.middle = known.get(known.len() / 2).copied().unwrap_or(0.0);
        let answers = if self.tries > ENOUGH { self.answered / self.tries } else { 1.0 };
        self.struggling = if self.struggling {
            answers < CALM || self.middle > 0.15
        } else {
            answers < STAMPEDE || self.middle > UNEASY
        };
        for (hurt, id) in worst {
            let server = self.servers.get_mut(&id).expect("just read");
            let heard = server.tally.total() >= ENOUGH;
            if heard && hurt > par + STANDS_OUT && server.rung + 1 < RUNGS.len() {
                let to =
                    if hurt >= HOPELESS { (server.rung + 3).min(RUNGS.len() - 1) } else { server.rung + 1 };
                let cost = server.weight * (RUNGS[server.rung] - RUNGS[to]);
                if held_back + cost <= whole * MOST_HELD_BACK {
                    held_back += cost;
                    server.rung = to;
                    server.strikes = (server.strikes + 1).min(3);
                    server.judged = now;
                    server.tally = Histogram::default();
                }
            } else if server.rung > 0
                && now - server.judged > REST * f64::from(server.strikes)
                && (!heard || hurt <= par + AT_PAR)
            {
                server.rung -= 1;
                server.judged = now;
                server.tally = Histogram::default();
                if server.rung == 0 {
                    server.strikes = 0;
                }
            }
        }
        if now - self.halved >= Span::secs(1.0) {
            self.halved = now;
            self.servers.values_mut().for_each(|s| s.tally.halve());
            self.busy.halve();
            self.asked.iter_mut().for_each(|a| *a /= 2.0);
            (self.answered, self.tries, self.seen) = (self.answered / 2.0, self.tries / 2.0, self.seen * 0.5);
        }
    }

    /// Overload: when most of the fleet hurts at once, no table helps, so no more is let in than the fleet
    /// answers, the products of most revenue first; let go step by step once the middle server is well.
    fn shed(&mut self, now: Moment) {
        let middle = self.middle;
        let (answered, asked) =
            (self.answered / self.seen.as_secs(), self.asked.iter().sum::<f64>() / self.seen.as_secs());
        if middle > OVERLOADED || self.answered < STAMPEDE * self.tries {
            if now - self.shed_at >= REPORT_LAG + self.charter.report_every {
                self.budget = Some(answered * SAFE_SHARE);
                self.shed_at = now;
            }
        } else if let Some(budget) = self.budget.filter(|_| middle < RELIEVED) {
            self.budget = Some(budget * RELIEF).filter(|b| *b < asked * 1.2);
        }
        let mut left = self.budget.unwrap_or(f64::INFINITY);
        let mut order: Vec<usize> = (0..self.levels.len()).collect();
        let revenue = |k: &usize| self.charter.products[*k].revenue;
        order.sort_by(|a, b| revenue(b).total_cmp(&revenue(a)));
        for k in order {
            let asked = (self.asked[k] / self.seen.as_secs()).max(1e-9);
            let level = (left / asked).clamp(LEVEL_FLOOR, 1.0);
            left = (left - level * asked).max(0.0);
            if (level - self.levels[k]).abs() > 0.05 || level >= 1.0 {
                self.levels[k] = level;
            }
        }
        let numbers: Vec<u32> = self.tbls.keys().copied().collect();
        for number in numbers {
            if self.room(now, number, self.levels.len(), true) {
                self.order_levels(now, number);
            }
        }
    }

    // ---- slices: a table each, kept where it is while its server is usable ----

    fn publish_slices(&mut self, now: Moment) {
        self.withdrawals(now);
        let wanted = self.wanted(now, None, false, 1.0);
        let mut held: BTreeMap<Id, f64> = wanted.keys().map(|id| (id.clone(), 0.0)).collect();
        for slice in self.slices.values() {
            slice.lines.keys().for_each(|id| *held.entry(id.clone()).or_default() += 1.0);
        }
        let writes = self
            .charter
            .products
            .iter()
            .enumerate()
            .filter(|(_, p)| p.writes)
            .fold(0, |set, (k, _)| set | 1 << k);
        let handover = self.charter.way_most + self.charter.way + self.charter.lease + self.charter.settle;
        for (number, slice) in self.slices.iter_mut() {
            if slice.lines.keys().any(|id| wanted.contains_key(id)) && slice.moving.is_none() {
                continue;
            }
            let lightest = wanted.iter().min_by(|a, b| (held[a.0] / a.1).total_cmp(&(held[b.0] / b.1)));
            let Some((id, _)) = lightest else { continue };
            if self.charter.single_writer && !slice.lines.is_empty() {
                // Rule 2: writes stop, and what is in hand or still sent on a lease ends, before another owns.
                match slice.moving.clone() {
                    None => {
                        slice.moving = Some((now, id.clone()));
                        self.host.level(*number, writes, 0.0, Retry::IfNeverRan);
                        continue;
                    }
                    Some((since, _)) if now - since < handover * 1.5 => continue,
                    Some(_) => {
                        slice.moving = None;
                        self.host.level(*number, writes, 1.0, Retry::IfNeverRan);
                    }
                }
            }
            for old in std::mem::take(&mut slice.lines).into_keys().filter(|_| !self.charter.single_writer) {
                self.host.line(*number, &old, 0.0);
            }
            self.host.line(*number, id, 1.0);
            *held.entry(id.clone()).or_default() += 1.0;
            slice.lines.insert(id.clone(), 1.0);
        }
    }
}
