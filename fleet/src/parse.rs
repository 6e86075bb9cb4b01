//! Parses fleet descriptions and load profiles, which are in protobuf text format.

use crate::load_profile::LoadProfile;
use crate::model::Fleet;
use crate::proto;
use crate::validate;
use otterwinch_textproto::{Diagnostics, Validator};
use prost_reflect::{DescriptorPool, MessageDescriptor};
use std::sync::LazyLock;

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let compiled: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
    DescriptorPool::decode(compiled).expect("the build script wrote a valid descriptor set")
});

fn message_schema(name: &str) -> MessageDescriptor {
    let name = format!("otterwinch.fleet.v1.{name}");
    SCHEMAS.get_message_by_name(&name).expect("the schemas define this message")
}

/// Parses and validates a fleet description and reports all errors in it. `file` is the file name in the
/// errors.
///
/// ```
/// let errors = otterwinch_fleet::parse_fleet("f", "name: 'a b'\nhals {}").unwrap_err();
/// assert_eq!(errors.to_string(), "f:2: there is no field 'hals' here; did you mean 'hall'?");
/// ```
pub fn parse_fleet(file: &str, text: &str) -> Result<Fleet, Diagnostics> {
    let schema = message_schema("Fleet");
    let (message, source) = otterwinch_textproto::parse::<proto::Fleet>(file, text, &schema)?;
    Validator::validate(&source, |validator| validate::fleet(validator, &message))
}

/// Parses and validates a load profile for a fleet and reports all errors in it. `file` is the file name in
/// the errors.
pub fn parse_load_profile(file: &str, text: &str, fleet: &Fleet) -> Result<LoadProfile, Diagnostics> {
    let schema = message_schema("Make");
    let (message, source) = otterwinch_textproto::parse::<proto::Make>(file, text, &schema)?;
    Validator::validate(&source, |validator| validate::load_profile(validator, &message, fleet))
}
