use super::*;
use serde_json::json;

fn names() -> DeploymentNames {
    DeploymentNames { zones: vec!["a".into()], request_classes: vec!["quote".into()], proxy_count: 8 }
}

/// Whether a report that was valid decodes after one field is replaced or removed.
fn is_accepted(kind: &str, field: &str, replacement: Option<Value>) -> bool {
    let mut report = match kind {
        "demand" => json!({"node": 3, "route": "quote", "total": 9, "errors": 1, "interval": 1e3}),
        _ => {
            json!({"locality": "a", "endpoint": "s", "total": 9, "errors": 1, "rtt": 4.5, "interval": 1e3})
        }
    };
    report["msg"] = kind.into();
    match replacement {
        Some(value) => report[field] = value,
        None => _ = report.as_object_mut().unwrap().remove(field),
    }
    let decoded = CollectorMessage::decode(report.to_string().as_bytes(), &names());
    assert_eq!(decoded.is_ok(), matches!(decoded, Ok(CollectorMessage::Report(_))));
    decoded.is_ok()
}

#[test]
fn a_report_with_a_missing_mistyped_out_of_range_or_unknown_field_is_rejected() {
    let (text, none, many) = (json!("9"), Value::Null, json!(1e300));
    for (kind, fields) in [
        ("outcomes", &["locality", "endpoint", "total", "errors", "rtt", "interval"] as &[&str]),
        ("demand", &["node", "route", "total", "errors", "interval"]),
    ] {
        assert!(
            is_accepted(kind, "metrics", Some(json!(7))),
            "the value of an unused field is not validated"
        );
        for field in fields {
            assert!(!is_accepted(kind, field, None), "{kind} without {field}");
            for invalid in [&none, &many, &json!(-1), &json!([]), &json!({})] {
                assert!(!is_accepted(kind, field, Some(invalid.clone())), "{kind} with {field} {invalid}");
            }
            if !["endpoint"].contains(field) {
                assert!(!is_accepted(kind, field, Some(text.clone())), "{kind} with a string as {field}");
            }
        }
        // Attempts are counted in the interval in which they end. A request that fails may have arrived in an
        // earlier one.
        assert_eq!(is_accepted(kind, "errors", Some(json!(10))), kind == "demand");
        assert!(!is_accepted(kind, "interval", Some(json!(0))));
    }
    assert!(
        !is_accepted("demand", "node", Some(json!(8))),
        "a proxy number that is not below the proxy count"
    );
    assert!(is_accepted("outcomes", "errors", Some(json!(9))));
}

#[test]
fn times_of_a_report_are_converted_to_microseconds() {
    let frame =
        br#"{"msg":"outcomes","locality":"a","endpoint":"s","total":9,"errors":1,"rtt":4.5,"interval":1000}"#;
    let Ok(CollectorMessage::Report(Event::EndpointOutcomes {
        endpoint,
        attempts,
        failures,
        mean_latency,
        interval,
    })) = CollectorMessage::decode(frame, &names())
    else {
        panic!("outcomes")
    };
    assert_eq!((&*endpoint, attempts, failures), ("s", 9.0, 1.0));
    assert_eq!((mean_latency, interval), (Span::from_us(4_500), Span::from_us(1_000_000)));
}

#[test]
fn only_probes_and_identifications_are_valid_before_the_identification() {
    let decode = |text: &str| HandshakeMessage::decode(text.as_bytes(), &names());
    assert!(matches!(decode(r#"{"msg":"probe"}"#), Ok(HandshakeMessage::Probe)));
    let identification = r#"{"msg":"agent","locality":"a"}"#;
    assert!(matches!(decode(identification), Ok(HandshakeMessage::Identification { zone: 0 })));
    for invalid in [r#"{"msg":"agent","locality":"elsewhere"}"#, r#"{"msg":"demand"}"#, "[]", "{\"msg\":"] {
        assert!(decode(invalid).is_err(), "{invalid}");
    }
}

/// Guards against events without a bound on their size: a collector that reported names of 60 KB while a call
/// to the relay was in flight filled the queue with 240 MB.
#[test]
fn a_report_about_an_endpoint_with_an_endless_name_is_rejected() {
    assert!(is_accepted("outcomes", "endpoint", Some(json!("e".repeat(256)))));
    assert!(!is_accepted("outcomes", "endpoint", Some(json!("e".repeat(257)))));
}

/// Guards against log lines without a bound on their size.
#[test]
fn an_error_quotes_only_the_beginning_of_a_message() {
    let long = "x".repeat(60_000);
    let outcomes = json!({"msg": "outcomes", "locality": long, "endpoint": long});
    let demand = json!({"msg": "demand", "node": long, "route": long});
    for message in [json!({"msg": long}), outcomes, demand] {
        let text = message.to_string();
        for error in [
            CollectorMessage::decode(text.as_bytes(), &names()).err(),
            HandshakeMessage::decode(text.as_bytes(), &names()).err(),
        ] {
            let error = error.expect("the message is invalid").to_string();
            assert!(error.len() < 300, "{} bytes", error.len());
        }
    }
}
