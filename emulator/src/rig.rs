//! A whole fleet of stand-ins: started from its description, steered, played a load and troubles, and told what it came to.

use crate::clients::{self, Fronts, Seen, Watch};
use crate::forwarder::{Forwarder, Nodes, Told};
use crate::inside::{self, Word};
use crate::list::{Entry, List};
use crate::net::Net;
use crate::node::Node;
use crate::plane::Between;
use crate::relay::{Names, Relay};
use crate::word;
use otterwinch::host::{EndpointState, RetryPolicy};
use otterwinch::time::Span;
use otterwinch_fleet::model::Fleet;
use otterwinch_fleet::ScheduledRequest;
use otterwinch_simulation::route_table::{AdmissionLevel, TableSnapshot, WeightedEndpoints};
use otterwinch_simulation::{endpoint_speeds, EndpointResult, Fault, ScheduledFault};
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// Who writes the tables.
#[derive(Clone, Debug, PartialEq)]
pub enum Steering {
    /// Nobody: each hall's forwarders hold these weights, by node, and let in these parts of the products.
    Fixed { weights: Vec<Vec<f64>>, levels: Vec<f64> },
    /// Supervisors in this process, without sockets.
    Inside,
    /// This program, in a process of its own for each supervisor, over the published protocol. Its config and log go to
    /// that folder.
    Program { path: PathBuf, folder: PathBuf },
}

type Listed = (EndpointState, Option<Instant>);

/// How long supervisors may take until each forwarder holds a table of theirs.
const SETTLES_WITHIN: Duration = Duration::from_secs(20);

enum Seat {
    Inside { words: mpsc::UnboundedSender<Word>, between: Arc<Between> },
    Program(Box<Program>),
}

struct Program {
    relay: Relay,
    list: List,
    between: Arc<Between>,
    _collects: Aborts,
    _process: Child,
}

/// Ends a task when it is dropped.
struct Aborts(JoinHandle<()>);

impl Drop for Aborts {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub struct Rig {
    fleet: Fleet,
    net: Net,
    seed: u64,
    nodes: Arc<Vec<Node>>,
    weights: Vec<f64>,
    forwarders: Arc<Vec<Forwarder>>,
    fronts: Fronts,
    seats: Arc<Vec<Seat>>,
    /// What the list says of each node, and since when it has been up.
    standings: Mutex<Vec<Listed>>,
}

/// What a play came to.
#[derive(Clone, Debug)]
pub struct Played {
    pub seen: Seen,
    pub nodes: Vec<EndpointResult>,
    pub crossed: u64,
    pub attempts: u64,
    /// Lines that waited at most in any supervisor's channel.
    pub most_waiting: f64,
    pub seconds: f64,
}

fn span(span: Span) -> Duration {
    Duration::from_micros(span.as_us().max(0) as u64)
}

impl Rig {
    /// Starts all of a fleet. A supervisor inside needs a `LocalSet` around, since the rules stay on one thread.
    pub async fn start(fleet: &Fleet, net: Net, seed: u64, steering: &Steering) -> io::Result<Rig> {
        let now = Instant::now();
        let mut nodes = Vec::new();
        for (place, group) in fleet.groups.iter().enumerate() {
            for (k, speed) in (0..).zip(endpoint_speeds(group, place, seed)) {
                // Before this process began there was no instant; so long ago is warm in any case.
                let started = group.uptime.and_then(|ago| now.checked_sub(span(ago)));
                nodes.push(Node::start(&net, (group, place, k), speed, started, seed).await?);
            }
        }
        let weights: Vec<f64> = nodes.iter().map(|node| fleet.groups[node.group].weight).collect();
        let known = Arc::new(Nodes {
            addresses: nodes.iter().map(|node| node.address.clone()).collect(),
            halls: nodes.iter().map(|node| node.hall).collect(),
        });
        let (mut forwarders, mut fronts) = (Vec::new(), Vec::new());
        for (hall, told) in fleet.zones.iter().enumerate() {
            let given = match steering {
                Steering::Fixed { weights, levels } => {
                    let lines = WeightedEndpoints::new((0..).zip(weights[hall].iter().copied()));
                    let level =
                        |share: &f64| Some(AdmissionLevel { admitted: *share, retry: RetryPolicy::Never });
                    Some(Arc::new(TableSnapshot {
                        endpoints: lines,
                        admission: levels.iter().map(level).collect(),
                    }))
                }
                _ => None,
            };
            let mut front = Vec::new();
            for _ in 0..told.proxy_count {
                let told = Told {
                    number: forwarders.len() as u32,
                    hall,
                    products: fleet.request_classes.len(),
                    again: fleet.proxies.retries_unexecuted,
                    idle: span(fleet.proxies.idle_timeout),
                    line: span(fleet.proxies.apply_time_per_line),
                    ways: fleet.network.zone_latency[hall].iter().map(|way| span(*way)).collect(),
                };
                let standing = fleet.proxies.initial_table_size;
                let forwarder =
                    Forwarder::start(&net, told, known.clone(), standing, given.clone(), seed).await?;
                front.push(forwarder.address.clone());
                forwarders.push(forwarder);
            }
            fronts.push(front);
        }
        let standing = |node: &Node| {
            let ago = fleet.groups[node.group].uptime;
            (EndpointState::Ready, ago.and_then(|ago| now.checked_sub(span(ago))))
        };
        let standings = Mutex::new(nodes.iter().map(standing).collect());
        let mut rig = Rig {
            fleet: fleet.clone(),
            net,
            seed,
            nodes: Arc::new(nodes),
            weights,
            forwarders: Arc::new(forwarders),
            fronts: Arc::new(Mutex::new(fronts)),
            seats: Arc::default(),
            standings,
        };
        let count =
            if matches!(steering, Steering::Fixed { .. }) { 0 } else { fleet.control_plane.instances };
        let mut seats = Vec::new();
        for k in 0..count {
            seats.push(rig.seat(k, steering).await?);
        }
        rig.seats = Arc::new(seats);
        for forwarder in 0..rig.forwarders.len() as u32 {
            rig.joins(forwarder);
        }
        Ok(rig)
    }

    async fn seat(&self, k: u32, steering: &Steering) -> io::Result<Seat> {
        let fleet = &self.fleet;
        let (between, applied) =
            Between::open(&fleet.control_plane, fleet.request_classes.len(), self.forwarders.clone());
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let seed = self.seed.wrapping_add(u64::from(k) + 1);
        let Steering::Program { path, folder } = steering else {
            let (words, told) = mpsc::unbounded_channel();
            let _ = words.send(Word::Listed(self.told(&(0..names.len() as u32).collect::<Vec<_>>())));
            let (fleet, forwarders) = (fleet.clone(), self.forwarders.clone());
            tokio::task::spawn_local(inside::supervise(
                fleet,
                names,
                between.clone(),
                forwarders,
                told,
                applied,
                seed,
            ));
            return Ok(Seat::Inside { words, between });
        };
        let all: Vec<u32> = (0..names.len() as u32).collect();
        let list = List::start(&self.net, self.entries(&all)).await?;
        let relay_names = Names {
            nodes: names.iter().cloned().zip(0..).collect(),
            products: fleet.request_classes.iter().map(|p| p.name.clone()).collect(),
            halls: fleet.zones.iter().map(|h| h.name.clone()).collect(),
        };
        let relay = Relay::start(&self.net, between.clone(), applied, relay_names).await?;
        let listen = free_address()?;
        let hosts: Vec<_> = self.entries(&all).iter().map(Entry::json).collect();
        let known = json!({"seq": 1, "whole": true, "hosts": hosts});
        let name = format!("supervisor-{k}");
        let config = word::config(fleet, &name, &listen, &list.address, &relay.address, known, seed);
        let process = start_program(path, folder, &name, &config.to_string())?;
        answers(&listen).await.map_err(|e| {
            let log = folder.join(format!("{name}.log"));
            io::Error::other(format!(
                "{} does not answer at {listen}: {e}; its log: {}",
                path.display(),
                log.display()
            ))
        })?;
        let count = fleet.control_plane.instances;
        let collects =
            word::collect(fleet.clone(), listen, names, self.forwarders.clone(), move |f| f % count == k);
        let collects = Aborts(tokio::spawn(collects));
        Ok(Seat::Program(Box::new(Program { relay, list, between, _collects: collects, _process: process })))
    }

    fn joins(&self, forwarder: u32) {
        if self.seats.is_empty() {
            return;
        }
        let seat = &self.seats[forwarder as usize % self.seats.len()];
        let hall = self.forwarders[forwarder as usize].told.hall;
        let told = &self.fleet.zones[hall];
        let whole = self.fleet.capacity() / self.fleet.mean_work().max(1e-9) * 0.6;
        let rate = whole * told.client_share / f64::from(told.proxy_count);
        match seat {
            Seat::Inside { words, between } => {
                between.joins(forwarder);
                let _ = words.send(Word::Joined { forwarder, hall: hall as u32, rate, fresh: true });
            }
            Seat::Program(program) => program.relay.joins(forwarder, hall, rate, true),
        }
    }

    fn leaves(&self, forwarder: u32) {
        if self.seats.is_empty() {
            return;
        }
        match &self.seats[forwarder as usize % self.seats.len()] {
            Seat::Inside { words, between } => {
                between.leaves(forwarder);
                let _ = words.send(Word::Left(forwarder));
            }
            Seat::Program(program) => program.relay.leaves(forwarder),
        }
    }

    /// Waits until each forwarder holds a table that a supervisor wrote. An error names how many do not.
    pub async fn settles(&self) -> io::Result<()> {
        let until = Instant::now() + SETTLES_WITHIN;
        loop {
            let waits = (0..self.forwarders.len() as u32).filter(|f| !self.bound(*f)).count();
            if waits == 0 {
                return Ok(());
            }
            if Instant::now() >= until {
                let all = self.forwarders.len();
                return Err(io::Error::other(format!(
                    "{waits} of {all} forwarders got no table within 20 s"
                )));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn bound(&self, forwarder: u32) -> bool {
        self.seats.is_empty() || self.forwarders[forwarder as usize].is_bound()
    }

    fn told(&self, nodes: &[u32]) -> Vec<inside::Told> {
        let standings = self.standings.lock().expect("no holder panics");
        let one = |k: &u32| {
            let node = &self.nodes[*k as usize];
            let (standing, started) = standings[*k as usize];
            let weight = self.weights[*k as usize];
            inside::Told { name: node.name.clone(), hall: node.hall as u32, weight, standing, started }
        };
        nodes.iter().map(one).collect()
    }

    fn entries(&self, nodes: &[u32]) -> Vec<Entry> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let told = self.told(nodes);
        let one = |told: inside::Told| Entry {
            dial: self
                .nodes
                .iter()
                .find(|n| n.name == told.name)
                .map(|n| n.address.clone())
                .unwrap_or_default(),
            site: self.fleet.zones[told.hall as usize].name.clone(),
            health: match told.standing {
                EndpointState::Ready => "active",
                EndpointState::Draining => "leaving",
                EndpointState::Removed => "left",
            },
            share: told.weight,
            born_ms: told.started.map_or(0, |at| unix.saturating_sub(at.elapsed()).as_millis() as u64),
            host: told.name,
        };
        told.into_iter().map(one).collect()
    }

    /// Changes what the list says of some nodes; supervisors hear of it later.
    fn lists(&self, nodes: &[u32], standing: EndpointState, started: bool) {
        {
            let mut standings = self.standings.lock().expect("no holder panics");
            for node in nodes {
                let entry = &mut standings[*node as usize];
                entry.0 = standing;
                if started {
                    entry.1 = Some(Instant::now());
                }
            }
        }
        let (told, entries) = (self.told(nodes), self.entries(nodes));
        let (seats, late) = (self.seats.clone(), span(self.fleet.control_plane.endpoint_list_delay));
        tokio::spawn(async move {
            sleep(late).await;
            for seat in seats.iter() {
                match seat {
                    Seat::Inside { words, .. } => _ = words.send(Word::Listed(told.clone())),
                    Seat::Program(program) => program.list.changes(entries.clone()),
                }
            }
        });
    }

    async fn befalls(&self, what: &Fault) -> io::Result<()> {
        let of_hall = |hall: usize| -> Vec<u32> {
            (0..).zip(self.nodes.iter()).filter(|(_, node)| node.hall == hall).map(|(k, _)| k).collect()
        };
        match what {
            Fault::Crash(node) => {
                self.nodes[*node as usize].dies();
                self.lists(&[*node], EndpointState::Removed, false);
            }
            Fault::Restart(node) => {
                self.nodes[*node as usize].returns().await?;
                self.lists(&[*node], EndpointState::Ready, true);
            }
            Fault::Drain(node) => self.lists(&[*node], EndpointState::Draining, false),
            Fault::SlowDown(node, times) => self.nodes[*node as usize].slows(*times),
            Fault::FailRequests(node, part) => self.nodes[*node as usize].fails(*part),
            Fault::Hang(node, does) => self.nodes[*node as usize].hangs(*does),
            Fault::ZoneOutage(hall) => {
                let nodes = of_hall(*hall);
                nodes.iter().for_each(|node| self.nodes[*node as usize].dies());
                self.lists(&nodes, EndpointState::Removed, false);
                self.fronts.lock().expect("no holder panics")[*hall].clear();
                for forwarder in self.forwarders.iter().filter(|f| f.told.hall == *hall) {
                    forwarder.dies();
                    self.leaves(forwarder.told.number);
                }
            }
            Fault::ZoneRecovery(hall) => {
                let nodes = of_hall(*hall);
                for node in &nodes {
                    self.nodes[*node as usize].returns().await?;
                }
                self.lists(&nodes, EndpointState::Ready, true);
                for forwarder in self.forwarders.iter().filter(|f| f.told.hall == *hall) {
                    forwarder.returns().await?;
                    self.joins(forwarder.told.number);
                    let address = forwarder.address.clone();
                    self.fronts.lock().expect("no holder panics")[*hall].push(address);
                }
            }
        }
        Ok(())
    }

    /// Plays a load and what befalls the fleet meanwhile.
    pub async fn play(
        self: &Arc<Self>,
        load: impl Iterator<Item = ScheduledRequest>,
        happenings: &[ScheduledFault],
        watch: impl FnOnce(Watch),
    ) -> io::Result<Played> {
        let begin = Instant::now() + Duration::from_millis(20);
        let mut troubles = tokio::task::JoinSet::new();
        for ScheduledFault { at, fault: what } in happenings.iter().cloned() {
            let rig = self.clone();
            troubles.spawn(async move {
                sleep_until(begin + Duration::from_secs_f64(at.max(0.0))).await;
                rig.befalls(&what).await
            });
        }
        // Nodes' use is counted while the load comes; what is worked on after its last txn is not.
        let ended = Arc::new(Mutex::new(None));
        let used = |nodes: &[Node]| -> Vec<u64> {
            nodes.iter().map(|node| node.counts().used_us.load(Ordering::Relaxed)).collect()
        };
        let before = used(&self.nodes);
        let (nodes, marks) = (self.nodes.clone(), ended.clone());
        let mut load = load;
        let mut last = 0.0f64;
        let counted = std::iter::from_fn(move || match load.next() {
            Some(due) => {
                last = last.max(due.at);
                Some(due)
            }
            None => {
                let mut ended = marks.lock().expect("no holder panics");
                ended.get_or_insert_with(|| (last, used(&nodes)));
                None
            }
        });
        let seed = self.seed;
        let seen =
            clients::play(&self.fleet, &self.net, self.fronts.clone(), begin, counted, seed, watch).await;
        while let Some(befell) = troubles.join_next().await {
            befell.map_err(io::Error::other)??;
        }
        let ended = ended.lock().expect("no holder panics").take();
        let (seconds, after) = ended.unwrap_or((0.0, used(&self.nodes)));
        let node = |(k, node): (usize, &Node)| {
            let counts = node.counts();
            let core_us = f64::from(node.cores()) * seconds.max(1e-3) * 1e6;
            EndpointResult {
                name: node.name.clone(),
                group: node.group,
                zone: node.hall,
                utilisation: (after[k] - before[k]) as f64 / core_us,
                accepted: counts.taken.load(Ordering::Relaxed),
                rejected: counts.turned_away.load(Ordering::Relaxed),
                refused_connections: counts.refused.load(Ordering::Relaxed),
                collapsed: node.toppled(),
            }
        };
        let attempts: Vec<(u64, u64)> = self.forwarders.iter().map(Forwarder::attempts).collect();
        let waited = |seat: &Seat| match seat {
            Seat::Inside { between, .. } => between.lines().0,
            Seat::Program(program) => program.between.lines().0,
        };
        Ok(Played {
            seen,
            nodes: self.nodes.iter().enumerate().map(node).collect(),
            crossed: attempts.iter().map(|a| a.1).sum(),
            attempts: attempts.iter().map(|a| a.0).sum(),
            most_waiting: self.seats.iter().map(waited).fold(0.0, f64::max),
            seconds,
        })
    }
}

/// A port that was free a moment ago.
fn free_address() -> io::Result<String> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

fn start_program(path: &Path, folder: &Path, name: &str, config: &str) -> io::Result<Child> {
    let (file, log) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.log")));
    std::fs::write(&file, config)?;
    let mut command = Command::new(path);
    for var in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY"] {
        command.env_remove(var);
    }
    command
        .arg("serve")
        .env("GW_CONFIG", &file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(log)?)
        .kill_on_drop(true)
        .spawn()
        .map_err(|e| io::Error::other(format!("{} can't be started: {e}; build it first", path.display())))
}

/// Waits until a supervisor answers a probe.
async fn answers(address: &str) -> io::Result<()> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let asked = async {
        loop {
            let once = async {
                let mut stream = tokio::net::TcpStream::connect(address).await?;
                stream.write_all(b"\0\0\0\x0f{\"msg\":\"probe\"}").await?;
                let mut length = [0; 4];
                stream.read_exact(&mut length).await
            };
            if once.await.is_ok() {
                return;
            }
            sleep(Duration::from_millis(30)).await;
        }
    };
    let asked = tokio::time::timeout(Duration::from_secs(10), asked).await;
    asked.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))
}

/// Runs a play on a paused clock, in memory, in a fraction of its time; the same plan gives the same course but for what
/// hangs on the order in which tasks wake.
#[cfg(any(test, feature = "paused"))]
pub fn in_memory<F: std::future::Future>(play: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), play)
}
