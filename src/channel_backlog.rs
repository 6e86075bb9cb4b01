//! What was ordered into a channel, and what is known to have left it: counted in lines, never judged.

use crate::time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// The messages of one moment, and the lines ordered before them or known to have come.
#[derive(Debug)]
struct Reply {
    at: Moment,
    number: u32,
    before: f64,
    lines: BTreeMap<u32, f64>,
}

/// ```
/// use otterwinch::{channel_backlog::ChannelBacklog, time::{Moment, Span}};
/// let (mut ledger, now) = (ChannelBacklog::new(2.0), Moment::from_us(5));
/// ledger.record(now, 1, 4.0, 3.0);
/// ledger.record(now, 2, 2.0, 3.0);
/// let number = ledger.request_acknowledgement(now).unwrap();
/// assert_eq!(ledger.queued_lines(now), 14.0);
/// ledger.acknowledged(now, number, 2);
/// assert_eq!(ledger.queued_lines(now), 8.0);
/// assert_eq!(ledger.queued_lines(now + Span::secs(1.0)), 6.0);
/// assert_eq!(ledger.messages(now, 1, Span::secs(1.0)), (1, Some(now)));
/// assert_eq!(ledger.record_resend(now + Span::secs(1.0), now), (8.0, Some(2)));
/// assert_eq!(ledger.queued_lines(now + Span::secs(1.0)), 15.0);
/// ```
#[derive(Debug, Default)]
pub struct ChannelBacklog {
    /// Lines a second that leave whatever happens.
    pace: f64,
    /// All lines ever ordered, heads and marks included.
    pub recorded_lines: f64,
    waiting: (f64, Moment),
    replies: VecDeque<Reply>,
    /// When something was ordered last, or an answer told what has come.
    pub last_activity: Moment,
    sent: BTreeMap<u32, VecDeque<Moment>>,
    numbered: u32,
}

impl ChannelBacklog {
    /// Replies kept for an answer: those that asked for one. What waits bounds them, for each message is longer
    /// than its head; this is for answers that never come. A slow channel holds hundreds of moments: where only
    /// the latest are known, no answer tells anything until all older ones are through.
    const KEPT: usize = 2048;

    pub fn new(pace: f64) -> Self {
        ChannelBacklog { pace, ..ChannelBacklog::default() }
    }

    /// The most that may still wait.
    pub fn queued_lines(&self, now: Moment) -> f64 {
        (self.waiting.0 - (now - self.waiting.1).as_secs() * self.pace).max(0.0)
    }

    /// Lines for a proxy. Those of one moment make one message with one head.
    pub fn record(&mut self, now: Moment, proxy: u32, lines: f64, head: f64) {
        if self.replies.back().is_none_or(|reply| reply.at != now) {
            // Where nothing can wait any more, no answer can tell anything new.
            if self.queued_lines(now) <= 0.0 {
                self.replies.clear();
            }
            // Nobody was asked about it: it is among the lines before the next.
            if self.replies.back().is_some_and(|reply| reply.number == 0) {
                self.replies.pop_back();
            }
            let (before, lines) = (self.recorded_lines, BTreeMap::new());
            self.replies.push_back(Reply { at: now, number: 0, before, lines });
            self.replies.drain(..self.replies.len().saturating_sub(Self::KEPT));
        }
        let Some(reply) = self.replies.back_mut() else { return };
        let first = !reply.lines.contains_key(&proxy);
        let lines = if first { lines + head } else { lines };
        *reply.lines.entry(proxy).or_default() += lines;
        if first {
            self.sent.entry(proxy).or_default().push_back(now);
        }
        (self.waiting, self.recorded_lines) =
            ((self.queued_lines(now) + lines, now), self.recorded_lines + lines);
        self.last_activity = now;
    }

    /// A moment's messages once more, as ones of this moment: they may leave twice. Tells lines and number.
    pub fn record_resend(&mut self, now: Moment, moment: Moment) -> (f64, Option<u32>) {
        let latest = self.replies.back().filter(|reply| reply.at == moment);
        let lines = latest.map(|reply| reply.lines.clone()).unwrap_or_default();
        lines.iter().for_each(|(proxy, lines)| self.record(now, *proxy, *lines, 0.0));
        (lines.values().sum(), self.request_acknowledgement(now))
    }

    /// A number for this moment's messages, each a line longer for it; nothing where there are none.
    pub fn request_acknowledgement(&mut self, now: Moment) -> Option<u32> {
        let reply = self.replies.back_mut().filter(|reply| reply.at == now)?;
        if reply.number == 0 {
            self.numbered = self.numbered % 65_535 + 1;
            reply.number = self.numbered;
        }
        reply.lines.values_mut().for_each(|lines| *lines += 1.0);
        let lines = reply.lines.len() as f64;
        (self.waiting.0, self.recorded_lines) = (self.waiting.0 + lines, self.recorded_lines + lines);
        Some(reply.number)
    }

    /// A marked message came: it and all that was ordered before its moment have left.
    pub fn acknowledged(&mut self, now: Moment, number: u32, proxy: u32) {
        if let Some(place) = self.replies.iter().position(|reply| reply.number == number) {
            self.replies.drain(..place);
            self.replies[0].before += self.replies[0].lines.remove(&proxy).unwrap_or(0.0);
            let left = self.recorded_lines - self.replies[0].before;
            (self.waiting, self.last_activity) = ((self.queued_lines(now).min(left), now), now);
        }
    }

    /// Messages to a proxy within the last span, and the latest.
    pub fn messages(&mut self, now: Moment, proxy: u32, over: Span) -> (usize, Option<Moment>) {
        let sent = self.sent.entry(proxy).or_default();
        sent.retain(|sent| now - *sent <= over);
        (sent.len(), sent.back().copied())
    }

    /// How much is remembered: rows of proxies, and times of messages.
    pub fn retained_entries(&self) -> usize {
        self.replies.iter().map(|reply| reply.lines.len()).sum::<usize>()
            + self.sent.values().map(VecDeque::len).sum::<usize>()
    }

    /// A proxy's stream broke: what waited for it is lost, and nobody will tell that it came.
    pub fn proxy_left(&mut self, now: Moment, proxy: u32) {
        self.sent.remove(&proxy);
        let lost: f64 = self.replies.iter_mut().filter_map(|reply| reply.lines.remove(&proxy)).sum();
        self.waiting = ((self.queued_lines(now) - lost).max(0.0), now);
    }
}
