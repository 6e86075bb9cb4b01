//! Points in time and durations, as two types so that one can't be passed for the other.

use std::ops::{Add, Mul, Sub};

/// A point in time on the host's clock, in microseconds since an arbitrary origin.
///
/// ```
/// use otterwinch::time::{Moment, Span};
/// let start = Moment::from_us(5_000_000);
/// assert_eq!((start + Span::from_secs(2.0)) - start, Span::from_us(2_000_000));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

/// A signed duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Moment {
    /// The time `us` microseconds after the clock's origin.
    pub const fn from_us(us: i64) -> Self {
        Moment(us)
    }
}

impl Span {
    /// A duration of 0.
    pub const ZERO: Span = Span(0);

    /// A duration in microseconds.
    pub const fn from_us(us: i64) -> Self {
        Span(us)
    }

    /// A duration in seconds, truncated to whole microseconds.
    pub fn from_secs(s: f64) -> Self {
        Span((s * 1e6) as i64)
    }

    /// The duration in microseconds.
    pub const fn as_us(self) -> i64 {
        self.0
    }

    /// The duration in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, less: Span) -> Span {
        Span(self.0.saturating_sub(less.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by) as i64)
    }
}
