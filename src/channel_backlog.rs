//! Accounting of the channel to the proxies: which lines were sent into it, and which are known to have left
//! it.
//!
//! All amounts are in lines. A line is the unit of the channel's cost: one command sent to one proxy; the
//! overhead of a message is stated in lines too. The backlog only counts; the limits that are compared with
//! it belong to the controller's `channel` module.

use crate::time::{Moment, Span};
use std::collections::{BTreeMap, VecDeque};

/// The number of a batch for which no acknowledgement was requested.
const UNNUMBERED: u32 = 0;

/// The messages that were sent at one time, one for each proxy.
#[derive(Debug)]
struct Batch {
    sent_at: Moment,
    /// The number by which the proxies acknowledge the batch, or [`UNNUMBERED`].
    number: u32,
    /// Lines that are known to have left the channel once a proxy acknowledges this batch: all that were
    /// recorded before it, plus those of its own messages that were acknowledged.
    cleared_lines: f64,
    /// Lines of this batch that may still be queued.
    lines_by_proxy: BTreeMap<u32, f64>,
}

/// Messages to one proxy that are not known to have entered the channel.
#[derive(Debug)]
struct Undelivered {
    lines: f64,
    /// When the first of them was recorded.
    since: Moment,
    /// When the latest copy of them was recorded, unless the proxy has acknowledged it.
    unacknowledged_copy: Option<Moment>,
}

impl Undelivered {
    fn new(now: Moment) -> Self {
        Undelivered { lines: 0.0, since: now, unacknowledged_copy: None }
    }
}

/// Whether messages that are sent again may have entered the channel before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierDelivery {
    /// They certainly have not.
    Failed,
    /// They may have.
    Unknown,
}

/// Tracks the lines that were sent into the channel and may not have left it yet.
///
/// ```
/// use otterwinch::{channel_backlog::{ChannelBacklog, EarlierDelivery}, time::{Moment, Span}};
/// let (mut backlog, now) = (ChannelBacklog::new(2.0), Moment::from_us(5));
/// backlog.record(now, 1, 4.0, 3.0);
/// backlog.record(now, 2, 2.0, 3.0);
/// let number = backlog.request_acknowledgement(now).unwrap();
/// assert_eq!(backlog.queued_lines(now), 14.0);
/// backlog.acknowledged(now, number, 2);
/// assert_eq!(backlog.queued_lines(now), 8.0);
/// assert_eq!(backlog.queued_lines(now + Span::from_secs(1.0)), 6.0);
/// assert_eq!(backlog.recent_messages(now, 1, Span::from_secs(1.0)), [now]);
/// let later = now + Span::from_secs(1.0);
/// assert_eq!(backlog.record_resend(later, EarlierDelivery::Unknown), Some(2));
/// assert_eq!(backlog.queued_lines(later), 20.0);
/// ```
#[derive(Debug, Default)]
pub struct ChannelBacklog {
    /// Lines per second that are assumed to leave the channel while no acknowledgement arrives.
    drain_rate: f64,
    /// All lines recorded so far, including message overheads and acknowledgement requests.
    pub recorded_lines: f64,
    /// Lines that were queued at `queued_at`.
    queued: f64,
    queued_at: Moment,
    batches: VecDeque<Batch>,
    /// When lines were last recorded or acknowledged.
    pub last_activity: Moment,
    message_times: BTreeMap<u32, VecDeque<Moment>>,
    /// The messages, by proxy, that are not known to have entered the channel.
    undelivered: BTreeMap<u32, Undelivered>,
    last_acknowledgement_number: u32,
}

impl ChannelBacklog {
    /// The most batches that are kept until they are acknowledged. The channel's queue limit normally keeps
    /// their number far lower; this limit matters when acknowledgements never arrive. It must not be small: a
    /// slow channel holds hundreds of batches, and an acknowledgement of a dropped batch has no effect.
    const MAX_BATCHES: usize = 2048;

    /// An empty backlog of a channel that carries at least `drain_rate` lines per second.
    pub fn new(drain_rate: f64) -> Self {
        ChannelBacklog { drain_rate, ..ChannelBacklog::default() }
    }

    /// An upper estimate of the lines that are still queued.
    pub fn queued_lines(&self, now: Moment) -> f64 {
        (self.queued - (now - self.queued_at).as_secs() * self.drain_rate).max(0.0)
    }

    /// Records lines sent to a proxy. Lines sent to it at the same time form one message, with one overhead.
    pub fn record(&mut self, now: Moment, proxy: u32, lines: f64, overhead: f64) {
        let recorded = self.record_message(now, proxy, lines, overhead);
        self.undelivered.entry(proxy).or_insert_with(|| Undelivered::new(now)).lines += recorded;
    }

    /// Records lines and returns how many these are with the overhead.
    fn record_message(&mut self, now: Moment, proxy: u32, lines: f64, overhead: f64) -> f64 {
        if self.batches.back().is_none_or(|batch| batch.sent_at != now) {
            self.start_batch(now);
        }
        let Some(batch) = self.batches.back_mut() else { return 0.0 };
        let is_new_message = !batch.lines_by_proxy.contains_key(&proxy);
        let lines = if is_new_message { lines + overhead } else { lines };
        *batch.lines_by_proxy.entry(proxy).or_default() += lines;
        if is_new_message {
            self.message_times.entry(proxy).or_default().push_back(now);
        }
        self.set_queued(now, self.queued_lines(now) + lines);
        self.recorded_lines += lines;
        self.last_activity = now;
        lines
    }

    /// Handles the confirmation that all messages recorded so far have entered the channel.
    pub fn delivered(&mut self) {
        self.undelivered.clear();
    }

    fn start_batch(&mut self, now: Moment) {
        // With nothing queued, an acknowledgement can't lower the estimate any further.
        if self.queued_lines(now) <= 0.0 {
            self.batches.clear();
        }
        // An unnumbered batch is never acknowledged itself; its lines count as recorded before the next
        // batch.
        if self.batches.back().is_some_and(|batch| batch.number == UNNUMBERED) {
            self.batches.pop_back();
        }
        self.batches.push_back(Batch {
            sent_at: now,
            number: UNNUMBERED,
            cleared_lines: self.recorded_lines,
            lines_by_proxy: BTreeMap::new(),
        });
        let excess = self.batches.len().saturating_sub(Self::MAX_BATCHES);
        self.batches.drain(..excess);
    }

    fn set_queued(&mut self, now: Moment, lines: f64) {
        self.queued = lines;
        self.queued_at = now;
    }

    /// Records that the messages that are not known to have entered the channel are sent again now, as one
    /// message to each proxy. Returns the number that acknowledges them.
    ///
    /// If they may have entered the channel before, it may carry both: the lines count twice. Of the copies,
    /// only the latest counts as a message, and each that was acknowledged. So a copy must not be sent before
    /// an acknowledgement of the one before it would have arrived.
    pub fn record_resend(&mut self, now: Moment, earlier: EarlierDelivery) -> Option<u32> {
        for (proxy, lines) in self.undelivered_lines() {
            match earlier {
                EarlierDelivery::Unknown => self.record_copy(now, proxy, lines),
                EarlierDelivery::Failed => self.move_messages(now, proxy),
            }
        }
        self.request_acknowledgement(now)
    }

    fn record_copy(&mut self, now: Moment, proxy: u32, lines: f64) {
        let Some(undelivered) = self.undelivered.get_mut(&proxy) else { return };
        if let Some(former_copy) = undelivered.unacknowledged_copy.replace(now) {
            self.message_times.entry(proxy).or_default().retain(|sent_at| *sent_at != former_copy);
        }
        self.record_message(now, proxy, lines, 0.0);
    }

    fn move_messages(&mut self, now: Moment, proxy: u32) {
        let Some(undelivered) = self.undelivered.get_mut(&proxy) else { return };
        let times = self.message_times.entry(proxy).or_default();
        times.retain(|sent_at| *sent_at < undelivered.since);
        times.push_back(now);
        undelivered.since = now;
    }

    /// The proxies with messages that are not known to have entered the channel, and the lines of these.
    pub fn undelivered_lines(&self) -> Vec<(u32, f64)> {
        self.undelivered.iter().map(|(proxy, undelivered)| (*proxy, undelivered.lines)).collect()
    }

    /// Numbers the batch that is sent now, which makes each of its messages one line longer. Returns the
    /// number, or `None` if there is no such batch.
    pub fn request_acknowledgement(&mut self, now: Moment) -> Option<u32> {
        let batch = self.batches.back_mut().filter(|batch| batch.sent_at == now)?;
        if batch.number == UNNUMBERED {
            self.last_acknowledgement_number = self.last_acknowledgement_number % 65_535 + 1;
            batch.number = self.last_acknowledgement_number;
        }
        for lines in batch.lines_by_proxy.values_mut() {
            *lines += 1.0;
        }
        let lines = batch.lines_by_proxy.len() as f64;
        self.queued += lines;
        self.recorded_lines += lines;
        Some(batch.number)
    }

    /// Handles a proxy's acknowledgement: this proxy's message of the batch, and all messages of earlier
    /// batches to any proxy, have left the channel.
    pub fn acknowledged(&mut self, now: Moment, number: u32, proxy: u32) {
        let Some(position) = self.batches.iter().position(|batch| batch.number == number) else { return };
        self.batches.drain(..position);
        let sent_at = self.batches[0].sent_at;
        let undelivered = self.undelivered.get_mut(&proxy);
        if let Some(copied) = undelivered.filter(|copied| copied.unacknowledged_copy == Some(sent_at)) {
            copied.unacknowledged_copy = None;
        }
        let batch = &mut self.batches[0];
        batch.cleared_lines += batch.lines_by_proxy.remove(&proxy).unwrap_or(0.0);
        let remaining = self.recorded_lines - batch.cleared_lines;
        self.set_queued(now, self.queued_lines(now).min(remaining));
        self.last_activity = now;
    }

    /// The times of the messages to a proxy within the window that ends now, oldest first.
    pub fn recent_messages(&mut self, now: Moment, proxy: u32, window: Span) -> &[Moment] {
        let times = self.message_times.entry(proxy).or_default();
        times.retain(|sent| now - *sent <= window);
        times.make_contiguous()
    }

    /// The number of entries kept in memory: unacknowledged and undelivered messages, and message times.
    pub fn retained_entries(&self) -> usize {
        let unacknowledged: usize = self.batches.iter().map(|batch| batch.lines_by_proxy.len()).sum();
        let times: usize = self.message_times.values().map(VecDeque::len).sum();
        unacknowledged + times + self.undelivered.len()
    }

    /// Handles the end of a proxy's stream: lines queued for it are lost and will not be acknowledged.
    pub fn proxy_left(&mut self, now: Moment, proxy: u32) {
        self.message_times.remove(&proxy);
        self.undelivered.remove(&proxy);
        let lost: f64 = self.batches.iter_mut().filter_map(|batch| batch.lines_by_proxy.remove(&proxy)).sum();
        self.set_queued(now, (self.queued_lines(now) - lost).max(0.0));
    }
}
