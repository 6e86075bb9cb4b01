//! Prepares captured load for a fleet: maps the names of request classes and zones to the fleet's indices,
//! sorts records by time, corrects clock steps and reports anomalies. The capture is read one block at a
//! time, so memory usage doesn't grow with its size.

mod findings;
mod gaps;
mod reorder;

pub use findings::{ClockStep, Gap, LoadFindings};

use crate::load::ScheduledRequest;
use crate::model::Fleet;
use crate::sampling::{random_stream, sample_work};
use gaps::GapDetector;
use otterwinch_traffic_capture::{
    CaptureHeader, CaptureItem, Demand, LoadReport, OpenError, Reader, RequestRecord,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use reorder::{RecordOrder, ReorderBuffer};
use std::io::Read;

/// The most requests that are generated from one report.
const MAX_REQUESTS_PER_REPORT: u64 = 1_000_000;

/// The reason why a capture can't be used as load.
#[derive(Debug, thiserror::Error)]
pub enum CapturedLoadError {
    /// The capture could not be opened.
    #[error(transparent)]
    Capture(#[from] OpenError),
    /// The fleet has none of the capture's request classes.
    #[error("no product of this load ({names}) is in the fleet; their names must match")]
    NoKnownRequestClass {
        /// The names of the capture's request classes.
        names: String,
    },
    /// The fleet has none of the capture's zones.
    #[error("no hall of this load ({names}) is in the fleet; their names must match")]
    NoKnownZone {
        /// The names of the capture's zones.
        names: String,
    },
}

/// The requests of a capture, ordered by time.
pub struct CapturedLoad<'a, R: Read> {
    fleet: &'a Fleet,
    reader: Reader<R>,
    header: CaptureHeader,
    /// The index in the fleet of each request class of the capture; `None` where the fleet lacks it.
    request_classes: Vec<Option<usize>>,
    /// The index in the fleet of each zone of the capture; `None` where the fleet lacks it.
    zones: Vec<Option<usize>>,
    reorder_buffer: ReorderBuffer,
    gaps: GapDetector,
    /// Samples the work of requests for which the capture has none.
    work_rng: Pcg64Mcg,
    /// Samples the times of requests that only load reports count.
    report_rng: Pcg64Mcg,
    findings: LoadFindings,
    finished: bool,
}

impl<'a, R: Read> CapturedLoad<'a, R> {
    /// Opens a capture for a fleet. The seed determines all sampled values.
    pub fn open(source: R, fleet: &'a Fleet, seed: u64) -> Result<Self, CapturedLoadError> {
        let reader = Reader::open(source)?;
        let header = reader.header().clone();
        let class_names = header.request_classes.iter();
        let request_classes: Vec<_> = class_names.map(|name| fleet.request_class_index(name)).collect();
        let zones: Vec<_> = header.zones.iter().map(|name| fleet.zone_index(name)).collect();
        if request_classes.iter().all(Option::is_none) {
            let names = header.request_classes.join(", ");
            return Err(CapturedLoadError::NoKnownRequestClass { names });
        }
        if zones.iter().all(Option::is_none) {
            return Err(CapturedLoadError::NoKnownZone { names: header.zones.join(", ") });
        }
        Ok(CapturedLoad {
            fleet,
            reader,
            header,
            request_classes,
            zones,
            reorder_buffer: ReorderBuffer::default(),
            gaps: GapDetector::default(),
            work_rng: random_stream(seed, "work", 0),
            report_rng: random_stream(seed, "spread", 0),
            findings: LoadFindings::default(),
            finished: false,
        })
    }

    /// The findings so far. They are complete once the iterator is exhausted.
    pub fn findings(&self) -> &LoadFindings {
        &self.findings
    }

    /// Reads until the earliest buffered record is final or the capture ends.
    fn fill_reorder_buffer(&mut self) {
        while !self.finished && !self.reorder_buffer.is_earliest_final() {
            match self.reader.next() {
                None => self.finished = true,
                Some(CaptureItem::Requests(records)) => {
                    for record in records {
                        self.add(record);
                    }
                }
                Some(CaptureItem::Reports(reports)) => self.spread_reports(&reports),
                Some(CaptureItem::Corruption(corruption)) => self.findings.corruption.push(corruption),
            }
        }
    }

    fn add(&mut self, record: RequestRecord) {
        match self.reorder_buffer.add(record) {
            RecordOrder::InOrder => {}
            RecordOrder::OutOfOrder => self.findings.reordered += 1,
            RecordOrder::ClockStep(step) => self.findings.clock_steps.push(step),
        }
    }

    fn spread_reports(&mut self, reports: &[LoadReport]) {
        for report in reports {
            if let LoadReport::Demand(demand) = report {
                self.spread_demand(demand);
            }
        }
    }

    /// Adds the requests that a report counts, at uniformly random times within its interval.
    fn spread_demand(&mut self, demand: &Demand) {
        let fleet_zone = self.zone_of_proxy(demand.proxy);
        let zone = self.zones.iter().position(|zone| *zone == fleet_zone).unwrap_or(0) as u32;
        let start_us = demand.at_us - demand.interval_us as i64;
        let count = demand.requests.min(MAX_REQUESTS_PER_REPORT);
        let interval_us = demand.interval_us as f64;
        let mut times: Vec<i64> =
            (0..count).map(|_| start_us + (self.report_rng.random::<f64>() * interval_us) as i64).collect();
        times.sort_unstable();
        for at_us in times {
            self.findings.spread_from_reports += 1;
            let request_class = demand.request_class;
            self.add(RequestRecord { at_us, request_class, zone, ..RequestRecord::default() });
        }
    }

    /// The zone of a proxy. Proxies are numbered zone by zone, in the fleet's order.
    fn zone_of_proxy(&self, proxy: u32) -> Option<usize> {
        let mut end = 0;
        self.fleet.zones.iter().position(|zone| {
            end += zone.proxy_count;
            proxy < end
        })
    }

    /// Converts a record into a request of the fleet; `None` for a record that is left out.
    fn schedule(&mut self, record: RequestRecord) -> Option<ScheduledRequest> {
        if record.attempt > 0 {
            self.findings.retries += 1;
            return None;
        }
        let (class_index, zone_index) = (record.request_class as usize, record.zone as usize);
        let Some(request_class) = self.request_classes[class_index] else {
            self.findings.count_unknown(&self.header.request_classes[class_index]);
            return None;
        };
        let Some(zone) = self.zones[zone_index] else {
            self.findings.count_unknown(&self.header.zones[zone_index]);
            return None;
        };
        let at = record.at_us as f64 / 1e6;
        if let Some(gap) = self.gaps.observe(at, self.findings.requests) {
            self.findings.gaps.push(gap);
        }
        let work = self.work_of(&record, request_class);
        self.findings.last_request_at = at;
        self.findings.requests += 1;
        Some(ScheduledRequest { at, request_class, zone, work, idempotency_key: record.idempotency_key })
    }

    fn work_of(&mut self, record: &RequestRecord, request_class: usize) -> f64 {
        if let Some(work_us) = record.work_us {
            return work_us as f64 / 1e6;
        }
        self.findings.sampled_work += 1;
        sample_work(&self.fleet.request_classes[request_class].work, &mut self.work_rng)
    }
}

impl<R: Read> Iterator for CapturedLoad<'_, R> {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        loop {
            self.fill_reorder_buffer();
            let record = self.reorder_buffer.pop()?;
            if let Some(request) = self.schedule(record) {
                return Some(request);
            }
        }
    }
}
