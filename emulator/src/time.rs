//! Conversion of the fleet's times to those of the runtime.

use otterwinch::time::Span;
use std::time::Duration;

/// A span as a duration; a negative span is zero.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_us().max(0) as u64)
}
