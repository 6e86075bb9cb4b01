//! The relay's event stream, which reports the joined proxies to the control plane.

use crate::support::Testbed;
use serde_json::{json, Value};

#[test]
fn a_proxy_missing_from_a_reopened_stream_has_left() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.join_proxy(8);
    relay.next_command("attach");
    relay.close_event_stream_and_list_last_proxy();
    control_plane.wait_for_log("proxy stream lost");
    // The listed proxy may have left and rejoined in the meantime, so its table is assigned again.
    assert_eq!(relay.next_command("attach")["node"], 8);
    control_plane.wait_for_status(r#""proxies":1,"#);
}

/// A stream that resumes after a silence needs no repeated assignments, and no proxy that joined during the
/// silence is missed.
#[test]
fn a_silent_stream_is_kept_until_another_one_opens() {
    let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
    relay.silence_event_stream();
    control_plane.wait_for_log("proxy stream silent");
    control_plane.wait_for_log("proxy stream connect failed");
    relay.join_proxy(8);
    control_plane.wait_for_log("proxy stream recovered");
    assert_eq!(relay.next_command("attach")["node"], 8);
    control_plane.wait_for_status(r#""proxies":2,"#);
}

fn joined_event(proxy: u32, rate: Value) -> Value {
    json!({"type": "hello", "object": {"node": proxy, "locality": "north", "w": rate, "cold": false}})
}

#[test]
fn a_proxy_with_an_invalid_event_in_a_reopened_stream_has_not_left() {
    for invalid in [joined_event(8, json!("x")), json!({"type": "hello", "object": {"node": []}})] {
        let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
        relay.join_proxy(8);
        relay.next_command("attach");
        relay.close_event_stream_and_list(&[joined_event(7, json!(20.5)), invalid]);
        control_plane.wait_for_log("proxy stream connected");
        control_plane.wait_for_log("proxy stream event skipped");
        // Proxy 7 is assigned its table again once the lines that the stream begins with have been read.
        assert_eq!(relay.next_command("attach")["node"], 7);
        relay.join_proxy(9);
        control_plane.wait_for_status(r#""proxies":3,"#);
    }
}
