//! An implementation of [`Host`] that collects the controller's commands and timers for the simulation or the
//! emulator to process.

use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::{Moment, Span};
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// The commands and timers that the controller has issued since the caller last took them out.
#[derive(Default)]
pub struct SimulatedHost {
    /// Commands in the order in which they were issued.
    pub commands: Vec<Command>,
    /// Timers to schedule, each with the delay until it fires.
    pub timers: Vec<(Span, Timer)>,
    /// The index in the fleet of each endpoint ID. Commands for other endpoints are dropped.
    endpoint_indices: Rc<FxHashMap<EndpointId, u32>>,
}

/// A command to the proxies. Endpoints are given by their index in the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    /// Sets the weight of an endpoint in a table. A weight of 0 removes the endpoint from it.
    SetWeight {
        /// The table to change.
        table_id: u32,
        /// The endpoint.
        endpoint: u32,
        /// Its weight relative to the other endpoints in the table.
        weight: f64,
    },
    /// Assigns a table to a proxy, which then uses it for all request classes.
    AssignTable {
        /// The proxy.
        proxy: u32,
        /// The table to use.
        table_id: u32,
    },
    /// Ejects an endpoint from all tables, or lifts its ejection.
    SetEjected {
        /// The endpoint.
        endpoint: u32,
        /// Whether the endpoint is ejected from now on.
        ejected: bool,
    },
    /// Sets the admission level of request classes in a table.
    SetAdmission {
        /// The table to change.
        table_id: u32,
        /// The request classes.
        request_classes: RequestClassSet,
        /// The fraction of client attempts to admit.
        admitted: f64,
        /// When proxies retry attempts of these classes.
        retry: RetryPolicy,
    },
    /// Asks the proxies that receive this batch of commands to acknowledge it with this number.
    RequestAcknowledgement(u32),
}

impl SimulatedHost {
    /// Creates a host that translates endpoint IDs to these indices.
    pub fn new(endpoint_indices: Rc<FxHashMap<EndpointId, u32>>) -> Self {
        SimulatedHost { endpoint_indices, ..SimulatedHost::default() }
    }

    /// Issues the command to eject an endpoint or to lift its ejection.
    fn set_ejected(&mut self, id: &EndpointId, ejected: bool) {
        if let Some(endpoint) = self.endpoint_indices.get(id).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected });
        }
    }
}

impl Host for SimulatedHost {
    fn set_endpoint_weight(
        &mut self,
        table_id: u32,
        id: &EndpointId,
        weight: f64,
        _deadline: Option<Moment>,
    ) {
        if let Some(endpoint) = self.endpoint_indices.get(id).copied() {
            self.commands.push(Command::SetWeight { table_id, endpoint, weight });
        }
    }

    /// A fleet description has no request class that must not leave its zone, so that each assignment is for
    /// all classes.
    fn assign_table(&mut self, proxy: u32, table_id: u32, classes: RequestClassSet) {
        debug_assert_eq!(classes, RequestClassSet::ALL, "a simulated proxy has one table for all classes");
        self.commands.push(Command::AssignTable { proxy, table_id });
    }

    fn eject_endpoint(&mut self, id: &EndpointId, _deadline: Option<Moment>) {
        self.set_ejected(id, true);
    }

    fn restore_endpoint(&mut self, id: &EndpointId) {
        self.set_ejected(id, false);
    }

    /// Does nothing: the endpoint indices never change.
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

    /// Does nothing: commands issued through this host are never reported as lost.
    fn resend_commands(&mut self) {}

    /// Does nothing: the controller is passed every endpoint list update without a subscription.
    fn watch_endpoints(&mut self) {}

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.timers.push((after, timer));
    }
}
