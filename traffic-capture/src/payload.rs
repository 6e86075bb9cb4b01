//! The payload of each kind of block, encoded as protobuf. Requests are stored as one column per field,
//! because adjacent similar values compress well. Files depend on the tags and types, which must not change.

use crate::corruption::BlockError;
use crate::records::{CaptureHeader, Demand, EndpointOutcomes, LoadReport, RecordCounts, RequestRecord};
use prost::Message;
use std::collections::HashMap;

#[derive(Clone, PartialEq, Message)]
struct HeaderPayload {
    #[prost(string, repeated, tag = "1")]
    request_classes: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    zones: Vec<String>,
    #[prost(uint64, tag = "3")]
    started_unix_ms: u64,
    #[prost(string, tag = "4")]
    source: String,
}

#[derive(Clone, PartialEq, Message)]
struct EndPayload {
    #[prost(uint64, tag = "1")]
    requests: u64,
    #[prost(uint64, tag = "2")]
    reports: u64,
}

/// Columns of equal length, with one element per request. The last two columns may be empty instead.
#[derive(Clone, PartialEq, Message)]
struct RequestsPayload {
    /// The time since the previous request; for the first request, since the start of the capture.
    #[prost(sint64, repeated, tag = "1")]
    gap_us: Vec<i64>,
    #[prost(uint32, repeated, tag = "2")]
    request_class: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    zone: Vec<u32>,
    /// See [`encode_optional`].
    #[prost(uint64, repeated, tag = "4")]
    work_us: Vec<u64>,
    /// See [`encode_optional`]. Empty if no request in the block has a key.
    #[prost(fixed64, repeated, tag = "5")]
    idempotency_key: Vec<u64>,
    /// Empty if all requests in the block are first attempts.
    #[prost(uint32, repeated, tag = "6")]
    attempt: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
struct ReportsPayload {
    /// The endpoint names to which the rows refer by position.
    #[prost(string, repeated, tag = "1")]
    endpoints: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    endpoint_outcomes: Vec<EndpointOutcomesRow>,
    #[prost(message, repeated, tag = "3")]
    demand: Vec<DemandRow>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct EndpointOutcomesRow {
    #[prost(sint64, tag = "1")]
    at_us: i64,
    #[prost(uint64, tag = "2")]
    interval_us: u64,
    #[prost(uint32, tag = "3")]
    zone: u32,
    /// The position of the endpoint's name in the block's `endpoints`.
    #[prost(uint32, tag = "4")]
    endpoint: u32,
    #[prost(uint64, tag = "5")]
    attempts: u64,
    #[prost(uint64, tag = "6")]
    failures: u64,
    #[prost(uint64, tag = "7")]
    mean_latency_us: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct DemandRow {
    #[prost(sint64, tag = "1")]
    at_us: i64,
    #[prost(uint64, tag = "2")]
    interval_us: u64,
    #[prost(uint32, tag = "3")]
    proxy: u32,
    #[prost(uint32, tag = "4")]
    request_class: u32,
    #[prost(uint64, tag = "5")]
    requests: u64,
}

/// Encodes the payload of a header block.
pub fn encode_header(header: &CaptureHeader) -> Vec<u8> {
    let CaptureHeader { request_classes, zones, started_unix_ms, source } = header.clone();
    HeaderPayload { request_classes, zones, started_unix_ms, source }.encode_to_vec()
}

/// Decodes the payload of a header block.
pub fn decode_header(payload: &[u8]) -> Result<CaptureHeader, BlockError> {
    let HeaderPayload { request_classes, zones, started_unix_ms, source } = HeaderPayload::decode(payload)?;
    Ok(CaptureHeader { request_classes, zones, started_unix_ms, source })
}

/// Encodes the payload of an end block.
pub fn encode_end(counts: RecordCounts) -> Vec<u8> {
    EndPayload { requests: counts.requests, reports: counts.reports }.encode_to_vec()
}

/// Decodes the payload of an end block.
pub fn decode_end(payload: &[u8]) -> Result<RecordCounts, BlockError> {
    let EndPayload { requests, reports } = EndPayload::decode(payload)?;
    Ok(RecordCounts { requests, reports })
}

/// Encodes the payload of a block of requests.
pub fn encode_requests(requests: &[RequestRecord]) -> Vec<u8> {
    let has_keys = requests.iter().any(|request| request.idempotency_key.is_some());
    let has_retries = requests.iter().any(|request| request.attempt > 0);
    let mut columns = RequestsPayload::default();
    let mut previous_us = 0;
    for request in requests {
        columns.gap_us.push(request.at_us.wrapping_sub(previous_us));
        previous_us = request.at_us;
        columns.request_class.push(request.request_class);
        columns.zone.push(request.zone);
        columns.work_us.push(encode_optional(request.work_us));
        if has_keys {
            columns.idempotency_key.push(encode_optional(request.idempotency_key));
        }
        if has_retries {
            columns.attempt.push(request.attempt);
        }
    }
    columns.encode_to_vec()
}

/// Decodes the payload of a block of requests. Fails if its columns differ in length or refer to names that
/// the file header doesn't list.
pub fn decode_requests(payload: &[u8], header: &CaptureHeader) -> Result<Vec<RequestRecord>, BlockError> {
    let columns = RequestsPayload::decode(payload)?;
    check_column_lengths(&columns)?;
    check_positions(&columns.request_class, &header.request_classes)?;
    check_positions(&columns.zone, &header.zones)?;
    let mut requests = Vec::with_capacity(columns.gap_us.len());
    let mut at_us = 0i64;
    for (row, gap_us) in columns.gap_us.iter().enumerate() {
        at_us = at_us.wrapping_add(*gap_us);
        requests.push(RequestRecord {
            at_us,
            request_class: columns.request_class[row],
            zone: columns.zone[row],
            work_us: decode_optional(columns.work_us[row]),
            idempotency_key: columns.idempotency_key.get(row).copied().and_then(decode_optional),
            attempt: columns.attempt.get(row).copied().unwrap_or(0),
        });
    }
    Ok(requests)
}

/// Encodes `None` as 0 and a value as the value plus one. `u64::MAX` is encoded like `u64::MAX - 1`, which
/// matters neither for a hash nor for a duration.
fn encode_optional(value: Option<u64>) -> u64 {
    value.map_or(0, |value| value.saturating_add(1))
}

fn decode_optional(stored: u64) -> Option<u64> {
    stored.checked_sub(1)
}

fn check_column_lengths(columns: &RequestsPayload) -> Result<(), BlockError> {
    let rows = columns.gap_us.len();
    let required = [columns.request_class.len(), columns.zone.len(), columns.work_us.len()];
    let optional = [columns.idempotency_key.len(), columns.attempt.len()];
    let equal = required.iter().all(|length| *length == rows);
    if equal && optional.iter().all(|length| *length == rows || *length == 0) {
        return Ok(());
    }
    Err(BlockError::ColumnLengths)
}

fn check_positions(positions: &[u32], names: &[String]) -> Result<(), BlockError> {
    if positions.iter().all(|position| (*position as usize) < names.len()) {
        return Ok(());
    }
    Err(BlockError::UnknownClassOrZone)
}

/// Encodes the payload of a block of load reports.
pub fn encode_reports(reports: &[LoadReport]) -> Vec<u8> {
    let mut payload = ReportsPayload::default();
    let mut positions = HashMap::<&str, u32>::new();
    for report in reports {
        match report {
            LoadReport::EndpointOutcomes(outcomes) => {
                let position = *positions.entry(&outcomes.endpoint).or_insert_with(|| {
                    payload.endpoints.push(outcomes.endpoint.clone());
                    payload.endpoints.len() as u32 - 1
                });
                payload.endpoint_outcomes.push(EndpointOutcomesRow::new(outcomes, position));
            }
            LoadReport::Demand(demand) => payload.demand.push(DemandRow::from(*demand)),
        }
    }
    payload.encode_to_vec()
}

/// Decodes the payload of a block of load reports; those about endpoints come first. Fails if a report refers
/// to a zone or request class that the file header doesn't list, or to an endpoint that the block doesn't
/// list.
pub fn decode_reports(payload: &[u8], header: &CaptureHeader) -> Result<Vec<LoadReport>, BlockError> {
    let payload = ReportsPayload::decode(payload)?;
    let zones: Vec<u32> = payload.endpoint_outcomes.iter().map(|row| row.zone).collect();
    let request_classes: Vec<u32> = payload.demand.iter().map(|row| row.request_class).collect();
    check_positions(&zones, &header.zones)?;
    check_positions(&request_classes, &header.request_classes)?;
    let mut reports = Vec::with_capacity(payload.endpoint_outcomes.len() + payload.demand.len());
    for row in &payload.endpoint_outcomes {
        let endpoint = payload.endpoints.get(row.endpoint as usize).ok_or(BlockError::UnknownEndpoint)?;
        reports.push(LoadReport::EndpointOutcomes(row.to_outcomes(endpoint)));
    }
    for row in payload.demand {
        reports.push(LoadReport::Demand(row.into()));
    }
    Ok(reports)
}

impl EndpointOutcomesRow {
    fn new(outcomes: &EndpointOutcomes, endpoint: u32) -> Self {
        EndpointOutcomesRow {
            at_us: outcomes.at_us,
            interval_us: outcomes.interval_us,
            zone: outcomes.zone,
            endpoint,
            attempts: outcomes.attempts,
            failures: outcomes.failures,
            mean_latency_us: outcomes.mean_latency_us,
        }
    }

    fn to_outcomes(self, endpoint: &str) -> EndpointOutcomes {
        EndpointOutcomes {
            at_us: self.at_us,
            interval_us: self.interval_us,
            zone: self.zone,
            endpoint: endpoint.to_owned(),
            attempts: self.attempts,
            failures: self.failures,
            mean_latency_us: self.mean_latency_us,
        }
    }
}

impl From<Demand> for DemandRow {
    fn from(Demand { at_us, interval_us, proxy, request_class, requests }: Demand) -> Self {
        DemandRow { at_us, interval_us, proxy, request_class, requests }
    }
}

impl From<DemandRow> for Demand {
    fn from(DemandRow { at_us, interval_us, proxy, request_class, requests }: DemandRow) -> Self {
        Demand { at_us, interval_us, proxy, request_class, requests }
    }
}
