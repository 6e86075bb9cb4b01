//! The host of one instance: encodes the commands of its controller for the simulator. A command that the
//! simulator would reject is logged and not sent, so that a bug in the controller costs one command and not
//! the process.

use crate::encode;
use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{CommandValidator, InvalidCommand};
use serde_json::{json, Value};

/// The longest timer delay that the simulator accepts.
const MAX_TIMER_DELAY: Span = Span::from_us(70 * 60 * 1_000_000);

/// The shortest timer delay that the simulator accepts.
const MIN_TIMER_DELAY: Span = Span::from_us(1);

/// Stands for all request classes on the wire.
const ALL_CLASSES: u64 = 0;

/// Encodes the commands of one instance.
pub struct WireHost {
    instance: u64,
    /// Validates commands before they are sent.
    pub validator: CommandValidator,
    /// The commands issued since the last reply, as one JSON message per line.
    pub encoded_commands: Vec<u8>,
}

impl WireHost {
    /// Creates the host of a new instance.
    pub fn new(instance: u64, config: &ControllerConfig) -> Self {
        WireHost { instance, validator: CommandValidator::new(config), encoded_commands: Vec::new() }
    }

    fn send(&mut self, kind: &str, mut fields: Value) {
        fields["kind"] = kind.into();
        fields["who"] = self.instance.into();
        encode::append_line(&mut self.encoded_commands, &fields);
    }

    fn send_if_valid(&mut self, validation: Result<(), InvalidCommand>, kind: &str, fields: Value) {
        match validation {
            Ok(()) => self.send(kind, fields),
            Err(error) => eprintln!("otterwinch-simulator-adapter: instance {}: {error}", self.instance),
        }
    }

    fn send_ejection(&mut self, endpoint: &EndpointId, ejected: bool) {
        let fields = json!({"server": &**endpoint, "set": ejected});
        self.send_if_valid(self.validator.check_ejection(endpoint), "WITHDRAW", fields);
    }
}

impl Host for WireHost {
    fn set_endpoint_weight(
        &mut self,
        table: u32,
        endpoint: &EndpointId,
        weight: f64,
        _deadline: Option<Moment>,
    ) {
        let fields = json!({"mapId": table, "server": &**endpoint, "weight": weight});
        self.send_if_valid(self.validator.check_weight(table, endpoint, weight), "ENDPOINT", fields);
    }

    fn assign_table(&mut self, proxy: u32, table: u32, classes: RequestClassSet) {
        let for_classes = if classes == RequestClassSet::ALL { ALL_CLASSES } else { classes.bits() };
        let fields = json!({"px": proxy, "mapId": table, "forClasses": for_classes});
        self.send_if_valid(self.validator.check_assignment(proxy, table), "INSTALL", fields);
    }

    fn eject_endpoint(&mut self, endpoint: &EndpointId, _deadline: Option<Moment>) {
        self.send_ejection(endpoint, true);
    }

    fn restore_endpoint(&mut self, endpoint: &EndpointId) {
        self.send_ejection(endpoint, false);
    }

    fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.validator.forget_endpoint(endpoint);
    }

    fn set_admission(&mut self, table: u32, classes: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        let retry_number = retry as u8;
        let fields =
            json!({"mapId": table, "forClasses": classes.bits(), "allowance": admitted, "how": retry_number});
        self.send_if_valid(self.validator.check_admission(table, admitted), "SET_LEVEL", fields);
    }

    fn request_acknowledgement(&mut self, number: u32) {
        self.send("CHECKPOINT", json!({"epoch": number, "set": false}));
    }

    /// The simulator loses no commands.
    fn resend_commands(&mut self) {}

    fn watch_endpoints(&mut self) {
        self.send("FOLLOW", json!({"set": true}));
    }

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        let delay = after.clamp(MIN_TIMER_DELAY, MAX_TIMER_DELAY);
        self.send("TIMER", json!({"afterUs": delay.as_us(), "label": timer.label()}));
    }
}
