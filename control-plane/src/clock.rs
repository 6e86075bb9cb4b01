//! The clock of the controller: Unix time that never steps back or jumps.

use otterwinch::time::{Moment, Span};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time as it was at the start, continued by the monotonic clock.
pub struct Clock {
    started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Reads the system's clock, for the only time.
    pub fn start() -> Self {
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_time_at_start }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        let at_start = Moment::from_us(self.unix_time_at_start.as_micros() as i64);
        at_start + Span::from_us(self.started.elapsed().as_micros() as i64)
    }
}
