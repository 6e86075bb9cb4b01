//! The state of the stand-ins: discovery's list, the relay with its channel, the proxies and their requests.
//! All times are seconds since the start of the run.

use crate::deployment::Deployment;
use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Lines = BTreeMap<String, f64>;

/// What the relay does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallMode {
    /// Carries it out and answers after this many milliseconds.
    Answer(u64),
    /// Does not carry it out; resets the connection after the call's last byte.
    ResetUnexecuted,
    /// Carries it out; resets the connection after the call's last byte.
    ResetExecuted,
    /// Does not carry it out and never answers.
    SilentUnexecuted,
    /// Carries it out and never answers.
    SilentExecuted,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Active,
    Leaving,
    Left,
}

pub struct Server {
    pub id: String,
    pub zone: usize,
    pub health: Health,
    pub born_ms: u64,
    /// Until when it answers requests; infinite while it runs.
    pub runs_until: f64,
    /// When the supervisor was first told that it is draining or gone.
    pub told: Option<f64>,
    /// When the supervisor was told of its latest start.
    pub start_told: Option<(u64, f64)>,
    /// Times of the latest requests to it, and whether the supervisor is to blame for each.
    recent: VecDeque<(f64, bool)>,
    pub worst_load: f64,
}

impl Server {
    /// A server that has run for long and is listed.
    fn new(number: usize, zone: usize) -> Self {
        Server {
            id: format!("s-{:08x}", 0x5be2_a07c_u32.wrapping_mul(number as u32 * 2 + 1)),
            zone,
            health: Health::Active,
            born_ms: 0,
            runs_until: f64::INFINITY,
            told: None,
            start_told: None,
            recent: VecDeque::new(),
            worst_load: 0.0,
        }
    }

    /// Its entry in the list.
    fn entry(&self, zones: &[&str]) -> String {
        let health = match self.health {
            Health::Active => "active",
            Health::Leaving => "leaving",
            Health::Left => "left",
        };
        format!(
            r#"{{"host":"{}","dial":"127.0.0.1:9","site":"{}","class":"m2","block":3,"health":"{health}","share":1.0,"born_ms":{}}}"#,
            self.id, zones[self.zone], self.born_ms
        )
    }
}

pub struct Proxy {
    /// Whether the relay counts it as joined.
    pub joined: bool,
    /// Whether it is out of the relay's reach, noticed or not.
    pub cut: bool,
    pub zone: usize,
    pub rate: f64,
    pub cold: bool,
    pub stream: u64,
    /// The relay's view: the table that the proxy is bound to, by class.
    bound: Vec<Option<u32>>,
    /// What the proxy holds, by class: the table that it was last sent, and its lines.
    held: Vec<(Option<u32>, Lines)>,
    withdrawn: BTreeSet<String>,
    /// Times of the messages written to it since it joined.
    pub messages: Vec<f64>,
    credit: f64,
    unserved: f64,
    /// For each server that it must leave: how long the limit has run.
    drain_clock: BTreeMap<String, f64>,
}

#[derive(Clone)]
enum Effect {
    Table { table: u32, classes: Vec<usize>, lines: Lines, withdrawn: BTreeSet<String> },
    Line { table: u32, server: String, weight: f64 },
    Wipe { table: u32 },
    Withdraw { server: String, out: bool },
    Level,
}

struct Message {
    proxy: usize,
    stream: u64,
    lines: f64,
    effects: Vec<Effect>,
    fences: Vec<u64>,
    written: f64,
    leaves: f64,
    arrives: f64,
}

pub struct World {
    pub dep: Deployment,
    started: Instant,
    pub unix_ms_at_start: u64,
    pub servers: Vec<Server>,
    pub seq: u64,
    pub changes: Vec<(u64, usize)>,
    pub proxies: Vec<Proxy>,
    pub mode: CallMode,
    pub discovery_silent: bool,
    /// The share of the answers to calls that can't be read.
    pub spoilt_share: f64,
    tables: BTreeMap<u32, Lines>,
    levels: BTreeMap<u32, BTreeSet<usize>>,
    withdrawn: BTreeSet<String>,
    pub news: Vec<Sender<Option<String>>>,
    channel: VecDeque<Message>,
    travelling: Vec<Message>,
    channel_free: f64,
    /// How much slower than usual the channel sends.
    pub channel_slowdown: f64,
    /// The rules' time limits stand still until this time.
    pub limits_wait_until: f64,
    pub record: Vec<String>,
    pub calls: u64,
    pub rejections: u64,
    pub requests: u64,
    pub failed_requests: u64,
    /// Requests to a server that had to be left, and the worst excess over the limit.
    pub late_requests: u64,
    pub late_failed: u64,
    pub worst_late: f64,
    pub most_messages: usize,
    pub most_waiting: f64,
    pub worst_unserved: f64,
    /// By zone and server: attempts and failures since the last report.
    pub outcomes: BTreeMap<(usize, usize), (u32, u32)>,
    pub demand: BTreeMap<(usize, usize), u32>,
    rng: u64,
    limits_from: f64,
    /// The longest time between two ticks, which shows whether the machine kept up.
    pub longest_tick: f64,
    /// Calls whose connection was reset, or that got no answer.
    pub broken_calls: u64,
    /// Cold servers that fell over through the supervisor's orders.
    pub fallen: u32,
}

impl World {
    pub fn new(dep: Deployment) -> Self {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut world = World {
            started: Instant::now(),
            unix_ms_at_start: unix_ms,
            servers: Vec::new(),
            seq: 41,
            changes: Vec::new(),
            proxies: Vec::new(),
            mode: CallMode::Answer(5),
            discovery_silent: false,
            spoilt_share: 0.0,
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            news: Vec::new(),
            channel: VecDeque::new(),
            travelling: Vec::new(),
            channel_free: 0.0,
            channel_slowdown: 1.0,
            limits_wait_until: 0.0,
            record: Vec::new(),
            calls: 0,
            rejections: 0,
            requests: 0,
            failed_requests: 0,
            late_requests: 0,
            late_failed: 0,
            worst_late: 0.0,
            most_messages: 0,
            most_waiting: 0.0,
            worst_unserved: 0.0,
            outcomes: BTreeMap::new(),
            demand: BTreeMap::new(),
            rng: 0x9e37_79b9_7f4a_7c15,
            limits_from: f64::INFINITY,
            longest_tick: 0.0,
            broken_calls: 0,
            fallen: 0,
            dep,
        };
        for number in 0..world.dep.servers {
            let zone = number % world.dep.zones.len();
            world.servers.push(Server::new(number, zone));
        }
        for number in 0..world.dep.proxies {
            world.add_proxy(number);
        }
        world
    }

    fn add_proxy(&mut self, number: usize) {
        let zone = number % self.dep.zones.len();
        let classes = self.dep.classes.len();
        let lines = self.draw_standing(zone);
        let credit = self.chance();
        self.proxies.push(Proxy {
            joined: false,
            cut: false,
            zone,
            rate: self.dep.requests_per_proxy,
            cold: true,
            stream: 0,
            bound: vec![None; classes],
            held: vec![(None, lines); classes],
            withdrawn: BTreeSet::new(),
            messages: Vec::new(),
            credit,
            unserved: 0.0,
            drain_clock: BTreeMap::new(),
        });
    }

    /// A standing table: up to so many listed servers, drawn by chance in the proxy's zone.
    fn draw_standing(&mut self, zone: usize) -> Lines {
        let mut ids: Vec<String> = self
            .servers
            .iter()
            .filter(|server| server.zone == zone && server.health == Health::Active)
            .map(|server| server.id.clone())
            .collect();
        let mut lines = Lines::new();
        while lines.len() < self.dep.standing && !ids.is_empty() {
            let at = (self.chance() * ids.len() as f64) as usize;
            lines.insert(ids.swap_remove(at), 1.0);
        }
        lines
    }

    pub fn chance(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn sleep_time(&self, until: f64) -> Duration {
        Duration::from_secs_f64((until - self.now()).max(0.0))
    }

    pub fn note(&mut self, text: impl AsRef<str>) {
        let line = format!("{:8.3}  {}", self.now(), text.as_ref());
        if std::env::var_os("SHOW").is_some() {
            eprintln!("{line}");
        }
        self.record.push(line);
    }

    /// The rules' limits run from 1 s after the supervisor first answered.
    pub fn supervisor_answered(&mut self) {
        self.limits_from = self.now() + 1.0;
        self.note("the supervisor answers a probe");
    }

    // ---- discovery

    pub fn set_health(&mut self, server: usize, health: Health) {
        self.seq += 1;
        self.servers[server].health = health;
        self.changes.push((self.seq, server));
        let id = self.servers[server].id.clone();
        self.note(format!("discovery: {id} is {health:?} as of version {}", self.seq));
    }

    pub fn add_server(&mut self, zone: usize) {
        let number = self.servers.len();
        self.servers.push(Server::new(number, zone));
        self.set_started(number);
    }

    /// The server's process comes up; the list does not tell yet.
    pub fn restart(&mut self, server: usize) {
        self.servers[server].born_ms = self.unix_ms_at_start + (self.now() * 1000.0) as u64;
        self.servers[server].runs_until = f64::INFINITY;
    }

    /// The server came up again, or for the first time, and is listed at once.
    pub fn set_started(&mut self, server: usize) {
        self.restart(server);
        self.set_health(server, Health::Active);
    }

    /// The entries of an answer, which counts as told once it is written.
    pub fn list_body(&mut self, since: Option<u64>) -> String {
        let now = self.now();
        let numbers: BTreeSet<usize> = match since {
            None => (0..self.servers.len()).collect(),
            Some(since) => self.changes.iter().filter(|(seq, _)| *seq > since).map(|(_, at)| *at).collect(),
        };
        let mut entries = Vec::new();
        for number in numbers {
            let server = &mut self.servers[number];
            match server.health {
                Health::Active => server.told = None,
                Health::Left if self.dep.removal_not_binding => {}
                _ if server.told.is_none() => server.told = Some(now),
                _ => {}
            }
            if server.born_ms > 0 && server.start_told.is_none_or(|(born, _)| born != server.born_ms) {
                server.start_told = Some((server.born_ms, now));
            }
            if since.is_none() && server.health == Health::Left {
                continue;
            }
            entries.push(server.entry(&self.dep.zones));
        }
        let whole = since.is_none();
        format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, self.seq, entries.join(","))
    }

    /// The whole list as the configuration gives it; it does not count as told.
    pub fn known_list(&self) -> String {
        let listed = self.servers.iter().filter(|server| server.health == Health::Active);
        format!(
            r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#,
            self.seq,
            listed.map(|server| server.entry(&self.dep.zones)).collect::<Vec<_>>().join(",")
        )
    }

    // ---- the relay

    pub fn supervisor_died(&mut self) {
        self.note("the supervisor is killed");
        for number in 0..self.proxies.len() {
            self.leave(number);
        }
        self.tables.clear();
        self.levels.clear();
        self.withdrawn.clear();
        self.channel.clear();
        self.travelling.clear();
        self.news.clear();
        self.limits_from = f64::INFINITY;
        for server in &mut self.servers {
            server.told = None;
            server.start_told = None;
        }
    }

    pub fn send_news(&mut self, line: String) {
        self.news.retain(|reader| reader.send(Some(line.clone())).is_ok());
    }

    pub fn break_news(&mut self) {
        self.note("the relay's news connection is reset");
        for reader in self.news.drain(..) {
            let _ = reader.send(None);
        }
        self.limits_wait_until = self.limits_wait_until.max(self.now() + 4.0);
    }

    pub fn hello_line(&self, number: usize) -> String {
        let proxy = &self.proxies[number];
        format!(
            r#"{{"type":"hello","object":{{"node":{number},"locality":"{}","w":{:.1},"cold":{}}}}}"#,
            self.dep.zones[proxy.zone], proxy.rate, proxy.cold
        )
    }

    pub fn join(&mut self, number: usize) {
        let classes = self.dep.classes.len();
        let proxy = &mut self.proxies[number];
        if proxy.joined {
            return;
        }
        proxy.joined = true;
        proxy.stream += 1;
        proxy.bound = vec![None; classes];
        proxy.messages.clear();
        proxy.unserved = 0.0;
        proxy.drain_clock.clear();
        for held in &mut proxy.held {
            held.0 = None;
        }
        let line = self.hello_line(number);
        self.send_news(line);
    }

    /// The proxy is cut off from the supervisors and forwards on; the relay has not noticed yet.
    pub fn cut_off(&mut self, number: usize) {
        self.proxies[number].cut = true;
    }

    /// The proxy can reach the supervisors again, and joins.
    pub fn rejoin(&mut self, number: usize) {
        self.proxies[number].cut = false;
        self.join(number);
    }

    /// All proxies get this multiple of their usual requests.
    pub fn scale_requests(&mut self, factor: f64) {
        let rate = self.dep.requests_per_proxy * factor;
        self.proxies.iter_mut().for_each(|proxy| proxy.rate = rate);
    }

    pub fn leave(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        if !proxy.joined {
            return;
        }
        proxy.joined = false;
        self.channel.retain(|message| message.proxy != number);
        self.travelling.retain(|message| message.proxy != number);
        self.send_news(format!(r#"{{"type":"bye","object":{{"node":{number}}}}}"#));
    }

    fn class_positions(&self, order: &Json) -> Option<Vec<usize>> {
        let all = || (0..self.dep.classes.len()).collect();
        match order.get("routes") {
            None => Some(all()),
            Some(names) => {
                let mut positions = Vec::new();
                for name in names.list()? {
                    let name = name.str()?;
                    if name == "*" {
                        return Some(all());
                    }
                    positions.push(self.dep.classes.iter().position(|class| *class == name)?);
                }
                Some(positions)
            }
        }
    }

    /// Carries out a call. Returns how many orders were taken, or `None` if it is no such call.
    pub fn carry_out(&mut self, body: &[u8]) -> Option<usize> {
        let call = Json::parse(body)?;
        let orders = call.get("changes")?.list()?;
        let now = self.now();
        let mut messages: BTreeMap<usize, (f64, Vec<Effect>, Vec<u64>)> = BTreeMap::new();
        let mut taken = 0;
        for order in orders {
            if self.carry_out_order(order, &mut messages).is_none() {
                self.rejections += 1;
                break;
            }
            taken += 1;
        }
        for (number, (lines, effects, fences)) in messages {
            let lines = lines + self.dep.head + fences.len() as f64;
            self.channel_free = self.channel_free.max(now) + lines / (self.dep.rate / self.channel_slowdown);
            let spread = 0.5 + self.chance();
            let travel = (self.dep.late_ms / 1000.0 * spread).min(self.dep.late_most_ms / 1000.0);
            let proxy = &mut self.proxies[number];
            proxy.messages.push(now);
            let stream = proxy.stream;
            let last_arrival = self
                .channel
                .iter()
                .chain(&self.travelling)
                .filter(|message| message.proxy == number)
                .map(|message| message.arrives)
                .fold(0.0, f64::max);
            self.channel.push_back(Message {
                proxy: number,
                stream,
                lines,
                effects,
                fences,
                written: now,
                leaves: self.channel_free,
                arrives: (self.channel_free + travel).max(last_arrival),
            });
            let window = now - self.dep.messages_over_s;
            let messages = &self.proxies[number].messages;
            let recent = messages.iter().filter(|at| **at > window).count();
            self.most_messages = self.most_messages.max(recent);
        }
        let waiting = self.channel.iter().filter(|message| message.leaves > now).map(|m| m.lines).sum();
        self.most_waiting = self.most_waiting.max(waiting);
        Some(taken)
    }

    fn carry_out_order(
        &mut self,
        order: &Json,
        messages: &mut BTreeMap<usize, (f64, Vec<Effect>, Vec<u64>)>,
    ) -> Option<()> {
        let table = || order.get("table")?.num().filter(|n| *n >= 0.0 && *n < 65535.0).map(|n| n as u32);
        let known = |world: &World, id: &str| world.servers.iter().any(|server| server.id == id);
        match order.get("op")?.str()? {
            "put" => {
                let (table, server) = (table()?, order.get("endpoint")?.str()?.to_owned());
                let weight = order.get("w")?.num().filter(|weight| *weight >= 0.0)?;
                known(self, &server).then_some(())?;
                let lines = self.tables.entry(table).or_default();
                if weight > 0.0 {
                    lines.insert(server.clone(), weight);
                } else {
                    lines.remove(&server);
                }
                for number in self.bound_to(table) {
                    let message = messages.entry(number).or_default();
                    message.0 += 1.0;
                    message.1.push(Effect::Line { table, server: server.clone(), weight });
                }
            }
            "wipe" => {
                let table = table()?;
                self.tables.remove(&table);
                self.levels.remove(&table);
                for number in self.bound_to(table) {
                    let message = messages.entry(number).or_default();
                    message.0 += 1.0;
                    message.1.push(Effect::Wipe { table });
                }
            }
            "attach" => {
                let (table, number) = (table()?, order.get("node")?.num()? as usize);
                let classes = self.class_positions(order)?;
                if !self.proxies.get(number).is_some_and(|proxy| proxy.joined) {
                    return None;
                }
                for class in &classes {
                    self.proxies[number].bound[*class] = Some(table);
                }
                let lines = self.tables.get(&table).cloned().unwrap_or_default();
                let levels = self.levels.get(&table).map_or(0, BTreeSet::len);
                let withdrawn = self.withdrawn.clone();
                let withdrawn_lines = lines.keys().filter(|id| withdrawn.contains(*id)).count();
                let message = messages.entry(number).or_default();
                message.0 += (1 + lines.len() + levels + withdrawn_lines) as f64;
                message.1.push(Effect::Table { table, classes, lines, withdrawn });
            }
            op @ ("eject" | "uneject") => {
                let server = order.get("endpoint")?.str()?.to_owned();
                known(self, &server).then_some(())?;
                let out = op == "eject";
                if out {
                    self.withdrawn.insert(server.clone());
                } else {
                    self.withdrawn.remove(&server);
                }
                for number in 0..self.proxies.len() {
                    if !self.proxies[number].joined {
                        continue;
                    }
                    let holds = self.holds(number, &server);
                    if holds {
                        let message = messages.entry(number).or_default();
                        message.0 += 1.0;
                        message.1.push(Effect::Withdraw { server: server.clone(), out });
                    } else if out {
                        self.proxies[number].withdrawn.insert(server.clone());
                    } else {
                        self.proxies[number].withdrawn.remove(&server);
                    }
                }
            }
            "gate" => {
                let classes = self.class_positions(order)?;
                order.get("admit")?.num().filter(|level| *level >= 0.0)?;
                let table = table()?;
                self.levels.entry(table).or_default().extend(&classes);
                for number in self.bound_to(table) {
                    let message = messages.entry(number).or_default();
                    message.0 += 1.0;
                    message.1.push(Effect::Level);
                }
            }
            "fence" => {
                let nonce = order.get("nonce_out")?.num()? as u64;
                if order.get("set").and_then(Json::num).unwrap_or(0.0) > 0.0 {
                    for number in 0..self.proxies.len() {
                        if self.proxies[number].joined {
                            messages.entry(number).or_default();
                        }
                    }
                }
                for message in messages.values_mut() {
                    message.2.push(nonce);
                }
            }
            _ => return None,
        }
        Some(())
    }

    fn bound_to(&self, table: u32) -> Vec<usize> {
        let bound = |proxy: &Proxy| proxy.joined && proxy.bound.contains(&Some(table));
        self.proxies.iter().enumerate().filter(|(_, proxy)| bound(proxy)).map(|(number, _)| number).collect()
    }

    /// Whether the proxy's tables hold the server: those that it is bound to as the relay has them, and what it
    /// kept from before where it is not bound.
    fn holds(&self, number: usize, server: &str) -> bool {
        let proxy = &self.proxies[number];
        proxy.bound.iter().zip(&proxy.held).any(|(bound, (_, held))| match bound {
            Some(table) => self.tables.get(table).is_some_and(|lines| lines.contains_key(server)),
            None => held.contains_key(server),
        })
    }

    // ---- what happens by itself

    /// Moves messages on, and lets the proxies send their requests.
    pub fn tick(&mut self, elapsed: f64) {
        self.longest_tick = self.longest_tick.max(elapsed);
        let now = self.now();
        while self.channel.front().is_some_and(|message| message.leaves <= now) {
            if let Some(message) = self.channel.pop_front() {
                self.travelling.push(message);
            }
        }
        let (mut arrived, travelling): (Vec<Message>, Vec<Message>) =
            std::mem::take(&mut self.travelling).into_iter().partition(|message| message.arrives <= now);
        self.travelling = travelling;
        arrived.sort_by(|a, b| a.arrives.total_cmp(&b.arrives));
        for message in arrived {
            self.arrive(message);
        }
        let limits_run = now >= self.limits_from && now >= self.limits_wait_until;
        let limit_time = elapsed / self.channel_slowdown;
        for number in 0..self.proxies.len() {
            if limits_run && self.proxies[number].joined && !self.proxies[number].cut {
                self.run_limits(number, limit_time);
            }
            let proxy = &mut self.proxies[number];
            proxy.credit += proxy.rate * elapsed;
            while self.proxies[number].credit >= 1.0 {
                self.proxies[number].credit -= 1.0;
                self.send_request(number);
            }
        }
    }

    fn arrive(&mut self, message: Message) {
        let number = message.proxy;
        let proxy = &mut self.proxies[number];
        if !proxy.joined || proxy.cut || proxy.stream != message.stream {
            return;
        }
        for effect in message.effects {
            match effect {
                Effect::Table { table, classes, lines, withdrawn } => {
                    // A bound proxy obeys only the withdrawals of the supervisor that it is joined to.
                    if proxy.held.iter().all(|(held, _)| held.is_none()) {
                        proxy.withdrawn = withdrawn;
                    } else {
                        proxy.withdrawn.extend(withdrawn);
                    }
                    for class in classes {
                        proxy.held[class] = (Some(table), lines.clone());
                    }
                }
                Effect::Line { table, server, weight } => {
                    for (held, lines) in &mut proxy.held {
                        if *held != Some(table) {
                            continue;
                        }
                        if weight > 0.0 {
                            lines.insert(server.clone(), weight);
                        } else {
                            lines.remove(&server);
                        }
                    }
                }
                Effect::Wipe { table } => {
                    for (held, lines) in &mut proxy.held {
                        if *held == Some(table) {
                            lines.clear();
                        }
                    }
                }
                Effect::Withdraw { server, out: true } => drop(proxy.withdrawn.insert(server)),
                Effect::Withdraw { server, out: false } => drop(proxy.withdrawn.remove(&server)),
                Effect::Level => {}
            }
        }
        proxy.cold = false;
        let latency = (self.now() - message.written) * 1000.0;
        for nonce in message.fences {
            let line = format!(
                r#"{{"type":"ack","object":{{"node":{number},"nonce":{nonce},"latency":{latency:.1}}}}}"#
            );
            self.send_news(line);
        }
    }

    fn run_limits(&mut self, number: usize, elapsed: f64) {
        let now = self.now();
        let told: Vec<String> = self
            .servers
            .iter()
            .filter(|server| server.told.is_some())
            .map(|server| server.id.clone())
            .collect();
        let warm_ready = |zone: Option<usize>| {
            self.servers.iter().any(|server| {
                let age_ms = self.unix_ms_at_start as f64 + now * 1000.0 - server.born_ms as f64;
                server.health == Health::Active
                    && age_ms >= self.dep.cold_ms
                    && zone.is_none_or(|zone| zone == server.zone)
            })
        };
        let local: Vec<bool> = self.dep.stays_local.split(',').map(|text| text == "true").collect();
        let home = self.proxies[number].zone;
        let open: Vec<bool> = local.iter().map(|local| warm_ready(local.then_some(home))).collect();
        let proxy = &mut self.proxies[number];
        proxy.drain_clock.retain(|id, _| told.contains(id));
        for id in told {
            *proxy.drain_clock.entry(id).or_default() += elapsed;
        }
        let serves = |(_, lines): &(Option<u32>, Lines)| lines.keys().any(|id| !proxy.withdrawn.contains(id));
        if proxy.held.iter().zip(&open).any(|(held, open)| *open && !serves(held)) {
            proxy.unserved += elapsed;
        } else {
            proxy.unserved = 0.0;
        }
        self.worst_unserved = self.worst_unserved.max(proxy.unserved);
    }

    fn send_request(&mut self, number: usize) {
        let now = self.now();
        let (pick, class_pick) = (self.chance(), self.chance());
        let class = (class_pick * self.dep.classes.len() as f64) as usize;
        let proxy = &self.proxies[number];
        let usable = || proxy.held[class].1.iter().filter(|(id, _)| !proxy.withdrawn.contains(*id));
        let total: f64 = usable().map(|(_, weight)| weight).sum();
        self.requests += 1;
        let mut left = pick * total;
        let mut chosen = None;
        for (id, weight) in usable() {
            chosen = Some(id.clone());
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        let (zone, joined) = (proxy.zone, proxy.joined && !proxy.cut);
        let Some(id) = chosen else {
            self.failed_requests += 1;
            return;
        };
        let Some(at) = self.servers.iter().position(|server| server.id == id) else { return };
        let failed = now >= self.servers[at].runs_until;
        if failed {
            self.failed_requests += 1;
        }
        if joined {
            self.record_load(at, number);
        }
        let must_leave = self.servers[at].told.is_some();
        let ran = self.proxies[number].drain_clock.get(&id).copied().unwrap_or(0.0);
        // The limits are 300 ms longer on sockets; 100 ms more allow for this program's own clock.
        let excess = ran - self.dep.grace_ms / 1000.0 - 0.3 - 0.1;
        if joined && must_leave && excess > 0.0 {
            self.late_requests += 1;
            self.late_failed += u64::from(failed);
            self.worst_late = self.worst_late.max(excess);
            if self.late_requests <= 40 {
                let end = if failed { "lost: the server is gone" } else { "answered" };
                self.note(format!(
                    "proxy {number} sends a request to {id}, {excess:.2} s after the end of its grace; {end}"
                ));
            }
        }
        if joined {
            let entry = self.outcomes.entry((zone, at)).or_default();
            entry.0 += 1;
            entry.1 += u32::from(failed);
            *self.demand.entry((number, class)).or_default() += 1;
        }
    }

    /// Notes how much of what makes a cold server fall over a request brings, and whether the supervisor is to
    /// blame: the proxy's latest message was written, or the grace has passed, since it was told of the start.
    fn record_load(&mut self, at: usize, number: usize) {
        let now = self.now();
        let total = self.dep.requests_per_proxy * self.dep.proxies as f64;
        let capacity = total / self.dep.servers as f64 / self.dep.usual_load;
        let (cold_s, from) = (self.dep.cold_ms / 1000.0, self.dep.cold_from);
        let (span, multiple) = (self.dep.overload_ms / 1000.0, self.dep.fall_multiple);
        let unix_ms = self.unix_ms_at_start as f64;
        let last_message = self.proxies[number].messages.last().copied().unwrap_or(0.0);
        let server = &mut self.servers[at];
        let age = now - (server.born_ms as f64 - unix_ms) / 1000.0;
        if age >= cold_s || now >= server.runs_until {
            server.recent.clear();
            return;
        }
        let told = server.start_told.filter(|(born, _)| *born == server.born_ms).map(|(_, told)| told);
        let blamed = told.is_some_and(|told| {
            self.proxies[number].joined && (last_message > told || now - told > self.dep.grace_ms / 1000.0)
        });
        server.recent.push_back((now, blamed));
        while server.recent.front().is_some_and(|(first, _)| now - first > span) {
            server.recent.pop_front();
        }
        let sent = server.recent.len() as f64;
        let blamed = server.recent.iter().filter(|(_, blamed)| *blamed).count() as f64;
        let limit = multiple * capacity * (from + (1.0 - from) * age / cold_s) * span;
        if blamed >= sent * 2.0 / 3.0 {
            server.worst_load = server.worst_load.max(sent / limit);
        }
        // A fifth and four requests more than the limit leave room for chance.
        if sent > limit * 1.2 + 4.0 && self.dep.servers_fall {
            server.runs_until = now;
            let text = format!(
                "{} falls over {age:.1} s after its start: {sent} requests within {span} s, where {limit:.1} are the \
                 limit; {blamed} of them by proxies that were told to after the supervisor knew of the start",
                server.id
            );
            self.fallen += u32::from(blamed >= sent * 2.0 / 3.0);
            self.note(text);
        }
    }

    pub fn take_reports(&mut self) -> Vec<(usize, String)> {
        let mut reports = Vec::new();
        for ((zone, at), (total, errors)) in std::mem::take(&mut self.outcomes) {
            let (name, id) = (&self.dep.zones[zone], &self.servers[at].id);
            reports.push((zone, format!(
                r#"{{"msg":"outcomes","locality":"{name}","endpoint":"{id}","total":{total},"errors":{errors},"rtt":140.0,"interval":1000.0}}"#
            )));
        }
        for ((node, class), total) in std::mem::take(&mut self.demand) {
            let (route, zone) = (&self.dep.classes[class], self.proxies[node].zone);
            reports.push((zone, format!(
                r#"{{"msg":"demand","node":{node},"route":"{route}","total":{total},"errors":0,"interval":1000.0}}"#
            )));
        }
        reports.truncate(self.dep.intake_per_s);
        reports
    }
}
