//! Valid, unusual and invalid input lines, panics of a controller, and commands that must not be sent.

use super::*;

const UP: &str = r#"{"kind":"UP","who":3,"entropy":9,"novelty":1,"env":{"classes":[{"promiseUs":750000,"importance":1}],
 "familyInfo":{"proxyCount":4,"channelRate":1000},"guarantees":{"drainGraceUs":2000000},"new":{"x":[1]}}}"#;

fn page(ids: &[&str]) -> String {
    let rows: Vec<String> =
        ids.iter().map(|id| format!(r#"{{"server":"{id}","health":1,"weight":1,"shiny":2}}"#)).collect();
    format!(r#"{{"kind":"PAGE","page":0,"elements":[{}]}}"#, rows.join(","))
}

fn up_with(ids: &[&str]) -> Adapter {
    let mut adapter = Adapter::default();
    let list = r#"{"kind":"TOPOLOGY","who":3,"form":2,"epoch":1,"page":0}"#;
    for line in [r#"{"kind":"TICK","timeUs":5000000,"serial":1}"#, UP, &page(ids), list] {
        adapter.handle_line(line.replace('\n', "").as_bytes()).unwrap();
    }
    adapter.take_reply();
    adapter
}

fn reply(adapter: &mut Adapter) -> String {
    String::from_utf8(adapter.take_reply()).unwrap()
}

#[test]
fn an_empty_batch_is_answered_with_its_number() {
    let mut adapter = Adapter { batch_number: 12, ..Adapter::default() };
    assert_eq!(reply(&mut adapter), "{\"kind\":\"FINISHED\",\"serial\":12}\n");
}

#[test]
fn a_join_is_bound_and_unknown_fields_are_skipped() {
    let mut adapter = up_with(&["10.0.0.1:9000"]);
    adapter
        .handle_line(br#"{"kind":"STREAM_UP","who":3,"px":41,"campus":0,"weight":6.5,"set":true,"odd":[]}"#)
        .unwrap();
    adapter.handle_line(br#"{"kind":"TICK","timeUs":5200000,"serial":2}"#).unwrap();
    adapter.handle_line(br#"{"kind":"BELL","who":3,"label":4}"#).unwrap();
    assert!(reply(&mut adapter).contains(r#""kind":"INSTALL""#));
}

#[test]
fn a_missing_field_is_named() {
    let error = up_with(&[]).handle_line(br#"{"kind":"STREAM_UP","who":3}"#).unwrap_err().to_string();
    assert_eq!(error, "STREAM_UP: field 'px' is missing");
}

#[test]
fn a_field_of_the_wrong_form_is_named() {
    let error = up_with(&[])
        .handle_line(br#"{"kind":"HEARD","who":3,"server":"a","triesN":-4}"#)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "HEARD: field 'triesN' is not a number from 0 to 1e12: -4");
}

#[test]
fn what_is_not_json_is_refused() {
    assert!(Adapter::default()
        .handle_line(b"{\"kind\":")
        .unwrap_err()
        .to_string()
        .starts_with("not valid JSON: "));
}

#[test]
fn an_event_for_an_instance_that_is_not_up_is_refused() {
    let error =
        Adapter::default().handle_line(br#"{"kind":"BELL","who":8,"label":1}"#).unwrap_err().to_string();
    assert_eq!(error, "BELL: instance 8 is not running");
}

#[test]
fn a_list_whose_page_never_came_is_refused() {
    let error = up_with(&[])
        .handle_line(br#"{"kind":"TOPOLOGY","who":3,"form":1,"page":7}"#)
        .unwrap_err()
        .to_string();
    assert_eq!(error, "TOPOLOGY: page 7 was not received");
}

#[test]
fn reports_for_unlisted_servers_and_departed_proxies_order_nothing() {
    let mut adapter = up_with(&["a:1"]);
    adapter.handle_line(br#"{"kind":"HEARD","who":3,"campus":0,"triesN":4,"bad":4,"server":"z:1"}"#).unwrap();
    adapter.handle_line(br#"{"kind":"STREAM_DOWN","who":3,"px":9}"#).unwrap();
    assert_eq!(reply(&mut adapter).lines().count(), 1);
}

#[test]
fn a_panic_ends_one_instance_and_says_so() {
    let mut adapter = up_with(&[]);
    adapter.stop_instance_on_panic(3, |_| panic!("index out of range"));
    assert!(reply(&mut adapter).starts_with(r#"{"kind":"DIE","msg":"index out of range","who":3}"#));
    assert!(adapter.instances.is_empty());
}

#[test]
fn commands_that_the_wire_calls_faults_are_not_sent() {
    use otterwinch::host::Host;
    let mut adapter = up_with(&["a:1"]);
    let host = adapter.instances.get_mut(&3).unwrap().host();
    host.assign_table(5, 0);
    host.set_endpoint_weight(0, &"nobody:1".into(), 1.0);
    host.set_endpoint_weight(0, &"a:1".into(), -1.0);
    host.set_endpoint_weight(65_535, &"a:1".into(), 1.0);
    assert!(host.encoded_commands.is_empty());
}

#[test]
fn a_destroyed_instance_is_forgotten() {
    let mut adapter = up_with(&["a:1"]);
    adapter.handle_line(br#"{"kind":"DESTROY","who":3}"#).unwrap();
    assert!(adapter.instances.is_empty());
}
