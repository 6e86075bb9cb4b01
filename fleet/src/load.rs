//! Captured load made ready for a plan: its names found in the fleet, its clock made to go forward, its holes and
//! spoilt parts told. One txn at a time, so that memory does not grow with the capture.

use crate::load_profile::work;
use crate::model::Fleet;
use crate::sampling::random_stream;
use otterwinch_traffic_capture::{CaptureHeader, CaptureItem, Demand, LoadReport, Reader, RequestRecord};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt;
use std::io::Read;

/// A txn that is told so much later than one that came after it was only written late; beyond that the clock stepped.
const REORDERED_US: i64 = 2_000_000;
/// No txn at all for so long, and for so many times the usual gap, is a hole in the capture.
const HOLE_US: i64 = 1_000_000;
const HOLE_GAPS: f64 = 200.0;
/// Messages of a kind that are told in full; the rest is counted.
const TOLD: usize = 20;

/// A txn of a plan. Its product and hall are the fleet's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduledRequest {
    /// Seconds from the capture's beginning.
    pub at: f64,
    pub request_class: usize,
    pub zone: usize,
    /// Seconds of work on a core of speed 1; drawn from the product's where the capture does not know.
    pub work: f64,
    pub key: Option<u64>,
}

/// What a capture turned out to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadFindings {
    pub txns: u64,
    /// Repeats that the capture holds and the plan leaves out, since its clients come again by themselves.
    pub repeats: u64,
    /// Txns whose work was drawn.
    pub drawn: u64,
    /// Txns of a sum, spread evenly over its interval.
    pub spread: u64,
    /// Txns that stood in the capture after later ones.
    pub reordered: u64,
    /// Where the capture's clock stepped back, in seconds, and by how much.
    pub steps: Vec<(f64, f64)>,
    /// From where to where nothing came, in seconds.
    pub holes: Vec<(f64, f64)>,
    /// What the reader had to leave out, in words.
    pub amiss: Vec<String>,
    /// Txns left out because the fleet does not know their product or hall, by that name.
    pub unknown: BTreeMap<String, u64>,
    pub until: f64,
}

impl fmt::Display for LoadFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} txns over {:.1} s", self.txns, self.until)?;
        let mut also =
            |count: u64, what: &str| if count > 0 { write!(f, "; {count} {what}") } else { Ok(()) };
        also(self.repeats, "repeats left out: the fleet's clients come again by themselves")?;
        also(self.drawn, "without a known cost: drawn from the product's")?;
        also(self.spread, "known by sums only: spread evenly over their intervals")?;
        also(self.reordered, "put back in order")?;
        for (name, count) in &self.unknown {
            write!(f, "; {count} of '{name}', which the fleet does not know, left out")?;
        }
        for (at, by) in self.steps.iter().take(TOLD) {
            write!(f, "; the clock steps back by {by:.1} s at {at:.1} s: what follows is moved up")?;
        }
        for (from, to) in self.holes.iter().take(TOLD) {
            write!(f, "; nothing came from {from:.1} to {to:.1} s")?;
        }
        for what in self.amiss.iter().take(TOLD) {
            write!(f, "; {what}")?;
        }
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Waits {
    at_us: i64,
    /// The order of the capture, where two are due at once.
    nth: u64,
    txn: RequestRecord,
}

impl Eq for Waits {}

impl Ord for Waits {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap yields its greatest: the earliest is greatest.
        (other.at_us, other.nth).cmp(&(self.at_us, self.nth))
    }
}

impl PartialOrd for Waits {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Reads a capture as a plan for a fleet.
pub struct CapturedLoad<'a, R: Read> {
    reader: Reader<R>,
    fleet: &'a Fleet,
    /// The fleet's places of the capture's products and halls.
    products: Vec<Option<usize>>,
    halls: Vec<Option<usize>>,
    start: CaptureHeader,
    waiting: BinaryHeap<Waits>,
    nth: u64,
    latest_us: i64,
    shift_us: i64,
    last: Option<f64>,
    mean_gap: f64,
    work: Pcg64Mcg,
    spread: Pcg64Mcg,
    heard: LoadFindings,
    over: bool,
}

impl<'a, R: Read> CapturedLoad<'a, R> {
    /// Opens a capture for a fleet. Fails where the capture names nothing that the fleet knows.
    pub fn open(from: R, fleet: &'a Fleet, seed: u64) -> Result<Self, String> {
        let reader = Reader::open(from).map_err(|e| e.to_string())?;
        let start = reader.header().clone();
        let products: Vec<_> = start.request_classes.iter().map(|name| fleet.request_class(name)).collect();
        let halls: Vec<_> = start.zones.iter().map(|name| fleet.zone(name)).collect();
        let none = |known: &[Option<usize>]| known.iter().all(Option::is_none);
        for (what, known, names) in
            [("product", &products, &start.request_classes), ("hall", &halls, &start.zones)]
        {
            if none(known) {
                let names = names.join(", ");
                return Err(format!("the fleet knows no {what} of this load ({names}); name them alike"));
            }
        }
        let (work, spread) = (random_stream(seed, "work", 0), random_stream(seed, "spread", 0));
        Ok(CapturedLoad {
            reader,
            fleet,
            products,
            halls,
            start,
            waiting: BinaryHeap::new(),
            nth: 0,
            latest_us: i64::MIN,
            shift_us: 0,
            last: None,
            mean_gap: 0.0,
            work,
            spread,
            heard: LoadFindings::default(),
            over: false,
        })
    }

    /// What was found so far; all of it once the load has ended.
    pub fn findings(&self) -> &LoadFindings {
        &self.heard
    }

    fn take(&mut self, txn: RequestRecord) {
        let mut at_us = txn.at_us.saturating_add(self.shift_us);
        if self.latest_us != i64::MIN && at_us < self.latest_us - REORDERED_US {
            let by = self.latest_us - at_us;
            self.shift_us = self.shift_us.saturating_add(by);
            self.heard.steps.push((self.latest_us as f64 / 1e6, by as f64 / 1e6));
            at_us = self.latest_us;
        } else if at_us < self.latest_us {
            self.heard.reordered += 1;
        }
        self.latest_us = self.latest_us.max(at_us);
        self.nth += 1;
        self.waiting.push(Waits { at_us, nth: self.nth, txn });
    }

    /// Txns of a sum: due at even chance within its interval.
    fn spread(&mut self, asked: &Demand) {
        // Forwarders are numbered hall by hall, as the fleet lists them.
        let of = self.hall_of(asked.proxy);
        let hall = self.halls.iter().position(|hall| *hall == of).unwrap_or(0) as u32;
        let from = asked.at_us - asked.interval_us as i64;
        let mut times: Vec<i64> = (0..asked.requests.min(1_000_000))
            .map(|_| from + (self.spread.random::<f64>() * asked.interval_us as f64) as i64)
            .collect();
        times.sort_unstable();
        for at_us in times {
            self.heard.spread += 1;
            self.take(RequestRecord {
                at_us,
                request_class: asked.request_class,
                zone: hall,
                ..RequestRecord::default()
            });
        }
    }

    fn hall_of(&self, forwarder: u32) -> Option<usize> {
        let mut first = 0;
        self.fleet.zones.iter().position(|hall| {
            first += hall.proxy_count;
            forwarder < first
        })
    }

    /// Reads on until the earliest that waits can't be overtaken any more.
    fn read_on(&mut self) {
        while !self.over {
            let settled = self.waiting.peek().is_some_and(|w| w.at_us + REORDERED_US < self.latest_us);
            if settled {
                return;
            }
            match self.reader.next() {
                None => self.over = true,
                Some(CaptureItem::Requests(txns)) => txns.into_iter().for_each(|txn| self.take(txn)),
                Some(CaptureItem::Reports(sums)) => {
                    for sum in sums {
                        if let LoadReport::Demand(asked) = sum {
                            self.spread(&asked);
                        }
                    }
                }
                Some(CaptureItem::Corruption(amiss)) => self.heard.amiss.push(amiss.to_string()),
            }
        }
    }

    fn due(&mut self, waits: Waits) -> Option<ScheduledRequest> {
        let RequestRecord {
            request_class: product, zone: hall, work_us, idempotency_key: key, attempt, ..
        } = waits.txn;
        if attempt > 0 {
            self.heard.repeats += 1;
            return None;
        }
        let (named, placed) = (product as usize, hall as usize);
        let mut unknown = |name: &str| *self.heard.unknown.entry(name.to_owned()).or_default() += 1;
        let Some(product) = self.products[named] else {
            unknown(&self.start.request_classes[named]);
            return None;
        };
        let Some(hall) = self.halls[placed] else {
            unknown(&self.start.zones[placed]);
            return None;
        };
        let at = waits.at_us as f64 / 1e6;
        let gap = at - self.last.unwrap_or(at);
        if gap > HOLE_US as f64 / 1e6 && self.heard.txns > 100 && gap > HOLE_GAPS * self.mean_gap {
            self.heard.holes.push((at - gap, at));
        } else {
            self.mean_gap += (gap - self.mean_gap) / (self.heard.txns as f64 + 1.0).min(1_000.0);
        }
        let work = match work_us {
            Some(us) => us as f64 / 1e6,
            None => {
                self.heard.drawn += 1;
                work(&self.fleet.request_classes[product].work, &mut self.work)
            }
        };
        (self.last, self.heard.until) = (Some(at), at);
        self.heard.txns += 1;
        Some(ScheduledRequest { at, request_class: product, zone: hall, work, key })
    }
}

impl<R: Read> Iterator for CapturedLoad<'_, R> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        loop {
            self.read_on();
            let waits = self.waiting.pop()?;
            if let Some(due) = self.due(waits) {
                return Some(due);
            }
        }
    }
}

/// What a whole load is like, for the eye.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSummary {
    pub txns: u64,
    pub seconds: f64,
    /// By product and by hall.
    pub by_product: Vec<u64>,
    pub by_hall: Vec<u64>,
    /// Txns in the busiest second, and when that was.
    pub busiest: (u64, f64),
    /// Seconds of work in the heaviest second, and when that was.
    pub heaviest: (f64, f64),
    /// Seconds of work in all, and by product.
    pub work: f64,
    pub work_by_product: Vec<f64>,
    /// The costliest txn of each product, in seconds of work.
    pub costliest: Vec<f64>,
    second: (u64, u64, f64),
}

impl LoadSummary {
    pub fn of(fleet: &Fleet) -> Self {
        let (products, halls) = (fleet.request_classes.len(), fleet.zones.len());
        LoadSummary {
            by_product: vec![0; products],
            by_hall: vec![0; halls],
            work_by_product: vec![0.0; products],
            costliest: vec![0.0; products],
            ..LoadSummary::default()
        }
    }

    pub fn add(&mut self, due: &ScheduledRequest) {
        self.txns += 1;
        self.seconds = self.seconds.max(due.at);
        self.by_product[due.request_class] += 1;
        self.by_hall[due.zone] += 1;
        self.work += due.work;
        self.work_by_product[due.request_class] += due.work;
        self.costliest[due.request_class] = self.costliest[due.request_class].max(due.work);
        let second = due.at.max(0.0) as u64;
        if second != self.second.0 {
            self.second = (second, 0, 0.0);
        }
        self.second.1 += 1;
        self.second.2 += due.work;
        if self.second.1 > self.busiest.0 {
            self.busiest = (self.second.1, second as f64);
        }
        if self.second.2 > self.heaviest.0 {
            self.heaviest = (self.second.2, second as f64);
        }
    }
}
