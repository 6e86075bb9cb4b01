//! Captured traffic: what a fleet was asked, as one record for each request or as the coarser load reports that a
//! controller gets. A file is a sequence of blocks, each compressed and with a checksum of its own: a truncated file is
//! readable up to its last complete block, and a corrupt block costs nothing but itself.
//!
//! [`Writer`] and [`Reader`] are the two ends. `records` holds the records, `block` the framing of a block, `payload`
//! what a block contains, `input` and `block_reader` the reading of blocks, `corruption` what can be wrong with a file.
//! There is no clock and no thread; bytes pass through `std::io`.

mod block;
mod block_reader;
mod corruption;
mod input;
mod payload;
mod reader;
mod records;
mod writer;

pub use corruption::{BlockError, Corruption};
pub use reader::{CaptureItem, OpenError, Reader};
pub use records::{CaptureHeader, Demand, EndpointOutcomes, LoadReport, RecordCounts, RequestRecord};
pub use writer::{WriteError, Writer};
