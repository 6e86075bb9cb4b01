//! The names of the settings and their positions: messages name zones and request classes, the controller numbers them.

/// The zones, request classes and proxies of the settings, in their order there.
#[derive(PartialEq)]
pub struct DeploymentNames {
    /// Names of the zones; a zone's number is its position.
    pub zones: Vec<String>,
    /// Names of the request classes; a class's number is its position.
    pub request_classes: Vec<String>,
    /// Proxies are numbered below this.
    pub proxy_count: u32,
}

/// A message names something that the settings do not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownName {
    /// No zone has this name.
    #[error("zone '{0}' is not in the settings")]
    Zone(String),
    /// No request class has this name.
    #[error("request class '{0}' is not in the settings")]
    RequestClass(String),
    /// No proxy has this number.
    #[error("proxy {0} is beyond the number in the settings")]
    Proxy(u32),
}

impl DeploymentNames {
    /// The number of the zone of that name.
    pub fn zone(&self, name: &str) -> Result<u32, UnknownName> {
        position(&self.zones, name).ok_or_else(|| UnknownName::Zone(name.to_owned()))
    }

    /// The number of the request class of that name.
    pub fn request_class(&self, name: &str) -> Result<u32, UnknownName> {
        position(&self.request_classes, name).ok_or_else(|| UnknownName::RequestClass(name.to_owned()))
    }

    /// The number of a proxy, if it is one of the deployment's.
    pub fn proxy(&self, number: u32) -> Result<u32, UnknownName> {
        if number < self.proxy_count {
            Ok(number)
        } else {
            Err(UnknownName::Proxy(number))
        }
    }
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|k| k as u32)
}
