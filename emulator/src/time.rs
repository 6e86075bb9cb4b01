//! Conversion of the fleet's time spans to durations of the runtime.

use otterwinch::time::Span;
use std::time::Duration;

/// Converts a span to a duration; a negative span becomes zero.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_micros(span.as_us().max(0) as u64)
}
