//! The controller's [`Host`] in a simulation: collects what the controller orders, for the caller to carry out.

use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::Span;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// Commands and timers that the controller has asked for since they were taken last.
#[derive(Default)]
pub struct SimulatedHost {
    /// Commands in the order of their issue.
    pub commands: Vec<Command>,
    /// Timers to schedule, by the time until they fire.
    pub timers: Vec<(Span, Timer)>,
    endpoint_indices: Rc<FxHashMap<EndpointId, u32>>,
}

/// A command to the proxies. Endpoints are named by their index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Sets the weight of an endpoint in a table; 0 removes it.
    SetWeight {
        /// The table to change.
        table_id: u32,
        /// The endpoint.
        endpoint: u32,
        /// Its weight among the table's endpoints.
        weight: f64,
    },
    /// Makes a proxy use a table.
    AssignTable {
        /// The proxy.
        proxy: u32,
        /// The table that it uses from now on.
        table_id: u32,
    },
    /// Ejects an endpoint from all tables, or restores it.
    SetEjected {
        /// The endpoint.
        endpoint: u32,
        /// Whether it is ejected.
        ejected: bool,
    },
    /// Sets the admission level of some request classes in a table.
    SetAdmission {
        /// The table to change.
        table_id: u32,
        /// The request classes; an empty set stands for all.
        request_classes: RequestClassSet,
        /// The fraction of requests to admit.
        admitted: f64,
        /// When proxies retry requests of these classes.
        retry: RetryPolicy,
    },
    /// Asks the proxies to acknowledge all commands so far with this number.
    RequestAcknowledgement(u32),
}

impl SimulatedHost {
    /// A host that names endpoints by these indices.
    pub fn new(endpoint_indices: Rc<FxHashMap<EndpointId, u32>>) -> Self {
        SimulatedHost { endpoint_indices, ..SimulatedHost::default() }
    }

    fn set_ejected(&mut self, id: &EndpointId, ejected: bool) {
        if let Some(endpoint) = self.endpoint_indices.get(id).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected });
        }
    }
}

impl Host for SimulatedHost {
    fn set_endpoint_weight(&mut self, table_id: u32, id: &EndpointId, weight: f64) {
        if let Some(endpoint) = self.endpoint_indices.get(id).copied() {
            self.commands.push(Command::SetWeight { table_id, endpoint, weight });
        }
    }

    fn assign_table(&mut self, proxy: u32, table_id: u32) {
        self.commands.push(Command::AssignTable { proxy, table_id });
    }

    fn eject_endpoint(&mut self, id: &EndpointId) {
        self.set_ejected(id, true);
    }

    fn restore_endpoint(&mut self, id: &EndpointId) {
        self.set_ejected(id, false);
    }

    fn forget_endpoint(&mut self, _id: &EndpointId) {}

    fn set_admission(
        &mut self,
        table_id: u32,
        request_classes: RequestClassSet,
        admitted: f64,
        retry: RetryPolicy,
    ) {
        self.commands.push(Command::SetAdmission { table_id, request_classes, admitted, retry });
    }

    fn request_acknowledgement(&mut self, number: u32) {
        self.commands.push(Command::RequestAcknowledgement(number));
    }

    /// Nothing to do: simulated commands are never lost.
    fn resend_commands(&mut self) {}

    /// Nothing to do: simulated endpoint lists send their updates without a watch.
    fn watch_endpoints(&mut self) {}

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.timers.push((after, timer));
    }
}
