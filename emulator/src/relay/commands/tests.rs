use super::super::FleetNames;
use otterwinch::host::{RequestClassSet, RetryPolicy};
use otterwinch_simulation::simulated_host::Command;
use serde_json::{json, Value};

/// The only proxy that is connected.
const CONNECTED_PROXY: u32 = 4;

fn decode(change: Value) -> Option<Command> {
    let names = FleetNames {
        endpoints: [("east-0".to_owned(), 0), ("east-1".to_owned(), 1)].into(),
        request_classes: vec!["quote".to_owned(), "hold".to_owned(), "issue".to_owned()],
        zones: vec!["east".to_owned()],
    };
    names.decode_command(&change, |proxy| proxy == CONNECTED_PROXY)
}

#[test]
fn each_command_of_the_protocol_is_decoded() {
    let put = json!({"op": "put", "table": 3, "endpoint": "east-1", "w": 2.5});
    let weight = Command::SetWeight { table_id: 3, endpoint: 1, weight: 2.5 };
    assert_eq!(decode(put), Some(weight));
    let attach = json!({"op": "attach", "node": CONNECTED_PROXY, "table": 3});
    assert_eq!(decode(attach), Some(Command::AssignTable { proxy: CONNECTED_PROXY, table_id: 3 }));
    let eject = json!({"op": "eject", "endpoint": "east-0"});
    assert_eq!(decode(eject), Some(Command::SetEjected { endpoint: 0, ejected: true }));
    let restore = json!({"op": "uneject", "endpoint": "east-0"});
    assert_eq!(decode(restore), Some(Command::SetEjected { endpoint: 0, ejected: false }));
    let fence = json!({"op": "fence", "nonce_out": 17});
    assert_eq!(decode(fence), Some(Command::RequestAcknowledgement(17)));
}

#[test]
fn an_admission_level_applies_to_the_classes_that_it_names_or_to_all() {
    let set_admission = |request_classes| Command::SetAdmission {
        table_id: 1,
        request_classes,
        admitted: 0.5,
        retry: RetryPolicy::Once,
    };
    let gate = json!({"op": "gate", "table": 1, "admit": 0.5, "policy": 2});
    assert_eq!(decode(gate), Some(set_admission(RequestClassSet::ALL)));
    let gate =
        json!({"op": "gate", "table": 1, "admit": 0.5, "policy": 2, "routes": ["issue", "quote", "x"]});
    assert_eq!(decode(gate), Some(set_admission([0, 2].into_iter().collect())));
}

#[test]
fn invalid_commands_are_rejected() {
    let invalid = [
        json!({"op": "put", "table": 3, "endpoint": "east-9", "w": 1.0}),
        json!({"op": "put", "table": 3, "endpoint": "east-1", "w": -1.0}),
        json!({"op": "put", "table": -3, "endpoint": "east-1", "w": 1.0}),
        json!({"op": "attach", "node": 5, "table": 3}),
        json!({"op": "attach", "node": CONNECTED_PROXY, "table": 3, "routes": ["hold"]}),
        json!({"op": "gate", "table": 1, "admit": 0.5, "policy": 4}),
        json!({"op": "gate", "table": 1, "policy": 0}),
        json!({"op": "fence"}),
        json!({"op": "unknown"}),
        json!({}),
    ];
    for change in invalid {
        assert_eq!(decode(change.clone()), None, "{change}");
    }
}
