use super::*;
use slog::{o, Discard};

fn delivery() -> CommandDelivery {
    let relay_address = watch::channel(([127, 0, 0, 1], 1).into()).1;
    CommandDelivery::new(relay_address, Logger::root(Discard, o!()))
}

fn json_of(commands: &VecDeque<Command>) -> Vec<&str> {
    commands.iter().map(|command| command.json.as_str()).collect()
}

#[test]
fn a_new_acknowledgement_request_replaces_that_of_the_call_that_failed() {
    let mut delivery = delivery();
    let assignment = || Command::assign_table(3, 0);
    delivery.enqueue([assignment(), Command::request_acknowledgement(1)].into());
    delivery.enqueue([Command::request_acknowledgement(2)].into());
    let expected = [assignment(), Command::request_acknowledgement(2)].into();
    assert_eq!(json_of(&delivery.pending), json_of(&expected));
}

#[test]
fn commands_without_an_acknowledgement_request_keep_the_pending_one() {
    let mut delivery = delivery();
    delivery.enqueue([Command::request_acknowledgement(1)].into());
    delivery.enqueue([Command::assign_table(3, 0)].into());
    let expected = [Command::request_acknowledgement(1), Command::assign_table(3, 0)].into();
    assert_eq!(json_of(&delivery.pending), json_of(&expected));
}

#[test]
fn only_an_explicit_rejection_proves_that_nothing_was_executed() {
    let may_have_been_executed = |status: u16, response: &str| {
        let status = StatusCode::from_u16(status).unwrap();
        response_error(status, response.as_bytes()).may_have_been_executed()
    };
    assert!(!may_have_been_executed(429, ""));
    assert!(!may_have_been_executed(503, r#"{"error":"throttled"}"#));
    assert!(!may_have_been_executed(400, r#"{"error":"invalid"}"#));
    assert!(may_have_been_executed(400, r#"{"error":"other"}"#));
    assert!(may_have_been_executed(500, r#"{"error":"invalid"}"#));
    assert!(may_have_been_executed(200, r#"{"tak"#));
}

#[test]
fn a_response_without_a_count_accepts_nothing() {
    assert_eq!(accepted_count(br#"{"taken":2}"#), Some(2));
    for response in [r#"{"taken":-1}"#, r#"{"taken":"2"}"#, "{}", r#"{"tak"#] {
        assert_eq!(accepted_count(response.as_bytes()), None, "{response}");
    }
}
