//! Valid, unusual and invalid input lines, panics of a controller, and commands that must not be sent.

use super::*;

/// Starts instance 3. Unknown fields, here and in the other messages, must be ignored.
const START_INSTANCE: &str = r#"{"kind":"UP","who":3,"entropy":9,"unknown":1,"env":{
 "classes":[{"promiseUs":750000,"importance":1}],"familyInfo":{"proxyCount":4,"channelRate":1000},
 "guarantees":{"drainGraceUs":2000000},"unknown":{"nested":[1]}}}"#;

/// Page 0 of the endpoint list, with these endpoints.
fn endpoint_page(ids: &[&str]) -> String {
    let entries: Vec<String> =
        ids.iter().map(|id| format!(r#"{{"server":"{id}","health":1,"weight":1,"unknown":2}}"#)).collect();
    format!(r#"{{"kind":"PAGE","page":0,"elements":[{}]}}"#, entries.join(","))
}

/// An adapter that runs instance 3, which received an endpoint list with these endpoints.
fn adapter_with_endpoints(ids: &[&str]) -> Adapter {
    let mut adapter = Adapter::default();
    let batch_start = r#"{"kind":"TICK","timeUs":5000000,"serial":1}"#;
    let list_replaced = r#"{"kind":"TOPOLOGY","who":3,"form":2,"epoch":1,"page":0}"#;
    for line in [batch_start, START_INSTANCE, &endpoint_page(ids), list_replaced] {
        adapter.handle_line(line.replace('\n', "").as_bytes()).unwrap();
    }
    adapter.take_reply();
    adapter
}

fn reply_text(adapter: &mut Adapter) -> String {
    String::from_utf8(adapter.take_reply()).unwrap()
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let mut adapter = Adapter { batch_number: 12, ..Adapter::default() };
    assert_eq!(reply_text(&mut adapter), "{\"kind\":\"FINISHED\",\"serial\":12}\n");
}

#[test]
fn a_joined_proxy_is_assigned_a_table_and_unknown_fields_are_ignored() {
    let mut adapter = adapter_with_endpoints(&["10.0.0.1:9000"]);
    adapter
        .handle_line(
            br#"{"kind":"STREAM_UP","who":3,"px":41,"campus":0,"weight":6.5,"set":true,"unknown":[]}"#,
        )
        .unwrap();
    adapter.handle_line(br#"{"kind":"TICK","timeUs":5200000,"serial":2}"#).unwrap();
    adapter.handle_line(br#"{"kind":"BELL","who":3,"label":4}"#).unwrap();
    assert!(reply_text(&mut adapter).contains(r#""kind":"INSTALL""#));
}

#[test]
fn a_missing_field_is_named_in_the_error() {
    let error =
        adapter_with_endpoints(&[]).handle_line(br#"{"kind":"STREAM_UP","who":3}"#).unwrap_err().to_string();
    assert_eq!(error, "STREAM_UP: field 'px' is missing");
}

#[test]
fn an_invalid_field_value_is_named_in_the_error() {
    let error = adapter_with_endpoints(&[])
        .handle_line(br#"{"kind":"HEARD","who":3,"server":"a","triesN":-4}"#)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "HEARD: field 'triesN' is not a number from 0 to 1e12: -4");
}

#[test]
fn invalid_json_is_rejected() {
    assert!(Adapter::default()
        .handle_line(b"{\"kind\":")
        .unwrap_err()
        .to_string()
        .starts_with("not valid JSON: "));
}

#[test]
fn an_event_for_an_instance_that_is_not_running_is_rejected() {
    let error =
        Adapter::default().handle_line(br#"{"kind":"BELL","who":8,"label":1}"#).unwrap_err().to_string();
    assert_eq!(error, "BELL: instance 8 is not running");
}

#[test]
fn a_list_event_with_an_unknown_page_is_rejected() {
    let error = adapter_with_endpoints(&[])
        .handle_line(br#"{"kind":"TOPOLOGY","who":3,"form":1,"page":7}"#)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "TOPOLOGY: page 7 was not received");
}

#[test]
fn events_about_unlisted_endpoints_and_unknown_proxies_issue_no_commands() {
    let mut adapter = adapter_with_endpoints(&["a:1"]);
    adapter.handle_line(br#"{"kind":"HEARD","who":3,"campus":0,"triesN":4,"bad":4,"server":"z:1"}"#).unwrap();
    adapter.handle_line(br#"{"kind":"STREAM_DOWN","who":3,"px":9}"#).unwrap();
    assert_eq!(reply_text(&mut adapter).lines().count(), 1);
}

#[test]
fn a_panic_stops_its_instance_and_is_reported() {
    let mut adapter = adapter_with_endpoints(&[]);
    adapter.stop_instance_on_panic(3, |_| panic!("index out of range"));
    assert!(reply_text(&mut adapter).starts_with(r#"{"kind":"DIE","msg":"index out of range","who":3}"#));
    assert!(adapter.instances.is_empty());
}

#[test]
fn invalid_commands_are_not_sent() {
    use otterwinch::host::{Host, RequestClassSet};
    let mut adapter = adapter_with_endpoints(&["a:1"]);
    let host = adapter.instances.get_mut(&3).unwrap().host_mut();
    host.assign_table(5, 0, RequestClassSet::ALL);
    host.set_endpoint_weight(0, &"unlisted:1".into(), 1.0, None);
    host.set_endpoint_weight(0, &"a:1".into(), -1.0, None);
    host.set_endpoint_weight(65_535, &"a:1".into(), 1.0, None);
    assert!(host.encoded_commands.is_empty());
}

#[test]
fn an_assignment_names_its_classes_unless_it_is_for_all() {
    use otterwinch::host::{Host, RequestClassSet};
    let mut adapter = adapter_with_endpoints(&["a:1"]);
    adapter
        .handle_line(br#"{"kind":"STREAM_UP","who":3,"px":41,"campus":0,"weight":6.5,"set":true}"#)
        .unwrap();
    let host = adapter.instances.get_mut(&3).unwrap().host_mut();
    host.encoded_commands.clear();
    host.assign_table(41, 0, RequestClassSet::ALL);
    host.assign_table(41, 1, [0, 2].into_iter().collect());
    let commands = String::from_utf8(std::mem::take(&mut host.encoded_commands)).unwrap();
    let for_classes: Vec<Value> = commands
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap()["forClasses"].clone())
        .collect();
    assert_eq!(for_classes, [0, 0b101]);
}

#[test]
fn a_stopped_instance_is_removed() {
    let mut adapter = adapter_with_endpoints(&["a:1"]);
    adapter.handle_line(br#"{"kind":"DESTROY","who":3}"#).unwrap();
    assert!(adapter.instances.is_empty());
}
