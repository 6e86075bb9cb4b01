use super::*;

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
