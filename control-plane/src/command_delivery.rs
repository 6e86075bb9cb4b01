//! The relay's commands: one call at a time, in the order they were given. What became of a call is told to
//! the rules, and they say whether and when it goes again.

use crate::call_error::{CallError, CallProgress};
use crate::client::Peer;
use crate::relay_host::{Command, CommandKind};
use hyper::body::Bytes;
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

const MOST_BYTES: usize = 60_000;
/// An answer comes within 50 ms or never; the rest is for a new connection and a process scheduled late. What
/// the rules do about a silent relay has to fit into 1.5 s from the call.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);
const MOST_ANSWER: usize = 64 << 10;

pub enum DeliveryOutcome {
    Taken,
    /// All before this one were taken, it can't be used, and the rest is still in hand.
    Declined(Command),
    Lost(CallError),
}

pub struct CommandDelivery {
    relay: watch::Receiver<SocketAddr>,
    peer: Peer,
    pub in_hand: VecDeque<Command>,
    pub calls: u64,
}

impl CommandDelivery {
    pub fn to(mut relay: watch::Receiver<SocketAddr>) -> Self {
        let peer = Peer::at(*relay.borrow_and_update());
        CommandDelivery { relay, peer, in_hand: VecDeque::new(), calls: 0 }
    }

    /// Puts commands behind those in hand. A mark among them stands for the marks of the call that was lost, so
    /// that its answer tells which of the two came.
    pub fn take(&mut self, fresh: VecDeque<Command>) {
        if fresh.iter().any(|command| matches!(command.about, CommandKind::Mark)) {
            self.in_hand.retain(|command| !matches!(command.about, CommandKind::Mark));
        }
        self.in_hand.extend(fresh);
    }

    /// Sends what is in hand, in calls that are not too long, until all is taken or something stops it.
    pub async fn deliver(&mut self) -> DeliveryOutcome {
        while !self.in_hand.is_empty() {
            let (body, count, marks) = body(&self.in_hand);
            self.calls += 1;
            match self.call(body, count + marks).await {
                Ok(taken) => {
                    self.in_hand.drain(..taken.min(count));
                    if taken < count {
                        if let Some(declined) = self.in_hand.pop_front() {
                            return DeliveryOutcome::Declined(declined);
                        }
                    }
                }
                Err(failed) => return DeliveryOutcome::Lost(failed),
            }
        }
        DeliveryOutcome::Taken
    }

    async fn call(&mut self, body: String, count: usize) -> Result<usize, CallError> {
        // A relay that has moved takes the next call at its new place, be it one that was lost at the old:
        // that it goes again as it was and nothing overtakes it holds there too.
        if self.relay.has_changed().unwrap_or(false) {
            self.peer = Peer::at(*self.relay.borrow_and_update());
        }
        let body = Bytes::from(body);
        let path = "/v3/kv/batches";
        let (status, answer) = self.peer.ask(Method::POST, path, body, ANSWER_WITHIN, MOST_ANSWER).await?;
        let value: Result<Value, _> = serde_json::from_slice(&answer);
        let taken = value.ok().and_then(|v| v.get("taken")?.as_u64()).map(|n| n as usize);
        match taken.filter(|taken| *taken <= count) {
            Some(taken) if status.is_success() => Ok(taken),
            _ => {
                let text: String = String::from_utf8_lossy(&answer).chars().take(120).collect();
                // Only a plain no tells that nothing was carried out; an inner error of the relay's does not.
                let came = if text.contains("throttled") || status == StatusCode::TOO_MANY_REQUESTS {
                    CallProgress::TurnedAway
                } else if status.is_client_error() && text.contains("invalid") {
                    CallProgress::Unfit
                } else {
                    CallProgress::Answered
                };
                Err(CallError::new(came, format!("status {status}: {text}")))
            }
        }
    }
}

/// As many commands as one call holds, their number, and that of the marks put behind them.
///
/// Each call is a message of its own at the relay: whoever is reached by two of them is sent two heads, and only
/// a call's own mark asks whom it reaches. So commands that reach the same proxies stay in one call where they
/// fit, and the mark that ends a moment's commands ends each of their calls: else what it counts as one message
/// is two, and of all calls but the last nobody ever tells that they came.
fn body(commands: &VecDeque<Command>) -> (String, usize, usize) {
    let mark = commands.back().filter(|command| matches!(command.about, CommandKind::Mark));
    let most = MOST_BYTES - mark.map_or(0, |mark| mark.text.len() + 1);
    let mut text = String::from(r#"{"changes":["#);
    // Where the last group of commands that reach the same proxies began.
    let (mut count, mut group) = (0, (0, text.len()));
    for command in commands {
        if count > 0 && !together(&commands[count - 1].about, &command.about) {
            group = (count, text.len());
        }
        if count > 0 && text.len() + command.text.len() + 3 > most {
            if group.0 > 0 {
                count = group.0;
                text.truncate(group.1);
            }
            break;
        }
        if count > 0 {
            text.push(',');
        }
        text.push_str(&command.text);
        count += 1;
    }
    let cut = mark.filter(|_| count < commands.len());
    if let Some(mark) = cut {
        text.push(',');
        text.push_str(&mark.text);
    }
    text.push_str("]}");
    (text, count, usize::from(cut.is_some()))
}

/// Whether two commands, one right after the other, reach the same proxies.
fn together(one: &CommandKind, next: &CommandKind) -> bool {
    match (one, next) {
        (
            CommandKind::Line(a, _) | CommandKind::Level(a),
            CommandKind::Line(b, _) | CommandKind::Level(b),
        ) => a == b,
        (CommandKind::Withdrawal, CommandKind::Withdrawal) | (_, CommandKind::Mark) => true,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
