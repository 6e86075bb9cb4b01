//! Descriptions of fleets and their load, read and validated, so that nothing invalid travels inward.
//!
//! [`read`] turns the text of a description into a [`Fleet`] or reports every error in it. `proto/` has the schemas,
//! `parse.rs` reads their text, `validate/` checks the values and maps the schemas' names to those of `model.rs`.
//!
//! Load is a series of [`ScheduledRequest`]s: [`CapturedLoad`] reads them from a capture, [`load_profile`] generates
//! them, [`scale`] makes a load heavier or lighter, and [`import`] turns the logs of other programs into a capture.
//! [`sampling`] is the source of all randomness.

mod captured_load;
pub mod import;
mod load;
pub mod load_profile;
mod load_summary;
pub mod model;
mod parse;
pub mod sampling;
pub mod scale;
mod validate;

pub use captured_load::{CapturedLoad, CapturedLoadError, ClockStep, Gap, LoadFindings};
pub use load::ScheduledRequest;
pub use load_summary::{LoadSummary, SecondTotals};
pub use model::Fleet;
pub use parse::{read, read_load_profile};

/// The types that are generated from the schemas.
mod proto {
    include!(concat!(env!("OUT_DIR"), "/otterwinch.fleet.v1.rs"));
}
