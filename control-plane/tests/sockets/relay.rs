//! Calls to the relay whose answers are late, cut, doubled or impossible, and an event stream that can't be read in parts.

use crate::common::{config, server, until, Does, List, Relay};
use crate::{comes_again_when_the_relay, serving};
use serde_json::{json, Value};

#[test]
fn commands_come_again_when_the_call_is_reset() {
    comes_again_when_the_relay(Does::Resets);
}

#[test]
fn commands_come_again_when_the_answer_is_cut_in_its_status() {
    comes_again_when_the_relay(Does::CutsAfter(12));
}

#[test]
fn commands_come_again_when_the_answer_is_cut_after_its_head() {
    comes_again_when_the_relay(Does::CutsAfter(40));
}

#[test]
fn commands_come_again_when_the_answer_lacks_its_last_byte() {
    comes_again_when_the_relay(Does::CutsAfter(usize::MAX));
}

#[test]
fn commands_come_again_when_more_was_taken_than_was_sent() {
    comes_again_when_the_relay(Does::TakesTooMany);
}

#[test]
fn commands_come_again_when_the_answer_is_no_http() {
    comes_again_when_the_relay(Does::Babbles);
}

#[test]
fn an_answer_that_comes_twice_is_one_answer() {
    let (list, relay, _supervisor) = serving();
    relay.will(Does::AnswersTwice);
    list.changes(&[server("a", "leaving")]);
    let taken = relay.call_with("eject");
    list.changes(&[server("c", "active")]);
    let next = relay.call_with("put");
    assert_ne!(next, taken);
    assert!(next.iter().all(|o| o["op"] != "eject"), "{next:?}");
}

/// The answer to a call that was given up comes after the call was made again: it answers neither.
#[test]
fn an_answer_that_comes_late_is_nobodys() {
    let (list, relay, supervisor) = serving();
    relay.will(Does::Holds);
    relay.will(Does::Breaks);
    list.changes(&[server("a", "leaving")]);
    let held = relay.call_with("eject");
    // Given up, made again, broken: its fate is open once more. Only now the first answer comes.
    relay.call_with("eject");
    relay.releases();
    let mut third = relay.call();
    third.retain(|command| command["op"] != "fence");
    assert_eq!(third, held);
    supervisor.logged("command delivery recovered");
    list.changes(&[server("c", "active")]);
    let next = relay.call_with("put");
    assert!(next.iter().all(|o| o["op"] != "eject"), "{next:?}");
}

#[test]
fn a_call_that_is_out_as_the_relay_moves_goes_to_the_new_one_before_any_other() {
    let (list, relay, supervisor) = serving();
    relay.will(Does::Holds);
    // Where the move comes late the call is repeated at the old relay, which must not accept it then.
    (0..500).for_each(|_| relay.will(Does::IsSilent));
    list.changes(&[server("a", "leaving")]);
    let lost = relay.call_with("eject");
    let (other, new) = (List::start(&["b"]), Relay::start());
    new.joins(7);
    supervisor.reads_again(&config(other.address, new.address).to_string());
    supervisor.logged("config reloaded");
    let mut first = new.call();
    first.retain(|command| command["op"] != "fence");
    assert_eq!(first, lost);
    while let Some(mut repeated) = relay.was_called() {
        repeated.retain(|command| command["op"] != "fence");
        assert_eq!(repeated, lost);
    }
    relay.releases();
    assert_eq!(new.command("attach")["node"], 7);
    assert!(relay.was_called().is_none(), "nothing more goes to the old place");
}

/// Only said twice running it is no spoilt answer.
#[test]
fn two_calls_that_the_relay_cannot_use_with_a_broken_one_between_open_nothing_anew() {
    let (list, relay, supervisor) = serving();
    [Does::CannotUseIt, Does::Breaks, Does::CannotUseIt].into_iter().for_each(|does| relay.will(does));
    list.changes(&[server("a", "leaving")]);
    (0..4).for_each(|_| _ = relay.call_with("eject"));
    supervisor.logged("command delivery recovered");
    assert!(supervisor.page("/state").contains(r#""opened":1,"#));
}

fn hello(proxy: u32, rate: Value) -> Value {
    json!({"type": "hello", "object": {"node": proxy, "locality": "north", "w": rate, "cold": false}})
}

#[test]
fn a_proxy_whose_line_in_a_reopened_event_stream_cannot_be_read_has_not_left() {
    for spoilt in [hello(8, json!("x")), json!({"type": "hello", "object": {"node": []}})] {
        let (_list, relay, supervisor) = serving();
        relay.joins(8);
        relay.command("attach");
        relay.opens_anew_with(&[hello(7, json!(20.5)), spoilt]);
        supervisor.logged("proxy stream connected");
        supervisor.logged("proxy stream event skipped");
        // Bound anew once the opening has been heard to its end.
        assert_eq!(relay.command("attach")["node"], 7);
        relay.joins(9);
        until("all three", || supervisor.page("/state").contains(r#""proxies":3,"#).then_some(()));
    }
}
