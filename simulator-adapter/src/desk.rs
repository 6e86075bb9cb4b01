//! One instance's way out: encodes what the rules order, and lets nothing through that the wire calls a
//! fault, so that a slip in the rules costs a command and not the process.

use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointId, Host, RequestClassSet, RetryPolicy, Timer};
use otterwinch::time::Span;
use otterwinch_adapter_support::{CommandValidator, InvalidCommand};
use serde_json::{json, Value};

pub struct Desk {
    who: u64,
    pub checks: CommandValidator,
    pub said: Vec<u8>,
}

impl Desk {
    pub fn new(who: u64, config: &ControllerConfig) -> Self {
        Desk { who, checks: CommandValidator::new(config), said: vec![] }
    }

    fn say(&mut self, checked: Result<(), InvalidCommand>, kind: &str, mut fields: Value) {
        if let Err(fault) = checked {
            return eprintln!("otterwinch-simulator-adapter: instance {}: {fault}", self.who);
        }
        fields["kind"] = kind.into();
        fields["who"] = self.who.into();
        self.said.extend_from_slice(fields.to_string().as_bytes());
        self.said.push(b'\n');
    }
}

impl Host for Desk {
    fn set_endpoint_weight(&mut self, tbl: u32, server: &EndpointId, weight: f64) {
        let fields = json!({"mapId": tbl, "server": &**server, "weight": weight});
        self.say(self.checks.check_weight(tbl, server, weight), "ENDPOINT", fields);
    }

    fn assign_table(&mut self, proxy: u32, tbl: u32) {
        self.say(
            self.checks.check_assignment(proxy, tbl),
            "INSTALL",
            json!({"px": proxy, "mapId": tbl, "forClasses": 0}),
        );
    }

    fn eject_endpoint(&mut self, server: &EndpointId) {
        self.say(self.checks.check_ejection(server), "WITHDRAW", json!({"server": &**server, "set": true}));
    }

    fn restore_endpoint(&mut self, server: &EndpointId) {
        self.say(self.checks.check_ejection(server), "WITHDRAW", json!({"server": &**server, "set": false}));
    }

    fn forget_endpoint(&mut self, server: &EndpointId) {
        self.checks.forget_endpoint(server);
    }

    fn set_admission(&mut self, tbl: u32, products: RequestClassSet, admitted: f64, retry: RetryPolicy) {
        let how = retry as u8;
        let fields = json!({"mapId": tbl, "forClasses": products, "allowance": admitted, "how": how});
        self.say(self.checks.check_admission(tbl, admitted), "SET_LEVEL", fields);
    }

    fn request_acknowledgement(&mut self, number: u32) {
        self.say(Ok(()), "CHECKPOINT", json!({"epoch": number, "set": false}));
    }

    /// The wire loses nothing, so nothing is ever lost here.
    fn resend_commands(&mut self) {}

    fn watch_endpoints(&mut self) {
        self.say(Ok(()), "FOLLOW", json!({"set": true}));
    }

    fn schedule_timer(&mut self, after: Span, timer: Timer) {
        let longest = 70 * 60 * 1_000_000;
        self.say(
            Ok(()),
            "TIMER",
            json!({"afterUs": after.as_us().clamp(1, longest), "label": timer.label()}),
        );
    }
}
