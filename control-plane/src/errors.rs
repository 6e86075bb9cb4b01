//! What goes wrong on a socket, as values: how far the attempt had come, and why it ended there.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
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
pub struct Failed {
    pub came: Came,
    pub why: String,
}

impl Failed {
    pub fn new(came: Came, why: impl fmt::Display) -> Self {
        Failed { came, why: why.to_string() }
    }

    /// Whether what was asked may have been carried out.
    pub fn unsure(&self) -> bool {
        matches!(self.came, Came::Sent | Came::Answered)
    }
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let how_far = match self.came {
            Came::NotConnected => "not connected",
            Came::Sent => "sent, no answer",
            Came::Answered => "answer not usable",
            Came::TurnedAway => "turned away",
            Came::Unfit => "unfit",
        };
        write!(f, "{how_far}: {}", self.why)
    }
}

impl std::error::Error for Failed {}

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
