//! Reads descriptions of fleets and load profiles from their text.

use crate::load_profile::LoadProfile;
use crate::model::Fleet;
use crate::proto;
use crate::validate;
use otterwinch_textproto::{Diagnostics, Validator};
use prost_reflect::{DescriptorPool, MessageDescriptor};
use std::sync::LazyLock;

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let compiled: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
    DescriptorPool::decode(compiled).expect("the build script compiled the schemas")
});

fn message_schema(name: &str) -> MessageDescriptor {
    let name = format!("otterwinch.fleet.v1.{name}");
    SCHEMAS.get_message_by_name(&name).expect("the schemas have this message")
}

/// Reads a description. `file` is the name of the file in errors, all of which are reported.
///
/// ```
/// let errors = otterwinch_fleet::read("f", "name: 'a b'\nhals {}").unwrap_err();
/// assert_eq!(errors.to_string(), "f:2: unknown field 'hals'; did you mean 'hall'?");
/// ```
pub fn read(file: &str, text: &str) -> Result<Fleet, Diagnostics> {
    let schema = message_schema("Fleet");
    let (message, source) = otterwinch_textproto::parse::<proto::Fleet>(file, text, &schema)?;
    Validator::validate(&source, |validator| validate::fleet(validator, &message))
}

/// Reads a load profile for a fleet. `file` is the name of the file in errors, all of which are reported.
pub fn read_load_profile(file: &str, text: &str, fleet: &Fleet) -> Result<LoadProfile, Diagnostics> {
    let schema = message_schema("Make");
    let (message, source) = otterwinch_textproto::parse::<proto::Make>(file, text, &schema)?;
    Validator::validate(&source, |validator| validate::load_profile(validator, &message, fleet))
}
