//! The sockets of the stand-ins: discovery, the relay and the collectors.

use crate::world::{CallMode, World};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub type Shared = Arc<Mutex<World>>;

pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

struct Request {
    target: String,
    body: Vec<u8>,
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or("").to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { target, body }))
}

fn answer(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ";
    stream.write_all(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes())
}

/// An address of a peer, which can be given up: it then takes no new connection, and closes the open ones.
pub struct Place {
    pub address: SocketAddr,
    given_up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Place {
    pub fn take_no_more(&self) {
        self.given_up.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    pub fn close_open(&self) {
        for stream in self.open.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(world: &Shared, handle: fn(&Shared, TcpStream) -> io::Result<()>) -> io::Result<Place> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = world.clone();
    let given_up = Arc::new(AtomicBool::new(false));
    let open = Arc::new(Mutex::new(Vec::new()));
    let place = Place { address, given_up: given_up.clone(), open: open.clone() };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if given_up.load(Ordering::SeqCst) {
                return;
            }
            let world = world.clone();
            if let Ok(copy) = stream.try_clone() {
                open.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(copy);
            }
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let closing = stream.try_clone();
                let _ = handle(&world, stream);
                if let Ok(stream) = closing {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            });
        }
    });
    Ok(place)
}

pub fn start_discovery(world: &Shared) -> io::Result<Place> {
    serve(world, discovery_connection)
}

fn discovery_connection(world: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let parameter = |name: &str| {
            let (_, query) = request.target.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let since = parameter("since");
        let wait = Duration::from_millis(parameter("timeout_ms").unwrap_or(0));
        let started = Instant::now();
        loop {
            let mut world = lock(world);
            let due = since.is_none_or(|since| world.seq > since) || started.elapsed() >= wait;
            if due && !world.discovery_silent {
                let body = world.list_body(since);
                answer(&mut writer, &body)?;
                break;
            }
            drop(world);
            thread::sleep(Duration::from_millis(2));
        }
    }
    Ok(())
}

pub fn start_relay(world: &Shared) -> io::Result<Place> {
    serve(world, relay_connection)
}

fn relay_connection(world: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if request.target.ends_with("/stream") {
            return news(world, writer);
        }
        if !request.target.ends_with("/batches") {
            answer(&mut writer, r#"{"error":"invalid"}"#)?;
            continue;
        }
        let (mode, executed, spoilt) = {
            let mut world = lock(world);
            let spoilt = world.spoilt_share > 0.0 && world.chance() < world.spoilt_share;
            world.calls += 1;
            let mode = world.mode;
            let carried_out = !matches!(mode, CallMode::ResetUnexecuted | CallMode::SilentUnexecuted);
            let executed = if carried_out { Some(world.carry_out(&request.body)) } else { None };
            let orders = String::from_utf8_lossy(&request.body).matches("\"op\"").count();
            let now = world.now();
            let (wait, end) = match (mode, executed) {
                (CallMode::Answer(_), _) if spoilt => (1.5, "carried out, the answer is spoilt".to_owned()),
                (CallMode::Answer(_), Some(Some(taken))) => (0.0, format!("taken {taken}")),
                (CallMode::Answer(_), _) => (0.0, "invalid".to_owned()),
                (CallMode::ResetUnexecuted | CallMode::ResetExecuted, _) => (0.5, format!("{mode:?}")),
                _ => (1.5, format!("{mode:?}")),
            };
            if wait > 0.0 {
                world.broken_calls += 1;
                world.limits_wait_until = world.limits_wait_until.max(now + wait);
            }
            world.note(format!("call of {orders} orders, {} bytes: {end}", request.body.len()));
            if std::env::var_os("SHOW_ORDERS").is_some() {
                eprintln!("{}", String::from_utf8_lossy(&request.body));
            }
            (mode, executed, spoilt)
        };
        match mode {
            CallMode::Answer(delay_ms) => {
                thread::sleep(Duration::from_millis(delay_ms));
                match executed.flatten() {
                    Some(_) if spoilt => answer(&mut writer, r#"{"taken":"all"}"#)?,
                    Some(taken) => answer(&mut writer, &format!(r#"{{"taken":{taken}}}"#))?,
                    None => {
                        let body = r#"{"error":"invalid"}"#;
                        let head = "HTTP/1.1 400 Bad Request\r\ncontent-length: ";
                        writer.write_all(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes())?;
                    }
                }
            }
            CallMode::ResetUnexecuted | CallMode::ResetExecuted => return Ok(()),
            CallMode::SilentUnexecuted | CallMode::SilentExecuted => {
                // The connection stays open until the caller closes it.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
        }
    }
    Ok(())
}

fn news(world: &Shared, mut writer: TcpStream) -> io::Result<()> {
    let (sender, lines) = channel();
    let mut first = String::new();
    {
        let mut world = lock(world);
        for number in 0..world.proxies.len() {
            if world.proxies[number].joined {
                first.push_str(&world.hello_line(number));
                first.push('\n');
            }
        }
        world.news.push(sender);
        world.note("a news connection is opened");
    }
    writer.write_all(
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n",
    )?;
    let chunk = |writer: &mut TcpStream, text: &str| {
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    };
    if !first.is_empty() {
        chunk(&mut writer, &first)?;
    }
    let mut alive_at = Instant::now() + Duration::from_secs(1);
    loop {
        match lines.recv_timeout(alive_at.saturating_duration_since(Instant::now())) {
            Ok(Some(line)) => chunk(&mut writer, &format!("{line}\n"))?,
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return Ok(()),
            Err(RecvTimeoutError::Timeout) => {
                alive_at += Duration::from_secs(1);
                chunk(&mut writer, "{}\n")?;
            }
        }
    }
}

fn frame(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend(text.as_bytes());
    stream.write_all(&bytes)
}

/// Whether the supervisor answers a probe.
pub fn probe(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        frame(&mut stream, r#"{"msg":"probe"}"#)?;
        let mut reply = [0; 19];
        stream.read_exact(&mut reply)?;
        Ok(&reply[4..] == br#"{"msg":"alive"}"#)
    };
    ask().unwrap_or(false)
}

/// One collector for each zone, which passes on once a second what the proxies met.
pub fn start_collectors(world: &Shared, supervisor: SocketAddr) {
    let world = world.clone();
    thread::spawn(move || {
        let zones = lock(&world).dep.zones.clone();
        let mut streams: Vec<Option<TcpStream>> = zones.iter().map(|_| None).collect();
        let mut late = Vec::new();
        loop {
            thread::sleep(Duration::from_secs(1));
            // The sums arrive some hundred milliseconds late; one interval is close enough.
            let reports = std::mem::replace(&mut late, lock(&world).take_reports());
            for (zone, report) in reports {
                if streams[zone].is_none() {
                    let opened = TcpStream::connect(supervisor).and_then(|mut stream| {
                        stream.set_write_timeout(Some(Duration::from_millis(200)))?;
                        frame(&mut stream, &format!(r#"{{"msg":"agent","locality":"{}"}}"#, zones[zone]))?;
                        Ok(stream)
                    });
                    streams[zone] = opened.ok();
                }
                let sent = streams[zone].as_mut().is_some_and(|stream| frame(stream, &report).is_ok());
                if !sent {
                    streams[zone] = None;
                }
            }
        }
    });
}
