//! Stand-ins for the list and the relay, and the built program between them. Written from the published
//! protocol; every wait is for something that happens, under one generous limit.

use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub const LIMIT: Duration = Duration::from_secs(30);

/// Tries again and again until something comes, under the one limit.
pub fn until<T>(what: &str, mut comes: impl FnMut() -> Option<T>) -> T {
    let from = Instant::now();
    while from.elapsed() < LIMIT {
        if let Some(came) = comes() {
            return came;
        }
    }
    panic!("waited in vain: {what}");
}

/// Reads one HTTP message: its first line and its body.
fn message(from: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.to_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        }
        first = if first.is_empty() { line } else { first };
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some((first, body))
}

fn answer(to: &mut TcpStream, status: &str, body: &str) {
    let _ = to.write_all(text_of(status, body).as_bytes());
}

/// The same, a few bytes at a time.
fn answer_in_pieces(to: &mut TcpStream, body: &str) {
    let _ = to.set_nodelay(true);
    text_of("200 OK", body)
        .as_bytes()
        .chunks(9)
        .for_each(|piece| _ = to.write_all(piece).and_then(|()| to.flush()));
}

/// The whole text of an answer.
fn text_of(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// So many bytes of an answer, and the end.
fn cut(to: &mut TcpStream, body: &str, after: usize) {
    let text = text_of("200 OK", body);
    let _ = to.write_all(&text.as_bytes()[..after.min(text.len() - 1)]);
    let _ = to.shutdown(Shutdown::Both);
}

/// The connection is reset as soon as its last descriptor is closed.
fn reset_at_close(to: &TcpStream) {
    socket2::SockRef::from(to).set_linger(Some(Duration::ZERO)).unwrap();
}

/// Accepts for ever; each connection has a thread and lives while `serve` says so.
fn stand_in(serve: impl Fn(&str, &[u8], &mut TcpStream) -> bool + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            spawn(move || {
                let (mut from, mut to) = (BufReader::new(stream.try_clone().unwrap()), stream);
                while let Some((first, body)) = message(&mut from) {
                    if !serve(&first, &body, &mut to) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// What the relay does with a call.
#[derive(Clone, Copy)]
pub enum Does {
    Takes,
    TakesInPieces,
    /// Takes so many and stops at the next.
    TakesOnly(usize),
    /// Takes all and closes the connection, as after a spell of idleness.
    TakesAndCloses,
    /// Reads the call and closes.
    Breaks,
    /// Reads the call and says nothing.
    IsSilent,
    /// Reads the call and answers once it is told to.
    Holds,
    /// Reads the call and resets the connection.
    Resets,
    /// Takes all, and the answer ends after so many bytes.
    CutsAfter(usize),
    /// Takes all and says so twice.
    AnswersTwice,
    /// Says that it took more than it was sent.
    TakesTooMany,
    /// Answers what is no HTTP.
    Babbles,
    /// Answers what can't be read.
    Mumbles,
    Throttles,
    /// Says that this is no call.
    CannotUseIt,
}

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    calls: Arc<Mutex<Receiver<Vec<Value>>>>,
    plan: Arc<Mutex<VecDeque<Does>>>,
    events: Arc<Mutex<(Vec<String>, Vec<TcpStream>)>>,
    reached: Arc<AtomicBool>,
    /// Answers that may be given of those held back.
    released: Arc<(Mutex<usize>, Condvar)>,
}

fn chunk(to: &mut TcpStream, text: &str) -> bool {
    write!(to, "{:x}\r\n{text}\r\n", text.len()).is_ok()
}

impl Relay {
    pub fn start() -> Relay {
        let plan = Arc::new(Mutex::new(VecDeque::new()));
        let events: Arc<Mutex<(Vec<String>, Vec<TcpStream>)>> = Arc::default();
        let (told, calls): (Sender<Vec<Value>>, _) = channel();
        let (plans, opens, silent) = (plan.clone(), events.clone(), Arc::new(Mutex::new(Vec::new())));
        let reached = Arc::new(AtomicBool::new(true));
        let released: Arc<(Mutex<usize>, Condvar)> = Arc::default();
        let releases = released.clone();
        let (life_reached, opens_reached) = (reached.clone(), reached.clone());
        let address = stand_in(move |first, body, to| {
            if first.starts_with("GET /v3/kv/stream") {
                if !opens_reached.load(Ordering::SeqCst) {
                    silent.lock().unwrap().push(to.try_clone().unwrap());
                    return false;
                }
                let mut events = opens.lock().unwrap();
                let _ = write!(to, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
                events.0.iter().for_each(|line| _ = chunk(to, &format!("{line}\n")));
                chunk(to, "{}\n");
                events.1.push(to.try_clone().unwrap());
                return false;
            }
            assert!(body.len() <= 60_000, "a call of {} bytes", body.len());
            let value: Value = serde_json::from_slice(body).unwrap();
            let commands = value["changes"].as_array().unwrap().clone();
            let does = plans.lock().unwrap().pop_front().unwrap_or(Does::Takes);
            let all = commands.len();
            let _ = told.send(commands);
            match does {
                Does::Takes => answer(to, "200 OK", &json!({"taken": all}).to_string()),
                Does::TakesAndCloses => {
                    answer(to, "200 OK", &json!({"taken": all}).to_string());
                    let _ = to.shutdown(Shutdown::Both);
                }
                Does::TakesInPieces => answer_in_pieces(to, &json!({"taken": all}).to_string()),
                Does::TakesOnly(n) => answer(to, "200 OK", &json!({"taken": n}).to_string()),
                Does::Breaks => _ = to.shutdown(Shutdown::Both),
                Does::Holds => {
                    let (free, told) = &*releases;
                    let held = told.wait_timeout_while(free.lock().unwrap(), LIMIT, |free| *free == 0);
                    *held.unwrap().0 -= 1;
                    answer(to, "200 OK", &json!({"taken": all}).to_string());
                }
                Does::Resets => {
                    reset_at_close(to);
                    return false;
                }
                Does::CutsAfter(bytes) => cut(to, &json!({"taken": all}).to_string(), bytes),
                Does::AnswersTwice => {
                    let text = text_of("200 OK", &json!({"taken": all}).to_string());
                    let _ = to.write_all(text.repeat(2).as_bytes());
                }
                Does::TakesTooMany => answer(to, "200 OK", &json!({"taken": all + 1}).to_string()),
                Does::Babbles => _ = to.write_all(b"\0\xff no answer at all\r\n\r\n"),
                Does::IsSilent => silent.lock().unwrap().push(to.try_clone().unwrap()),
                Does::Mumbles => answer(to, "200 OK", "{\"tak"),
                Does::CannotUseIt => answer(to, "400 Bad Request", r#"{"error":"invalid"}"#),
                Does::Throttles => answer(to, "429 Too Many Requests", r#"{"error":"throttled"}"#),
            }
            true
        });
        let life = events.clone();
        spawn(move || loop {
            std::thread::sleep(Duration::from_millis(400));
            if life_reached.load(Ordering::SeqCst) {
                life.lock().unwrap().1.retain_mut(|to| chunk(to, "{}\n"));
            }
        });
        Relay { address, calls: Arc::new(Mutex::new(calls)), plan, events, reached, released }
    }

    /// Gives one answer that is held back.
    pub fn releases(&self) {
        *self.released.0.lock().unwrap() += 1;
        self.released.1.notify_one();
    }

    /// No sign of life from now on, and no answer to who would open the event stream.
    pub fn is_out_of_reach(&self) {
        self.reached.store(false, Ordering::SeqCst);
    }

    pub fn will(&self, does: Does) {
        self.plan.lock().unwrap().push_back(does);
    }

    pub fn joins(&self, proxy: u32) {
        let line = json!({"type": "hello", "object":
            {"node": proxy, "locality": "north", "w": 20.5, "cold": true}})
        .to_string();
        let mut events = self.events.lock().unwrap();
        events.1.iter_mut().for_each(|to| _ = chunk(to, &format!("{line}\n")));
        events.0.push(line);
    }

    /// Breaks the event stream off; on reopening it opens with these lines.
    pub fn opens_anew_with(&self, lines: &[Value]) {
        let mut events = self.events.lock().unwrap();
        events.0 = lines.iter().map(Value::to_string).collect();
        events.1.drain(..).for_each(|to| _ = to.shutdown(Shutdown::Both));
    }

    /// Breaks the event stream off; on reopening it tells of nobody but the last who joined.
    pub fn forgets_all_but_the_last(&self) {
        let mut events = self.events.lock().unwrap();
        let last = events.0.pop();
        events.0 = last.into_iter().collect();
        events.1.drain(..).for_each(|to| _ = to.shutdown(Shutdown::Both));
    }

    /// Whether a call has come that was not looked at yet.
    pub fn was_called(&self) -> Option<Vec<Value>> {
        self.calls.lock().unwrap().try_recv().ok()
    }

    pub fn call(&self) -> Vec<Value> {
        self.calls.lock().unwrap().recv_timeout(LIMIT).expect("a call to the relay")
    }

    /// The next command of that kind, in whatever call it comes.
    pub fn command(&self, op: &str) -> Value {
        self.call_with(op).into_iter().find(|command| command["op"] == op).unwrap()
    }

    pub fn call_with(&self, op: &str) -> Vec<Value> {
        until(op, || Some(self.call()).filter(|call| call.iter().any(|command| command["op"] == op)))
    }
}

/// What becomes of the next answer of the list.
pub enum Says {
    /// This in place of its own words.
    Text(String),
    CutAfter(usize),
    Resets,
    Twice,
}

#[derive(Default)]
struct Hosts {
    version: u64,
    standing: Vec<Value>,
    changed: Vec<Value>,
    silent: bool,
    /// Watches for what is newer than it knows are turned away.
    refuses: bool,
    plan: VecDeque<Says>,
}

#[derive(Clone)]
pub struct List {
    pub address: SocketAddr,
    hosts: Arc<(Mutex<Hosts>, Condvar)>,
    calls: Arc<Mutex<Receiver<String>>>,
}

pub fn server(id: &str, health: &str) -> Value {
    json!({"host": id, "dial": "127.0.0.1:9", "site": "north", "class": "m2", "block": 3,
        "health": health, "share": 1.0, "born_ms": 0})
}

impl List {
    pub fn start(ids: &[&str]) -> List {
        let standing = ids.iter().map(|id| server(id, "active")).collect();
        let hosts =
            Arc::new((Mutex::new(Hosts { version: 1, standing, ..Hosts::default() }), Condvar::new()));
        let (told, calls) = channel();
        let shared = hosts.clone();
        let address = stand_in(move |first, _, to| {
            let _ = told.send(first.to_owned());
            let (hosts, changed) = &*shared;
            let mut hosts = hosts.lock().unwrap();
            let since = first.split("since=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
            let wait = first.split("timeout_ms=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
            let body = match since {
                None => json!({"seq": hosts.version, "whole": true, "hosts": hosts.standing}),
                Some(since) => {
                    let most = Duration::from_millis(wait.unwrap_or(0));
                    let stands = |h: &mut Hosts| h.silent || h.version <= since && h.plan.is_empty();
                    hosts = changed.wait_timeout_while(hosts, most, stands).unwrap().0;
                    let told = if hosts.version > since { hosts.changed.clone() } else { vec![] };
                    json!({"seq": hosts.version, "whole": false, "hosts": told})
                }
            };
            if hosts.silent {
                return true;
            }
            if hosts.refuses && since.is_some_and(|since: u64| since > hosts.version) {
                answer(to, "410 Gone", "{}");
                return true;
            }
            match hosts.plan.pop_front() {
                None => answer_in_pieces(to, &body.to_string()),
                Some(Says::Text(text)) => answer(to, "200 OK", &text),
                Some(Says::CutAfter(bytes)) => cut(to, &body.to_string(), bytes),
                Some(Says::Twice) => {
                    _ = to.write_all(text_of("200 OK", &body.to_string()).repeat(2).as_bytes());
                }
                Some(Says::Resets) => {
                    reset_at_close(to);
                    return false;
                }
            }
            true
        });
        List { address, hosts, calls: Arc::new(Mutex::new(calls)) }
    }

    pub fn changes(&self, entries: &[Value]) {
        let mut hosts = self.hosts.0.lock().unwrap();
        hosts.version += 1;
        hosts.changed = entries.to_vec();
        self.hosts.1.notify_all();
    }

    /// The list as it is told whole from now on, and the change that led to it.
    pub fn stands(&self, standing: &[Value], changed: &[Value]) {
        self.hosts.0.lock().unwrap().standing = standing.to_vec();
        self.changes(changed);
    }

    /// Its next answers come to these. A watch that waits is answered at once.
    pub fn will(&self, says: impl IntoIterator<Item = Says>) {
        self.hosts.0.lock().unwrap().plan.extend(says);
        self.hosts.1.notify_all();
    }

    /// Both at once: a change, and what becomes of the answer that tells it.
    pub fn changes_but(&self, standing: &[Value], changed: &[Value], says: Says) {
        let mut hosts = self.hosts.0.lock().unwrap();
        hosts.plan.push_back(says);
        hosts.standing = standing.to_vec();
        hosts.version += 1;
        hosts.changed = changed.to_vec();
        self.hosts.1.notify_all();
    }

    /// It has lost its state and counts from there.
    pub fn restarts_at(&self, version: u64, refuses: bool) {
        let mut hosts = self.hosts.0.lock().unwrap();
        (hosts.version, hosts.refuses) = (version, refuses);
    }

    /// A watch is under way for what is newer than all that was told: the rest has reached the planner.
    pub fn heard_all(&self) {
        let version = self.hosts.0.lock().unwrap().version;
        let since = format!("since={version}&");
        until("a watch for what is newer", || {
            let call = self.calls.lock().unwrap().recv_timeout(LIMIT).expect("a call to the list");
            call.contains(&since).then_some(())
        });
    }

    pub fn silent(&self, is: bool) {
        self.hosts.0.lock().unwrap().silent = is;
    }

    /// The next so many calls have come.
    pub fn called(&self, times: usize) {
        let calls = self.calls.lock().unwrap();
        (0..times).for_each(|_| _ = calls.recv_timeout(LIMIT).expect("a call to the list"));
    }
}

pub fn config(list: SocketAddr, relay: SocketAddr) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": list.to_string(), "seed": "8c1f30d27a5be964",
        "relay": {"address": relay.to_string()},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "zones": ["north", "south"],
            "classes": [{"name": "quote", "promiseUs": 1_500_000, "importance": 1.0},
                {"name": "hold", "promiseUs": 1_200_000, "importance": 3.0}],
            "familyInfo": {"channelRate": 14000.0, "fixedCost": 10.0, "mostWaiting": 14000.0, "proxyCount": 16,
                "initialSet": 12, "transitMaxUs": 300_000, "reportEveryUs": 1_000_000,
                "throttleBy": "fraction"},
            "guarantees": {"drainGraceUs": 1_500_000, "coldUs": 10_000_000},
            "replicasOfMe": 1}})
}

/// A config file that goes when it is dropped.
pub struct File(pub PathBuf);

impl File {
    pub fn with(text: &str) -> File {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("otterwinch-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_otterwinch"));
    ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"].iter().for_each(|var| _ = program.env_remove(var));
    program
}

/// The built program, started; it ends when this is dropped.
pub struct Supervisor {
    pub child: Child,
    pub address: SocketAddr,
    log: Receiver<Value>,
    config: File,
}

impl Supervisor {
    pub fn start(list: &List, relay: &Relay) -> Supervisor {
        Supervisor::with(&config(list.address, relay.address))
    }

    pub fn with(config: &Value) -> Supervisor {
        let file = File::with(&config.to_string());
        let mut program = program();
        let mut child =
            program.arg("serve").env("GW_CONFIG", &file.0).stderr(Stdio::piped()).spawn().unwrap();
        let (told, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        spawn(move || {
            for line in lines.map_while(Result::ok) {
                let _ = told.send(serde_json::from_str(&line).unwrap_or(Value::String(line)));
            }
        });
        let address = ([127, 0, 0, 1], 0).into();
        let mut supervisor = Supervisor { child, address, log, config: file };
        supervisor.address = supervisor.logged("started")["listen"].as_str().unwrap().parse().unwrap();
        supervisor.logged("proxy stream connected");
        supervisor
    }

    /// The next line of the log with that message.
    pub fn logged(&self, msg: &str) -> Value {
        let line = || self.log.recv_timeout(LIMIT).unwrap_or_else(|e| panic!("no '{msg}' in the log: {e}"));
        until(msg, || Some(line()).filter(|line| line["msg"] == msg))
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
    }

    /// What an HTTP client gets for a path, head and body.
    pub fn page(&self, path: &str) -> String {
        let (mut stream, mut text) = (self.connect(), String::new());
        write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Puts another file in the place of the config and tells so.
    pub fn reads_again(&self, config: &str) {
        std::fs::write(&self.config.0, config).unwrap();
        self.signal("HUP");
    }

    /// Stands still from now on: whatever comes meanwhile has come at once when it goes on.
    pub fn stopped<T>(&self, meanwhile: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until("standstill", || std::fs::read_to_string(&stat).ok().filter(|stat| stat.contains(") T ")));
        let came = meanwhile();
        self.signal("CONT");
        came
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// A collector that has joined for a zone.
    pub fn collector(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        self.logged("collector connected");
        stream
    }

    pub fn ends(&mut self) -> Option<i32> {
        let ended = || {
            std::thread::yield_now();
            self.child.try_wait().unwrap()
        };
        until("the program's end", ended).code()
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

pub fn read_frame(from: &mut TcpStream) -> std::io::Result<String> {
    let mut length = [0; 4];
    from.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    from.read_exact(&mut body)?;
    Ok(String::from_utf8(body).unwrap())
}
