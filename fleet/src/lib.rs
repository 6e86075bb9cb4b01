//! Parses and validates descriptions of fleets and their load, so that other packages only handle valid
//! values.
//!
//! [`parse_fleet`] turns the text of a description into a [`Fleet`] or reports all errors in it. `proto/`
//! contains the protobuf schemas, `parse.rs` parses the text format, and `validate/` validates the values and
//! maps the names of the schemas to those of `model.rs`.
//!
//! Load is a sequence of [`ScheduledRequest`]s: [`CapturedLoad`] reads them from a capture, [`load_profile`]
//! generates them, [`scale`] changes their rate, and [`import`] converts the logs of other programs to a
//! capture. All random numbers come from [`sampling`].

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
pub use parse::{parse_fleet, parse_load_profile};

/// Types that prost generates from the protobuf schemas.
mod proto {
    include!(concat!(env!("OUT_DIR"), "/otterwinch.fleet.v1.rs"));
}
