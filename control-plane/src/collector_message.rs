//! Decodes the messages of collectors. Their names on the wire are mapped here and nowhere else. Every field that is
//! used is validated before the control loop gets it.

use crate::deployment_names::{DeploymentNames, UnknownName};
use crate::event::Event;
use otterwinch::time::Span;
use otterwinch_adapter_support::{JsonFieldError, JsonFields};
use serde_json::Value;

/// Beyond these bounds a figure is an error of its sender: attempts or requests of one report; a latency or interval.
const MAX_COUNT: f64 = 1e6;
const MAX_MS: f64 = 600_000.0;

const KIND_FIELD: &str = "msg";
const PROBE: &str = "probe";
const IDENTIFICATION: &str = "agent";

/// A message of a peer that has not identified itself.
pub enum Handshake {
    /// It asks for a sign of life.
    Probe,
    /// It identifies itself as a collector.
    Identification {
        /// The position of its zone in the configuration.
        zone: u32,
    },
}

/// A message of a collector that has identified itself.
pub enum CollectorMessage {
    /// It asks for a sign of life.
    Probe,
    /// It identifies itself once more.
    Identification,
    /// A load report.
    Report(Event),
}

/// A message that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidMessage {
    /// The frame is not JSON, so whatever follows it may be anything.
    #[error("not a JSON value")]
    NotJson(#[from] serde_json::Error),
    /// The message is invalid, and can be skipped.
    #[error(transparent)]
    Content(#[from] InvalidContent),
}

/// What is wrong with a message.
#[derive(Debug, thiserror::Error)]
pub enum InvalidContent {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// It names what the settings do not.
    #[error(transparent)]
    Name(#[from] UnknownName),
    /// Messages of this kind do not exist.
    #[error("kind '{0}' is unknown")]
    UnknownKind(String),
    /// The peer has to identify itself first.
    #[error("'{0}' before the identification")]
    NotIdentified(String),
}

impl Handshake {
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
    /// The frame is not JSON, or no valid message.
    pub fn decode(frame: &[u8], names: &DeploymentNames) -> Result<Self, InvalidMessage> {
        let value: Value = serde_json::from_slice(frame)?;
        Ok(decode_message(&value, names)?)
    }
}

fn decode_handshake(value: &Value, names: &DeploymentNames) -> Result<Handshake, InvalidContent> {
    let fields = JsonFields::from_message(value, KIND_FIELD)?;
    match fields.kind {
        PROBE => Ok(Handshake::Probe),
        IDENTIFICATION => Ok(Handshake::Identification { zone: names.zone(fields.string("locality")?)? }),
        kind => Err(InvalidContent::NotIdentified(kind.to_owned())),
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
        kind => Err(InvalidContent::UnknownKind(kind.to_owned())),
    }
}

fn decode_outcomes(fields: &JsonFields, names: &DeploymentNames) -> Result<Event, InvalidContent> {
    let endpoint = fields.string("endpoint")?.to_owned();
    names.zone(fields.string("locality")?)?;
    let attempts = decode_total(fields)?;
    let interval = decode_interval(fields)?;
    let failures = fields.number_within("errors", 0.0..=attempts)?;
    // The mean of the attempts that were answered. Where none was there is no mean.
    let mean_latency =
        if failures < attempts { decode_ms(fields.number_within("rtt", 0.0..=MAX_MS)?) } else { Span::ZERO };
    Ok(Event::EndpointOutcomes { endpoint, attempts, failures, mean_latency, interval })
}

fn decode_demand(fields: &JsonFields, names: &DeploymentNames) -> Result<Event, InvalidContent> {
    names.proxy(fields.u32("node")?)?;
    let class = names.request_class(fields.string("route")?)?;
    let requests = decode_total(fields)?;
    decode_interval(fields)?;
    // Not bounded by the total: a request that arrived in an earlier interval may fail in this one.
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
