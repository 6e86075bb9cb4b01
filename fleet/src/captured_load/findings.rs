//! Statistics and anomalies of a captured load.

use otterwinch_traffic_capture::Corruption;
use std::collections::BTreeMap;
use std::fmt;

/// The maximum number of findings of one kind that are printed.
const MAX_PRINTED: usize = 20;

/// The records that were read from a capture, left out or corrected, and the anomalies that were found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadFindings {
    /// The number of requests in the load.
    pub requests: u64,
    /// Captured retries. They are left out because the fleet's clients generate their own retries.
    pub retries: u64,
    /// Requests whose work was sampled from the request class because the capture doesn't contain it.
    pub sampled_work: u64,
    /// Requests that only load reports count. They are spread over the intervals of the reports.
    pub spread_from_reports: u64,
    /// Records that were written after records with a later time.
    pub reordered: u64,
    /// The places where the clock of the capture was set back.
    pub clock_steps: Vec<ClockStep>,
    /// Unusually long periods without a request.
    pub gaps: Vec<Gap>,
    /// Parts of the capture that are unreadable.
    pub corruption: Vec<Corruption>,
    /// The number of requests left out because the fleet lacks their class or zone, by the name of that class
    /// or zone.
    pub unknown_names: BTreeMap<String, u64>,
    /// The time of the last request, in seconds since the start of the load.
    pub last_request_at: f64,
}

/// A point where the capture's clock was set back. The times of all later records are shifted forward by the
/// step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// The time just before the step, in seconds.
    pub at: f64,
    /// The size of the step, in seconds.
    pub step_seconds: f64,
}

/// An unusually long period without a request, in seconds since the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    /// The time of the last request before it.
    pub from: f64,
    /// The time of the first request after it.
    pub to: f64,
}

impl LoadFindings {
    pub(super) fn count_unknown(&mut self, name: &str) {
        *self.unknown_names.entry(name.to_owned()).or_default() += 1;
    }
}

impl fmt::Display for LoadFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns over {:.1} s", self.requests, self.last_request_at)?;
        let counts = [
            (self.retries, "retries left out: the fleet's clients generate their own"),
            (self.sampled_work, "without known work: sampled from the distribution of the product"),
            (
                self.spread_from_reports,
                "known from load reports only: spread at random over the report intervals",
            ),
            (self.reordered, "captured out of order: sorted by time"),
        ];
        for (count, description) in counts.iter().filter(|(count, _)| *count > 0) {
            write!(f, "; {count} {description}")?;
        }
        for (name, count) in &self.unknown_names {
            write!(f, "; {count} of '{name}' left out: the fleet has no such name")?;
        }
        for ClockStep { at, step_seconds: step } in self.clock_steps.iter().take(MAX_PRINTED) {
            write!(
                f,
                "; the clock was set back by {step:.1} s at {at:.1} s: later times are shifted forward"
            )?;
        }
        for Gap { from, to } in self.gaps.iter().take(MAX_PRINTED) {
            write!(f, "; no requests from {from:.1} to {to:.1} s")?;
        }
        for corruption in self.corruption.iter().take(MAX_PRINTED) {
            write!(f, "; {corruption}")?;
        }
        Ok(())
    }
}
