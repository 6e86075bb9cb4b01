//! The configuration at the start: `check` and the faults that it names.

use crate::support::{config, program, ConfigFile};
use serde_json::{json, Value};

#[test]
fn a_start_after_the_endpoint_list_has_moved_uses_the_configs_address() {
    let file = ConfigFile::with(&valid_config().to_string());
    let check = program().arg("check").arg(&file.path).env("GW_DISCOVERY", "127.0.0.1:3").status().unwrap();
    assert!(check.success());
}

/// Exit code and standard error of `check` on this file.
fn check(text: &str) -> (Option<i32>, String) {
    let file = ConfigFile::with(text);
    let out = program().arg("check").arg(&file.path).output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

pub fn valid_config() -> Value {
    config(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into())
}

#[test]
fn a_valid_config_passes_the_check() {
    assert_eq!(check(&valid_config().to_string()), (Some(0), String::new()));
}

#[test]
fn every_fault_in_the_config_is_named() {
    let mut config = valid_config();
    config["relay"] = json!({});
    config["seed"] = "xyz".into();
    config["settings"]["classes"] = json!([]);
    let (code, said) = check(&config.to_string());
    assert_eq!((code, said.lines().count()), (Some(2), 3), "{said}");
    ["'address'", "'seed'", "'settings.classes'"].iter().for_each(|f| assert!(said.contains(f), "{said}"));
}

#[test]
fn more_request_classes_than_commands_can_name_are_rejected() {
    let mut config = valid_config();
    let class = |n| json!({"name": format!("c{n}"), "promiseUs": 1_000_000, "importance": 1.0});
    config["settings"]["classes"] = (0..64).map(class).collect();
    assert_eq!(check(&config.to_string()).0, Some(0));
    config["settings"]["classes"] = (0..65).map(class).collect();
    let said = "otterwinch: config: field 'settings.classes' has more than 64 entries\n";
    assert_eq!(check(&config.to_string()), (Some(2), said.into()));
}

#[test]
fn a_missing_field_is_named_once() {
    let mut config = valid_config();
    config.as_object_mut().unwrap().remove("known");
    assert_eq!(check(&config.to_string()).1, "otterwinch: config: field 'known' is missing\n");
}

#[test]
fn a_config_that_contradicts_the_environment_is_rejected() {
    let file = ConfigFile::with(&valid_config().to_string());
    let out = program().arg("serve").env("GW_CONFIG", &file.path).env("GW_NAME", "n9").output().unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), said.contains("'name' is 'n1' but GW_NAME is 'n9'")), (Some(2), true));
}

#[test]
fn a_missing_or_unreadable_config_is_one_plain_line() {
    let out = program().arg("serve").output().unwrap();
    let said = b"otterwinch: no config file given: GW_CONFIG is not set\n".to_vec();
    assert_eq!((out.status.code(), out.stderr), (Some(2), said));
    assert_eq!(check("{\"name\":").1.lines().count(), 1);
}
