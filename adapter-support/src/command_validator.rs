//! Validates commands before they go out, so that a fault in the controller costs one command and not the whole call.

use otterwinch::config::ControllerConfig;
use otterwinch::host::EndpointId;
use std::collections::BTreeSet;

/// Route tables are numbered below this on every protocol.
const MAX_TABLES: u32 = 65_535;

/// A command that must not be sent, with what it named.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidCommand {
    /// A weight for an unknown table or endpoint, or one that is no finite number of 0 or more.
    #[error("weight not sent: table {table}, endpoint {endpoint}, weight {weight}")]
    Weight {
        /// The route table.
        table: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The weight that was to be set.
        weight: f64,
    },
    /// An assignment of a proxy that is not joined, or to an unknown table.
    #[error("assignment not sent: proxy {proxy}, table {table}")]
    Assignment {
        /// The proxy.
        proxy: u32,
        /// The route table.
        table: u32,
    },
    /// An ejection or restoration of an endpoint that was never listed.
    #[error("ejection not sent: endpoint {endpoint} was never listed")]
    Ejection {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An admission level for an unknown table, or one that is no finite number of 0 or more.
    #[error("admission level not sent: table {table}, level {admitted}")]
    Admission {
        /// The route table.
        table: u32,
        /// The level that was to be set.
        admitted: f64,
    },
}

/// What an instance may name in a command: endpoints that were listed, proxies that are joined, shards that it owns.
///
/// ```
/// use otterwinch_adapter_support::CommandValidator;
/// let (mut validator, id) = (CommandValidator::default(), "a".into());
/// assert!(validator.check_weight(0, &id, 1.0).is_err());
/// validator.add_endpoints([&id].into_iter());
/// assert!(validator.check_weight(0, &id, 1.0).is_ok());
/// assert!(validator.check_weight(0, &id, f64::NAN).is_err());
/// assert!(validator.check_assignment(4, 0).is_err());
/// ```
#[derive(Default)]
pub struct CommandValidator {
    sharded: bool,
    known_endpoints: BTreeSet<EndpointId>,
    joined_proxies: BTreeSet<u32>,
    owned_shards: BTreeSet<u32>,
}

impl CommandValidator {
    /// A validator that knows no endpoint, proxy or shard yet.
    pub fn new(config: &ControllerConfig) -> Self {
        CommandValidator { sharded: config.shards > 0, ..CommandValidator::default() }
    }

    /// Endpoints were listed and may be named from now on.
    pub fn add_endpoints<'a>(&mut self, ids: impl Iterator<Item = &'a EndpointId>) {
        for id in ids {
            if !self.known_endpoints.contains(id) {
                self.known_endpoints.insert(id.clone());
            }
        }
    }

    /// The controller will not name this endpoint any more: identifiers are new all day long.
    pub fn forget_endpoint(&mut self, id: &EndpointId) {
        self.known_endpoints.remove(id);
    }

    /// A proxy joined or left.
    pub fn set_proxy_joined(&mut self, proxy: u32, joined: bool) {
        set_membership(&mut self.joined_proxies, proxy, joined);
    }

    /// A shard was assigned to this instance or revoked.
    pub fn set_shard_owned(&mut self, shard: u32, owned: bool) {
        set_membership(&mut self.owned_shards, shard, owned);
    }

    /// Whether an endpoint's weight in a route table may be sent.
    pub fn check_weight(&self, table: u32, endpoint: &EndpointId, weight: f64) -> Result<(), InvalidCommand> {
        let known = self.is_known_table(table) && self.known_endpoints.contains(endpoint);
        if known && is_finite_non_negative(weight) {
            return Ok(());
        }
        Err(InvalidCommand::Weight { table, endpoint: endpoint.clone(), weight })
    }

    /// Whether a proxy may be put on a route table.
    pub fn check_assignment(&self, proxy: u32, table: u32) -> Result<(), InvalidCommand> {
        if !self.sharded && self.is_known_table(table) && self.joined_proxies.contains(&proxy) {
            return Ok(());
        }
        Err(InvalidCommand::Assignment { proxy, table })
    }

    /// Whether an endpoint may be ejected or restored.
    pub fn check_ejection(&self, endpoint: &EndpointId) -> Result<(), InvalidCommand> {
        if self.known_endpoints.contains(endpoint) {
            return Ok(());
        }
        Err(InvalidCommand::Ejection { endpoint: endpoint.clone() })
    }

    /// Whether an admission level of a route table may be sent.
    pub fn check_admission(&self, table: u32, admitted: f64) -> Result<(), InvalidCommand> {
        if self.is_known_table(table) && is_finite_non_negative(admitted) {
            return Ok(());
        }
        Err(InvalidCommand::Admission { table, admitted })
    }

    fn is_known_table(&self, table: u32) -> bool {
        table < MAX_TABLES && (!self.sharded || self.owned_shards.contains(&table))
    }
}

fn is_finite_non_negative(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}

fn set_membership(set: &mut BTreeSet<u32>, member: u32, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}
