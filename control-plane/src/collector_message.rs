//! Decodes the messages of collectors. Their wire names appear only in this module. Every field that is used
//! is validated before the message reaches the control loop.

use crate::deployment_names::{DeploymentNames, UnknownName};
use crate::event::Event;
use otterwinch::time::Span;
use otterwinch_adapter_support::{quoted, JsonFieldError, JsonFields};
use serde_json::Value;

/// Upper bound of the attempts or requests in one report. A greater count indicates an error of the sender.
const MAX_COUNT: f64 = 1e6;
/// Upper bound of a latency or report interval. A greater one indicates an error of the sender.
const MAX_MS: f64 = 600_000.0;

const KIND_FIELD: &str = "msg";
const PROBE: &str = "probe";
const IDENTIFICATION: &str = "agent";

/// A message of a peer that has not identified itself yet.
pub enum HandshakeMessage {
    /// A health check, which is to be answered.
    Probe,
    /// The peer identifies itself as a collector.
    Identification {
        /// Position of the collector's zone in the configuration.
        zone: u32,
    },
}

/// A message of a collector that has identified itself.
pub enum CollectorMessage {
    /// A health check, which is to be answered.
    Probe,
    /// A repeated identification.
    Identification,
    /// A load report.
    Report(Event),
}

/// Why a frame can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidMessage {
    /// The frame is not JSON, so the frames after it can't be trusted either.
    #[error("frame is not valid JSON")]
    NotJson(#[from] serde_json::Error),
    /// The message is JSON but invalid. It can be skipped.
    #[error(transparent)]
    Content(#[from] InvalidContent),
}

/// Why a message is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidContent {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// The message names a zone, request class or proxy that is not in the settings.
    #[error(transparent)]
    Name(#[from] UnknownName),
    /// The message's kind is unknown.
    #[error("unknown message kind '{0}'")]
    UnknownKind(String),
    /// The peer sent something else before it identified itself.
    #[error("expected '{IDENTIFICATION}' or '{PROBE}' before the identification, got '{0}'")]
    NotIdentified(String),
}

impl HandshakeMessage {
    /// Decodes a frame of a peer that has not identified itself.
    ///
    /// # Errors
    /// The frame is neither a probe nor a valid identification.
    pub fn decode(frame: &[u8], names: &DeploymentNames) -> Result<Self, InvalidMessage> {
        let value: Value = serde_json::from_slice(frame)?;
        Ok(decode_handshake(&value, names)?)
    }
}

impl CollectorMessage {
    /// Decodes a frame of a collector.
    ///
    /// # Errors
    /// The frame is not JSON or not a valid message.
    pub fn decode(frame: &[u8], names: &DeploymentNames) -> Result<Self, InvalidMessage> {
        let value: Value = serde_json::from_slice(frame)?;
        Ok(decode_message(&value, names)?)
    }
}

fn decode_handshake(value: &Value, names: &DeploymentNames) -> Result<HandshakeMessage, InvalidContent> {
    let fields = JsonFields::from_message(value, KIND_FIELD)?;
    match fields.kind {
        PROBE => Ok(HandshakeMessage::Probe),
        IDENTIFICATION => {
            Ok(HandshakeMessage::Identification { zone: names.zone(fields.string("locality")?)? })
        }
        kind => Err(InvalidContent::NotIdentified(quoted(kind))),
    }
}

fn decode_message(value: &Value, names: &DeploymentNames) -> Result<CollectorMessage, InvalidContent> {
    let fields = JsonFields::from_message(value, KIND_FIELD)?;
    match fields.kind {
        PROBE => Ok(CollectorMessage::Probe),
        IDENTIFICATION => {
            names.zone(fields.string("locality")?)?;
            Ok(CollectorMessage::Identification)
        }
        "outcomes" => Ok(CollectorMessage::Report(decode_outcomes(&fields, names)?)),
        "demand" => Ok(CollectorMessage::Report(decode_demand(&fields, names)?)),
        kind => Err(InvalidContent::UnknownKind(quoted(kind))),
    }
}

fn decode_outcomes(fields: &JsonFields, names: &DeploymentNames) -> Result<Event, InvalidContent> {
    let endpoint = fields.object_name("endpoint")?.to_owned();
    names.zone(fields.string("locality")?)?;
    let attempts = decode_total(fields)?;
    let interval = decode_interval(fields)?;
    let failures = fields.number_within("errors", 0.0..=attempts)?;
    // The mean covers only the attempts that were answered, so there is none if all failed.
    let mean_latency =
        if failures < attempts { decode_ms(fields.number_within("rtt", 0.0..=MAX_MS)?) } else { Span::ZERO };
    Ok(Event::EndpointOutcomes { endpoint, attempts, failures, mean_latency, interval })
}

fn decode_demand(fields: &JsonFields, names: &DeploymentNames) -> Result<Event, InvalidContent> {
    names.proxy(fields.u32("node")?)?;
    let class = names.request_class(fields.string("route")?)?;
    let requests = decode_total(fields)?;
    decode_interval(fields)?;
    // May exceed the total: a request that arrived in an earlier interval may fail in this one.
    fields.number_within("errors", 0.0..=MAX_COUNT)?;
    Ok(Event::Demand { class, requests })
}

fn decode_total(fields: &JsonFields) -> Result<f64, JsonFieldError> {
    fields.number_within("total", 0.0..=MAX_COUNT)
}

fn decode_interval(fields: &JsonFields) -> Result<Span, JsonFieldError> {
    fields.number_within("interval", f64::MIN_POSITIVE..=MAX_MS).map(decode_ms)
}

fn decode_ms(ms: f64) -> Span {
    Span::from_secs(ms / 1e3)
}

#[cfg(test)]
mod tests;
