//! Plays one case: starts the stand-ins and the supervisor, causes the disruption, and judges the rule.
//!
//! Usage: `standin-2 CASE RECORD`. The environment names the command that starts the supervisor (`RUN`), and
//! `TROUBLE=0` leaves out the disruption. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod deployment;
mod explore;
mod json;
mod peers;
mod world;

use deployment::Deployment;
use peers::{lock, Place, Shared};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::World;

const LONGEST_RUN: Duration = Duration::from_secs(110);

/// The supervisor's process, which is ended with the case.
pub struct Supervisor {
    child: Option<Child>,
    pub address: SocketAddr,
}

impl Supervisor {
    /// Sends the supervisor's process a signal.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.end();
    }
}

/// A running case.
pub struct Stage {
    pub world: Shared,
    pub supervisor: Supervisor,
    pub trouble: bool,
    folder: PathBuf,
    log: std::fs::File,
    discovery: Place,
    relay: Place,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

impl Stage {
    /// Starts the stand-ins and the supervisor, and waits until it answers. All proxies are joined by then.
    pub fn start(dep: Deployment, record: &Path) -> Result<Stage, String> {
        let fault = |error: std::io::Error| error.to_string();
        let world: Shared = Arc::new(Mutex::new(World::new(dep)));
        {
            let mut world = lock(&world);
            (0..world.proxies.len()).for_each(|number| world.join(number));
        }
        let discovery = peers::start_discovery(&world).map_err(fault)?;
        let relay = peers::start_relay(&world).map_err(fault)?;
        let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(fault)?;
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("tmp")).map_err(fault)?;
        let log = std::fs::File::create(record.with_extension("log")).map_err(fault)?;
        let supervisor = Supervisor { child: None, address: listen };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let mut stage = Stage { world, supervisor, trouble, folder, log, discovery, relay };
        stage.write_config().map_err(fault)?;
        stage.start_supervisor()?;
        let ticking = stage.world.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(4));
                let elapsed = last.elapsed().as_secs_f64();
                last = Instant::now();
                lock(&ticking).tick(elapsed);
            }
        });
        peers::start_collectors(&stage.world, listen);
        Ok(stage)
    }

    fn write_config(&self) -> std::io::Result<()> {
        let (listen, discovery, relay) =
            (self.supervisor.address, self.discovery.address, self.relay.address);
        let world = lock(&self.world);
        let settings = world.dep.settings();
        let known = world.known_list();
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"relay":{{"address":"{relay}"}},"known":{known},"settings":{settings}}}"#
        );
        std::fs::write(self.folder.join("new.json"), config)?;
        std::fs::rename(self.folder.join("new.json"), self.folder.join("config.json"))
    }

    /// Starts the supervisor and waits until it answers.
    pub fn start_supervisor(&mut self) -> Result<(), String> {
        let fault = |error: std::io::Error| error.to_string();
        let run = std::env::var("RUN").map_err(|_| "RUN names no command")?;
        let listen = self.supervisor.address;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("GW_NAME", "n0")
            .env("GW_LISTEN", listen.to_string())
            .env("GW_DISCOVERY", self.discovery.address.to_string())
            .env("GW_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log.try_clone().map_err(fault)?)
            .process_group(0)
            .spawn()
            .map_err(fault)?;
        let pid = child.id();
        self.supervisor.child = Some(child);
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        let started = Instant::now();
        while !peers::probe(listen) {
            if started.elapsed() > Duration::from_secs(20) || !self.supervisor.runs() {
                return Err("the supervisor does not answer".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        lock(&self.world).supervisor_answered();
        Ok(())
    }

    /// Kills the supervisor outright. The relay forgets its tables, and its proxies leave it.
    pub fn kill_supervisor(&mut self) {
        self.supervisor.end();
        lock(&self.world).supervisor_died();
    }

    /// Replaces the configuration: discovery and the relay have new addresses. What was at the old ones takes
    /// no new connection, and closes the open ones after 1.5 s.
    pub fn move_peers(&mut self) -> std::io::Result<()> {
        let old = [
            std::mem::replace(&mut self.discovery, peers::start_discovery(&self.world)?),
            std::mem::replace(&mut self.relay, peers::start_relay(&self.world)?),
        ];
        self.write_config()?;
        self.supervisor.signal("-HUP");
        self.change(|world| {
            world.note("SIGHUP: discovery and the relay have new addresses");
            world.limits_wait_until = world.limits_wait_until.max(world.now() + 4.0);
        });
        old.iter().for_each(Place::take_no_more);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1500));
            old.iter().for_each(Place::close_open);
        });
        Ok(())
    }

    pub fn now(&self) -> f64 {
        lock(&self.world).now()
    }

    pub fn wait_until(&self, time: f64) {
        let pause = lock(&self.world).sleep_time(time);
        thread::sleep(pause);
    }

    pub fn change<T>(&self, change: impl FnOnce(&mut World) -> T) -> T {
        change(&mut lock(&self.world))
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin-2 CASE RECORD");
        std::process::exit(2);
    };
    let record = PathBuf::from(record);
    let (verdict, lines) = cases::play(case, &record);
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    let mut content = lines.join("\n");
    content.push_str(&format!("\n{text}\n"));
    let written = std::fs::write(&record, content);
    println!("{text}");
    std::process::exit(if written.is_ok() { code } else { 2 });
}
