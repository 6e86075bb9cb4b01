//! Captured load: what came to a fleet, one record a txn, or the coarser sums that a supervisor hears. A file is a row
//! of blocks, each compressed and with a checksum of its own, so that a file that was cut off reads to its last whole
//! block and a spoilt block costs itself alone.
//!
//! [`Writer`] and [`Reader`] are the two ends; `record.rs` holds the records, `block.rs` a block's bytes, `wire.rs` what
//! is inside a block. No clock, no thread; bytes come and go through `std::io`.

mod block;
mod reader;
mod record;
mod wire;
mod writer;

pub use block::Kind;
pub use reader::{Amiss, Piece, Reader};
pub use record::{Asked, Met, Start, Sum, Txn};
pub use writer::{Full, Writer};
