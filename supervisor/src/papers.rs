//! The papers that a supervisor gets at its start: one file, checked against the environment and itself.

use crate::list;
use otterwinch::charter::Charter;
use otterwinch::host::Listing;
use otterwinch_hostkit::{charter, Checks, Fields, Figures};
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;

/// The settings' names in their order: what comes by name is told to the rules by its place.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub products: Vec<String>,
}

impl Names {
    pub fn zone(&self, name: &str) -> Result<u32, String> {
        place(&self.zones, name).ok_or_else(|| format!("zone '{name}' is not in the settings"))
    }

    pub fn product(&self, name: &str) -> Result<u32, String> {
        place(&self.products, name).ok_or_else(|| format!("product '{name}' is not in the settings"))
    }
}

fn place(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|k| k as u32)
}

#[derive(Clone)]
pub struct Papers {
    pub name: String,
    pub listen: SocketAddr,
    pub list: SocketAddr,
    pub relay: SocketAddr,
    pub seed: u64,
    pub names: Rc<Names>,
    pub charter: Charter,
    pub known: Vec<Listing>,
    settings: Value,
}

impl Papers {
    pub fn checks(&self) -> Checks {
        Checks::new(&Figures::of(&self.settings))
    }

    /// Reads the file that the environment names; every fault found, a line each.
    pub fn from_file(path: Option<&str>, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<String>> {
        let path = match path.map(str::to_owned).or_else(|| env("GW_CONFIG")) {
            Some(path) => path,
            None => return Err(vec!["GW_CONFIG names no file".into()]),
        };
        let text = std::fs::read(&path).map_err(|e| vec![format!("{path} can't be read: {e}")])?;
        let value: Value =
            serde_json::from_slice(&text).map_err(|e| vec![format!("{path} is not JSON: {e}")])?;
        Papers::read(&value, env)
    }

    fn read(value: &Value, env: impl Fn(&str) -> Option<String>) -> Result<Self, Vec<String>> {
        let f = Fields::named(value, "papers").map_err(|e| vec![e])?;
        let mut faults = Vec::new();
        let mut said = |name: &str, var: &str| {
            let told = f.text(name).unwrap_or_else(|e| {
                faults.push(e);
                ""
            });
            if let Some(other) = env(var).filter(|other| other != told) {
                faults.push(format!("papers: field '{name}' is '{told}' but {var} says '{other}'"));
            }
            told.to_owned()
        };
        let (name, listen, list) =
            (said("name", "GW_NAME"), said("listen", "GW_LISTEN"), said("discovery", "GW_DISCOVERY"));
        let relay = f.value("relay").and_then(|v| Fields::named(v, "relay")?.text("address"));
        let relay = relay.unwrap_or_else(|e| {
            faults.push(e);
            ""
        });
        let mut address = |field: &str, text: &str| {
            text.parse().unwrap_or_else(|_| {
                faults.push(format!("papers: field '{field}' is no address with a port: '{text}'"));
                SocketAddr::from(([0, 0, 0, 0], 0))
            })
        };
        let (listen, list, relay) =
            (address("listen", &listen), address("discovery", &list), address("relay.address", relay));
        let seed = f.text("seed").and_then(|text| {
            u64::from_str_radix(text, 16)
                .map_err(|_| format!("papers: field 'seed' is not hexadecimal: '{text}'"))
        });
        let seed = seed.unwrap_or_else(|e| {
            faults.push(e);
            0
        });
        let settings = f.value("settings").cloned().unwrap_or_else(|e| {
            faults.push(e);
            Value::Null
        });
        let figures = Figures::of(&settings);
        let names = Names {
            zones: figures.at("zones").rows().map(|zone| zone.word().to_owned()).collect(),
            products: figures.at("classes").rows().map(|row| row.at("name").word().to_owned()).collect(),
        };
        for (list, empty) in [("zones", names.zones.is_empty()), ("classes", names.products.is_empty())] {
            if empty {
                faults.push(format!("papers: field 'settings.{list}' holds nothing"));
            }
        }
        // On sockets the list answers only when it is asked, whatever the settings say of it.
        let charter = Charter { list_on_request: true, ..charter(&figures) };
        if charter.slices > 0 {
            faults.push(
                "papers: field 'settings.familyInfo.slices' is above 0: the relay has no slices".into(),
            );
        }
        let known = match f.has("known").then(|| f.value("known")).transpose() {
            Ok(Some(known)) => list::answer(known, &names).map(|a| a.listings),
            Ok(None) => Ok(vec![]),
            Err(e) => Err(e),
        };
        let known = known.unwrap_or_else(|e| {
            faults.push(format!("papers: field 'known': {e}"));
            vec![]
        });
        if !faults.is_empty() {
            return Err(faults);
        }
        let names = Rc::new(names);
        Ok(Papers { name, listen, list, relay, seed, names, charter, known, settings })
    }
}
