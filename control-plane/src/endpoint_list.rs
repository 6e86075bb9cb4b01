//! Decodes the endpoint list. Its names on the wire are mapped here and nowhere else.

use crate::deployment_names::DeploymentNames;
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use otterwinch::time::Moment;
use otterwinch_adapter_support::{JsonFieldError, JsonFields};
use serde_json::Value;

const ENTRY: &str = "list entry";
/// The zone of an endpoint whose zone the settings do not name: it is far from all that they do.
const UNKNOWN_ZONE: u32 = u32::MAX;
const DEFAULT_ZONE: u32 = 0;
const DEFAULT_WEIGHT: f64 = 1.0;
const US_PER_MS: i64 = 1000;

/// An answer of the endpoint list.
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Whether it names all endpoints; else only those that changed.
    pub whole: bool,
    /// The valid entries.
    pub updates: Vec<EndpointUpdate>,
    /// The others.
    pub invalid: Vec<InvalidEntry>,
}

/// An entry that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("entry {position}: {reason}")]
pub struct InvalidEntry {
    /// Its position in the answer.
    pub position: usize,
    /// Which endpoint it describes, where that much can be read.
    pub id: Option<EndpointId>,
    /// What is wrong with it.
    pub reason: InvalidEndpoint,
}

/// What is wrong with an entry.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEndpoint {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// The endpoint is in a state that does not exist.
    #[error("{ENTRY}: field 'health' is unknown: '{0}'")]
    UnknownState(String),
}

impl EndpointList {
    /// Decodes an answer. Invalid entries are left out one by one.
    ///
    /// # Errors
    /// The answer as a whole is malformed.
    pub fn decode(answer: &Value, names: &DeploymentNames) -> Result<Self, JsonFieldError> {
        let fields = JsonFields::from_object(answer, "list")?;
        let version = fields.u64("seq")?;
        let whole = fields.bool("whole");
        let mut updates = Vec::new();
        let mut invalid = Vec::new();
        for (position, entry) in fields.array("hosts")?.iter().enumerate() {
            match decode_entry(entry, names) {
                Ok(update) => updates.push(update),
                Err(reason) => invalid.push(InvalidEntry { position, id: endpoint_id(entry), reason }),
            }
        }
        Ok(EndpointList { version, whole, updates, invalid })
    }
}

fn endpoint_id(entry: &Value) -> Option<EndpointId> {
    entry.get("host")?.as_str().map(EndpointId::from)
}

fn decode_entry(entry: &Value, names: &DeploymentNames) -> Result<EndpointUpdate, InvalidEndpoint> {
    let fields = JsonFields::from_object(entry, ENTRY)?;
    let id = fields.string("host")?.into();
    let state = endpoint_state(fields.string("health")?)?;
    let zone = zone(&fields, names);
    let weight = weight(&fields);
    let started = started(&fields);
    if state == EndpointState::Ready {
        return Ok(EndpointUpdate { id, zone: zone?, weight: weight?, state, started: started? });
    }
    // An endpoint that drains or is removed has to be left, whatever else is wrong with its entry.
    Ok(EndpointUpdate {
        id,
        zone: zone.unwrap_or(DEFAULT_ZONE),
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        state,
        started: started.unwrap_or(None),
    })
}

fn endpoint_state(health: &str) -> Result<EndpointState, InvalidEndpoint> {
    match health {
        "active" => Ok(EndpointState::Ready),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Removed),
        other => Err(InvalidEndpoint::UnknownState(other.to_owned())),
    }
}

fn zone(fields: &JsonFields, names: &DeploymentNames) -> Result<u32, JsonFieldError> {
    if !fields.has("site") {
        return Ok(DEFAULT_ZONE);
    }
    let name = fields.string("site")?;
    Ok(names.zone(name).unwrap_or(UNKNOWN_ZONE))
}

fn weight(fields: &JsonFields) -> Result<f64, JsonFieldError> {
    if !fields.has("share") {
        return Ok(DEFAULT_WEIGHT);
    }
    fields.non_negative("share")
}

/// When the endpoint started; nothing where the list does not say, which it does not of a start long past.
fn started(fields: &JsonFields) -> Result<Option<Moment>, JsonFieldError> {
    let started_ms = fields.i64_or("born_ms", 0)?;
    if started_ms <= 0 {
        return Ok(None);
    }
    Ok(Some(Moment::from_us(started_ms.saturating_mul(US_PER_MS))))
}

#[cfg(test)]
mod tests;
