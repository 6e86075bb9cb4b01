//! Traffic captures: files that record the load of a fleet, either as one record per request or as the less
//! detailed load reports that a controller receives. A file is a sequence of blocks, each compressed and with
//! its own checksum: a truncated file is readable up to its last complete block, and a corrupt block affects
//! only its own records.
//!
//! [`Writer`] writes a capture and [`Reader`] reads one. `records` defines the records, `block` the framing
//! of blocks, and `payload` the encoding of their contents; `input` and `block_reader` read blocks, and
//! `corruption` defines the defects that a reader reports. The crate uses no clock and no threads; all I/O
//! goes through `std::io`.

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
