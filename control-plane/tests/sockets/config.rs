//! The configuration at startup: the faults that `check` and `serve` report.

use crate::support::{config_with_peers, program_command, ConfigFile};
use serde_json::{json, Value};

/// After the endpoint list has moved, the file has its new address while GW_DISCOVERY still has the old one.
/// The file's address is used.
#[test]
fn the_endpoint_list_address_may_differ_from_the_environment() {
    let file = ConfigFile::create(&valid_config().to_string());
    let status =
        program_command().arg("check").arg(&file.path).env("GW_DISCOVERY", "127.0.0.1:3").status().unwrap();
    assert!(status.success());
}

/// Runs `check` on a file with this content and returns its exit code and standard error.
fn check_config(text: &str) -> (Option<i32>, String) {
    let file = ConfigFile::create(text);
    let output = program_command().arg("check").arg(&file.path).output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// A valid configuration whose peers don't exist.
pub fn valid_config() -> Value {
    config_with_peers(([127, 0, 0, 1], 1).into(), ([127, 0, 0, 1], 2).into())
}

#[test]
fn a_valid_config_passes_the_check() {
    assert_eq!(check_config(&valid_config().to_string()), (Some(0), String::new()));
}

#[test]
fn every_fault_in_the_config_is_reported() {
    let mut config = valid_config();
    config["relay"] = json!({});
    config["seed"] = "xyz".into();
    config["settings"]["classes"] = json!([]);
    let (code, stderr) = check_config(&config.to_string());
    assert_eq!((code, stderr.lines().count()), (Some(2), 3), "{stderr}");
    let fields = ["'address'", "'seed'", "'settings.classes'"];
    fields.iter().for_each(|field| assert!(stderr.contains(field), "no fault of {field}: {stderr}"));
}

#[test]
fn more_request_classes_than_commands_can_name_are_rejected() {
    let mut config = valid_config();
    let class = |n| json!({"name": format!("c{n}"), "promiseUs": 1_000_000, "importance": 1.0});
    config["settings"]["classes"] = (0..64).map(class).collect();
    assert_eq!(check_config(&config.to_string()).0, Some(0));
    config["settings"]["classes"] = (0..65).map(class).collect();
    let stderr = "otterwinch: config: field 'settings.classes' has more than 64 entries\n";
    assert_eq!(check_config(&config.to_string()), (Some(2), stderr.into()));
}

#[test]
fn a_missing_field_is_reported_once() {
    let mut config = valid_config();
    config.as_object_mut().unwrap().remove("known");
    assert_eq!(check_config(&config.to_string()).1, "otterwinch: config: field 'known' is missing\n");
}

#[test]
fn a_config_that_contradicts_the_environment_is_rejected() {
    let file = ConfigFile::create(&valid_config().to_string());
    let output =
        program_command().arg("serve").env("GW_CONFIG", &file.path).env("GW_NAME", "n9").output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), stderr.contains("'name' is 'n1' but GW_NAME is 'n9'")),
        (Some(2), true)
    );
}

#[test]
fn a_missing_or_malformed_config_is_reported_in_one_line() {
    let output = program_command().arg("serve").output().unwrap();
    let stderr = b"otterwinch: no config file given: GW_CONFIG is not set\n".to_vec();
    assert_eq!((output.status.code(), output.stderr), (Some(2), stderr));
    assert_eq!(check_config("{\"name\":").1.lines().count(), 1);
}
