//! The configuration of a control plane: one JSON file, which has to be consistent and to agree with the
//! environment.

use crate::config_fault::ConfigFault;
use crate::deployment_names::DeploymentNames;
use crate::endpoint_list::EndpointList;
use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointUpdate, RequestClassSet};
use otterwinch_adapter_support::{controller_config, JsonFieldError, JsonFields, SettingsReader};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// Upper bound of the listener's connections, however many sockets the configuration allows.
const MAX_CONNECTIONS: u64 = 512;
const DEFAULT_SOCKET_LIMIT: u64 = 2 * MAX_CONNECTIONS;
const DEFAULT_MEMORY_LIMIT_MB: u64 = 1024;
const MAX_LIST_BYTES: u64 = 4 << 20;
/// A response of the endpoint list may be as large as the memory limit divided by this, because it takes ten
/// times its size once decoded.
const LIST_MEMORY_DIVISOR: u64 = 32;
/// The commands of the controller refer to request classes by a [`RequestClassSet`].
const MAX_REQUEST_CLASSES: usize = RequestClassSet::CAPACITY;
/// Upper bound of the proxy numbers if the settings do not state the number of proxies.
const DEFAULT_PROXY_COUNT: u32 = 65_536;
/// Fields that must agree with an environment variable, if it is set. The address of the endpoint list is not
/// among them: a reload may change it, while the environment of a process stays the same.
const ENVIRONMENT_CHECKED_FIELDS: [(&str, &str); 2] = [("name", "GW_NAME"), ("listen", "GW_LISTEN")];

/// The configuration of one control plane.
pub struct Config {
    /// Name of this control plane in its log.
    pub name: String,
    /// Address on which the listener accepts load reports and status requests.
    pub listen: SocketAddr,
    /// Address of the endpoint list.
    pub endpoint_list: SocketAddr,
    /// Address of the relay.
    pub relay: SocketAddr,
    /// Seed of the controller's random numbers.
    pub seed: u64,
    /// Zones, request classes and proxies of the settings.
    pub names: Rc<DeploymentNames>,
    /// Parameters of the controller.
    pub controller: ControllerConfig,
    /// Endpoints to use until the endpoint list has answered.
    pub known_endpoints: Vec<EndpointUpdate>,
    /// How many connections the listener may hold: half of the socket limit, which leaves the other half for
    /// outgoing connections, but at least 1 and at most `MAX_CONNECTIONS`.
    pub max_connections: usize,
    /// Size limit of a response of the endpoint list, in bytes.
    pub max_list_bytes: usize,
}

impl Config {
    /// Reads the file at `path`, or the one that GW_CONFIG names if there is no path.
    ///
    /// # Errors
    /// All faults in the file, in the order in which the fields are read.
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
    /// All faults, in the order in which the fields are read.
    pub fn read(value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<ConfigFault>> {
        let fields = JsonFields::from_object(value, "config").map_err(|error| vec![error.into()])?;
        let mut reader = ConfigReader { fields, faults: Vec::new() };
        match reader.read_config(env) {
            Some(config) if reader.faults.is_empty() => Ok(config),
            _ => Err(reader.faults),
        }
    }

    /// Checks that a running control plane can switch to `new_config`.
    ///
    /// # Errors
    /// A fault for each field that only a restart can change.
    pub fn check_reload(&self, new_config: &Config) -> Result<(), Vec<ConfigFault>> {
        let same_settings = self.names == new_config.names && self.controller == new_config.controller;
        let mut faults = Vec::new();
        for (field, unchanged) in [
            ("name", self.name == new_config.name),
            ("listen", self.listen == new_config.listen),
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

/// Reads the fields of a configuration and collects all faults, so that they can be reported together.
struct ConfigReader<'a> {
    fields: JsonFields<'a>,
    faults: Vec<ConfigFault>,
}

impl<'a> ConfigReader<'a> {
    /// Reads all fields, also after a fault. Returns `None` if a required value other than the settings is
    /// missing or invalid; faults of the settings are only recorded.
    fn read_config(&mut self, env: impl Fn(&str) -> Option<String>) -> Option<Config> {
        self.check_environment(env);
        let name = self.value_or_record(self.fields.string("name"));
        let listen = self.parse_address("listen", self.fields.string("listen"));
        let endpoint_list = self.parse_address("discovery", self.fields.string("discovery"));
        let relay = self.parse_address("relay.address", self.read_relay_address());
        let seed = self.read_seed();
        let (names, controller) = self.read_settings();
        let known_endpoints = self.read_known_endpoints(&names);
        let memory_mb = self.read_limit("memory_mb", DEFAULT_MEMORY_LIMIT_MB);
        let sockets = self.read_limit("sockets", DEFAULT_SOCKET_LIMIT);
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

    /// Returns the value, or records the fault and returns `None`.
    fn value_or_record<T>(&mut self, read: Result<T, impl Into<ConfigFault>>) -> Option<T> {
        match read {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.push(fault.into());
                None
            }
        }
    }

    fn check_environment(&mut self, env: impl Fn(&str) -> Option<String>) {
        for (field, variable) in ENVIRONMENT_CHECKED_FIELDS {
            let (Ok(value), Some(expected)) = (self.fields.string(field), env(variable)) else { continue };
            if value != expected {
                let value = value.to_owned();
                self.faults.push(ConfigFault::ContradictsEnvironment { field, value, variable, expected });
            }
        }
    }

    fn parse_address(
        &mut self,
        field: &'static str,
        text: Result<&str, JsonFieldError>,
    ) -> Option<SocketAddr> {
        let text = self.value_or_record(text)?;
        let parsed = text.parse().map_err(|_| ConfigFault::NotAnAddress { field, value: text.to_owned() });
        self.value_or_record(parsed)
    }

    fn read_relay_address(&self) -> Result<&'a str, JsonFieldError> {
        let relay = self.fields.object("relay")?;
        JsonFields::from_object(relay, "config: 'relay'")?.string("address")
    }

    fn read_seed(&mut self) -> Option<u64> {
        let text = self.value_or_record(self.fields.string("seed"))?;
        let parsed = u64::from_str_radix(text, 16)
            .map_err(|_| ConfigFault::SeedNotHexadecimal { value: text.to_owned() });
        self.value_or_record(parsed)
    }

    /// Reads the settings. If they are missing, empty ones are returned and the fault is recorded.
    fn read_settings(&mut self) -> (DeploymentNames, ControllerConfig) {
        let settings = self.value_or_record(self.fields.settings("settings"));
        let reader = settings.unwrap_or(SettingsReader::new(&Value::Null));
        let names = deployment_names(reader);
        // This control plane gets changes to the endpoint list only by polling, whatever the settings say.
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

    fn read_known_endpoints(&mut self, names: &DeploymentNames) -> Option<Vec<EndpointUpdate>> {
        let value = self.value_or_record(self.fields.object("known"))?;
        let list = EndpointList::decode(value, names)
            .map_err(|error| ConfigFault::KnownEndpoints { reason: error.to_string() });
        let list = self.value_or_record(list)?;
        for entry in list.invalid {
            self.faults.push(ConfigFault::KnownEndpoints { reason: entry.to_string() });
        }
        Some(list.updates)
    }

    fn read_limit(&mut self, name: &str, default: u64) -> Option<u64> {
        match self.fields.object("limits") {
            Ok(limits) if limits.get(name).is_some() => {
                let limit = JsonFields::from_object(limits, "config: 'limits'");
                self.value_or_record(limit.and_then(|limits| limits.u64(name)))
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
