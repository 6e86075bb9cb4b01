//! Descriptions, recipes and captures as files that operators write.

use otterwinch_fleet::import::{import, Columns, Form, Reading, Unit};
use otterwinch_fleet::load::{CapturedLoad, LoadSummary};
use otterwinch_fleet::load_profile::LoadGenerator;
use otterwinch_fleet::model::{Fleet, Idempotency};
use otterwinch_fleet::{read, read_load_profile, ScheduledRequest};
use otterwinch_traffic_capture::{CaptureHeader, Demand, LoadReport, RequestRecord, Writer};
use std::collections::BTreeMap;

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

fn small() -> Fleet {
    read("small.fleet", &example("fleets/small.fleet")).unwrap()
}

/// The faults of the small fleet's text with one piece replaced, one a line.
fn faults(old: &str, new: &str) -> Vec<String> {
    let text = example("fleets/small.fleet");
    assert!(text.contains(old), "{old}");
    let faults = read("f", &text.replacen(old, new, 1)).unwrap_err();
    faults.to_string().lines().map(str::to_owned).collect()
}

#[test]
fn all_examples_are_in_order() {
    for entry in std::fs::read_dir(format!("{}/../examples/fleets", env!("CARGO_MANIFEST_DIR"))).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let fleet = read(&path.display().to_string(), &text).unwrap_or_else(|faults| panic!("{faults}"));
        assert!(fleet.capacity() > 0.0);
    }
}

#[test]
fn defaults_and_parts_are_filled_in() {
    let fleet = small();
    assert_eq!(fleet.request_classes[0].share, 0.5);
    assert_eq!(fleet.zones[1].client_share, 0.5);
    assert_eq!(fleet.groups[0].weight, 2.0);
    assert_eq!(fleet.request_classes[2].idempotency, Idempotency::NotIdempotent);
    assert_eq!(fleet.control_plane.slow_start_window.as_secs(), 10.0);
    assert_eq!(fleet.network.zone_latency[0][1].as_us(), 800);
}

#[test]
fn every_unknown_field_is_named_at_once_with_its_line() {
    let told =
        faults("name: \"small\"", "name: \"small\"\nnaem: 'x'\nforwarders { idel_s: 0.9 }\nthreads: 7");
    assert_eq!(told[0], "f:3: there is no field 'naem' here; did you mean 'name'?");
    assert_eq!(told[1], "f:4: forwarders: there is no field 'idel_s' here; did you mean 'idle_s'?");
    assert_eq!(told[2], "f:5: there is no field 'threads' here");
    assert_eq!(told.len(), 3);
}

#[test]
fn values_of_another_type_are_all_named() {
    let told = faults(
        "hall { name: \"east\" forwarders: 2 }",
        "hall { name: 7 forwarders: 'two' }\nhall { name: \"mid\" forwarders: -1 }",
    );
    assert_eq!(told.len(), 3, "{told:?}");
    assert!(told[0].starts_with("f:4: hall[0].name: expected a string"), "{told:?}");
    assert!(told[1].starts_with("f:4: hall[0].forwarders: expected"), "{told:?}");
    assert!(told[2].starts_with("f:5: hall[1].forwarders: expected"), "{told:?}");
}

#[test]
fn figures_out_of_bounds_say_what_is_allowed() {
    let told = faults("count: 3 cores: 2", "count: 3 cores: 0");
    assert_eq!(told, ["f:10: group[0].cores: 0 cores is not allowed: 1 to 1024"]);
    let told = faults("sla_ms: 800 expiry_ms: 3000", "sla_ms: 800 expiry_ms: 500");
    assert_eq!(told.len(), 1);
    assert!(told[0].contains("product[0].expiry_ms: 500 ms is not allowed: 800 to 600000 ms"), "{told:?}");
    let told = faults("patience_from: 0.5", "patience_from: nan");
    assert!(told[0].contains("NaN"), "{told:?}");
}

#[test]
fn faults_of_several_fields_come_together_in_the_order_of_lines() {
    let text = "name: 'x'\nhall { name: 'a' }\ngroup { name: 'g' hall: 'b' cores: 1 }\nproduct { name: 'p' }";
    let told = read("f", text).unwrap_err().to_string();
    let lines: Vec<&str> = told.lines().collect();
    let expected = [
        "f:2: hall[0].forwarders: is missing",
        "f:3: group[0].count: is missing",
        "f:3: group[0].hall: there is no hall 'b'; there are: a",
        "f:4: product[0].sla_ms: is missing",
        "f:4: product[0].expiry_ms: is missing",
        "f:4: product[0].repeats: is missing: INQUIRY_LIKE, REFERENCED or ONCE_ONLY",
        "f:4: product[0].work: is missing",
    ];
    for fault in expected {
        assert!(lines.iter().any(|line| line.starts_with(fault)), "{fault} in\n{told}");
    }
    assert!(lines.windows(2).all(|pair| pair[0][..4] <= pair[1][..4]), "{told}");
}

#[test]
fn names_stand_once_and_a_fleet_has_nodes() {
    let told = faults("hall { name: \"west\" forwarders: 2 }", "hall { name: \"east\" forwarders: 2 }");
    assert!(
        told.iter().any(|f| f.contains("hall[1].name: 'east' is the name of hall[0] already")),
        "{told:?}"
    );
    let text = example("fleets/small.fleet").replace("count: 3", "count: 0");
    let told = read("f", &text).unwrap_err().to_string();
    assert!(told.contains("no group has a node"), "{told}");
}

#[test]
fn a_recipe_makes_the_same_load_from_the_same_seed() {
    let fleet = small();
    let recipe = read_load_profile("m", &example("loads/minute.make"), &fleet).unwrap();
    let make = |seed| LoadGenerator::new(&fleet, &recipe, seed).collect::<Vec<RequestRecord>>();
    let txns = make(3);
    assert_eq!(txns, make(3));
    assert_ne!(txns, make(4));
    // 55 a second over a minute, within chance.
    assert!((3_000..3_600).contains(&txns.len()), "{}", txns.len());
    let costly = |from: i64, to: i64| {
        let within = txns.iter().filter(|t| (from..to).contains(&t.at_us));
        within.filter(|t| t.request_class == 0 && t.work_us > Some(800_000)).count()
    };
    assert_eq!(costly(0, 25_000_000), 0);
    assert!(costly(25_000_000, 33_000_000) > 0);
}

#[test]
fn a_recipe_that_names_nobody_is_refused() {
    let text = "for_s: 5 txns_per_s: 3\nburst { at_s: 1 for_s: 2 product: 'ferry' }";
    let told = read_load_profile("m", text, &small()).unwrap_err().to_string();
    let expected = "there is no product 'ferry'; there are: fare-quote, seat-hold, ticket-issue";
    assert_eq!(told, format!("m:2: burst[0].product: {expected}"));
}

fn captured(start: &CaptureHeader, txns: &[RequestRecord], sums: &[LoadReport]) -> Vec<u8> {
    let mut file = Vec::new();
    let mut writer = Writer::open(&mut file, start, None).unwrap();
    txns.iter().for_each(|txn| writer.write_request(*txn).unwrap());
    sums.iter().for_each(|sum| writer.write_report(sum.clone()).unwrap());
    writer.finish().unwrap();
    file
}

fn start(products: &[&str], halls: &[&str]) -> CaptureHeader {
    let own = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    CaptureHeader { request_classes: own(products), zones: own(halls), ..CaptureHeader::default() }
}

fn txn(at_s: f64, product: u32) -> RequestRecord {
    RequestRecord {
        at_us: (at_s * 1e6) as i64,
        request_class: product,
        work_us: Some(100_000),
        ..RequestRecord::default()
    }
}

#[test]
fn a_capture_with_holes_steps_strangers_and_repeats_is_read_and_told() {
    let fleet = small();
    let mut txns: Vec<RequestRecord> = (0..400).map(|k| txn(f64::from(k) * 0.01, 0)).collect();
    // A txn written late, a hole of half a minute, then the clock steps back to the beginning.
    txns.push(txn(3.5, 0));
    txns.extend((0..200).map(|k| txn(34.0 + f64::from(k) * 0.01, 1)));
    txns.extend((0..200).map(|k| txn(f64::from(k) * 0.01, 0)));
    txns.push(RequestRecord { attempt: 1, ..txn(3.0, 0) });
    txns.push(RequestRecord { work_us: None, ..txn(3.0, 0) });
    let file = captured(&start(&["seat-hold", "parcel"], &["west"]), &txns, &[]);
    let mut load = CapturedLoad::open(file.as_slice(), &fleet, 1).unwrap();
    let dues: Vec<ScheduledRequest> = load.by_ref().collect();
    assert!(dues.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(dues.iter().all(|due| due.request_class == 1 && due.zone == 1 && due.work > 0.0));
    let heard = load.findings();
    assert_eq!((heard.txns, heard.repeats, heard.drawn, heard.reordered), (602, 1, 1, 1));
    assert_eq!(heard.unknown, BTreeMap::from([("parcel".to_owned(), 200)]));
    assert_eq!((heard.steps.len(), heard.holes.len()), (1, 1), "{heard}");
    let told = heard.to_string();
    for what in
        ["200 of 'parcel'", "the clock steps back by", "nothing came from 4.0 to 3", "1 repeats left out"]
    {
        assert!(told.contains(what), "{what} in {told}");
    }
}

#[test]
fn a_capture_that_names_nothing_known_is_refused_plainly() {
    let file = captured(&start(&["parcel"], &["east"]), &[], &[]);
    let refused = CapturedLoad::open(file.as_slice(), &small(), 1).err().unwrap();
    assert_eq!(refused, "the fleet knows no product of this load (parcel); name them alike");
}

#[test]
fn sums_become_txns_spread_over_their_interval_in_the_forwarders_hall() {
    let fleet = small();
    // Forwarders 0 and 1 stand in the east, 2 and 3 in the west.
    let asked = |forwarder, at_us| {
        LoadReport::Demand(Demand {
            at_us,
            interval_us: 1_000_000,
            proxy: forwarder,
            request_class: 0,
            requests: 20,
        })
    };
    let sums = [asked(0, 1_000_000), asked(3, 1_000_000), asked(3, 2_000_000)];
    let file = captured(&start(&["fare-quote"], &["east", "west"]), &[], &sums);
    let mut load = CapturedLoad::open(file.as_slice(), &fleet, 1).unwrap();
    let mut summary = LoadSummary::of(&fleet);
    load.by_ref().for_each(|due| summary.add(&due));
    assert_eq!((summary.by_hall.clone(), load.findings().spread), (vec![20, 40], 60));
    assert!(summary.busiest.0 >= 40 && summary.seconds < 2.0);
}

fn reading(fleet: &Fleet, form: Form, unit: Unit) -> Reading<'_> {
    Reading { fleet, form, unit, columns: Columns::default(), also: BTreeMap::new() }
}

#[test]
fn a_csv_log_is_imported_and_its_bad_rows_are_named() {
    let fleet = small();
    let log = "at,product,hall,work_ms,key\n10.5,fare-quote,east,140,A1\n10.6,parcel,east,,\n\
               x,fare-quote,east,,\n11.0,seat-hold,west,,A1\n12,seat-hold,north,1,\n13,seat-hold,west,-4,";
    let mut txns = Vec::new();
    let imported = import(log.as_bytes(), &reading(&fleet, Form::Csv, Unit::Seconds), |txn| {
        txns.push(txn);
        Ok(())
    })
    .unwrap();
    assert_eq!((imported.txns, imported.refused), (2, 4));
    assert_eq!((txns[0].at_us, txns[0].work_us), (0, Some(140_000)));
    assert_eq!((txns[1].at_us, txns[1].zone, txns[1].work_us), (500_000, 1, None));
    assert_eq!(txns[0].idempotency_key, txns[1].idempotency_key);
    assert_eq!(imported.faults.iter().map(|f| f.0).collect::<Vec<_>>(), [3, 4, 6, 7]);
    assert!(imported.faults[0].1.contains("the fleet has no product 'parcel'"), "{:?}", imported.faults);
}

#[test]
fn json_lines_with_dates_and_other_names_are_imported() {
    let fleet = small();
    let log = "{\"ts\":\"2026-06-01T07:30:00Z\",\"product\":\"quote\",\"hall\":\"east\"}\n\n{oops\n\
               {\"ts\":\"2026-06-01T08:30:01.5+01:00\",\"product\":\"seat-hold\",\"hall\":\"west\",\"attempt\":2}";
    let mut reading = reading(&fleet, Form::JsonLines, Unit::Rfc3339);
    reading.columns.at = "ts".into();
    reading.also.insert("quote".into(), "fare-quote".into());
    let mut txns = Vec::new();
    let imported = import(log.as_bytes(), &reading, |txn| {
        txns.push(txn);
        Ok(())
    })
    .unwrap();
    assert_eq!((imported.txns, imported.refused, imported.faults[0].0), (2, 1, 3));
    assert_eq!((txns[1].at_us, txns[1].attempt), (1_500_000, 2));
    assert_eq!(imported.began_unix_ms, 1_780_299_000_000);
}

#[test]
fn a_log_without_its_columns_is_refused_with_what_it_has() {
    let fleet = small();
    let log = "when,product\n1,fare-quote";
    let refused = import(log.as_bytes(), &reading(&fleet, Form::Csv, Unit::Seconds), |_| Ok(())).unwrap_err();
    assert_eq!(refused, "its first line names no column 'at'; there are: when, product");
}
