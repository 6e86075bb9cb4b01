//! Calls to the relay whose answers are late, truncated, doubled or impossible, and a partly unreadable event stream.

use crate::assert_commands_are_resent_after;
use crate::support::{config, endpoint_entry, FakeEndpointList, FakeRelay, RelayBehavior, Testbed};
use serde_json::{json, Value};

#[test]
fn commands_come_again_when_the_call_is_reset() {
    assert_commands_are_resent_after(RelayBehavior::ResetsConnection);
}

#[test]
fn commands_come_again_when_the_answer_is_cut_in_its_status() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesAnswer(12));
}

#[test]
fn commands_come_again_when_the_answer_is_cut_after_its_head() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesAnswer(40));
}

#[test]
fn commands_come_again_when_the_answer_lacks_its_last_byte() {
    assert_commands_are_resent_after(RelayBehavior::TruncatesAnswer(usize::MAX));
}

#[test]
fn commands_come_again_when_more_was_taken_than_was_sent() {
    assert_commands_are_resent_after(RelayBehavior::AcceptsTooMany);
}

#[test]
fn commands_come_again_when_the_answer_is_no_http() {
    assert_commands_are_resent_after(RelayBehavior::AnswersGarbage);
}

#[test]
fn an_answer_that_comes_twice_is_one_answer() {
    let Testbed { list, relay, control_plane: _control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::AnswersTwice);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let taken = relay.next_call_with("eject");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let next = relay.next_call_with("put");
    assert_ne!(next, taken);
    assert!(next.iter().all(|o| o["op"] != "eject"), "{next:?}");
}

/// The answer to a call that timed out comes after the commands were sent again: it answers neither call.
#[test]
fn an_answer_that_comes_late_is_nobodys() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::WithholdsAnswer);
    relay.plan(RelayBehavior::ClosesConnection);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let withheld = relay.next_call_with("eject");
    // Timed out, sent again, failed: the outcome is unknown once more. Only now the first answer comes.
    relay.next_call_with("eject");
    relay.release_answer();
    let mut third = relay.next_call();
    third.retain(|command| command["op"] != "fence");
    assert_eq!(third, withheld);
    control_plane.wait_for_log("command delivery recovered");
    list.publish_changes(&[endpoint_entry("c", "active")]);
    let next = relay.next_call_with("put");
    assert!(next.iter().all(|o| o["op"] != "eject"), "{next:?}");
}

#[test]
fn a_call_that_is_out_as_the_relay_moves_goes_to_the_new_one_before_any_other() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    relay.plan(RelayBehavior::WithholdsAnswer);
    // If the move comes late the call is repeated at the old relay, which must not accept it then.
    relay.plan_times(500, RelayBehavior::DoesNotAnswer);
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    let lost = relay.next_call_with("eject");
    let (other, new) = (FakeEndpointList::start(&["b"]), FakeRelay::start());
    new.proxy_joins(7);
    control_plane.reload_config(&config(other.address, new.address).to_string());
    control_plane.wait_for_log("config reloaded");
    let mut first = new.next_call();
    first.retain(|command| command["op"] != "fence");
    assert_eq!(first, lost);
    while let Some(mut repeated) = relay.try_next_call() {
        repeated.retain(|command| command["op"] != "fence");
        assert_eq!(repeated, lost);
    }
    relay.release_answer();
    assert_eq!(new.next_command("attach")["node"], 7);
    assert!(relay.try_next_call().is_none(), "nothing more goes to the old place");
}

/// A single rejection may be a corrupted answer; only two in a row are believed.
#[test]
fn two_calls_that_the_relay_cannot_use_with_a_broken_one_between_open_nothing_anew() {
    let Testbed { list, relay, control_plane } = Testbed::start_with_proxy();
    for behavior in
        [RelayBehavior::RejectsAsInvalid, RelayBehavior::ClosesConnection, RelayBehavior::RejectsAsInvalid]
    {
        relay.plan(behavior);
    }
    list.publish_changes(&[endpoint_entry("a", "leaving")]);
    for _ in 0..4 {
        relay.next_call_with("eject");
    }
    control_plane.wait_for_log("command delivery recovered");
    assert!(control_plane.http_get("/state").contains(r#""opened":1,"#));
}

fn hello(proxy: u32, rate: Value) -> Value {
    json!({"type": "hello", "object": {"node": proxy, "locality": "north", "w": rate, "cold": false}})
}

#[test]
fn a_proxy_whose_line_in_a_reopened_event_stream_cannot_be_read_has_not_left() {
    for invalid in [hello(8, json!("x")), json!({"type": "hello", "object": {"node": []}})] {
        let Testbed { relay, control_plane, .. } = Testbed::start_with_proxy();
        relay.proxy_joins(8);
        relay.next_command("attach");
        relay.reopens_stream_with(&[hello(7, json!(20.5)), invalid]);
        control_plane.wait_for_log("proxy stream connected");
        control_plane.wait_for_log("proxy stream event skipped");
        // Its table is assigned again once the opening has been read to its end.
        assert_eq!(relay.next_command("attach")["node"], 7);
        relay.proxy_joins(9);
        control_plane.wait_for_status(r#""proxies":3,"#);
    }
}
