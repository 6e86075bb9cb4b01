//! Maps the names of zones and request classes, which messages use, to the numbers that the controller uses.

use otterwinch_adapter_support::quoted;

/// The zones and request classes of the settings, in the same order, and the number of proxies.
#[derive(PartialEq)]
pub struct DeploymentNames {
    /// Names of the zones. The position of a zone is its number.
    pub zones: Vec<String>,
    /// Names of the request classes. The position of a class is its number.
    pub request_classes: Vec<String>,
    /// The proxies have the numbers below this one.
    pub proxy_count: u32,
}

/// A message refers to something that is not in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownName {
    /// No zone has this name.
    #[error("zone '{0}' is not in the settings")]
    Zone(String),
    /// No request class has this name.
    #[error("request class '{0}' is not in the settings")]
    RequestClass(String),
    /// No proxy has this number.
    #[error("proxy {0} is not below the proxy count of the settings")]
    Proxy(u32),
}

impl DeploymentNames {
    /// Returns the number of the zone with this name.
    pub fn zone(&self, name: &str) -> Result<u32, UnknownName> {
        position_of(&self.zones, name).ok_or_else(|| UnknownName::Zone(quoted(name)))
    }

    /// Returns the number of the request class with this name.
    pub fn request_class(&self, name: &str) -> Result<u32, UnknownName> {
        position_of(&self.request_classes, name).ok_or_else(|| UnknownName::RequestClass(quoted(name)))
    }

    /// Returns the number if there is a proxy with it.
    pub fn proxy(&self, number: u32) -> Result<u32, UnknownName> {
        if number < self.proxy_count {
            Ok(number)
        } else {
            Err(UnknownName::Proxy(number))
        }
    }
}

fn position_of(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|index| index as u32)
}
