//! The sockets of the stand-ins, and the process under test.

use crate::json::Json;
use crate::world::{CallFault, State, World};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free loopback port")
}

pub fn free_address() -> String {
    listen().local_addr().expect("an address").to_string()
}

/// An address of the agent or the relay, which can close for good.
#[derive(Clone)]
pub struct Door {
    pub address: String,
    pub closing: Arc<AtomicBool>,
    generation: Arc<AtomicU64>,
    handle: Arc<TcpListener>,
}

impl Door {
    pub fn open(world: &Arc<World>, serve: fn(&Arc<World>, &Request, &mut TcpStream, &Door) -> bool) -> Door {
        let listener = Arc::new(listen());
        let door = Door {
            address: listener.local_addr().expect("an address").to_string(),
            closing: Arc::default(),
            generation: Arc::default(),
            handle: listener,
        };
        let (world, own) = (world.clone(), door.clone());
        spawn(move || loop {
            let Ok((stream, _)) = own.handle.accept() else { return };
            if own.closing.load(Ordering::SeqCst) {
                return;
            }
            let (world, own) = (world.clone(), own.clone());
            spawn(move || connection(&world, stream, serve, &own));
        });
        door
    }

    /// Takes no new connection; closes the open ones after 1.5 s.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        let generation = self.generation.clone();
        spawn(move || {
            sleep(Duration::from_millis(1_500));
            generation.fetch_add(1, Ordering::SeqCst);
        });
    }
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

fn connection(
    world: &Arc<World>,
    mut stream: TcpStream,
    serve: fn(&Arc<World>, &Request, &mut TcpStream, &Door) -> bool,
    door: &Door,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
    let generation = door.generation.load(Ordering::SeqCst);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    loop {
        let idle = Instant::now();
        let Some(request) = read_request(&mut reader, || {
            door.generation.load(Ordering::SeqCst) != generation || idle.elapsed() > Duration::from_secs(9)
        }) else {
            break;
        };
        if !serve(world, &request, &mut stream, door) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>, ended: impl Fn() -> bool) -> Option<Request> {
    let mut line = String::new();
    let mut read = |line: &mut String| loop {
        match reader.read_line(line) {
            Ok(0) => return None,
            Ok(_) => return Some(()),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                if ended() {
                    return None;
                }
            }
            Err(_) => return None,
        }
    };
    read(&mut line)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        read(&mut header)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) => return None,
            Ok(count) => filled += count,
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return None,
        }
    }
    Some(Request { method, target, body })
}

fn answer(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).is_ok()
}

/// The agent of the list.
pub fn serve_list(world: &Arc<World>, request: &Request, stream: &mut TcpStream, _: &Door) -> bool {
    if request.method != "GET" || !request.target.starts_with("/v1/servers") {
        return answer(stream, "404 Not Found", "{}");
    }
    let field = |name: &str| {
        let query = request.target.split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let timeout = Duration::from_millis(field("timeout_ms").unwrap_or(0).min(60_000));
    match world.list(field("since"), timeout) {
        Some(body) => answer(stream, "200 OK", &body),
        None => {
            while world.lock().discovery_silent {
                sleep(Duration::from_millis(50));
            }
            false
        }
    }
}

/// The relay.
pub fn serve_relay(world: &Arc<World>, request: &Request, stream: &mut TcpStream, door: &Door) -> bool {
    if request.method == "GET" && request.target == "/v3/kv/stream" {
        serve_news(world, stream, door);
        return false;
    }
    let orders = Json::parse(&request.body);
    let orders = orders.as_ref().and_then(|body| body.get("changes")).and_then(Json::list);
    let Some(orders) = orders.filter(|_| request.method == "POST" && request.body.len() <= 60_000) else {
        return answer(stream, "400 Bad Request", r#"{"error":"invalid"}"#);
    };
    let (fault, taken) = {
        let mut state = world.lock();
        let now = world.now();
        state.calls += 1;
        let mut fault = state.call_faults.pop_front();
        if fault.is_none() && state.random() < state.answer_fault_share {
            let kinds =
                [CallFault::LostDone, CallFault::LostUndone, CallFault::ResetDone, CallFault::ResetUndone];
            fault = Some(kinds[(state.random() * 4.0) as usize]);
        }
        if state.relay_silent {
            fault = Some(CallFault::LostUndone);
        }
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let line = format!("call {} fault {fault:?}: {text}", state.calls);
        state.note(now, &line);
        let undone =
            matches!(fault, Some(CallFault::LostUndone | CallFault::ResetUndone | CallFault::Invalid));
        let taken = if undone { 0 } else { state.carry_out(now, orders) };
        if taken < orders.len() && !undone {
            state.note(now, &format!("taken {taken} of {}", orders.len()));
        }
        match fault {
            Some(CallFault::LostDone | CallFault::LostUndone | CallFault::Late) => {
                state.pause_limits(now, 1.5)
            }
            Some(_) => state.pause_limits(now, 0.5),
            None => {}
        }
        (fault, taken)
    };
    match fault {
        None => {
            sleep(Duration::from_millis(3));
            answer(stream, "200 OK", &format!(r#"{{"taken":{taken}}}"#))
        }
        Some(CallFault::ResetDone | CallFault::ResetUndone) => false,
        Some(CallFault::Invalid) => answer(stream, "400 Bad Request", r#"{"error":"invalid"}"#),
        Some(CallFault::Late) => {
            sleep(Duration::from_millis(400));
            answer(stream, "200 OK", &format!(r#"{{"taken":{taken}}}"#))
        }
        Some(_) => {
            sleep(Duration::from_secs(5));
            false
        }
    }
}

fn serve_news(world: &Arc<World>, stream: &mut TcpStream, door: &Door) {
    let generation = door.generation.load(Ordering::SeqCst);
    let (sender, lines) = channel();
    let (opening, news) = {
        let mut state = world.lock();
        if state.relay_silent {
            drop(state);
            while world.lock().relay_silent {
                sleep(Duration::from_millis(50));
            }
            return;
        }
        let joined: Vec<u32> =
            (0..state.proxies.len() as u32).filter(|p| state.proxies[*p as usize].joined.is_some()).collect();
        let opening: String = joined.iter().map(|p| state.hello_line(*p) + "\n").collect();
        state.readers.push(sender);
        state.note(world.now(), &format!("news opened, {} proxies", joined.len()));
        (opening, state.news_generation)
    };
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut ok = stream.write_all(head.as_bytes()).is_ok();
    let chunk = |stream: &mut TcpStream, text: &str| {
        text.is_empty() || stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
    };
    ok = ok && chunk(stream, &opening) && chunk(stream, "{}\n");
    let mut sign = Instant::now();
    while ok {
        if world.lock().relay_silent {
            sleep(Duration::from_millis(50));
        } else {
            match lines.recv_timeout(Duration::from_millis(50)) {
                Ok(line) => ok = chunk(stream, &line),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
                Err(_) => return,
            }
        }
        let (silent, current) = {
            let state = world.lock();
            (state.relay_silent, state.news_generation)
        };
        if current != news || door.generation.load(Ordering::SeqCst) != generation {
            return;
        }
        if !silent && sign.elapsed() >= Duration::from_secs(1) {
            sign = Instant::now();
            ok = chunk(stream, "{}\n");
        }
    }
}

fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Asks for a sign of life.
pub fn probe(address: &str, timeout: Duration) -> bool {
    let Ok(address) = address.parse() else { return false };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return false };
    let _ = stream.set_read_timeout(Some(timeout));
    if stream.write_all(&frame(r#"{"msg":"probe"}"#)).is_err() {
        return false;
    }
    let mut head = [0; 4];
    if stream.read_exact(&mut head).is_err() {
        return false;
    }
    let mut body = vec![0; u32::from_be_bytes(head).min(1024) as usize];
    stream.read_exact(&mut body).is_ok() && String::from_utf8_lossy(&body).contains("alive")
}

/// The collector of a zone: connects, states its zone and passes reports on each second.
pub fn collector(world: &Arc<World>, zone: usize, listen: String) {
    let world = world.clone();
    spawn(move || {
        let mut stream: Option<TcpStream> = None;
        let name = world.lock().settings.zones[zone];
        loop {
            sleep(Duration::from_millis(1_000));
            if world.lock().done {
                return;
            }
            let messages = world.lock().reports(zone);
            sleep(Duration::from_millis(400));
            if stream.is_none() {
                stream = listen.parse().ok().and_then(|address| {
                    let mut new = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
                    new.write_all(&frame(&format!(r#"{{"msg":"agent","locality":"{name}"}}"#))).ok()?;
                    Some(new)
                });
            }
            let Some(open) = &mut stream else { continue };
            let bytes: Vec<u8> = messages.iter().flat_map(|message| frame(message)).collect();
            if open.write_all(&bytes).is_err() {
                stream = None;
            }
        }
    });
}

/// The process that runs now; 0 if there is none.
static RUNNING: AtomicU32 = AtomicU32::new(0);

/// Ends the process under test and this one if the run takes too long.
pub fn end_after(most: Duration) {
    spawn(move || {
        sleep(most);
        let running = RUNNING.load(Ordering::SeqCst);
        if running > 0 {
            let _ = Command::new("/bin/kill").arg("-KILL").arg(running.to_string()).status();
        }
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

/// Notes the process under test, for [`end_after`].
pub fn running(id: u32) {
    RUNNING.store(id, Ordering::SeqCst);
}

/// The process under test.
pub struct Supervisor {
    pub root: PathBuf,
    pub run: String,
    pub folder: PathBuf,
    pub listen: String,
    pub child: Option<Child>,
    pub starts: u32,
}

impl Supervisor {
    pub fn write_config(&self, world: &World, discovery: &str, relay: &str) {
        let known = world.known();
        let env = world.lock().settings.env();
        let text = format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{discovery}","seed":"8c1f30d27a5be96{:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"relay":{{"address":"{relay}"}},"known":{known},"settings":{env}}}"#,
            self.listen,
            self.starts % 16
        );
        let path = self.folder.join("config.json");
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).expect("a written config");
        std::fs::rename(new, path).expect("a config in place");
    }

    pub fn start(&mut self, discovery: &str) {
        self.starts += 1;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log.txt"));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.run)
            .current_dir(&self.root)
            .env("GW_CONFIG", self.folder.join("config.json"))
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", &self.listen)
            .env("GW_DISCOVERY", discovery)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or(Stdio::null(), Stdio::from))
            .spawn()
            .expect("the program starts");
        running(child.id());
        self.child = Some(child);
    }

    /// Waits until the program gives a sign of life.
    pub fn wait_ready(&mut self, most: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < most {
            if probe(&self.listen, Duration::from_millis(200)) {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("/bin/kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    pub fn has_ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            running(0);
        }
    }

    pub fn terminate(&mut self) {
        self.signal("TERM");
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(700) && self.has_ended().is_none() {
            sleep(Duration::from_millis(10));
        }
        self.kill();
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the proxies until the run is done.
pub fn drive(world: &Arc<World>) {
    let world = world.clone();
    spawn(move || {
        let mut last = world.now();
        loop {
            sleep(Duration::from_millis(4));
            let now = world.now();
            let mut state: std::sync::MutexGuard<'_, State> = world.lock();
            if state.done {
                return;
            }
            let requests = state.limits_from.is_finite();
            state.step(now, now - last, requests);
            last = now;
        }
    });
}
