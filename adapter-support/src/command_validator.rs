//! Validates commands before they are sent, so that a bug in the controller costs one command and not the
//! whole call.

use otterwinch::config::ControllerConfig;
use otterwinch::host::EndpointId;
use std::collections::BTreeSet;

/// All protocols number their route tables below this.
const MAX_TABLES: u32 = 65_535;

/// A command that must not be sent, with its arguments.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidCommand {
    /// A weight for an unknown table or endpoint, or one that is not a finite number of 0 or more.
    #[error(
        "weight command rejected: expected a known table and endpoint and a finite weight of 0 or more, \
         got table {table}, endpoint {endpoint}, weight {weight}"
    )]
    Weight {
        /// The route table.
        table: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The requested weight.
        weight: f64,
    },
    /// An assignment of a proxy that has not joined, to an unknown table, or in a sharded deployment.
    #[error(
        "assignment command rejected: expected a joined proxy and a known table, without sharding, \
         got proxy {proxy}, table {table}"
    )]
    Assignment {
        /// The proxy.
        proxy: u32,
        /// The route table.
        table: u32,
    },
    /// An ejection or restoration of an endpoint that was never listed or is forgotten.
    #[error("ejection or restoration command rejected: expected a known endpoint, got {endpoint}")]
    Ejection {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// An admission level for an unknown table, or one that is not a finite number of 0 or more.
    #[error(
        "admission command rejected: expected a known table and a finite level of 0 or more, \
         got table {table}, level {admitted}"
    )]
    Admission {
        /// The route table.
        table: u32,
        /// The requested level.
        admitted: f64,
    },
}

/// Tracks the objects that an instance may name in a command: listed endpoints, joined proxies and the shards
/// that it owns.
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
    /// A validator without known endpoints, proxies or shards.
    pub fn new(config: &ControllerConfig) -> Self {
        CommandValidator { sharded: config.shards > 0, ..CommandValidator::default() }
    }

    /// Allows commands that name these endpoints, which were listed.
    pub fn add_endpoints<'a>(&mut self, ids: impl Iterator<Item = &'a EndpointId>) {
        for id in ids {
            if !self.known_endpoints.contains(id) {
                self.known_endpoints.insert(id.clone());
            }
        }
    }

    /// Drops an endpoint that the controller will not name again. Without this the set would grow without
    /// bound, since new identifiers appear all the time.
    pub fn forget_endpoint(&mut self, id: &EndpointId) {
        self.known_endpoints.remove(id);
    }

    /// Records that a proxy joined or left.
    pub fn set_proxy_joined(&mut self, proxy: u32, joined: bool) {
        set_membership(&mut self.joined_proxies, proxy, joined);
    }

    /// Records that a shard was assigned to this instance or revoked.
    pub fn set_shard_owned(&mut self, shard: u32, owned: bool) {
        set_membership(&mut self.owned_shards, shard, owned);
    }

    /// Checks a command that sets the weight of an endpoint in a route table.
    pub fn check_weight(&self, table: u32, endpoint: &EndpointId, weight: f64) -> Result<(), InvalidCommand> {
        let known = self.is_known_table(table) && self.known_endpoints.contains(endpoint);
        if known && is_finite_non_negative(weight) {
            return Ok(());
        }
        Err(InvalidCommand::Weight { table, endpoint: endpoint.clone(), weight })
    }

    /// Checks a command that assigns a route table to a proxy.
    pub fn check_assignment(&self, proxy: u32, table: u32) -> Result<(), InvalidCommand> {
        if !self.sharded && self.is_known_table(table) && self.joined_proxies.contains(&proxy) {
            return Ok(());
        }
        Err(InvalidCommand::Assignment { proxy, table })
    }

    /// Checks a command that ejects or restores an endpoint.
    pub fn check_ejection(&self, endpoint: &EndpointId) -> Result<(), InvalidCommand> {
        if self.known_endpoints.contains(endpoint) {
            return Ok(());
        }
        Err(InvalidCommand::Ejection { endpoint: endpoint.clone() })
    }

    /// Checks a command that sets an admission level of a route table.
    pub fn check_admission(&self, table: u32, admitted: f64) -> Result<(), InvalidCommand> {
        if self.is_known_table(table) && is_finite_non_negative(admitted) {
            return Ok(());
        }
        Err(InvalidCommand::Admission { table, admitted })
    }

    /// Whether a table number is valid; with sharding, whether this instance owns the shard with that number.
    fn is_known_table(&self, table: u32) -> bool {
        table < MAX_TABLES && (!self.sharded || self.owned_shards.contains(&table))
    }
}

fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn set_membership(set: &mut BTreeSet<u32>, member: u32, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}
