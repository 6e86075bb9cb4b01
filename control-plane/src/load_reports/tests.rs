use super::*;
use serde_json::json;
use tokio::sync::mpsc;

/// A sound report with one field replaced, or taken out.
async fn taken(kind: &str, field: &str, by: Option<Value>) -> bool {
    let names = Names { zones: vec!["a".into()], products: vec!["quote".into()], proxies: 8 };
    let mut report = match kind {
        "demand" => json!({"node": 3, "route": "quote", "total": 9, "errors": 1, "interval": 1e3}),
        _ => {
            json!({"locality": "a", "endpoint": "s", "total": 9, "errors": 1, "rtt": 4.5, "interval": 1e3})
        }
    };
    report["msg"] = kind.into();
    match by {
        Some(value) => report[field] = value,
        None => _ = report.as_object_mut().unwrap().remove(field),
    }
    let (ear, mut told) = mpsc::channel(1);
    let read = one(&report, &names, &EventSender { told: ear, seen: Default::default() }).await;
    assert_eq!(read.is_ok(), told.try_recv().is_ok());
    read.is_ok()
}

#[tokio::test]
async fn a_report_counts_only_if_each_field_is_there_of_its_type_within_bounds_and_means_something() {
    let (text, none, many) = (json!("9"), Value::Null, json!(1e300));
    for (kind, fields) in [
        ("outcomes", &["locality", "endpoint", "total", "errors", "rtt", "interval"] as &[&str]),
        ("demand", &["node", "route", "total", "errors", "interval"]),
    ] {
        assert!(taken(kind, "metrics", Some(json!(7))).await, "what is not used may be anything");
        for field in fields {
            assert!(!taken(kind, field, None).await, "{kind} without {field}");
            for odd in [&none, &many, &json!(-1), &json!([]), &json!({})] {
                assert!(!taken(kind, field, Some(odd.clone())).await, "{kind} with {field} {odd}");
            }
            if !["endpoint"].contains(field) {
                assert!(!taken(kind, field, Some(text.clone())).await, "{kind} with {field} a text");
            }
        }
        // Tries end within their report's interval; a txn may have come in the one before.
        assert_eq!(taken(kind, "errors", Some(json!(10))).await, kind == "demand");
        assert!(!taken(kind, "interval", Some(json!(0))).await);
    }
    assert!(!taken("demand", "node", Some(json!(8))).await, "a proxy beyond the number in the settings");
    assert!(taken("outcomes", "errors", Some(json!(9))).await);
}
