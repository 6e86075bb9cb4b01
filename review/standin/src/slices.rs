//! A small simulator on the real clock: it starts the `sim` command of the deploy file, plays a deployment
//! whose slices have a single owner, and checks the first rule.

use crate::json::Json;
use crate::net::running;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVERS: usize = 12;
const SLICES_PER_SERVER: usize = 6;
const PROXIES: usize = 16;
const ZONES: usize = 4;
/// The clock's origin is arbitrary.
const ORIGIN_US: u64 = 650_000_000_000;
const LINES_PER_S: f64 = 15_200.0;
const HEAD: f64 = 10.0;
const TRANSIT_S: f64 = 0.215;
const UNSERVED_S: f64 = 11.0;
const COLD_S: f64 = 16.0;

fn env() -> String {
    let slices = SERVERS * SLICES_PER_SERVER;
    let class = |name: &str, effect: &str, importance: u32, promise: u32| {
        format!(
            r#"{{"deadlineUs":4000000,"effect":"{effect}","group":"all","importance":{importance},"keyTtlUs":5000000,"lateWorth":0.1,"name":"{name}","promiseUs":{promise}}}"#
        )
    };
    let classes = [
        class("fare-quote", "idempotent", 1, 1_500_000),
        class("seat-hold", "deduplicated", 3, 1_200_000),
        class("ticket-issue", "at_most_once", 3, 1_200_000),
    ]
    .join(",");
    format!(
        concat!(
            r#"{{"bounds":{{"cpuUsPerS":400000,"dialTimeoutUs":300000,"keepaliveUs":15000000,"multiplex":32,"peers":true,"probes":true}},"#,
            r#""charges":{{"connection":0.02,"crossZone":0.06,"discovery":0.0,"handshake":0.02,"lateFail":0.08,"moves":0.0,"peer":0.01,"probe":0.02,"waste":0.03}},"#,
            r#""classes":[{classes}],"discovery":"push","family":"control","familyInfo":{{"bufferForUs":300000,"channelRate":15200.0,"fixedCost":10.0,"#,
            r#""homedByZone":false,"ingestRate":1000.0,"initialSet":12,"keepsWritingUs":2500000,"minConnCap":194.0,"mostWaiting":15200.0,"movePrice":0.01,"#,
            r#""outlierAfter":0,"propagationUs":215000,"proxyCount":{proxies},"pushPrice":0.04,"pushesAllowed":0,"reloadSpanUs":10000000,"reportEveryUs":1000000,"#,
            r#""retryDefault":1,"selectsBy":"random","settleUs":4020000,"singleWriter":true,"slices":{slices},"staysLocal":[false,false,false],"#,
            r#""throttleBy":"fraction","transitMaxUs":537500,"tryFactor":1.0,"unservedMaxUs":11000000,"warmKeys":false,"writeClasses":[false,true,true]}},"#,
            r#""goal":{{"whole":0.7,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.2}},"#,
            r#""guarantees":{{"askWithinUs":10000000,"coldFrom":0.28,"coldUs":16000000,"drainGraceUs":1800000,"fallMultiple":4.0,"overloadForUs":1500000}},"#,
            r#""kinds":["kind-a"],"locality":0,"replicasOfMe":1,"reporting":{{"how":"none","names":[]}},"selfIndex":0,"tickUs":4000,"valueBy":"request","weights":"rough","#,
            r#""zones":["hall-a","hall-b","hall-c","hall-d"]}}"#
        ),
        classes = classes,
        proxies = PROXIES,
        slices = slices,
    )
}

struct Server {
    zone: usize,
    /// 1 ready, 2 draining, 0 gone, as the instance was told.
    health: u32,
    started: f64,
}

struct Message {
    arrives: f64,
    lines: Vec<(usize, String)>,
    withdrawn: BTreeSet<String>,
}

struct Proxy {
    /// The owner of each slice that it has read.
    lines: Vec<Option<String>>,
    withdrawn: BTreeSet<String>,
    inbox: VecDeque<Message>,
    bare_since: Vec<Option<f64>>,
}

struct Play {
    start: Instant,
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    record: File,
    serial: u64,
    timers: Vec<(f64, u64)>,
    servers: BTreeMap<String, Server>,
    proxies: Vec<Proxy>,
    withdrawn: BTreeSet<String>,
    channel_free: f64,
    last_turn: f64,
    violations: Vec<String>,
    broken: BTreeSet<(usize, usize)>,
    longest: f64,
    seed: u64,
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> i32 {
    match Play::start(root, record) {
        Some(mut play) => {
            let result = play.course(trouble).unwrap_or(2);
            let _ = play.child.kill();
            let _ = play.child.wait();
            running(0);
            println!("result {result}");
            result
        }
        None => 2,
    }
}

fn entry(id: &str, server: &Server) -> String {
    let came = if server.started < 0.0 { 0 } else { ORIGIN_US + (server.started * 1e6) as u64 };
    format!(
        r#"{{"server":"{id}","campus":{},"model":0,"unitGroup":{},"health":{},"weight":1,"cameUpUs":{came}}}"#,
        server.zone, server.zone, server.health
    )
}

impl Play {
    fn start(root: &Path, record: &Path) -> Option<Play> {
        let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
        let line = text.lines().find(|line| line.starts_with("sim"))?;
        let command = line.split_once('=')?.1.trim().trim_matches('"').to_owned();
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&command)
            .current_dir(root)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        running(child.id());
        let input = child.stdin.take()?;
        let output = BufReader::new(child.stdout.take()?);
        let mut play = Play {
            start: Instant::now(),
            child,
            input,
            output,
            record: File::create(record).ok()?,
            serial: 0,
            timers: Vec::new(),
            servers: BTreeMap::new(),
            proxies: Vec::new(),
            withdrawn: BTreeSet::new(),
            channel_free: 0.0,
            last_turn: 0.0,
            violations: Vec::new(),
            broken: BTreeSet::new(),
            longest: 0.0,
            seed: 0x2545_F491_4F6C_DD1D,
        };
        let slices = SERVERS * SLICES_PER_SERVER;
        for number in 0..SERVERS {
            let server = Server { zone: number % ZONES, health: 1, started: -1.0 };
            play.servers.insert(format!("127.0.0.1:{}", 9000 + number), server);
        }
        let owner = |slice: usize| format!("127.0.0.1:{}", 9000 + slice / SLICES_PER_SERVER);
        for _ in 0..PROXIES {
            play.proxies.push(Proxy {
                lines: (0..slices).map(|slice| Some(owner(slice))).collect(),
                withdrawn: BTreeSet::new(),
                inbox: VecDeque::new(),
                bare_since: vec![None; slices],
            });
        }
        let list: Vec<String> = play.servers.iter().map(|(id, server)| entry(id, server)).collect();
        let mut events = vec![
            format!(r#"{{"kind":"UP","who":0,"entropy":7149503242049710,"env":{}}}"#, env()),
            format!(r#"{{"kind":"PAGE","page":0,"elements":[{}]}}"#, list.join(",")),
            r#"{"kind":"TOPOLOGY","who":0,"form":2,"epoch":0,"page":0}"#.to_owned(),
        ];
        for slice in 0..slices {
            events.push(format!(r#"{{"kind":"ASSIGNED_TO_ME","who":0,"mapId":{slice},"set":true}}"#));
            events.push(format!(
                r#"{{"kind":"STORED_LINE","who":0,"mapId":{slice},"server":"{}","weight":1}}"#,
                owner(slice)
            ));
        }
        for proxy in 0..PROXIES {
            events.push(format!(
                r#"{{"kind":"STREAM_UP","who":0,"px":{proxy},"campus":{},"weight":11.0,"set":true}}"#,
                proxy % ZONES
            ));
        }
        play.batch(&events)?;
        Some(play)
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn note(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.record, "{now:9.3} {text}");
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Sends a batch and carries out the reply.
    fn batch(&mut self, events: &[String]) -> Option<()> {
        let now = self.now();
        let time = ORIGIN_US + (now * 1e6) as u64;
        self.serial += 1;
        let mut text = format!("{{\"kind\":\"TICK\",\"timeUs\":{time},\"serial\":{}}}\n", self.serial);
        for event in events {
            text += event;
            text += "\n";
        }
        text += "{\"kind\":\"OVER_TO_YOU\"}\n";
        self.input.write_all(text.as_bytes()).ok()?;
        self.input.flush().ok()?;
        for event in events.iter().filter(|event| !event.contains("\"env\"")) {
            self.note(&format!("event {event}"));
        }
        let mut lines: BTreeMap<usize, Vec<(usize, String)>> = BTreeMap::new();
        let mut cost = 0.0;
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line).ok()? == 0 {
                self.note("the program has ended");
                return None;
            }
            let action = Json::parse(line.trim().as_bytes())?;
            let number = |name: &str| action.get(name).and_then(Json::number);
            let kind = action.get("kind")?.text()?.to_owned();
            if kind != "FINISHED" && kind != "TIMER" {
                self.note(&format!("action {}", line.trim()));
            }
            match kind.as_str() {
                "FINISHED" => break,
                "TIMER" => self.timers.push((now + number("afterUs")? / 1e6, number("label")? as u64)),
                "ENDPOINT" => {
                    let server = action.get("server")?.text()?.to_owned();
                    if number("weight")? > 0.0 {
                        let slice = number("mapId")? as usize;
                        for proxy in 0..PROXIES {
                            lines.entry(proxy).or_default().push((slice, server.clone()));
                        }
                    }
                    cost += 1.0;
                }
                "WITHDRAW" => {
                    let server = action.get("server")?.text()?.to_owned();
                    if action.get("set") == Some(&Json::Bool(true)) {
                        self.withdrawn.insert(server);
                    } else {
                        self.withdrawn.remove(&server);
                    }
                    cost += 1.0;
                }
                "SET_LEVEL" => cost += 1.0,
                "DIE" => return None,
                _ => {}
            }
        }
        if cost > 0.0 {
            for proxy in 0..PROXIES {
                self.channel_free = self.channel_free.max(now) + (HEAD + cost) / LINES_PER_S;
                let transit = TRANSIT_S * (0.9 + 0.2 * self.random());
                let arrives = self.channel_free + transit;
                let message = Message {
                    arrives: self.proxies[proxy].inbox.back().map_or(arrives, |m| m.arrives.max(arrives)),
                    lines: lines.remove(&proxy).unwrap_or_default(),
                    withdrawn: self.withdrawn.clone(),
                };
                self.proxies[proxy].inbox.push_back(message);
            }
        }
        Some(())
    }

    /// Lets time go by until a moment of the run.
    fn play_until(&mut self, end: f64) -> Option<()> {
        while self.now() < end {
            sleep(Duration::from_millis(4));
            let now = self.now();
            let due: Vec<u64> =
                self.timers.iter().filter(|(at, _)| *at <= now).map(|(_, label)| *label).collect();
            self.timers.retain(|(at, _)| *at > now);
            if !due.is_empty() {
                self.last_turn = now;
                let events: Vec<String> =
                    due.iter().map(|label| format!(r#"{{"kind":"BELL","who":0,"label":{label}}}"#)).collect();
                self.batch(&events)?;
            }
            self.check(now);
        }
        Some(())
    }

    fn check(&mut self, now: f64) {
        let warm =
            self.servers.values().any(|s| s.health == 1 && (s.started < 0.0 || now - s.started >= COLD_S));
        for number in 0..PROXIES {
            let proxy = &mut self.proxies[number];
            while proxy.inbox.front().is_some_and(|message| message.arrives <= now) {
                let Some(message) = proxy.inbox.pop_front() else { break };
                for (slice, server) in message.lines {
                    proxy.lines[slice] = Some(server);
                }
                proxy.withdrawn = message.withdrawn;
            }
            for slice in 0..proxy.lines.len() {
                let has = proxy.lines[slice].as_ref().is_some_and(|id| !proxy.withdrawn.contains(id));
                if has || !warm {
                    proxy.bare_since[slice] = None;
                    continue;
                }
                let bare = now - *proxy.bare_since[slice].get_or_insert(now);
                self.longest = self.longest.max(bare);
                if bare > UNSERVED_S && self.broken.insert((number, slice)) {
                    let text =
                        format!("rule 1: proxy {number} has had no server for slice {slice} for {bare:.2} s");
                    let _ = writeln!(self.record, "{now:9.3} BROKEN {text}");
                    self.violations.push(text);
                }
            }
        }
    }

    fn tell(&mut self, changes: &[String]) -> Option<()> {
        let list: Vec<String> = changes.iter().map(|id| entry(id, &self.servers[id])).collect();
        let events = [
            format!(r#"{{"kind":"PAGE","page":1,"elements":[{}]}}"#, list.join(",")),
            format!(r#"{{"kind":"TOPOLOGY","who":0,"form":0,"epoch":{},"page":1}}"#, self.serial),
        ];
        self.batch(&events)
    }

    /// A rolling deploy: two of twelve servers at a time, four steps 7 s apart.
    fn course(&mut self, trouble: bool) -> Option<i32> {
        self.play_until(5.3)?;
        let mut at = 5.3;
        for step in 0..4 {
            if trouble {
                let old: Vec<String> = (0..2).map(|k| format!("127.0.0.1:{}", 9000 + step * 2 + k)).collect();
                for id in &old {
                    self.servers.get_mut(id)?.health = 2;
                }
                let since_turn = self.now() - self.last_turn;
                self.note(&format!("two servers drain, {since_turn:.2} s after a turn of the instance"));
                self.tell(&old)?;
                self.play_until(at + 4.0)?;
                let now = self.now();
                let mut changes = old.clone();
                for id in &old {
                    self.servers.get_mut(id)?.health = 0;
                }
                for k in 0..2 {
                    let id = format!("127.0.0.1:{}", 9100 + step * 2 + k);
                    let zone = (step * 2 + k) % ZONES;
                    self.servers.insert(id.clone(), Server { zone, health: 1, started: now });
                    changes.push(id);
                }
                self.play_until(at + 4.6)?;
                self.tell(&changes)?;
            }
            at += 7.2;
            self.play_until(at)?;
        }
        self.play_until(at + 10.0)?;
        let text =
            format!("longest time without a server for a slice: {:.2} s, {UNSERVED_S} allowed", self.longest);
        self.note(&text);
        println!("{text}");
        let broken = self.violations.len();
        self.note(&format!("{broken} pairs of proxy and slice were without a server for too long"));
        println!("{broken} pairs of proxy and slice were without a server for too long");
        Some(i32::from(broken > 0))
    }
}
