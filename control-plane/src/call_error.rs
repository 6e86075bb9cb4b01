//! What goes wrong on a socket, as values: how far the attempt had come, and why it ended there.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallProgress {
    /// Nothing was sent: whatever was asked has not happened.
    NotConnected,
    /// All or part went out and no answer came: it may have happened.
    Sent,
    /// An answer began, and was cut off, too large or unreadable: it may have happened.
    Answered,
    /// The answer was a plain "not now": it has not happened.
    TurnedAway,
    /// The answer was that this can never be done: it has not happened.
    Unfit,
}

#[derive(Debug)]
pub struct CallError {
    pub came: CallProgress,
    pub why: String,
}

impl CallError {
    pub fn new(came: CallProgress, why: impl fmt::Display) -> Self {
        CallError { came, why: why.to_string() }
    }

    /// Whether what was asked may have been carried out.
    pub fn unsure(&self) -> bool {
        matches!(self.came, CallProgress::Sent | CallProgress::Answered)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let how_far = match self.came {
            CallProgress::NotConnected => "not connected",
            CallProgress::Sent => "sent, no answer",
            CallProgress::Answered => "answer not usable",
            CallProgress::TurnedAway => "turned away",
            CallProgress::Unfit => "unfit",
        };
        write!(f, "{how_far}: {}", self.why)
    }
}

impl std::error::Error for CallError {}

/// The causes behind an error of a library, outermost first.
pub fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}
