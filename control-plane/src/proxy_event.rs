//! Decodes the lines of the relay's event stream. Their names on the wire are mapped here and nowhere else.

use crate::deployment_names::{DeploymentNames, UnknownName};
use otterwinch_adapter_support::{JsonFieldError, JsonFields};
use serde_json::Value;

/// A proxy with a higher rate, in requests per second, is an error of the relay.
const MAX_RATE: f64 = 1e7;

/// One line of the stream.
#[derive(Debug, PartialEq)]
pub enum ProxyEvent {
    /// A blank line.
    Blank,
    /// The relay is alive. The first of a stream also ends the proxies that it names as joined.
    Heartbeat,
    /// A proxy joined, or is joined as the stream begins.
    Joined {
        /// Its number.
        proxy: u32,
        /// The position of its zone in the configuration.
        zone: u32,
        /// Its usual rate in requests per second.
        rate: f64,
        /// Whether the relay marks it as new.
        fresh: bool,
    },
    /// A proxy left.
    Left {
        /// Its number.
        proxy: u32,
    },
    /// A proxy acknowledged commands.
    Acknowledged {
        /// Its number.
        proxy: u32,
        /// The number that the acknowledgement was requested with.
        number: u32,
    },
}

/// A line that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidLine {
    /// The line is not JSON, so whatever follows it may be anything.
    #[error("a line is not JSON")]
    NotJson(#[from] serde_json::Error),
    /// The event is invalid, and can be skipped.
    #[error("{reason}")]
    InvalidEvent {
        /// The proxy that it is about, where that much can be read.
        proxy: Option<u32>,
        /// What is wrong with it.
        reason: InvalidEvent,
    },
}

/// What is wrong with an event.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEvent {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// It names what the settings do not.
    #[error(transparent)]
    Name(#[from] UnknownName),
    /// Events of this kind do not exist.
    #[error("kind '{0}' is unknown")]
    UnknownKind(String),
}

impl ProxyEvent {
    /// Decodes one line.
    ///
    /// # Errors
    /// The line is not JSON, or no valid event.
    pub fn decode(line: &str, names: &DeploymentNames) -> Result<Self, InvalidLine> {
        if line.trim().is_empty() {
            return Ok(ProxyEvent::Blank);
        }
        let value: Value = serde_json::from_str(line)?;
        if value.as_object().is_some_and(|fields| fields.is_empty()) {
            return Ok(ProxyEvent::Heartbeat);
        }
        decode_event(&value, names)
            .map_err(|reason| InvalidLine::InvalidEvent { proxy: proxy_of(&value), reason })
    }
}

fn proxy_of(event: &Value) -> Option<u32> {
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
            fresh: fields.bool("cold"),
        }),
        "bye" => Ok(ProxyEvent::Left { proxy }),
        "ack" => Ok(ProxyEvent::Acknowledged { proxy, number: fields.u32("nonce")? }),
        kind => Err(InvalidEvent::UnknownKind(kind.to_owned())),
    }
}

#[cfg(test)]
mod tests;
