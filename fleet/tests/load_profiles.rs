//! Load profiles and the load that they generate.

mod common;

use common::{example, small_fleet};
use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::parse_load_profile;
use otterwinch_traffic_capture::RequestRecord;

#[test]
fn a_profile_generates_the_same_load_from_the_same_seed() {
    let fleet = small_fleet();
    let profile = parse_load_profile("m", &example("loads/minute.make"), &fleet).unwrap();
    let generate = |seed| LoadGenerator::new(&fleet, &profile, seed).collect::<Vec<RequestRecord>>();
    let requests = generate(3);
    assert_eq!(requests, generate(3));
    assert_ne!(requests, generate(4));
    // About 55 requests per second for one minute.
    assert!((3_000..3_600).contains(&requests.len()), "{}", requests.len());
    let count_costly = |from: i64, to: i64| {
        let within = requests.iter().filter(|request| (from..to).contains(&request.at_us));
        within.filter(|request| request.request_class == 0 && request.work_us > Some(800_000)).count()
    };
    assert_eq!(count_costly(0, 25_000_000), 0);
    assert!(count_costly(25_000_000, 33_000_000) > 0);
}

#[test]
fn a_profile_that_names_an_unknown_class_is_rejected() {
    let text = "for_s: 5 txns_per_s: 3\nburst { at_s: 1 for_s: 2 product: 'ferry' }";
    let errors = parse_load_profile("m", text, &small_fleet()).unwrap_err().to_string();
    let expected = "unknown product 'ferry'; expected one of: fare-quote, seat-hold, ticket-issue";
    assert_eq!(errors, format!("m:2: burst[0].product: {expected}"));
}
