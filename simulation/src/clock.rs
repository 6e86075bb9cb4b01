//! Simulated time.

use otterwinch::time::{Moment, Span};

/// Microseconds since the beginning of a simulation.
pub type Time = u64;

/// One second.
pub(crate) const SECOND: Time = 1_000_000;

/// The controller's moment at which a simulation begins. It lies far from zero so that an endpoint that started before
/// the simulation has a representable start time.
const ORIGIN_US: i64 = 1_000_000_000_000;

/// The controller's moment for a time of the simulation.
pub(crate) fn moment(at: Time) -> Moment {
    Moment::from_us(ORIGIN_US + at as i64)
}

/// The length of a span in microseconds; zero for negative spans.
pub(crate) fn micros(span: Span) -> Time {
    span.as_us().max(0) as Time
}

/// Whole microseconds of a number of seconds; zero for negative ones.
pub(crate) fn micros_from_secs(seconds: f64) -> Time {
    (seconds.max(0.0) * 1e6) as Time
}

/// The seconds of a duration.
pub(crate) fn secs(duration: Time) -> f64 {
    duration as f64 / 1e6
}
