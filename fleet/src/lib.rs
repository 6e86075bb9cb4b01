//! Facts that the planning packages start from: what a fleet is, and what load it meets. All is read and checked here,
//! so that nothing unchecked travels inward.
//!
//! [`read`] turns the text of a description into a [`model::Fleet`] or names every fault. `model.rs` is a fleet,
//! `check.rs` the bounds of each figure, `proto/` the schemas, `text.rs` their text. [`load::Load`] reads a capture
//! for a fleet; `import.rs` makes one from logs and `load_profile.rs` from a load profile. `sampling.rs` is chance from a seed.

mod check;
pub mod import;
pub mod load;
pub mod load_profile;
pub mod model;
pub mod sampling;
pub mod scale;
mod text;

pub use load::{CapturedLoad, ScheduledRequest};
pub use model::Fleet;
pub use text::{read, read_load_profile};

/// The schema's generated types.
pub mod proto {
    include!(concat!(env!("OUT_DIR"), "/otterwinch.fleet.v1.rs"));
}
