//! Settings in protobuf text format, read by a schema. A file is read whole or refused whole, and a refusal names
//! every fault at once: its line, the field by its path, what is amiss and what is allowed.
//!
//! `text.rs` reads a file ([`read`]), `places.rs` finds where each field stands, `check.rs` is what a package
//! that owns a schema checks its values with ([`Checker`]), `fault.rs` is a fault.

mod check;
mod fault;
mod places;
mod text;

pub use check::Checker;
pub use fault::{Fault, Faults};
pub use places::Places;
pub use text::{read, Source};
