//! Decodes the lines of the relay's event stream. Their wire names appear only in this module.

use crate::deployment_names::{DeploymentNames, UnknownName};
use otterwinch_adapter_support::{quoted, JsonFieldError, JsonFields};
use serde_json::Value;

/// The highest valid rate of a proxy, in requests per second. A higher one indicates an error of the relay.
const MAX_RATE: f64 = 1e7;

/// One line of the event stream.
#[derive(Debug, PartialEq)]
pub enum ProxyEvent {
    /// A blank line.
    Blank,
    /// The relay is alive. The first heartbeat of a stream also ends its list of joined proxies.
    Heartbeat,
    /// A proxy joined, or was already joined when the stream began.
    Joined {
        /// The proxy's number.
        proxy: u32,
        /// The position of the proxy's zone in the configuration.
        zone: u32,
        /// The proxy's usual rate, in requests per second.
        rate: f64,
        /// Whether the relay marks the proxy as new, so that it still holds its initial table.
        has_initial_table: bool,
    },
    /// A proxy left.
    Left {
        /// The proxy's number.
        proxy: u32,
    },
    /// A proxy acknowledged commands.
    Acknowledged {
        /// The proxy's number.
        proxy: u32,
        /// The number of the acknowledgement request.
        number: u32,
    },
}

/// Why a line could not be decoded.
#[derive(Debug, thiserror::Error)]
pub enum InvalidLine {
    /// The line is not valid JSON, so the lines after it can't be trusted either.
    #[error("line is not valid JSON")]
    NotJson(#[from] serde_json::Error),
    /// The line is valid JSON but not a valid event. It can be skipped.
    #[error("{reason}")]
    InvalidEvent {
        /// The proxy that the event is about, if it can be read.
        proxy: Option<u32>,
        /// Why the event is invalid.
        reason: InvalidEvent,
    },
}

/// Why an event is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEvent {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// The event refers to a zone or proxy that is not in the settings.
    #[error(transparent)]
    Name(#[from] UnknownName),
    /// The event's type is unknown.
    #[error("unknown event type '{0}'")]
    UnknownKind(String),
}

impl ProxyEvent {
    /// Decodes one line.
    ///
    /// # Errors
    /// The line is not valid JSON or not a valid event.
    pub fn decode(line: &str, names: &DeploymentNames) -> Result<Self, InvalidLine> {
        if line.trim().is_empty() {
            return Ok(ProxyEvent::Blank);
        }
        let value: Value = serde_json::from_str(line)?;
        if value.as_object().is_some_and(|fields| fields.is_empty()) {
            return Ok(ProxyEvent::Heartbeat);
        }
        decode_event(&value, names)
            .map_err(|reason| InvalidLine::InvalidEvent { proxy: proxy_number(&value), reason })
    }
}

fn proxy_number(event: &Value) -> Option<u32> {
    event["object"]["node"].as_u64().and_then(|number| u32::try_from(number).ok())
}

fn decode_event(event: &Value, names: &DeploymentNames) -> Result<ProxyEvent, InvalidEvent> {
    let message = JsonFields::from_message(event, "type")?;
    let fields = JsonFields::from_object(message.object("object")?, message.kind)?;
    let proxy = names.proxy(fields.u32("node")?)?;
    match message.kind {
        "hello" => Ok(ProxyEvent::Joined {
            proxy,
            zone: names.zone(fields.string("locality")?)?,
            rate: fields.number_within("w", 0.0..=MAX_RATE)?,
            has_initial_table: fields.bool("cold"),
        }),
        "bye" => Ok(ProxyEvent::Left { proxy }),
        "ack" => Ok(ProxyEvent::Acknowledged { proxy, number: fields.u32("nonce")? }),
        kind => Err(InvalidEvent::UnknownKind(quoted(kind))),
    }
}

#[cfg(test)]
mod tests;
