use super::*;
use serde_json::json;

fn decode(line: &str) -> Result<ProxyEvent, InvalidLine> {
    let names = DeploymentNames {
        zones: vec!["north".into(), "south".into()],
        request_classes: vec![],
        proxy_count: 8,
    };
    ProxyEvent::decode(line, &names)
}

/// Decodes an invalid event and returns the proxy that its error names. Panics on any other result.
fn proxy_of_invalid(event: Value) -> Option<u32> {
    match decode(&event.to_string()) {
        Err(InvalidLine::InvalidEvent { proxy, .. }) => proxy,
        other => panic!("{event}: {other:?}"),
    }
}

#[test]
fn each_kind_of_line_is_decoded() {
    let joined = r#"{"type":"hello","object":{"node":3,"locality":"south","w":20.5,"cold":true}}"#;
    assert_eq!(
        decode(joined).unwrap(),
        ProxyEvent::Joined { proxy: 3, zone: 1, rate: 20.5, has_initial_table: true }
    );
    let left = r#"{"type":"bye","object":{"node":3}}"#;
    assert_eq!(decode(left).unwrap(), ProxyEvent::Left { proxy: 3 });
    let acknowledged = r#"{"type":"ack","object":{"node":3,"nonce":9}}"#;
    assert_eq!(decode(acknowledged).unwrap(), ProxyEvent::Acknowledged { proxy: 3, number: 9 });
    assert_eq!(decode("{}").unwrap(), ProxyEvent::Heartbeat);
    assert_eq!(decode(" ").unwrap(), ProxyEvent::Blank);
}

#[test]
fn a_line_that_is_not_json_is_told_apart_from_an_invalid_event() {
    assert!(matches!(decode("{\"type\":"), Err(InvalidLine::NotJson(_))));
    for event in [json!([]), json!({"type": "hello"}), json!({"type": "bye", "object": {"node": "x"}})] {
        assert_eq!(proxy_of_invalid(event), None);
    }
}

#[test]
fn an_invalid_event_keeps_the_number_of_its_proxy() {
    let joined = |rate| json!({"type": "hello", "object": {"node": 3, "locality": "north", "w": rate}});
    assert_eq!(proxy_of_invalid(joined(json!("x"))), Some(3));
    assert_eq!(proxy_of_invalid(joined(json!(2e7))), Some(3));
    assert_eq!(proxy_of_invalid(json!({"type": "nap", "object": {"node": 3}})), Some(3));
    let beyond = json!({"type": "bye", "object": {"node": 8}});
    assert_eq!(proxy_of_invalid(beyond), Some(8), "a number beyond that of the settings");
}
