//! All decisions of a supervisor, its tables and its tuned values. The host calls one method for each thing
//! that happens (`list_changed`, `proxy_joined`, `met`, `woke` ...) with the present moment; the rules act
//! at once through the `Host` handed to them by `open`: that interface is `host.rs`, what is read at start is
//! `charter.rs`. Calls never nest, and a moment's orders travel together.
//!
//! The ordinary path is that of docs/design.md: few shared tables of all listed servers at listed weight,
//! looked at every turn, only changes sent. `publish` is the one place where they go out. The guards: rule 1
//! `wanted` and `bind_waiting`, rule 2 `RETRY` and `publish_slices`, rule 3 `leaving` in `publish`, rule 4
//! `warmth` and `eased`, rule 5 `room`.

use crate::chance::Chance;
use crate::charter::{Admission, Charter, Product};
use crate::histogram::Histogram;
use crate::host::{Host, Id, Listing, Products, Retry, Standing};
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TURN: u64 = 1;
const HEARTBEAT: u64 = 2;
const SUBSCRIBE: u64 = 3;
const AGAIN: u64 = 4;

/// The design's open values: the gathering of changes, the heartbeat, the budget of a first join.
const GATHER: Span = Span::from_us(1_000_000);
const HEARTBEAT_EVERY: Span = Span::from_us(3_000_000);
const JOIN_BUDGET: Span = Span::from_us(5_000_000);
const JOINS_GATHERED: Span = Span::from_us(150_000);
const SUBSCRIBE_AGAIN: Span = Span::from_us(700_000);
const URGENT_AGAIN: Span = Span::from_us(150_000);

/// New servers start at `RAMP_FROM` of their weight; a warming line is sent when it is off by `STEP`.
const RAMP_FROM: f64 = 0.1;
/// A storm finds a cold server with any spare it was given: the ramp stays under an even warm-up.
const RAMP_BEND: f64 = 1.3;
const STEP: f64 = 1.25;
/// How much more a table's warm servers may get so that its cold ones get less.
const WARM_BEARS: f64 = 2.0;
/// Under this part of its weight a new server stays out of a struggling fleet whose proxies shun.
const YOUNG: f64 = 0.35;

/// Where crossing zones costs: the most that stays at home, and how far off the rest may stand.
const STAY: f64 = 0.9;
const FAR_STEP: f64 = 1.5;

/// Rule 2: proxies repeat nothing on our orders, so no product's window or group can be missed. What a full
/// server turns away came back at the next one, and a zone that had just become full drowned in it.
const RETRY: Retry = Retry::Never;

/// Parts of the waiting lines and messages that ordinary changes may use; messages kept back for drains; the
/// part of its stated pace that a channel is trusted with, for it may be slower and nobody says so.
const ORDINARY_LINES: f64 = 0.4;
const URGENT_LINES: f64 = 0.95;
const ORDINARY_MESSAGES: f64 = 0.5;
const BURST: usize = 3;
const PACE_TRUSTED: f64 = 0.15;

/// Outcomes by band: answered within 0.4, 0.6, 1 and more of the SLA time, voided; how much each hurts.
const BANDS: [f64; 3] = [0.4, 0.6, 1.0];
const HURT: [f64; 5] = [0.0, 0.0, 0.3, 1.0, 1.0];
const VOIDED: usize = 4;
/// What a troubled server keeps of its weight, and how far above the fleet's hurt it must stand.
const RUNGS: [f64; 6] = [1.0, 0.75, 0.55, 0.35, 0.15, 0.04];
const ENOUGH: f64 = 6.0;
const STANDS_OUT: f64 = 0.2;
const AT_PAR: f64 = 0.08;
const HOPELESS: f64 = 0.7;
const REST: Span = Span::from_us(4_000_000);
const MOST_HELD_BACK: f64 = 0.35;
const REPORT_LAG: Span = Span::from_us(1_500_000);

/// A struggling fleet: the middle server's hurt, or the part of tries answered; it is over at the second.
const HURTING: (f64, f64) = (0.2, 0.15);
const ANSWERS: (f64, f64) = (0.85, 0.92);
const SHED_AT: f64 = 0.7;
const SAFE_SHARE: f64 = 0.9;
const RELIEF: f64 = 1.08;
const LEVEL_FLOOR: f64 = 0.1;
const LEVEL_STEP: f64 = 0.05;

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

impl Server {
    fn ready(&self) -> bool {
        self.standing == Standing::Ready
    }

    fn move_to(&mut self, rung: usize, now: Moment) {
        (self.rung, self.judged, self.tally) = (rung, now, Histogram::default());
    }
}

#[derive(Default)]
struct Tbl {
    home: Option<u32>,
    stays: bool,
    products: Products,
    lines: BTreeMap<Id, f64>,
    afar: f64,
    carried: Option<Moment>,
    levels: BTreeMap<usize, f64>,
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

#[derive(Default)]
struct Slice {
    lines: BTreeMap<Id, f64>,
    moving: Option<Moment>,
}

/// What came and what was answered over the last seconds, fading, and what is made of it.
#[derive(Default)]
struct Pulse {
    asked: Vec<f64>,
    tries: f64,
    answered: f64,
    served: f64,
    over: Span,
    middle: f64,
    struggling: bool,
    budget: Option<f64>,
    shed: Moment,
}

pub struct Rules<H: Host> {
    host: H,
    charter: Charter,
    chance: Chance,
    servers: BTreeMap<Id, Server>,
    tbls: BTreeMap<u32, Tbl>,
    proxies: BTreeMap<u32, Proxy>,
    /// Zone and usual rate of each proxy ever served or seen here.
    usual: BTreeMap<u32, (u32, f64)>,
    slices: BTreeMap<u32, Slice>,
    levels: Vec<f64>,
    pulse: Pulse,
    peak: f64,
    waiting: (f64, Moment),
    gathered: Moment,
    heartbeat_set: bool,
}

impl<H: Host> Rules<H> {
    pub fn open(mut host: H, charter: Charter, seed: u64, now: Moment) -> Self {
        if charter.list_on_request {
            host.follow_list();
        }
        host.wake(GATHER, TURN);
        let products = charter.products.len();
        Rules {
            host,
            charter,
            chance: Chance::new(seed),
            servers: BTreeMap::new(),
            tbls: BTreeMap::new(),
            proxies: BTreeMap::new(),
            usual: BTreeMap::new(),
            slices: BTreeMap::new(),
            levels: vec![1.0; products],
            pulse: Pulse { asked: vec![0.0; products], ..Pulse::default() },
            peak: 0.0,
            waiting: (0.0, now),
            gathered: now,
            heartbeat_set: false,
        }
    }

    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    pub fn list_whole(&mut self, now: Moment, listings: &[Listing]) {
        let listed: BTreeSet<&Id> = listings.iter().map(|l| &l.id).collect();
        let dropped = self.servers.iter_mut().filter(|(id, _)| !listed.contains(id));
        dropped.for_each(|(_, server)| server.standing = Standing::Gone);
        self.list_changed(now, listings);
    }

    pub fn list_changed(&mut self, now: Moment, listings: &[Listing]) {
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
                server.move_to(0, now);
                (server.started, server.strikes) = (l.started, 0);
            }
            // A listed server without a weight is still a server: rule 1 counts it.
            server.weight = if l.weight.is_finite() { l.weight.max(0.01) } else { 0.01 };
            (server.zone, server.standing) = (l.zone, l.standing);
        }
        self.peak = self.peak.max(self.ready_weight());
        self.publish(now);
    }

    /// A call to the list failed or the subscription dropped: what is known stays, and it is asked again.
    pub fn list_failed(&mut self) {
        let again = SUBSCRIBE_AGAIN * (0.5 + self.chance.unit());
        self.host.wake(again, SUBSCRIBE);
    }

    fn ready(&self) -> impl Iterator<Item = (&Id, &Server)> {
        self.servers.iter().filter(|(_, s)| s.ready())
    }

    fn ready_weight(&self) -> f64 {
        self.ready().map(|(_, s)| s.weight).sum()
    }

    pub fn proxy_joined(&mut self, now: Moment, proxy: u32, zone: u32, rate: f64, fresh: bool) {
        let known = self.usual.insert(proxy, (zone, rate)).is_some();
        let (bound, sent) = (BTreeSet::new(), VecDeque::new());
        self.proxies.insert(proxy, Proxy { zone, joined: now, fresh: fresh && !known, bound, sent });
        self.lay_tbls(zone);
        if self.tbls_of(zone).into_iter().all(|number| self.usable(number)) {
            self.bind_waiting(now);
        } else {
            // Many join within a moment, and what a zone keeps at home depends on all of them.
            self.host.wake(JOINS_GATHERED, AGAIN);
        }
        if self.proxies[&proxy].bound.is_empty() {
            // Rule 3: until it is bound it holds tables that are not ours, with servers that may have left.
            let out: Vec<Id> = self.servers.iter().filter(|(_, s)| s.out).map(|(id, _)| id.clone()).collect();
            out.iter().for_each(|id| self.host.withdraw(id, true));
            self.count(now, None, out.len());
        }
    }

    pub fn proxy_left(&mut self, proxy: u32) {
        self.proxies.remove(&proxy);
    }

    pub fn met(&mut self, now: Moment, id: &str, tries: f64, voided: f64, took: Span) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let answered = (tries - voided).max(0.0);
        self.pulse.tries += tries;
        self.pulse.answered += answered;
        self.pulse.served += answered;
        if answered > 0.0 {
            server.heard = Some(now);
        }
        // Reports come late: for a while they still tell of the weight before the last move.
        if server.rung == 0 || now - server.judged >= REPORT_LAG + self.charter.report_every {
            let sla = self.charter.products.iter().map(|p| p.sla).min().unwrap_or_default();
            server.tally.add(VOIDED, voided);
            server.tally.add(BANDS.iter().filter(|part| took >= sla * **part).count(), answered);
        }
    }

    pub fn asked(&mut self, product: u32, txns: f64) {
        if let Some(asked) = self.pulse.asked.get_mut(product as usize) {
            *asked += txns;
        }
    }

    pub fn woke(&mut self, now: Moment, label: u64) {
        match label {
            SUBSCRIBE => return self.host.follow_list(),
            HEARTBEAT => self.heartbeat_set = false,
            TURN => {
                self.pulse.over = self.pulse.over + GATHER;
                self.judge(now);
                self.shed(now);
                self.fade();
                self.host.wake(GATHER, TURN);
            }
            _ => {}
        }
        self.publish(now);
        self.bind_waiting(now);
    }

    // ---- tables ----

    /// A zone's proxies use one table for all zones, or one of their own where crossing costs, and a further
    /// one for products that must stay in the zone.
    fn numbers(&self, zone: u32) -> [(u32, Option<u32>, bool); 2] {
        let shared = if self.charter.crossing_costs { (2 + 2 * zone, Some(zone)) } else { (0, None) };
        [(shared.0, shared.1, false), (3 + 2 * zone, Some(zone), true)]
    }

    fn tbls_of(&self, zone: u32) -> Vec<u32> {
        self.numbers(zone).iter().map(|t| t.0).filter(|number| self.tbls.contains_key(number)).collect()
    }

    fn products(&self, which: impl Fn(&Product) -> bool) -> Products {
        let rows = self.charter.products.iter().enumerate().filter(|(_, p)| which(p));
        rows.fold(0, |set, (k, _)| set | 1 << k)
    }

    fn lay_tbls(&mut self, zone: u32) {
        for (number, home, stays) in self.numbers(zone) {
            let products = self.products(|p| p.own_zone == stays);
            if products != 0 && self.charter.slices == 0 {
                let tbl = Tbl { home, stays, products, afar: 1.0, ..Tbl::default() };
                self.tbls.entry(number).or_insert(tbl);
            }
        }
    }

    /// Rule 4: no server gets more of its weight than the slowest warm-up allows at its age, counted from its
    /// start and not from when the list told of it.
    fn warmth(&self, now: Moment, server: &Server) -> f64 {
        let age = server.started.map_or(self.charter.cold_for, |started| now - started);
        if age >= self.charter.cold_for {
            return 1.0;
        }
        RAMP_FROM
            + (1.0 - RAMP_FROM) * (age.as_secs() / self.charter.cold_for.as_secs()).max(0.0).powf(RAMP_BEND)
    }

    fn parts(&self, now: Moment) -> Vec<Part> {
        let part = |(id, s): (&Id, &Server)| Part {
            id: id.clone(),
            zone: s.zone,
            weight: s.weight * RUNGS[s.rung],
            warmth: self.warmth(now, s),
        };
        self.ready().map(part).collect()
    }

    /// What a table should hold: every listed server, at listed weight but for the exceptions; with its
    /// weight, whether it is warm. Rule 1: no exception takes a warm server out.
    fn wanted(&mut self, now: Moment, number: u32) -> BTreeMap<Id, (f64, bool)> {
        let mut parts = self.parts(now);
        let Some(tbl) = self.tbls.get(&number) else { return BTreeMap::new() };
        if tbl.stays {
            parts.retain(|p| tbl.home == Some(p.zone));
        } else if let Some(home) = tbl.home {
            // In coarse steps, or each server held back would move every line of the other zones.
            let (stood, afar) = (tbl.afar, self.afar(home, &parts));
            let afar = if (afar / stood).max(stood / afar) > FAR_STEP { afar } else { stood };
            parts.iter_mut().filter(|p| p.zone != home).for_each(|p| p.weight *= afar);
            self.tbls.get_mut(&number).expect("just read").afar = afar;
        }
        self.eased(parts)
    }

    /// Where crossing zones costs, servers of other zones get this part of their weight: what carries a tenth
    /// of the zone's usual traffic, or all of it that its own servers' part of the fleet does not cover. Cold
    /// ones count short, so that a zone of new servers leans on the others.
    fn afar(&self, home: u32, parts: &[Part]) -> f64 {
        let weight = |which: &dyn Fn(u32) -> bool| -> f64 {
            parts.iter().filter(|p| which(p.zone)).map(|p| p.weight * p.warmth * p.warmth).sum()
        };
        let rate = |which: &dyn Fn(u32) -> bool| -> f64 {
            self.usual.values().filter(|u| which(u.0)).map(|u| u.1).sum()
        };
        let (here, there) = (weight(&|zone| zone == home), weight(&|zone| zone != home));
        let seen = |zone| self.usual.values().any(|u| u.0 == zone);
        let due = rate(&|zone| zone == home) / rate(&|_| true).max(1e-9) * weight(&seen);
        if here <= 0.0 || there <= 0.0 || due <= 0.0 {
            return 1.0;
        }
        let stay = (here / due).min(1.0) * STAY;
        (here * (1.0 - stay) / (stay * there)).clamp(0.01, 1.0)
    }

    /// Rule 4 where a ramp alone does not keep it.
    fn eased(&self, parts: Vec<Part>) -> BTreeMap<Id, (f64, bool)> {
        let sum = |is_warm: bool| -> f64 {
            parts.iter().filter(|p| (p.warmth >= 1.0) == is_warm).map(|p| p.weight * p.warmth).sum()
        };
        let (cold, warm) = (sum(false), sum(true));
        // A fleet that shrank, or that turns tries away and sees them again, brings a cold server more than
        // its weight says: it is cut by as much, but never so far that the warm ones fall in its place.
        let answers = self.pulse.answered.max(1.0) / self.pulse.tries.max(1.0);
        let crowded = (self.ready_weight() / self.peak.max(1e-9) * answers).clamp(0.05, 1.0);
        let cut = crowded.max(((cold + warm) / WARM_BEARS - warm) / cold.max(1e-9)).min(1.0);
        // Proxies that shun by themselves leave a failing fleet for whatever they have not tried yet, and no
        // weight is small enough: while it struggles the youngest stay out. It harms by holding them back.
        let rush = self.charter.shuns_after > 0 && warm > 0.0 && self.pulse.struggling;
        let kept = parts.into_iter().filter(|p| p.warmth >= YOUNG || !rush);
        let ease = |p: &Part| if p.warmth < 1.0 { p.warmth * cut } else { 1.0 };
        kept.map(|p| (p.id.clone(), (p.weight * ease(&p), p.warmth >= 1.0))).collect()
    }

    /// What differs from what stands, and whether it can't wait: servers that left, the first usable lines of
    /// a table, a known server that came back cold.
    fn changes(&mut self, now: Moment, number: u32) -> (Vec<(Id, f64)>, bool) {
        let wanted = self.wanted(now, number);
        if wanted.is_empty() && self.carried(now, number) {
            return (Vec::new(), false);
        }
        let Some(tbl) = self.tbls.get_mut(&number) else { return (Vec::new(), false) };
        tbl.carried = None;
        let left = tbl.lines.keys().filter(|id| !wanted.contains_key(*id));
        let mut changes: Vec<(Id, f64)> = left.map(|id| (id.clone(), 0.0)).collect();
        let mut urgent = !changes.is_empty() || tbl.lines.is_empty();
        for (id, (weight, warm)) in wanted {
            let ratio = tbl.lines.get(&id).map_or(0.0, |stands| stands / weight);
            let off = ratio.max(1.0 / ratio);
            if off > STEP || warm && off > 1.001 {
                urgent |= !warm && ratio > 2.0;
                changes.push((id, weight));
            }
        }
        urgent &= !changes.is_empty();
        (changes, urgent)
    }

    /// A table that lost every server while some still report is carried for one heartbeat, or as long as
    /// rule 3 allows: a list that dropped them all at once is more often wrong than right.
    fn carried(&mut self, now: Moment, number: u32) -> bool {
        let Some(tbl) = self.tbls.get_mut(&number) else { return false };
        let in_grace = self.charter.drain_grace * 0.6 - self.charter.way_most;
        let spell =
            if self.charter.only_drains_bind { HEARTBEAT_EVERY } else { HEARTBEAT_EVERY.min(in_grace) };
        let reports =
            |s: &Server| s.standing == Standing::Gone && s.heard.is_some_and(|h| now - h < HEARTBEAT_EVERY);
        if tbl.carried.is_none() && tbl.lines.keys().any(|id| self.servers.get(id).is_some_and(reports)) {
            tbl.carried = Some(now);
            self.host.wake(spell, AGAIN);
        }
        tbl.carried.is_some_and(|since| now - since < spell)
    }

    /// One turn. What can't wait takes all else that has changed along; the rest is gathered.
    fn publish(&mut self, now: Moment) {
        if self.charter.slices > 0 {
            return self.publish_slices(now);
        }
        let (mut changed, mut urgent) = (Vec::new(), false);
        for number in self.tbls.keys().copied().collect::<Vec<_>>() {
            let (changes, cant_wait) = self.changes(now, number);
            urgent |= cant_wait && self.used(number);
            changed.push((number, changes));
        }
        let leaving = self.leaving();
        urgent |= !leaving.is_empty();
        let lines = changed.iter().map(|c| c.1.len()).sum::<usize>() + leaving.len() + self.levels.len();
        let go = (urgent || now - self.gathered >= GATHER) && self.room(now, lines, urgent);
        if go {
            self.withdraw(now, &leaving);
        } else if urgent {
            self.host.wake(URGENT_AGAIN, AGAIN);
        }
        for (number, changes) in changed {
            if go || !self.used(number) {
                self.send(now, number, changes);
            }
        }
    }

    /// Rule 3: what drains or is gone, and is not out yet.
    fn leaving(&self) -> Vec<Id> {
        let held = |id: &Id| self.tbls.values().any(|t| t.carried.is_some() && t.lines.contains_key(id));
        let left = self.servers.iter().filter(|(id, s)| !s.ready() && !s.out && !held(id));
        left.map(|(id, _)| id.clone()).collect()
    }

    /// Rule 3 holds whatever tables proxies have, and only a withdrawal reaches those that we did not write.
    fn withdraw(&mut self, now: Moment, leaving: &[Id]) {
        for id in leaving {
            self.servers.get_mut(id).expect("a listed server").out = true;
            self.host.withdraw(id, true);
        }
        self.count(now, None, leaving.len());
    }

    fn send(&mut self, now: Moment, number: u32, changes: Vec<(Id, f64)>) {
        let mut orders = 0;
        let levels: Vec<(usize, f64)> = (0..self.levels.len()).map(|k| (k, self.admitted(k))).collect();
        let Some(tbl) = self.tbls.get_mut(&number) else { return };
        for (id, weight) in changes {
            // One that returns is let back in with its first line, not before: until then it may be cold.
            if let Some(server) = self.servers.get_mut(&id).filter(|s| s.out && s.ready()) {
                server.out = false;
                self.host.withdraw(&id, false);
            }
            self.host.line(number, &id, weight);
            orders += 1;
            if weight > 0.0 {
                tbl.lines.insert(id, weight);
            } else {
                tbl.lines.remove(&id);
            }
        }
        for (k, level) in levels.into_iter().filter(|(k, _)| tbl.products & (1 << k) != 0) {
            if tbl.levels.insert(k, level) != Some(level) {
                self.host.level(number, 1 << k, level, RETRY);
                orders += 1;
            }
        }
        if orders > 0 && self.used(number) {
            self.gathered = now;
            self.count(now, Some(number), orders);
        }
    }

    fn admitted(&self, product: usize) -> f64 {
        match self.charter.admission {
            Admission::Share => self.levels[product],
            Admission::PerSecond => 1e6,
            Admission::Ignored => 1.0,
        }
    }

    fn used(&self, number: u32) -> bool {
        self.proxies.values().any(|p| p.bound.contains(&number))
    }

    fn usable(&self, number: u32) -> bool {
        let ready = |id: &Id| self.servers.get(id).is_some_and(Server::ready);
        self.tbls.get(&number).is_some_and(|t| t.lines.keys().any(ready))
    }

    /// A bind goes out once its table holds a usable server, what the proxy has stands meanwhile. One that
    /// was served before gets no part of its tables; one never served waits for all within a budget.
    fn bind_waiting(&mut self, now: Moment) {
        let mut held = false;
        for proxy in self.proxies.keys().copied().collect::<Vec<_>>() {
            let p = &self.proxies[&proxy];
            let (zone, in_budget) = (p.zone, !p.fresh || now - p.joined < JOIN_BUDGET);
            let missing: Vec<u32> = self.tbls_of(zone).into_iter().filter(|t| !p.bound.contains(t)).collect();
            let partial = missing.iter().any(|number| !self.usable(*number));
            held |= partial;
            for number in missing.into_iter().filter(|_| !partial || !in_budget) {
                if self.usable(number) {
                    let out = self.servers.values().filter(|s| s.out).count();
                    let tbl = &self.tbls[&number];
                    let lines = tbl.lines.len() + tbl.levels.len() + 1 + out;
                    self.host.bind(proxy, number, tbl.products);
                    self.proxies.get_mut(&proxy).expect("just read").bound.insert(number);
                    self.message(now, proxy, lines);
                }
            }
        }
        if held && !self.heartbeat_set {
            self.heartbeat_set = true;
            let jitter = 0.8 + 0.4 * self.chance.unit();
            self.host.wake(HEARTBEAT_EVERY * jitter, HEARTBEAT);
        }
    }

    fn waiting(&self, now: Moment) -> f64 {
        let drained = (now - self.waiting.1).as_secs() * self.charter.channel_rate * PACE_TRUSTED;
        (self.waiting.0 - drained).max(0.0)
    }

    /// Whether one more message of so many lines to every proxy fits. Ordinary changes leave a reserve; what
    /// can't wait goes at once a few times, then at a pace that the limit bears for ever.
    fn room(&mut self, now: Moment, lines: usize, urgent: bool) -> bool {
        let (over, most) = (self.charter.messages_over, self.charter.messages_most as usize);
        let pace = over * (1.0 / most.saturating_sub(BURST).max(1) as f64);
        for p in self.proxies.values_mut() {
            p.sent.retain(|sent| now - *sent <= over);
            let (count, last) = (p.sent.len(), p.sent.back().copied());
            let fits = last == Some(now)
                || count == 0
                || !urgent && (count as f64) < most as f64 * ORDINARY_MESSAGES
                || urgent && count < most && (count < BURST || last.is_some_and(|last| now - last >= pace));
            if most > 0 && !fits {
                return false;
            }
        }
        let cost = self.proxies.len() as f64 * (self.charter.message_head + lines as f64);
        let part = if urgent { URGENT_LINES } else { ORDINARY_LINES };
        let bounded = self.charter.most_waiting > 0.0 && self.charter.channel_rate > 0.0;
        !bounded || self.waiting(now) + cost <= self.charter.most_waiting * part
    }

    fn message(&mut self, now: Moment, proxy: u32, lines: usize) {
        let mut waiting = self.waiting(now) + lines as f64;
        if let Some(p) = self.proxies.get_mut(&proxy).filter(|p| p.sent.back() != Some(&now)) {
            p.sent.push_back(now);
            waiting += self.charter.message_head;
        }
        self.waiting = (waiting, now);
    }

    /// Lines for the proxies on a table, or for all.
    fn count(&mut self, now: Moment, number: Option<u32>, lines: usize) {
        let on = |p: &Proxy| number.is_none_or(|number| p.bound.contains(&number));
        let proxies: Vec<u32> = self.proxies.iter().filter(|(_, p)| on(p)).map(|(n, _)| *n).collect();
        proxies.into_iter().filter(|_| lines > 0).for_each(|proxy| self.message(now, proxy, lines));
    }

    /// A server that hurts more than its peers goes down a rung, whatever the cause: slow, failing, hung, cut
    /// off, or listed at more than it can do. It harms where its peers can't carry its part, so only some of
    /// the fleet is held back; each rung is let go by itself after a rest, longer with each strike.
    fn judge(&mut self, now: Moment) {
        let mut fleet = Histogram::<5>::default();
        self.ready().for_each(|(_, s)| fleet.merge(&s.tally));
        let par = fleet.mean_of(HURT).unwrap_or(0.0);
        let known = self.ready().filter(|(_, s)| s.tally.total() >= ENOUGH);
        let mut hurts: Vec<(f64, Id)> =
            known.map(|(id, s)| (s.tally.mean_of(HURT).unwrap_or(0.0), id.clone())).collect();
        hurts.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.pulse.middle = hurts.get(hurts.len() / 2).map_or(0.0, |h| h.0);
        let mut held_back: f64 = self.ready().map(|(_, s)| s.weight * (1.0 - RUNGS[s.rung])).sum();
        let most = self.ready_weight() * MOST_HELD_BACK;
        for (hurt, id) in hurts.iter().filter(|h| h.0 > par + STANDS_OUT) {
            let server = self.servers.get_mut(id).expect("a listed server");
            let down = if *hurt >= HOPELESS { server.rung + 3 } else { server.rung + 1 }.min(RUNGS.len() - 1);
            held_back += server.weight * (RUNGS[server.rung] - RUNGS[down]);
            if held_back > most {
                break;
            }
            if down > server.rung {
                server.strikes = (server.strikes + 1).min(3);
                server.move_to(down, now);
            }
        }
        for server in self.servers.values_mut().filter(|s| s.ready() && s.rung > 0) {
            let at_par = server.tally.total() < ENOUGH || server.tally.mean_of(HURT) <= Some(par + AT_PAR);
            if at_par && now - server.judged > REST * f64::from(server.strikes) {
                server.move_to(server.rung - 1, now);
                server.strikes = if server.rung == 0 { 0 } else { server.strikes };
            }
        }
    }

    fn fade(&mut self) {
        self.servers.values_mut().for_each(|s| s.tally.halve());
        let pulse = &mut self.pulse;
        pulse.asked.iter_mut().for_each(|asked| *asked /= 2.0);
        (pulse.tries, pulse.answered) = (pulse.tries / 4.0, pulse.answered / 4.0);
        (pulse.served, pulse.over) = (pulse.served / 2.0, pulse.over * 0.5);
    }

    /// When most of the fleet hurts at once no table helps: no more is let in than it answers, products of
    /// most revenue first, and the rest let back step by step. It harms if the reports lie, so nothing falls
    /// under a floor.
    fn shed(&mut self, now: Moment) {
        let pulse = &mut self.pulse;
        let over = pulse.over.as_secs().max(0.1);
        let answers = if pulse.tries < ENOUGH { 1.0 } else { pulse.answered / pulse.tries };
        let hurting = answers < SHED_AT || pulse.middle > HURTING.0;
        let uneasy = answers < ANSWERS.1 || pulse.middle > HURTING.1;
        pulse.struggling = hurting || answers < ANSWERS.0 || pulse.struggling && uneasy;
        if hurting && now - pulse.shed >= REPORT_LAG + self.charter.report_every {
            (pulse.budget, pulse.shed) = (Some(pulse.served / over * SAFE_SHARE), now);
        } else if !pulse.struggling {
            let asked = pulse.asked.iter().sum::<f64>() / over;
            pulse.budget = pulse.budget.map(|budget| budget * RELIEF).filter(|budget| *budget < asked * 1.2);
        }
        let mut left = pulse.budget.unwrap_or(f64::INFINITY);
        let revenue = |k: &usize| self.charter.products[*k].revenue;
        let mut order: Vec<usize> = (0..self.levels.len()).collect();
        order.sort_by(|a, b| revenue(b).total_cmp(&revenue(a)));
        for k in order {
            let asked = (pulse.asked[k] / over).max(1e-9);
            let level = (left / asked).clamp(LEVEL_FLOOR, 1.0);
            left = (left - level * asked).max(0.0);
            if (level - self.levels[k]).abs() > LEVEL_STEP || level >= 1.0 {
                self.levels[k] = level;
            }
        }
    }

    pub fn slice_given(&mut self, slice: u32) {
        self.slices.insert(slice, Slice::default());
    }

    pub fn slice_line(&mut self, slice: u32, id: &Id, weight: f64) {
        if let Some(held) = self.slices.get_mut(&slice) {
            held.lines.insert(id.clone(), weight);
        }
    }

    pub fn slice_taken(&mut self, slice: u32) {
        self.slices.remove(&slice);
    }

    /// A slice stays where it is while a server of its table is usable; else it goes to one drawn by weight.
    fn publish_slices(&mut self, now: Moment) {
        let leaving = self.leaving();
        self.withdraw(now, &leaving);
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.out && s.ready()) {
            server.out = false;
            self.host.withdraw(id, false);
        }
        let usable = self.eased(self.parts(now));
        let writes = self.products(|p| p.writes);
        let in_hand = self.charter.way_most + self.charter.lease + self.charter.settle;
        let whole: f64 = usable.values().map(|u| u.0).sum();
        for (&number, slice) in self.slices.iter_mut() {
            if slice.moving.is_none() && slice.lines.keys().any(|id| usable.contains_key(id)) {
                continue;
            }
            let mut drawn = whole * self.chance.unit();
            let mut lines = usable.iter();
            let Some((id, _)) = lines.find(|(_, u)| (drawn -= u.0, drawn < 0.0).1) else { continue };
            if self.charter.single_writer && !slice.lines.is_empty() {
                // Rule 2: writes stop, and those in hand or still sent on a lease end, before another owns.
                let since = *slice.moving.get_or_insert(now);
                if since == now {
                    self.host.level(number, writes, 0.0, RETRY);
                }
                if now - since < in_hand * 1.5 {
                    continue;
                }
                slice.moving = None;
                self.host.level(number, writes, 1.0, RETRY);
            }
            for old in std::mem::take(&mut slice.lines).into_keys().filter(|_| !self.charter.single_writer) {
                self.host.line(number, &old, 0.0);
            }
            self.host.line(number, id, 1.0);
            slice.lines.insert(id.clone(), 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
