//! The state of a small deployment: servers, the agent that lists them, the relay with its channel, the
//! proxies, and a check of the rules as the pages word them.

use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::Write;
use std::sync::mpsc::Sender;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Slack of the rules on sockets: time limits are 300 ms longer.
const SLACK_S: f64 = 0.3;

#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub local: bool,
    pub aim_ms: u64,
    pub worth: f64,
}

/// Figures of the deployment, as its settings state them. Times are in seconds.
#[derive(Clone)]
pub struct Settings {
    pub zones: Vec<&'static str>,
    pub classes: Vec<Class>,
    pub proxies: u32,
    pub head: f64,
    pub lines_per_s: f64,
    pub most_waiting: f64,
    pub pushes: u32,
    pub transit: f64,
    pub transit_most: f64,
    pub grace: f64,
    pub cold_s: f64,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    pub unserved: f64,
    pub standing: usize,
    pub throttle: &'static str,
    pub cross_zone: f64,
    pub outlier_after: u32,
    /// Requests a second of one proxy.
    pub rate: f64,
}

impl Settings {
    pub fn env(&self) -> String {
        let us = |s: f64| (s * 1e6).round() as i64;
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    r#"{{"deadlineUs":4000000,"effect":"idempotent","group":"all","importance":{},"keyTtlUs":5000000,"lateWorth":0.1,"name":"{}","promiseUs":{}}}"#,
                    c.worth,
                    c.name,
                    c.aim_ms * 1000
                )
            })
            .collect();
        let local: Vec<String> = self.classes.iter().map(|c| c.local.to_string()).collect();
        let writes: Vec<&str> = self.classes.iter().map(|_| "false").collect();
        let zones: Vec<String> = self.zones.iter().map(|z| format!("\"{z}\"")).collect();
        format!(
            concat!(
                r#"{{"bounds":{{"cpuUsPerS":400000,"dialTimeoutUs":300000,"keepaliveUs":15000000,"multiplex":32,"peers":false,"probes":true}},"#,
                r#""charges":{{"connection":0.02,"crossZone":{cross},"discovery":0.0,"handshake":0.02,"lateFail":0.08,"moves":0.0,"peer":0.0,"probe":0.02,"waste":0.03}},"#,
                r#""classes":[{classes}],"discovery":"push","family":"control","familyInfo":{{"bufferForUs":300000,"channelRate":{rate},"fixedCost":{head},"#,
                r#""homedByZone":false,"ingestRate":1000.0,"initialSet":{standing},"keepsWritingUs":2500000,"minConnCap":164.0,"mostWaiting":{waiting},"movePrice":0.01,"#,
                r#""outlierAfter":{outlier},"propagationUs":{transit},"proxyCount":{proxies},"pushPrice":0.04,"pushesAllowed":{pushes},"reloadSpanUs":10000000,"#,
                r#""reportEveryUs":1000000,"retryDefault":1,"selectsBy":"random","settleUs":4020000,"singleWriter":false,"slices":0,"staysLocal":[{local}],"#,
                r#""throttleBy":"{throttle}","transitMaxUs":{transit_most},"tryFactor":1.0,"unservedMaxUs":{unserved},"warmKeys":false,"writeClasses":[{writes}]}},"#,
                r#""goal":{{"whole":0.7,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.2}},"#,
                r#""guarantees":{{"askWithinUs":10000000,"coldFrom":{cold_from},"coldUs":{cold},"drainGraceUs":{grace},"fallMultiple":{multiple},"overloadForUs":{fall}}},"#,
                r#""kinds":["kind-a"],"locality":0,"replicasOfMe":1,"reporting":{{"how":"none","names":[]}},"selfIndex":0,"tickUs":4000,"valueBy":"request","weights":"rough","zones":[{zones}]}}"#
            ),
            cross = self.cross_zone,
            classes = classes.join(","),
            rate = self.lines_per_s,
            head = self.head,
            standing = self.standing,
            waiting = self.most_waiting,
            outlier = self.outlier_after,
            transit = us(self.transit),
            proxies = self.proxies,
            pushes = self.pushes,
            local = local.join(","),
            throttle = self.throttle,
            transit_most = us(self.transit_most),
            unserved = us(self.unserved),
            writes = writes.join(","),
            cold_from = self.cold_from,
            cold = us(self.cold_s),
            grace = us(self.grace),
            multiple = self.fall_multiple,
            fall = us(self.fall_s),
            zones = zones.join(","),
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Active,
    Leaving,
    Left,
}

impl Health {
    fn word(self) -> &'static str {
        match self {
            Health::Active => "active",
            Health::Leaving => "leaving",
            Health::Left => "left",
        }
    }
}

/// A server's process.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: usize,
    pub share: f64,
    pub up: bool,
    /// When it last started, in seconds of the run; long ago if negative.
    pub started: f64,
    /// Recent requests: when, and whether the sender or its supervisor knew of the start.
    arrivals: VecDeque<(f64, bool)>,
    pub fell: bool,
}

/// An entry of the agent's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub zone: usize,
    pub share: f64,
    pub health: Health,
    pub started: f64,
    pub seq: u64,
}

/// What the present supervisor was told about a server.
#[derive(Clone, Debug)]
struct Told {
    health: Health,
    /// Since when it is not to be used; valid while it is not active.
    out_since: f64,
    started: f64,
    started_told: f64,
    zone: usize,
}

#[derive(Clone, Default, Debug)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    pub levels: BTreeMap<String, f64>,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: usize,
    pub alive: bool,
    /// When it joined the present supervisor.
    pub joined: Option<f64>,
    pub fresh: bool,
    connection: u32,
    pub lines: BTreeMap<String, f64>,
    pub levels: BTreeMap<String, f64>,
    pub withdrawn: BTreeSet<String>,
    /// The table that the relay has it bound to.
    bound: Option<u32>,
    last_message_sent: f64,
    messages: VecDeque<f64>,
    bare_since: Vec<Option<f64>>,
    due: f64,
}

struct Message {
    arrives: f64,
    sent: f64,
    proxy: u32,
    connection: u32,
    table: Option<Table>,
    withdrawn: BTreeSet<String>,
    nonce: Option<u64>,
    latency: f64,
}

/// How the relay treats the next calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFault {
    /// Carried out, no answer, the connection stays open.
    LostDone,
    /// Not carried out, no answer, the connection stays open.
    LostUndone,
    /// Carried out, then the connection is reset.
    ResetDone,
    /// Not carried out, the connection is reset.
    ResetUndone,
    /// Not carried out, answered with the error `invalid`.
    Invalid,
    /// Carried out, answered after 0.4 s, which no page allows.
    Late,
}

#[derive(Default, Clone, Debug)]
pub struct Tally {
    pub sent: u64,
    pub declined: u64,
    pub failed: u64,
}

pub struct State {
    pub settings: Settings,
    pub rng: u64,
    pub servers: BTreeMap<String, Server>,
    pub entries: BTreeMap<String, Entry>,
    pub seq: u64,
    told: BTreeMap<String, Told>,
    pub discovery_silent: bool,
    pub relay_silent: bool,
    pub call_faults: VecDeque<CallFault>,
    pub answer_fault_share: f64,
    pub proxies: Vec<Proxy>,
    pub tables: BTreeMap<u32, Table>,
    pub ejected: BTreeSet<String>,
    pub readers: Vec<Sender<String>>,
    channel_free: f64,
    last_arrival: f64,
    pub slowness: f64,
    waiting: VecDeque<(f64, f64)>,
    messages: VecDeque<Message>,
    pub paused: Vec<(f64, f64)>,
    pub violations: Vec<String>,
    /// The rule that is judged; empty: all.
    pub only: &'static str,
    seen: BTreeSet<String>,
    pub tally: BTreeMap<String, Tally>,
    outcomes: BTreeMap<(usize, String), (u64, u64)>,
    demand: BTreeMap<(u32, usize), (u64, u64)>,
    pub limits_from: f64,
    pub calls: u64,
    /// Bumped to end the open connections of the relay's news or the agent.
    pub news_generation: u64,
    pub peak_waiting: f64,
    /// The most messages to one proxy within 10 s.
    pub peak_messages: usize,
    pub cut_zone: Option<usize>,
    pub work: f64,
    pub quiet: bool,
    pub record: File,
    pub done: bool,
}

pub struct World {
    pub state: Mutex<State>,
    pub changed: Condvar,
    pub start: Instant,
    pub unix_ms: i64,
}

impl World {
    pub fn new(settings: Settings, seed: u64, record: File) -> World {
        let start = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State {
            settings,
            rng: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            servers: BTreeMap::new(),
            entries: BTreeMap::new(),
            seq: 40,
            told: BTreeMap::new(),
            discovery_silent: false,
            relay_silent: false,
            call_faults: VecDeque::new(),
            answer_fault_share: 0.0,
            proxies: Vec::new(),
            tables: BTreeMap::new(),
            ejected: BTreeSet::new(),
            readers: Vec::new(),
            channel_free: 0.0,
            last_arrival: 0.0,
            slowness: 1.0,
            waiting: VecDeque::new(),
            messages: VecDeque::new(),
            paused: Vec::new(),
            violations: Vec::new(),
            only: "",
            seen: BTreeSet::new(),
            tally: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            demand: BTreeMap::new(),
            limits_from: f64::INFINITY,
            calls: 0,
            news_generation: 0,
            peak_waiting: 0.0,
            peak_messages: 0,
            cut_zone: None,
            work: 0.0,
            quiet: false,
            record,
            done: false,
        };
        World { state: Mutex::new(state), changed: Condvar::new(), start, unix_ms: unix.as_millis() as i64 }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Changes the state, then wakes the polls of the agent.
    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    pub fn born_ms(&self, started: f64) -> i64 {
        if started < 0.0 {
            0
        } else {
            self.unix_ms + (started * 1e3) as i64
        }
    }

    pub fn entry_json(&self, id: &str, entry: &Entry, zones: &[&str]) -> String {
        format!(
            r#"{{"host":"{id}","dial":"127.0.0.1:9","site":"{}","class":"kind-a","block":{},"health":"{}","share":{},"born_ms":{}}}"#,
            zones[entry.zone],
            entry.zone,
            entry.health.word(),
            entry.share,
            self.born_ms(entry.started)
        )
    }

    /// The list as the supervisor last had it, in discovery's form.
    pub fn known(&self) -> String {
        let state = self.lock();
        let zones = state.settings.zones.clone();
        let mut hosts = Vec::new();
        for (id, told) in &state.told {
            if told.health == Health::Left {
                continue;
            }
            let share = state.entries.get(id).map_or(1.0, |entry| entry.share);
            let entry = Entry { zone: told.zone, share, health: told.health, started: told.started, seq: 0 };
            hosts.push(self.entry_json(id, &entry, &zones));
        }
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, state.seq, hosts.join(","))
    }

    /// Answers a call of the agent's list. `None`: it is silent.
    pub fn list(&self, since: Option<u64>, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if state.discovery_silent {
                return None;
            }
            let news = since.is_none_or(|since| state.seq > since);
            if news || Instant::now() >= deadline || state.done {
                break;
            }
            let rest = deadline.saturating_duration_since(Instant::now()).min(Duration::from_millis(200));
            state = self.changed.wait_timeout(state, rest).unwrap_or_else(|p| p.into_inner()).0;
        }
        let now = self.now();
        let zones = state.settings.zones.clone();
        let whole = since.is_none();
        let listed: Vec<(String, Entry)> = state
            .entries
            .iter()
            .filter(|(_, entry)| match since {
                None => entry.health != Health::Left,
                Some(since) => entry.seq > since,
            })
            .map(|(id, entry)| (id.clone(), entry.clone()))
            .collect();
        state.tell(now, &listed, whole);
        let hosts: Vec<String> = listed.iter().map(|(id, e)| self.entry_json(id, e, &zones)).collect();
        if whole || !hosts.is_empty() {
            let text: Vec<String> =
                listed.iter().map(|(id, e)| format!("{id}={}", e.health.word())).collect();
            let line = format!("list seq {} whole {whole}: {}", state.seq, text.join(" "));
            state.note(now, &line);
        }
        Some(format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, state.seq, hosts.join(",")))
    }
}

impl State {
    pub fn note(&mut self, now: f64, text: &str) {
        if !self.quiet {
            let _ = writeln!(self.record, "{now:9.3} {text}");
        }
    }

    pub fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn add_server(&mut self, now: f64, id: &str, zone: usize, share: f64, started: f64) {
        let server = Server { zone, share, up: true, started, arrivals: VecDeque::new(), fell: false };
        self.servers.insert(id.to_owned(), server);
        self.note(now, &format!("server {id} zone {zone} starts at {started:.3}"));
    }

    /// The agent is sent a change of the list.
    pub fn set_entry(&mut self, id: &str, health: Health) {
        self.seq += 1;
        let Some(server) = self.servers.get(id) else { return };
        let entry =
            Entry { zone: server.zone, share: server.share, health, started: server.started, seq: self.seq };
        self.entries.insert(id.to_owned(), entry);
    }

    fn tell(&mut self, now: f64, listed: &[(String, Entry)], whole: bool) {
        if whole {
            for (id, told) in &mut self.told {
                let missing = !listed.iter().any(|(name, _)| name == id);
                if missing && told.health == Health::Active {
                    told.out_since = now;
                }
                if missing {
                    told.health = Health::Left;
                }
            }
        }
        for (id, entry) in listed {
            let told = self.told.entry(id.clone()).or_insert(Told {
                health: Health::Active,
                out_since: now,
                started: entry.started,
                started_told: now,
                zone: entry.zone,
            });
            if told.health == Health::Active && entry.health != Health::Active {
                told.out_since = now;
            }
            if entry.started > told.started {
                told.started = entry.started;
                told.started_told = now;
            }
            told.health = entry.health;
        }
    }

    /// A new supervisor starts with this list.
    pub fn forget_told(&mut self, now: f64) {
        self.told.retain(|_, told| told.health != Health::Left);
        for told in self.told.values_mut() {
            told.out_since = now;
            told.started_told = now;
        }
    }

    pub fn pause_limits(&mut self, now: f64, span: f64) {
        self.paused.push((now, now + span));
    }

    /// Time from `from` to `now` that counts for a limit.
    fn elapsed(&self, from: f64, now: f64) -> f64 {
        let from = from.max(self.limits_from);
        if now <= from {
            return 0.0;
        }
        let mut spans: Vec<(f64, f64)> =
            self.paused.iter().map(|(a, b)| (a.max(from), b.min(now))).filter(|(a, b)| b > a).collect();
        spans.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut excused = 0.0;
        let mut end = from;
        for (a, b) in spans {
            let a = a.max(end);
            if b > a {
                excused += b - a;
                end = b;
            }
        }
        now - from - excused
    }

    pub fn violate(&mut self, now: f64, key: &str, text: String) {
        if !text.starts_with(self.only) && text.starts_with("rule") {
            if self.seen.insert(key.to_owned()) {
                let _ = writeln!(self.record, "{now:9.3} not judged here: {text}");
            }
        } else if self.seen.insert(key.to_owned()) {
            let _ = writeln!(self.record, "{now:9.3} BROKEN {text}");
            self.violations.push(format!("{now:.3} {text}"));
        }
    }

    /// Starts a proxy with a standing table: listed servers, of its zone if three are there.
    pub fn start_proxy(&mut self, now: f64, number: u32) {
        let zone = self.proxies[number as usize].zone;
        let active: Vec<(String, usize)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.health == Health::Active)
            .map(|(id, entry)| (id.clone(), entry.zone))
            .collect();
        let local: Vec<String> =
            active.iter().filter(|(_, z)| *z == zone).map(|(id, _)| id.clone()).collect();
        let mut pool = if local.len() >= 3 { local } else { active.into_iter().map(|(id, _)| id).collect() };
        let mut lines = BTreeMap::new();
        while lines.len() < self.settings.standing && !pool.is_empty() {
            let at = (self.random() * pool.len() as f64) as usize;
            lines.insert(pool.swap_remove(at), 1.0);
        }
        let text: Vec<&str> = lines.keys().map(String::as_str).collect();
        self.note(now, &format!("proxy {number} zone {zone} starts with {}", text.join(" ")));
        let classes = self.settings.classes.len();
        let proxy = &mut self.proxies[number as usize];
        proxy.alive = true;
        proxy.fresh = true;
        proxy.lines = lines;
        proxy.levels.clear();
        proxy.withdrawn.clear();
        proxy.bound = None;
        proxy.bare_since = vec![None; classes];
    }

    pub fn new_proxy(&mut self, zone: usize) {
        self.proxies.push(Proxy {
            zone,
            alive: false,
            joined: None,
            fresh: true,
            connection: 0,
            lines: BTreeMap::new(),
            levels: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            bound: None,
            last_message_sent: -1e9,
            messages: VecDeque::new(),
            bare_since: Vec::new(),
            due: 0.0,
        });
    }

    pub fn hello_line(&self, number: u32) -> String {
        let proxy = &self.proxies[number as usize];
        format!(
            r#"{{"type":"hello","object":{{"node":{number},"locality":"{}","w":{:.1},"cold":{}}}}}"#,
            self.settings.zones[proxy.zone], self.settings.rate, proxy.fresh
        )
    }

    pub fn join(&mut self, now: f64, number: u32) {
        let line = self.hello_line(number);
        let proxy = &mut self.proxies[number as usize];
        if !proxy.alive || proxy.joined.is_some() {
            return;
        }
        proxy.joined = Some(now);
        proxy.connection += 1;
        proxy.bound = None;
        proxy.messages.clear();
        self.note(now, &format!("proxy {number} joins, cold {}", self.proxies[number as usize].fresh));
        self.broadcast(&line);
    }

    pub fn leave(&mut self, now: f64, number: u32) {
        let proxy = &mut self.proxies[number as usize];
        if proxy.joined.take().is_none() {
            return;
        }
        proxy.connection += 1;
        proxy.bound = None;
        for since in &mut proxy.bare_since {
            *since = None;
        }
        self.note(now, &format!("proxy {number} leaves"));
        self.broadcast(&format!(r#"{{"type":"bye","object":{{"node":{number}}}}}"#));
    }

    pub fn broadcast(&mut self, line: &str) {
        self.readers.retain(|reader| reader.send(format!("{line}\n")).is_ok());
    }

    /// The supervisor died: its tables, withdrawals and queue are lost.
    pub fn supervisor_lost(&mut self, now: f64) {
        for number in 0..self.proxies.len() {
            let proxy = &mut self.proxies[number];
            proxy.joined = None;
            proxy.connection += 1;
            proxy.bound = None;
            for since in &mut proxy.bare_since {
                *since = None;
            }
        }
        self.tables.clear();
        self.ejected.clear();
        self.messages.clear();
        self.waiting.clear();
        self.channel_free = 0.0;
        self.readers.clear();
        self.limits_from = f64::INFINITY;
        self.note(now, "supervisor lost");
    }

    /// Carries out a call. Returns how many orders were taken.
    pub fn carry_out(&mut self, now: f64, orders: &[Json]) -> usize {
        let mut lines: BTreeMap<u32, f64> = BTreeMap::new();
        let mut nonce = None;
        let mut all = false;
        let mut taken = 0;
        for order in orders {
            if self.order(order, &mut lines, &mut nonce, &mut all).is_none() {
                break;
            }
            taken += 1;
        }
        if all {
            for (number, proxy) in self.proxies.iter().enumerate() {
                if proxy.joined.is_some() {
                    lines.entry(number as u32).or_default();
                }
            }
        }
        let head = self.settings.head;
        for (number, count) in lines {
            let extra = if nonce.is_some() { 1.0 } else { 0.0 };
            self.send(now, number, count + head + extra, nonce);
        }
        taken
    }

    fn order(
        &mut self,
        order: &Json,
        lines: &mut BTreeMap<u32, f64>,
        nonce: &mut Option<u64>,
        all: &mut bool,
    ) -> Option<()> {
        let table = |name: &str| order.get(name).and_then(Json::number).map(|n| n as u32);
        let server = || order.get("endpoint").and_then(Json::text).map(str::to_owned);
        match order.get("op")?.text()? {
            "put" => {
                let (table, server, weight) = (table("table")?, server()?, order.get("w")?.number()?);
                if weight < 0.0 || !self.entries.contains_key(&server) {
                    return None;
                }
                let target = self.tables.entry(table).or_default();
                if weight > 0.0 {
                    target.lines.insert(server, weight);
                } else {
                    target.lines.remove(&server);
                }
                self.count_users(table, lines);
            }
            "wipe" => {
                let table = table("table")?;
                self.tables.insert(table, Table::default());
                self.count_users(table, lines);
            }
            "attach" => {
                let (number, table) = (table("node")?, table("table")?);
                let proxy = self.proxies.get_mut(number as usize)?;
                proxy.joined?;
                proxy.bound = Some(table);
                let target = self.tables.entry(table).or_default();
                let out = target.lines.keys().filter(|id| self.ejected.contains(*id)).count();
                *lines.entry(number).or_default() +=
                    (1 + target.lines.len() + target.levels.len() + out) as f64;
            }
            word @ ("eject" | "uneject") => {
                let server = server()?;
                if !self.entries.contains_key(&server) {
                    return None;
                }
                for (number, proxy) in self.proxies.iter().enumerate() {
                    let holds = match proxy.bound {
                        Some(table) => self.tables.get(&table).is_some_and(|t| t.lines.contains_key(&server)),
                        None => proxy.lines.contains_key(&server),
                    };
                    if proxy.joined.is_some() && holds {
                        *lines.entry(number as u32).or_default() += 1.0;
                    }
                }
                if word == "eject" {
                    self.ejected.insert(server);
                } else {
                    self.ejected.remove(&server);
                }
            }
            "gate" => {
                let table = table("table")?;
                let level = order.get("admit")?.number()?;
                let names: Vec<String> = match order.get("routes").and_then(Json::list) {
                    Some(list) => list.iter().filter_map(Json::text).map(str::to_owned).collect(),
                    None => self.settings.classes.iter().map(|c| c.name.to_owned()).collect(),
                };
                let target = self.tables.entry(table).or_default();
                for name in names {
                    target.levels.insert(name, level);
                }
                self.count_users(table, lines);
            }
            "fence" => {
                *nonce = Some(order.get("nonce_out")?.number()? as u64);
                *all |= order.get("set").and_then(Json::number) == Some(1.0);
            }
            _ => return None,
        }
        Some(())
    }

    fn count_users(&self, table: u32, lines: &mut BTreeMap<u32, f64>) {
        for (number, proxy) in self.proxies.iter().enumerate() {
            if proxy.joined.is_some() && proxy.bound == Some(table) {
                *lines.entry(number as u32).or_default() += 1.0;
            }
        }
    }

    fn send(&mut self, now: f64, number: u32, lines: f64, nonce: Option<u64>) {
        let transit = (self.settings.transit * (0.6 + 0.8 * self.random())).min(self.settings.transit_most);
        let rate = self.settings.lines_per_s / self.slowness;
        self.waiting.retain(|(until, _)| *until > now);
        self.channel_free = self.channel_free.max(now) + lines / rate;
        self.waiting.push_back((self.channel_free, lines));
        let waiting: f64 = self.waiting.iter().map(|(_, lines)| lines).sum();
        self.peak_waiting = self.peak_waiting.max(waiting);
        if waiting > self.settings.most_waiting {
            self.violate(
                now,
                "queue",
                format!("rule 5: {waiting:.0} lines wait, {} allowed", self.settings.most_waiting),
            );
        }
        let arrives = (self.channel_free + transit).max(self.last_arrival);
        self.last_arrival = arrives;
        let ejected = self.ejected.clone();
        let pushes = self.settings.pushes as usize;
        let proxy = &mut self.proxies[number as usize];
        proxy.messages.push_back(now);
        while proxy.messages.front().is_some_and(|at| now - at > 10.0) {
            proxy.messages.pop_front();
        }
        let count = proxy.messages.len();
        let table = proxy.bound.and_then(|table| self.tables.get(&table).cloned());
        let connection = proxy.connection;
        if pushes > 0 && count > pushes {
            self.violate(
                now,
                &format!("pushes {number}"),
                format!("rule 5: {count} messages to proxy {number} in 10 s"),
            );
        }
        self.peak_messages = self.peak_messages.max(count);
        let latency = arrives - now;
        let message = Message {
            arrives,
            sent: now,
            proxy: number,
            connection,
            table,
            withdrawn: ejected,
            nonce,
            latency,
        };
        self.messages.push_back(message);
    }

    fn deliver(&mut self, now: f64) {
        while self.messages.front().is_some_and(|message| message.arrives <= now) {
            let Some(message) = self.messages.pop_front() else { return };
            let proxy = &mut self.proxies[message.proxy as usize];
            if proxy.connection != message.connection || proxy.joined.is_none() {
                continue;
            }
            if let Some(table) = message.table {
                proxy.lines = table.lines;
                proxy.levels = table.levels;
                proxy.withdrawn = message.withdrawn;
                proxy.fresh = false;
            } else {
                proxy.withdrawn = message.withdrawn;
            }
            proxy.last_message_sent = message.sent;
            if let Some(nonce) = message.nonce {
                let line = format!(
                    r#"{{"type":"ack","object":{{"node":{},"nonce":{nonce},"latency":{:.1}}}}}"#,
                    message.proxy,
                    message.latency * 1e3
                );
                self.broadcast(&line);
            }
        }
    }

    /// One step of the run: messages arrive, proxies send requests, limits are checked.
    pub fn step(&mut self, now: f64, span: f64, requests: bool) {
        self.deliver(now);
        for number in 0..self.proxies.len() {
            if !self.proxies[number].alive {
                continue;
            }
            self.check_bare(now, number);
            if !requests {
                continue;
            }
            let jitter = 0.5 + self.random();
            self.proxies[number].due += self.settings.rate * span * jitter;
            while self.proxies[number].due >= 1.0 {
                self.proxies[number].due -= 1.0;
                let class = (self.random() * self.settings.classes.len() as f64) as usize;
                self.request(now, number, class);
            }
        }
    }

    fn usable(&self, number: usize, class: usize) -> Vec<(&String, f64)> {
        let proxy = &self.proxies[number];
        let local = self.settings.classes[class].local;
        proxy
            .lines
            .iter()
            .filter(|(id, _)| !proxy.withdrawn.contains(*id))
            .filter(|(id, _)| !local || self.servers.get(*id).is_some_and(|s| s.zone == proxy.zone))
            .map(|(id, weight)| (id, *weight))
            .collect()
    }

    fn check_bare(&mut self, now: f64, number: usize) {
        if self.proxies[number].joined.is_none() {
            return;
        }
        for class in 0..self.settings.classes.len() {
            let bare = self.usable(number, class).is_empty();
            let local = self.settings.classes[class].local;
            let zone = self.proxies[number].zone;
            let listed = self.told.values().any(|told| {
                told.health == Health::Active
                    && (told.started < 0.0 || now - told.started >= self.settings.cold_s)
                    && (!local || told.zone == zone)
            });
            if !bare || !listed {
                self.proxies[number].bare_since[class] = None;
                continue;
            }
            let since = *self.proxies[number].bare_since[class].get_or_insert(now);
            let elapsed = self.elapsed(since, now);
            if elapsed > (self.settings.unserved + SLACK_S) * self.slowness.max(1.0) {
                let name = self.settings.classes[class].name;
                self.violate(
                    now,
                    &format!("bare {number} {class}"),
                    format!("rule 1: proxy {number} has had no server for {name} for {elapsed:.2} s"),
                );
            }
        }
    }

    fn request(&mut self, now: f64, number: usize, class: usize) {
        let name = self.settings.classes[class].name;
        let zone = self.proxies[number].zone;
        let demand = self.demand.entry((number as u32, class)).or_default();
        demand.0 += 1;
        let level = self.proxies[number].levels.get(name).copied().unwrap_or(1.0);
        let tally_name = format!("zone {} {name}", self.settings.zones[zone]);
        if self.settings.throttle == "fraction" && self.random() >= level {
            self.tally.entry(tally_name).or_default().declined += 1;
            return;
        }
        let draw = self.random();
        let usable = self.usable(number, class);
        let total: f64 = usable.iter().map(|(_, weight)| weight).sum();
        let mut rest = draw * total;
        let mut chosen = None;
        for (id, weight) in usable {
            chosen = Some(id.clone());
            rest -= weight;
            if rest < 0.0 {
                break;
            }
        }
        let Some(id) = chosen else {
            self.tally.entry(tally_name).or_default().declined += 1;
            return;
        };
        self.check_drain(now, number, &id);
        let cut = self.cut_zone.is_some_and(|cut| {
            let other = self.servers.get(&id).map_or(zone, |server| server.zone);
            (other == cut) != (zone == cut)
        });
        let knows = self.knows_of_start(now, number, &id);
        let answered = !cut && self.arrive(now, &id, knows);
        let tally = self.tally.entry(tally_name).or_default();
        tally.sent += 1;
        let outcome = self.outcomes.entry((zone, id)).or_default();
        outcome.0 += 1;
        if !answered {
            tally.failed += 1;
            outcome.1 += 1;
            if let Some(demand) = self.demand.get_mut(&(number as u32, class)) {
                demand.1 += 1;
            }
        }
    }

    fn check_drain(&mut self, now: f64, number: usize, id: &str) {
        let (Some(joined), Some(told)) = (self.proxies[number].joined, self.told.get(id)) else { return };
        if told.health == Health::Active {
            return;
        }
        let since = told.out_since.max(joined);
        let health = told.health.word();
        let elapsed = self.elapsed(since, now);
        if elapsed > (self.settings.grace + SLACK_S) * self.slowness.max(1.0) {
            self.violate(
                now,
                &format!("drain {number} {id}"),
                format!("rule 3: proxy {number} sends to {id}, {health}, {elapsed:.2} s after it was told"),
            );
        }
    }

    fn knows_of_start(&self, now: f64, number: usize, id: &str) -> bool {
        let (Some(told), Some(server)) = (self.told.get(id), self.servers.get(id)) else { return false };
        if told.started != server.started || self.proxies[number].joined.is_none() {
            return false;
        }
        self.proxies[number].last_message_sent > told.started_told
            || now - told.started_told > self.settings.grace + SLACK_S
    }

    fn arrive(&mut self, now: f64, id: &str, knows: bool) -> bool {
        let settings = &self.settings;
        let (fall_s, multiple, from, cold_s) =
            (settings.fall_s + SLACK_S, settings.fall_multiple, settings.cold_from, settings.cold_s);
        let unit = self.work;
        let Some(server) = self.servers.get_mut(id) else { return false };
        if !server.up || server.fell {
            return false;
        }
        let age = now - server.started;
        if server.started < 0.0 || age >= cold_s || unit <= 0.0 {
            return true;
        }
        server.arrivals.push_back((now, knows));
        while server.arrivals.front().is_some_and(|(at, _)| now - at > fall_s) {
            server.arrivals.pop_front();
        }
        let present = (from + (1.0 - from) * age / cold_s) * server.share * unit;
        let budget = multiple * present * fall_s;
        let count = server.arrivals.len() as f64;
        let known = server.arrivals.iter().filter(|(_, knows)| *knows).count() as f64;
        if count > budget + 4.0 * budget.sqrt() + 4.0 {
            server.fell = true;
            if known * 3.0 >= count * 2.0 {
                self.violate(
                    now,
                    &format!("cold {id}"),
                    format!("rule 4: {count:.0} requests to cold {id} in {fall_s} s, budget {budget:.1}"),
                );
            } else {
                self.note(now, &format!("cold {id} fell, not by those who knew"));
            }
        }
        true
    }

    /// The reports of a period, as messages of a zone's collector.
    pub fn reports(&mut self, zone: usize) -> Vec<String> {
        let name = self.settings.zones[zone];
        let mut messages = vec![];
        let outcomes: Vec<_> =
            self.outcomes.iter().filter(|((z, _), _)| *z == zone).map(|(k, v)| (k.clone(), *v)).collect();
        for ((_, id), (total, errors)) in outcomes {
            messages.push(format!(
                r#"{{"msg":"outcomes","locality":"{name}","endpoint":"{id}","total":{total},"errors":{errors},"rtt":60.0,"interval":1000.0}}"#
            ));
            self.outcomes.remove(&(zone, id));
        }
        let demand: Vec<_> = self.demand.iter().map(|(k, v)| (*k, *v)).collect();
        for ((proxy, class), (total, errors)) in demand {
            if self.proxies[proxy as usize].zone == zone {
                let class_name = self.settings.classes[class].name;
                messages.push(format!(
                    r#"{{"msg":"demand","node":{proxy},"route":"{class_name}","total":{total},"errors":{errors},"interval":1000.0}}"#
                ));
                self.demand.remove(&(proxy, class));
            }
        }
        messages
    }
}
