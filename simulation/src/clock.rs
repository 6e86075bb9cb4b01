//! Simulated time.

use otterwinch::time::{Moment, Span};

/// Microseconds: points in time count from the start of a simulation, durations are differences of two.
pub type Time = u64;

/// One second.
pub(crate) const SECOND: Time = 1_000_000;

/// The time on the controller's clock at which a simulation starts. It is far from zero so that the start
/// time of an endpoint that started before the simulation can be represented.
const ORIGIN_US: i64 = 1_000_000_000_000;

/// Converts a simulated time to the controller's clock.
pub(crate) fn moment(at: Time) -> Moment {
    Moment::from_us(ORIGIN_US + at as i64)
}

/// Converts a span to microseconds; negative spans become zero.
pub(crate) fn micros(span: Span) -> Time {
    span.as_us().max(0) as Time
}

/// Converts seconds to microseconds, rounded down; negative values become zero.
pub(crate) fn micros_from_secs(seconds: f64) -> Time {
    (seconds.max(0.0) * 1e6) as Time
}

/// Converts a duration to seconds.
pub(crate) fn secs(duration: Time) -> f64 {
    duration as f64 / 1e6
}
