//! Puts records that were written late back in order, and recognizes where the capture's clock was set back.

use super::findings::ClockStep;
use otterwinch_traffic_capture::RequestRecord;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A record up to this much older than the latest was written late; beyond that the clock was set back.
const MAX_LATENESS_US: i64 = 2_000_000;

/// How a record stands to those before it.
pub(super) enum Arrival {
    InOrder,
    /// It was written late.
    OutOfOrder,
    /// The clock was set back before it.
    ClockStep(ClockStep),
}

/// Holds records until no later one can come before them.
#[derive(Default)]
pub(super) struct Reorderer {
    held: BinaryHeap<Held>,
    /// Counts the records.
    sequence: u64,
    /// The latest time so far.
    latest_us: Option<i64>,
    /// The sum of all steps of the clock, by which later records are moved.
    shift_us: i64,
}

impl Reorderer {
    /// Adds the next record of the capture.
    pub(super) fn add(&mut self, record: RequestRecord) -> Arrival {
        let mut at_us = record.at_us.saturating_add(self.shift_us);
        let latest_us = self.latest_us.unwrap_or(at_us);
        let mut arrival = Arrival::InOrder;
        if at_us < latest_us.saturating_sub(MAX_LATENESS_US) {
            let by_us = latest_us - at_us;
            self.shift_us = self.shift_us.saturating_add(by_us);
            arrival = Arrival::ClockStep(ClockStep { at: latest_us as f64 / 1e6, by: by_us as f64 / 1e6 });
            at_us = latest_us;
        } else if at_us < latest_us {
            arrival = Arrival::OutOfOrder;
        }
        self.latest_us = Some(latest_us.max(at_us));
        self.sequence += 1;
        self.held.push(Held { sequence: self.sequence, record: RequestRecord { at_us, ..record } });
        arrival
    }

    /// Whether no later record can come before the earliest that is held.
    pub(super) fn is_settled(&self) -> bool {
        match (self.held.peek(), self.latest_us) {
            (Some(earliest), Some(latest_us)) => earliest.record.at_us + MAX_LATENESS_US < latest_us,
            _ => false,
        }
    }

    /// Takes the earliest record, with its time on a clock that goes forward.
    pub(super) fn pop(&mut self) -> Option<RequestRecord> {
        self.held.pop().map(|held| held.record)
    }
}

struct Held {
    /// The record's place in the capture, which orders records of the same time.
    sequence: u64,
    record: RequestRecord,
}

impl Held {
    fn key(&self) -> (i64, u64) {
        (self.record.at_us, self.sequence)
    }
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Held {}

impl Ord for Held {
    /// Reversed, since the heap yields its greatest element and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
