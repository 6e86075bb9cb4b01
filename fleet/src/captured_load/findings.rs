//! What is unusual about a captured load.

use otterwinch_traffic_capture::Corruption;
use std::collections::BTreeMap;
use std::fmt;

/// Findings of one kind that are printed in full.
const MAX_PRINTED: usize = 20;

/// What a capture turned out to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadFindings {
    /// Requests that the load has.
    pub requests: u64,
    /// Retries, which are left out: the fleet's clients make their own.
    pub retries: u64,
    /// Requests whose work was drawn at random, since the capture doesn't know it.
    pub sampled_work: u64,
    /// Requests that only reports tell of, spread over the intervals of the reports.
    pub spread_from_reports: u64,
    /// Records that were written after later ones.
    pub reordered: u64,
    /// Where the clock of the capture was set back.
    pub clock_steps: Vec<ClockStep>,
    /// Times in which nothing was captured.
    pub gaps: Vec<Gap>,
    /// Parts of the capture that can't be read.
    pub corruption: Vec<Corruption>,
    /// Requests that are left out because the fleet doesn't know their class or zone, by its name.
    pub unknown: BTreeMap<String, u64>,
    /// When the last request is due, in seconds.
    pub last_at: f64,
}

/// A step back of the capture's clock. What follows it is moved up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockStep {
    /// When, in seconds.
    pub at: f64,
    /// By how much, in seconds.
    pub by: f64,
}

/// A time in which nothing was captured, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gap {
    /// The time of the last request before it.
    pub from: f64,
    /// The time of the first request after it.
    pub to: f64,
}

impl LoadFindings {
    pub(super) fn count_unknown(&mut self, name: &str) {
        *self.unknown.entry(name.to_owned()).or_default() += 1;
    }
}

impl fmt::Display for LoadFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns over {:.1} s", self.requests, self.last_at)?;
        let counts = [
            (self.retries, "repeats left out: the fleet's clients come again by themselves"),
            (self.sampled_work, "without a known cost: drawn from the product's"),
            (self.spread_from_reports, "known by sums only: spread evenly over their intervals"),
            (self.reordered, "put back in order"),
        ];
        for (count, what) in counts.iter().filter(|(count, _)| *count > 0) {
            write!(f, "; {count} {what}")?;
        }
        for (name, count) in &self.unknown {
            write!(f, "; {count} of '{name}', which the fleet does not know, left out")?;
        }
        for ClockStep { at, by } in self.clock_steps.iter().take(MAX_PRINTED) {
            write!(f, "; the clock steps back by {by:.1} s at {at:.1} s: what follows is moved up")?;
        }
        for Gap { from, to } in self.gaps.iter().take(MAX_PRINTED) {
            write!(f, "; nothing came from {from:.1} to {to:.1} s")?;
        }
        for corruption in self.corruption.iter().take(MAX_PRINTED) {
            write!(f, "; {corruption}")?;
        }
        Ok(())
    }
}
