//! The configuration of a control plane: one file, checked against the environment and itself.

use crate::config_fault::ConfigFault;
use crate::deployment_names::DeploymentNames;
use crate::endpoint_list::EndpointList;
use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointUpdate, RequestClassSet};
use otterwinch_adapter_support::{controller_config, JsonFieldError, JsonFields, SettingsReader};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// Connections to the listener, whatever the configuration allows.
const MAX_CONNECTIONS: u64 = 512;
const DEFAULT_SOCKETS: u64 = 2 * MAX_CONNECTIONS;
const DEFAULT_MEMORY_MB: u64 = 1024;
const MAX_LIST_BYTES: u64 = 4 << 20;
/// The part of the memory that one answer of the endpoint list may take: decoded, it is ten times as large.
const LIST_MEMORY_DIVISOR: u64 = 32;
/// Commands name request classes by the bits of a word.
const MAX_REQUEST_CLASSES: usize = RequestClassSet::BITS as usize;
/// Bound of the proxy numbers where the settings don't say how many proxies there are.
const DEFAULT_PROXY_COUNT: u32 = 65_536;
/// Fields that must agree with the environment. The endpoint list's address is not among them: a new file may move it,
/// while the environment of a process never changes.
const ENVIRONMENT_VARIABLES: [(&str, &str); 2] = [("name", "GW_NAME"), ("listen", "GW_LISTEN")];

/// The configuration of one control plane.
pub struct Config {
    /// Names this control plane in its log.
    pub name: String,
    /// Where the listener accepts load reports and status requests.
    pub listen: SocketAddr,
    /// Address of the endpoint list.
    pub endpoint_list: SocketAddr,
    /// Address of the relay.
    pub relay: SocketAddr,
    /// Seed of the controller's random numbers.
    pub seed: u64,
    /// The names of the settings.
    pub names: Rc<DeploymentNames>,
    /// What the controller decides by.
    pub controller: ControllerConfig,
    /// The endpoints to start with, until the endpoint list answers.
    pub known_endpoints: Vec<EndpointUpdate>,
    /// Connections that the listener may hold: half of all sockets, so that outgoing connections have theirs.
    pub max_connections: usize,
    /// The longest answer of the endpoint list, in bytes.
    pub max_list_bytes: usize,
}

impl Config {
    /// Reads the file at `path`, or the one that GW_CONFIG names.
    ///
    /// # Errors
    /// All faults of the file, in the order of their fields.
    pub fn from_file(
        path: Option<&str>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<ConfigFault>> {
        let value = read_json(path, &env).map_err(|fault| vec![fault])?;
        Config::read(&value, env)
    }

    /// Reads a configuration from JSON.
    ///
    /// # Errors
    /// All faults, in the order of their fields.
    pub fn read(value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<ConfigFault>> {
        let fields = JsonFields::from_object(value, "config").map_err(|error| vec![error.into()])?;
        let mut reader = ConfigReader { fields, faults: Vec::new() };
        match reader.config(env) {
            Some(config) if reader.faults.is_empty() => Ok(config),
            _ => Err(reader.faults),
        }
    }

    /// Checks that a running control plane can go on with `newer`.
    ///
    /// # Errors
    /// A fault for each field that only a restart can change.
    pub fn check_reload(&self, newer: &Config) -> Result<(), Vec<ConfigFault>> {
        let same_settings = self.names == newer.names && self.controller == newer.controller;
        let mut faults = Vec::new();
        for (field, unchanged) in [
            ("name", self.name == newer.name),
            ("listen", self.listen == newer.listen),
            ("settings", same_settings),
        ] {
            if !unchanged {
                faults.push(ConfigFault::NeedsRestart { field });
            }
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}

fn read_json(path: Option<&str>, env: impl Fn(&str) -> Option<String>) -> Result<Value, ConfigFault> {
    let path = path.map(str::to_owned).or_else(|| env("GW_CONFIG")).ok_or(ConfigFault::NoFile)?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(ConfigFault::Unreadable { path, source }),
    };
    serde_json::from_slice(&bytes).map_err(|source| ConfigFault::NotJson { path, source })
}

/// Reads the fields of one configuration and collects their faults, so that all of them are reported at once.
struct ConfigReader<'a> {
    fields: JsonFields<'a>,
    faults: Vec<ConfigFault>,
}

impl<'a> ConfigReader<'a> {
    /// Reads all fields, also after a fault; nothing where a value is missing.
    fn config(&mut self, env: impl Fn(&str) -> Option<String>) -> Option<Config> {
        self.check_environment(env);
        let name = self.collect(self.fields.string("name"));
        let listen = self.address("listen", self.fields.string("listen"));
        let endpoint_list = self.address("discovery", self.fields.string("discovery"));
        let relay = self.address("relay.address", self.relay_address());
        let seed = self.seed();
        let (names, controller) = self.settings();
        let known_endpoints = self.known_endpoints(&names);
        let memory_mb = self.limit("memory_mb", DEFAULT_MEMORY_MB);
        let sockets = self.limit("sockets", DEFAULT_SOCKETS);
        Some(Config {
            name: name?.to_owned(),
            listen: listen?,
            endpoint_list: endpoint_list?,
            relay: relay?,
            seed: seed?,
            names: Rc::new(names),
            controller,
            known_endpoints: known_endpoints?,
            max_connections: (sockets? / 2).clamp(1, MAX_CONNECTIONS) as usize,
            max_list_bytes: ((memory_mb? << 20) / LIST_MEMORY_DIVISOR).min(MAX_LIST_BYTES) as usize,
        })
    }

    /// The value, or nothing once its fault is recorded.
    fn collect<T>(&mut self, read: Result<T, impl Into<ConfigFault>>) -> Option<T> {
        match read {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.push(fault.into());
                None
            }
        }
    }

    fn check_environment(&mut self, env: impl Fn(&str) -> Option<String>) {
        for (field, variable) in ENVIRONMENT_VARIABLES {
            let (Ok(value), Some(expected)) = (self.fields.string(field), env(variable)) else { continue };
            if value != expected {
                let value = value.to_owned();
                self.faults.push(ConfigFault::ContradictsEnvironment { field, value, variable, expected });
            }
        }
    }

    fn address(&mut self, field: &'static str, text: Result<&str, JsonFieldError>) -> Option<SocketAddr> {
        let text = self.collect(text)?;
        let parsed = text.parse().map_err(|_| ConfigFault::NotAnAddress { field, value: text.to_owned() });
        self.collect(parsed)
    }

    fn relay_address(&self) -> Result<&'a str, JsonFieldError> {
        let relay = self.fields.object("relay")?;
        JsonFields::from_object(relay, "config: 'relay'")?.string("address")
    }

    fn seed(&mut self) -> Option<u64> {
        let text = self.collect(self.fields.string("seed"))?;
        let parsed = u64::from_str_radix(text, 16)
            .map_err(|_| ConfigFault::SeedNotHexadecimal { value: text.to_owned() });
        self.collect(parsed)
    }

    /// What the settings hold; without settings it is empty.
    fn settings(&mut self) -> (DeploymentNames, ControllerConfig) {
        let settings = self.collect(self.fields.settings("settings"));
        let reader = settings.unwrap_or(SettingsReader::new(&Value::Null));
        let names = deployment_names(reader);
        // On sockets the endpoint list answers only when it is polled, whatever the settings say.
        let controller = ControllerConfig { polls_endpoint_list: true, ..controller_config(&reader) };
        if settings.is_some() {
            self.check_settings(&names, &controller);
        }
        (names, controller)
    }

    fn check_settings(&mut self, names: &DeploymentNames, controller: &ControllerConfig) {
        if names.zones.is_empty() {
            self.faults.push(ConfigFault::EmptySetting { list: "zones" });
        }
        if names.request_classes.is_empty() {
            self.faults.push(ConfigFault::EmptySetting { list: "classes" });
        }
        if names.request_classes.len() > MAX_REQUEST_CLASSES {
            self.faults.push(ConfigFault::TooManyRequestClasses { limit: MAX_REQUEST_CLASSES });
        }
        if controller.shards != 0 {
            self.faults.push(ConfigFault::ShardsNotSupported);
        }
    }

    fn known_endpoints(&mut self, names: &DeploymentNames) -> Option<Vec<EndpointUpdate>> {
        let value = self.collect(self.fields.object("known"))?;
        let list = EndpointList::decode(value, names)
            .map_err(|error| ConfigFault::KnownEndpoints { reason: error.to_string() });
        let list = self.collect(list)?;
        for entry in list.invalid {
            self.faults.push(ConfigFault::KnownEndpoints { reason: entry.to_string() });
        }
        Some(list.updates)
    }

    fn limit(&mut self, name: &str, default: u64) -> Option<u64> {
        match self.fields.object("limits") {
            Ok(limits) if limits.get(name).is_some() => {
                let limit = JsonFields::from_object(limits, "config: 'limits'");
                self.collect(limit.and_then(|limits| limits.u64(name)))
            }
            _ => Some(default),
        }
    }
}

fn deployment_names(settings: SettingsReader) -> DeploymentNames {
    let zones = settings.field("zones").elements();
    let classes = settings.field("classes").elements();
    let proxy_count = match settings.field("familyInfo").field("proxyCount").u32() {
        0 => DEFAULT_PROXY_COUNT,
        count => count,
    };
    DeploymentNames {
        zones: zones.map(|zone| zone.string().to_owned()).collect(),
        request_classes: classes.map(|class| class.field("name").string().to_owned()).collect(),
        proxy_count,
    }
}
