//! Commands in the relay's JSON format. Their wire names appear only in this module.

use otterwinch::host::{EndpointId, RequestClassSet, RetryPolicy};
use otterwinch::time::Moment;
use serde_json::{json, Value};
use std::collections::VecDeque;

/// A command is resent at intervals that are longer than an acknowledgement usually takes.
const MAX_REQUESTED_ACKNOWLEDGEMENTS: usize = 4;

/// One command for the relay.
pub struct Command {
    /// The command as JSON.
    pub json: String,
    /// The kind of the command.
    pub kind: CommandKind,
    /// When it must have been sent; `None` if there is no such time.
    pub deadline: Option<Moment>,
    /// The numbers of the acknowledgements that the latest calls with this command requested.
    pub requested_acknowledgements: VecDeque<u32>,
}

/// The kind of a command, with the fields that batching and the handling of a rejection need.
pub enum CommandKind {
    /// Assigns a route table to a proxy.
    Assignment {
        /// The proxy.
        proxy: u32,
        /// The request classes that the assignment is for.
        classes: RequestClassSet,
    },
    /// Sets the weight of an endpoint in a route table.
    Weight {
        /// The route table.
        table: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Sets the admission level and the retry policy of request classes in a route table.
    Admission {
        /// The route table.
        table: u32,
    },
    /// Ejects or restores an endpoint.
    Ejection {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Requests that proxies acknowledge the preceding commands.
    AcknowledgementRequest {
        /// The number that the acknowledgements carry.
        number: u32,
    },
}

/// The object that a command is about. A later command about the same object makes an earlier one obsolete.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CommandKey {
    /// The table of a proxy for some request classes.
    Assignment {
        /// The proxy.
        proxy: u32,
        /// The request classes, as [`RequestClassSet::bits`].
        classes: u64,
    },
    /// The weight of an endpoint in a route table.
    Weight {
        /// The route table.
        table: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Whether an endpoint is ejected.
    Ejection {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

impl Command {
    /// Sets the weight of an endpoint in a route table.
    pub fn set_weight(table: u32, endpoint: &EndpointId, weight: f64) -> Self {
        let value = json!({"op": "put", "table": table, "endpoint": &**endpoint, "w": weight});
        Command::new(value, CommandKind::Weight { table, endpoint: endpoint.clone() })
    }

    /// Assigns a route table to a proxy, for all request classes.
    pub fn assign_table(proxy: u32, table: u32) -> Self {
        let value = json!({"op": "attach", "node": proxy, "table": table});
        Command::new(value, CommandKind::Assignment { proxy, classes: RequestClassSet::ALL })
    }

    /// Assigns a route table to a proxy, for the requests of `classes`, which have these names.
    pub fn assign_table_for(proxy: u32, table: u32, classes: RequestClassSet, names: &[&str]) -> Self {
        let value = json!({"op": "attach", "node": proxy, "table": table, "routes": names});
        Command::new(value, CommandKind::Assignment { proxy, classes })
    }

    /// Ejects an endpoint from all proxies.
    pub fn eject(endpoint: &EndpointId) -> Self {
        let value = json!({"op": "eject", "endpoint": &**endpoint});
        Command::new(value, CommandKind::Ejection { endpoint: endpoint.clone() })
    }

    /// Lifts the ejection of an endpoint.
    pub fn restore(endpoint: &EndpointId) -> Self {
        let value = json!({"op": "uneject", "endpoint": &**endpoint});
        Command::new(value, CommandKind::Ejection { endpoint: endpoint.clone() })
    }

    /// Sets the fraction of the requests of `classes` that a route table admits, and when its proxies retry.
    pub fn set_admission(table: u32, classes: &[&str], admitted: f64, retry: RetryPolicy) -> Self {
        let policy = retry as u8;
        let value =
            json!({"op": "gate", "table": table, "routes": classes, "admit": admitted, "policy": policy});
        Command::new(value, CommandKind::Admission { table })
    }

    /// Requests an acknowledgement that carries `number`.
    pub fn request_acknowledgement(number: u32) -> Self {
        let value = json!({"op": "fence", "nonce_out": number});
        Command::new(value, CommandKind::AcknowledgementRequest { number })
    }

    /// Whether this command requests an acknowledgement.
    pub fn is_acknowledgement_request(&self) -> bool {
        self.acknowledgement_number().is_some()
    }

    /// The number of the acknowledgement that the command requests, if it does.
    pub fn acknowledgement_number(&self) -> Option<u32> {
        match self.kind {
            CommandKind::AcknowledgementRequest { number } => Some(number),
            _ => None,
        }
    }

    /// The same command with a deadline, if there is one.
    pub fn with_deadline(self, deadline: Option<Moment>) -> Self {
        Command { deadline, ..self }
    }

    /// Records that a call with this command requested an acknowledgement.
    pub fn record_requested_acknowledgement(&mut self, number: u32) {
        if self.requested_acknowledgements.len() == MAX_REQUESTED_ACKNOWLEDGEMENTS {
            self.requested_acknowledgements.pop_front();
        }
        self.requested_acknowledgements.push_back(number);
    }

    /// The object that the command is about; `None` if no later command makes it obsolete.
    pub fn key(&self) -> Option<CommandKey> {
        match &self.kind {
            CommandKind::Assignment { proxy, classes } => {
                Some(CommandKey::Assignment { proxy: *proxy, classes: classes.bits() })
            }
            CommandKind::Weight { table, endpoint } => {
                Some(CommandKey::Weight { table: *table, endpoint: endpoint.clone() })
            }
            CommandKind::Ejection { endpoint } => Some(CommandKey::Ejection { endpoint: endpoint.clone() }),
            CommandKind::Admission { .. } | CommandKind::AcknowledgementRequest { .. } => None,
        }
    }

    /// The proxy that the command assigns a table to, if it does.
    pub fn assigned_proxy(&self) -> Option<u32> {
        match self.kind {
            CommandKind::Assignment { proxy, .. } => Some(proxy),
            _ => None,
        }
    }

    fn new(value: Value, kind: CommandKind) -> Self {
        Command { json: value.to_string(), kind, deadline: None, requested_acknowledgements: VecDeque::new() }
    }
}

impl CommandKind {
    /// Whether `next`, the command directly after this one, reaches the same proxies.
    pub fn reaches_same_proxies(&self, next: &CommandKind) -> bool {
        match (self, next) {
            (_, CommandKind::AcknowledgementRequest { .. })
            | (CommandKind::Ejection { .. }, CommandKind::Ejection { .. }) => true,
            (CommandKind::Assignment { proxy, .. }, CommandKind::Assignment { proxy: next, .. }) => {
                proxy == next
            }
            _ => self.table().is_some() && self.table() == next.table(),
        }
    }

    /// The route table whose proxies the command reaches; `None` if it does not address the proxies of a
    /// table.
    fn table(&self) -> Option<u32> {
        match self {
            CommandKind::Weight { table, .. } | CommandKind::Admission { table } => Some(*table),
            CommandKind::Assignment { .. }
            | CommandKind::Ejection { .. }
            | CommandKind::AcknowledgementRequest { .. } => None,
        }
    }
}
