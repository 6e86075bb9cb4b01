//! The controller's host in a simulation: collects commands and timers.

use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::Span;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// What the rules order in a moment, and the wake-ups that they ask for.
#[derive(Default)]
pub struct SimulatedHost {
    pub commands: Vec<Command>,
    pub timers: Vec<(Span, Timer)>,
    places: Rc<FxHashMap<EndpointId, u32>>,
}

/// A command, its node by its place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    SetWeight { table_id: u32, endpoint: u32, weight: f64 },
    AssignTable { proxy: u32, table_id: u32 },
    SetEjected { endpoint: u32, ejected: bool },
    SetAdmission { table_id: u32, request_classes: RequestClassSet, admitted: f64, retry: RetryPolicy },
    RequestAcknowledgement(u32),
}

impl SimulatedHost {
    pub fn new(places: Rc<FxHashMap<EndpointId, u32>>) -> Self {
        SimulatedHost { places, ..SimulatedHost::default() }
    }
}

impl Host for SimulatedHost {
    fn set_endpoint_weight(&mut self, table_id: u32, server: &EndpointId, weight: f64) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetWeight { table_id, endpoint, weight });
        }
    }
    fn assign_table(&mut self, proxy: u32, table_id: u32) {
        self.commands.push(Command::AssignTable { proxy, table_id });
    }
    fn eject_endpoint(&mut self, server: &EndpointId) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected: true });
        }
    }
    fn restore_endpoint(&mut self, server: &EndpointId) {
        if let Some(endpoint) = self.places.get(server).copied() {
            self.commands.push(Command::SetEjected { endpoint, ejected: false });
        }
    }
    fn forget_endpoint(&mut self, _server: &EndpointId) {}
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
    // Calls to the relay are not lost in these plays, and the list follows without being asked.
    fn resend_commands(&mut self) {}
    fn watch_endpoints(&mut self) {}
    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        self.timers.push((after, timer));
    }
}
