//! Descriptions and recipes out of their text.

use crate::check;
use crate::load_profile::{self, LoadProfile};
use crate::model::Fleet;
use crate::proto;
use otterwinch_textproto::{Diagnostics, Validator};
use prost_reflect::{DescriptorPool, MessageDescriptor};
use std::sync::LazyLock;

static SCHEMAS: LazyLock<DescriptorPool> = LazyLock::new(|| {
    let compiled: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schemas.bin"));
    DescriptorPool::decode(compiled).expect("the build compiled it")
});

fn kind(name: &str) -> MessageDescriptor {
    SCHEMAS.get_message_by_name(&format!("otterwinch.fleet.v1.{name}")).expect("the schema has it")
}

/// Reads a description. `file` is what faults call it.
///
/// ```
/// let faults = otterwinch_fleet::read("f", "name: 'a b'\nhals {}").unwrap_err();
/// assert_eq!(faults.to_string(), "f:2: there is no field 'hals' here; did you mean 'hall'?");
/// ```
pub fn read(file: &str, text: &str) -> Result<Fleet, Diagnostics> {
    let (told, source) = otterwinch_textproto::parse::<proto::Fleet>(file, text, &kind("Fleet"))?;
    Validator::validate(&source, |c| check::fleet(c, &told))
}

/// Reads what load to make for a fleet.
pub fn read_load_profile(file: &str, text: &str, fleet: &Fleet) -> Result<LoadProfile, Diagnostics> {
    let (told, source) = otterwinch_textproto::parse::<proto::Make>(file, text, &kind("Make"))?;
    Validator::validate(&source, |c| load_profile::recipe(c, &told, fleet))
}
