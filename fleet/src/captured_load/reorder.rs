//! Sorts records that were written late by time, and detects where the capture's clock was set back.

use super::findings::ClockStep;
use otterwinch_traffic_capture::RequestRecord;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// The longest time by which a record may be older than the latest one and still count as written late. A
/// greater difference means that the clock was set back.
const MAX_LATENESS_US: i64 = 2_000_000;

/// The order of a record relative to the earlier ones of the capture.
pub(super) enum RecordOrder {
    InOrder,
    /// The record is older than an earlier one: it was written late.
    OutOfOrder,
    /// The clock was set back before this record.
    ClockStep(ClockStep),
}

/// Buffers records until no record that is still to come can precede them.
#[derive(Default)]
pub(super) struct ReorderBuffer {
    records: BinaryHeap<BufferedRecord>,
    /// The sequence number of the latest record.
    last_sequence: u64,
    /// The latest time so far, corrected for clock steps.
    latest_us: Option<i64>,
    /// The sum of all clock steps so far, which is added to the time of each further record.
    clock_correction_us: i64,
}

impl ReorderBuffer {
    /// Adds the next record of the capture, and corrects its time for clock steps.
    pub(super) fn add(&mut self, record: RequestRecord) -> RecordOrder {
        let mut at_us = record.at_us.saturating_add(self.clock_correction_us);
        let latest_us = self.latest_us.unwrap_or(at_us);
        let mut order = RecordOrder::InOrder;
        if at_us < latest_us.saturating_sub(MAX_LATENESS_US) {
            let step_us = latest_us - at_us;
            self.clock_correction_us = self.clock_correction_us.saturating_add(step_us);
            order = RecordOrder::ClockStep(ClockStep {
                at: latest_us as f64 / 1e6,
                step_seconds: step_us as f64 / 1e6,
            });
            at_us = latest_us;
        } else if at_us < latest_us {
            order = RecordOrder::OutOfOrder;
        }
        self.latest_us = Some(latest_us.max(at_us));
        self.last_sequence += 1;
        self.records
            .push(BufferedRecord { sequence: self.last_sequence, record: RequestRecord { at_us, ..record } });
        order
    }

    /// Whether no record that is still to come can precede the earliest buffered one.
    pub(super) fn is_earliest_final(&self) -> bool {
        match (self.records.peek(), self.latest_us) {
            (Some(earliest), Some(latest_us)) => earliest.record.at_us + MAX_LATENESS_US < latest_us,
            _ => false,
        }
    }

    /// Removes and returns the earliest record, with its corrected time.
    pub(super) fn pop(&mut self) -> Option<RequestRecord> {
        self.records.pop().map(|buffered| buffered.record)
    }
}

struct BufferedRecord {
    /// The record's sequence number in the capture, which orders records with the same time.
    sequence: u64,
    record: RequestRecord,
}

impl BufferedRecord {
    fn key(&self) -> (i64, u64) {
        (self.record.at_us, self.sequence)
    }
}

impl PartialEq for BufferedRecord {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for BufferedRecord {}

impl Ord for BufferedRecord {
    /// Reversed, because `BinaryHeap` is a max-heap and the earliest record is needed first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

impl PartialOrd for BufferedRecord {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
