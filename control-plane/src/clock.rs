//! The controller's clock: Unix time that never jumps or goes backwards.

use otterwinch::time::{Moment, Span};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time at the start, advanced by the monotonic clock.
pub struct Clock {
    started: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Starts the clock at the current Unix time. The system clock is not read again after this.
    pub fn start() -> Self {
        let unix_time_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_time_at_start }
    }

    /// The current time.
    pub fn now(&self) -> Moment {
        let at_start = Moment::from_us(self.unix_time_at_start.as_micros() as i64);
        at_start + Span::from_us(self.started.elapsed().as_micros() as i64)
    }
}
