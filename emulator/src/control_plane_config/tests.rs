use super::ControlPlaneConfig;
use serde_json::{json, Value};

fn small_fleet_config() -> Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/fleets/small.fleet");
    let fleet =
        otterwinch_fleet::parse_fleet("small.fleet", &std::fs::read_to_string(path).unwrap()).unwrap();
    let config = ControlPlaneConfig {
        fleet: &fleet,
        name: "supervisor-0",
        listen_address: "127.0.0.1:1",
        endpoint_list_address: "127.0.0.1:2",
        relay_address: "127.0.0.1:3",
        initial_endpoint_list: json!({"hosts": [], "seq": 1, "whole": true}),
        seed: 26,
    };
    config.to_json()
}

/// Compares the whole text, because the published settings define the name and the unit of each field.
#[test]
fn the_configuration_has_the_published_field_names() {
    let expected = concat!(
        r#"{"discovery":"127.0.0.1:2","known":{"hosts":[],"seq":1,"whole":true},"#,
        r#""limits":{"memory_mb":192,"sockets":1024},"listen":"127.0.0.1:1","name":"supervisor-0","#,
        r#""relay":{"address":"127.0.0.1:3"},"seed":"1a","settings":{"charges":{"crossZone":0.04},"#,
        r#""classes":[{"importance":1.0,"name":"fare-quote","promiseUs":800000},"#,
        r#"{"importance":3.0,"name":"seat-hold","promiseUs":700000},"#,
        r#"{"importance":3.0,"name":"ticket-issue","promiseUs":700000}],"#,
        r#""familyInfo":{"channelRate":15000.0,"fixedCost":10.0,"initialSet":12,"mostWaiting":15000.0,"#,
        r#""proxyCount":4,"reportEveryUs":1000000,"throttleBy":"fraction","transitMaxUs":300000},"#,
        r#""guarantees":{"coldUs":10000000,"drainGraceUs":1500000},"replicasOfMe":1,"#,
        r#""zones":["east","west"]}}"#,
    );
    assert_eq!(small_fleet_config().to_string(), expected);
}
