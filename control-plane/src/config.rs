//! The config of a supervisor: one file, checked against the environment and itself, read at the start and again
//! at each SIGHUP. A new file may move our peers; what it can't change while we run is refused.

use crate::control_loop::Metrics;
use crate::endpoint_watch;
use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointUpdate, RequestClassSet};
use otterwinch_adapter_support::{controller_config, JsonFieldError, JsonFields, SettingsReader};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

/// The settings' names in their order: what comes by name is told to the rules by its place.
#[derive(PartialEq)]
pub struct Names {
    pub zones: Vec<String>,
    pub products: Vec<String>,
    /// Proxies are numbered below this.
    pub proxies: u32,
}

impl Names {
    pub fn zone(&self, name: &str) -> Result<u32, String> {
        place(&self.zones, name).ok_or_else(|| format!("zone '{name}' is not in the settings"))
    }

    pub fn product(&self, name: &str) -> Result<u32, String> {
        place(&self.products, name).ok_or_else(|| format!("product '{name}' is not in the settings"))
    }

    pub fn proxy(&self, number: u32) -> Result<u32, String> {
        let fits = number < self.proxies;
        fits.then_some(number).ok_or_else(|| format!("proxy {number} is beyond the number in the settings"))
    }
}

fn place(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|k| k as u32)
}

/// Connections at our address, whatever the config allows.
const MOST_CONNECTIONS: u64 = 512;
const MOST_LIST_BYTES: u64 = 4 << 20;
/// Commands name products by the bits of a word.
const MOST_PRODUCTS: usize = RequestClassSet::BITS as usize;
/// Proxy numbers of a config that does not say how many there are.
const MOST_PROXIES: u32 = 65_536;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub list: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    pub names: Rc<Names>,
    pub controller: ControllerConfig,
    pub known: Vec<EndpointUpdate>,
    /// How many connections our address may hold: half of all sockets, so that our own ways out have theirs.
    pub connections: usize,
    /// The longest answer of the list, by the memory that we have: read into values it takes ten times as much.
    pub list_bytes: usize,
}

impl Config {
    /// Reads the file that the environment names; every fault found, a line each.
    pub fn from_file(path: Option<&str>, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<String>> {
        let path = match path.map(str::to_owned).or_else(|| env("GW_CONFIG")) {
            Some(path) => path,
            None => return Err(vec!["GW_CONFIG names no file".into()]),
        };
        let text = std::fs::read(&path).map_err(|e| vec![format!("{path} can't be read: {e}")])?;
        let value: Value =
            serde_json::from_slice(&text).map_err(|e| vec![format!("{path} is not JSON: {e}")])?;
        Config::read(&value, env)
    }

    pub fn read(value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<String>> {
        let f = JsonFields::of_object(value, "config").map_err(|e| vec![e.to_string()])?;
        let mut faults = Faults::default();
        // Not so the list's address: a file that was replaced moves it, and the environment never changes.
        for (field, var) in [("name", "GW_NAME"), ("listen", "GW_LISTEN")] {
            if let (Ok(told), Some(other)) = (f.text(field), env(var)) {
                faults.unless(told == other, || {
                    format!("config: field '{field}' is '{told}' but {var} says '{other}'")
                });
            }
        }
        let name = faults.none_in(f.text("name")).unwrap_or_default().to_owned();
        let listen = faults.none_in(address("listen", f.text("listen")));
        let list = faults.none_in(address("discovery", f.text("discovery")));
        let relay =
            f.object("relay").and_then(|v| JsonFields::of_object(v, "config: 'relay'")?.text("address"));
        let relay = faults.none_in(address("relay.address", relay));
        let seed = faults.none_in(f.text("seed").map_err(String::from).and_then(|text| {
            u64::from_str_radix(text, 16)
                .map_err(|_| format!("config: field 'seed' is not hexadecimal: '{text}'"))
        }));
        let settings = faults.none_in(f.settings("settings"));
        let figures = settings.unwrap_or(SettingsReader::new(&Value::Null));
        let names = Names {
            zones: figures.field("zones").elements().map(|zone| zone.text().to_owned()).collect(),
            products: figures
                .field("classes")
                .elements()
                .map(|row| row.field("name").text().to_owned())
                .collect(),
            proxies: match figures.field("familyInfo").field("proxyCount").count() {
                0 => MOST_PROXIES,
                told => told,
            },
        };
        // On sockets the list answers only when it is asked, whatever the settings say of it.
        let controller = ControllerConfig { polls_endpoint_list: true, ..controller_config(&figures) };
        if settings.is_some() {
            let holds_nothing = |list| move || format!("config: field 'settings.{list}' holds nothing");
            faults.unless(!names.zones.is_empty(), holds_nothing("zones"));
            faults.unless(!names.products.is_empty(), holds_nothing("classes"));
            faults.unless(names.products.len() <= MOST_PRODUCTS, || {
                format!("config: field 'settings.classes' holds more than {MOST_PRODUCTS}")
            });
            faults.unless(controller.shards == 0, || {
                "config: field 'settings.familyInfo.slices' is above 0: the relay has no slices".into()
            });
        }
        let known = f.object("known").map_err(String::from).and_then(|v| {
            endpoint_watch::answer(v, &names).map_err(|e| format!("config: field 'known': {e}"))
        });
        let known = faults.none_in(known);
        for entry in known.iter().flat_map(|known| &known.spoilt) {
            faults.unless(false, || format!("config: field 'known': {}", entry.why));
        }
        let limit = |name: &str, absent: u64| match f.object("limits") {
            Ok(limits) if limits.get(name).is_some() => {
                JsonFields::of_object(limits, "config: 'limits'")?.u64(name)
            }
            _ => Ok(absent),
        };
        let sockets = limit("sockets", 2 * MOST_CONNECTIONS);
        let memory = faults.none_in(limit("memory_mb", 1 << 10)).unwrap_or(0);
        let list_bytes = ((memory << 20) / 32).min(MOST_LIST_BYTES) as usize;
        let connections = faults.none_in(sockets).map(|n| (n / 2).clamp(1, MOST_CONNECTIONS) as usize);
        match (listen, list, relay, seed, known, connections) {
            (Some(listen), Some(list), Some(relay), Some(seed), Some(known), Some(connections))
                if faults.0.is_empty() =>
            {
                let (names, known) = (Rc::new(names), known.listings);
                Ok(Config {
                    name,
                    listen,
                    list,
                    relay,
                    seed,
                    names,
                    controller,
                    known,
                    connections,
                    list_bytes,
                })
            }
            _ => Err(faults.0),
        }
    }

    /// A newer config for a supervisor that runs on this one; a fault for each thing that only a start can change.
    fn followed_by(&self, newer: Config) -> Result<Config, Vec<String>> {
        let mut faults = Faults::default();
        for (what, stands) in [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("settings", self.names == newer.names && self.controller == newer.controller),
        ] {
            faults
                .unless(stands, || format!("config: field '{what}' can't change while the supervisor runs"));
        }
        if faults.0.is_empty() {
            Ok(newer)
        } else {
            Err(faults.0)
        }
    }
}

/// Reads the file again at each SIGHUP, for ever. Several that come close together are one; whatever stands in
/// the file after the last is what holds. A faulty file leaves the old config in force.
pub async fn follow(
    mut hangups: Signal,
    config: Rc<Config>,
    list: watch::Sender<SocketAddr>,
    relay: watch::Sender<SocketAddr>,
    seen: Rc<Metrics>,
    log: Logger,
) {
    while hangups.recv().await.is_some() {
        let newer = Config::from_file(None, |name| std::env::var(name).ok());
        let newer = newer.and_then(|newer| config.followed_by(newer));
        if newer.is_ok() { &seen.config_read } else { &seen.config_refused }.more();
        match newer {
            Ok(newer) => {
                let moved = [(&list, newer.list), (&relay, newer.relay)]
                    .map(|(peer, to)| peer.send_if_modified(|at| std::mem::replace(at, to) != to));
                info!(log, "config read again"; "list" => %newer.list, "list_moved" => moved[0],
                    "relay" => %newer.relay, "relay_moved" => moved[1]);
            }
            Err(faults) => {
                faults
                    .iter()
                    .for_each(|fault| warn!(log, "config refused, the old one holds"; "why" => fault));
            }
        }
    }
}

fn address(field: &str, text: Result<&str, JsonFieldError>) -> Result<SocketAddr, String> {
    let text = text?;
    text.parse().map_err(|_| format!("config: field '{field}' is no address with a port: '{text}'"))
}

/// All that is wrong, not only the first: who mends the config should need to look once.
#[derive(Default)]
struct Faults(Vec<String>);

impl Faults {
    fn none_in<T>(&mut self, read: Result<T, impl std::fmt::Display>) -> Option<T> {
        read.map_err(|fault| self.0.push(fault.to_string())).ok()
    }

    fn unless(&mut self, sound: bool, fault: impl FnOnce() -> String) {
        if !sound {
            self.0.push(fault());
        }
    }
}
