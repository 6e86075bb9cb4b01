//! Decodes the endpoint list. Its wire names appear only in this module.

use crate::deployment_names::DeploymentNames;
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate};
use otterwinch::time::Moment;
use otterwinch_adapter_support::{quoted, JsonFieldError, JsonFields};
use serde_json::Value;

const ENTRY: &str = "list entry";
/// Zone number of an endpoint whose zone is not in the settings: the endpoint is in no proxy's zone.
const UNKNOWN_ZONE: u32 = u32::MAX;
const DEFAULT_ZONE: u32 = 0;
const DEFAULT_WEIGHT: f64 = 1.0;
const US_PER_MS: i64 = 1000;

/// A response of the endpoint list.
pub struct EndpointList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Whether the response contains all endpoints, rather than only those that changed.
    pub whole: bool,
    /// The changes from the valid entries.
    pub updates: Vec<EndpointUpdate>,
    /// The invalid entries.
    pub invalid: Vec<InvalidEntry>,
}

/// An entry that is invalid.
#[derive(Debug, thiserror::Error)]
#[error("entry {position}: {reason}")]
pub struct InvalidEntry {
    /// Position of the entry in the response.
    pub position: usize,
    /// The endpoint of the entry, if the entry has a readable name of it.
    pub id: Option<EndpointId>,
    /// Why the entry is invalid.
    pub reason: InvalidEntryReason,
}

/// Why an entry is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEntryReason {
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// The endpoint state is unknown.
    #[error("{ENTRY}: field 'health' is not 'active', 'leaving' or 'left': '{0}'")]
    UnknownState(String),
}

impl EndpointList {
    /// Decodes a response. Invalid entries are skipped and do not affect the others.
    ///
    /// # Errors
    /// The response as a whole is malformed.
    pub fn decode(response: &Value, names: &DeploymentNames) -> Result<Self, JsonFieldError> {
        let fields = JsonFields::from_object(response, "list")?;
        let version = fields.u64("seq")?;
        let whole = fields.bool("whole");
        let mut updates = Vec::new();
        let mut invalid = Vec::new();
        for (position, entry) in fields.array("hosts")?.iter().enumerate() {
            match decode_entry(entry, names) {
                Ok(update) => updates.push(update),
                Err(reason) => invalid.push(InvalidEntry { position, id: decode_id(entry), reason }),
            }
        }
        Ok(EndpointList { version, whole, updates, invalid })
    }
}

fn decode_id(entry: &Value) -> Option<EndpointId> {
    entry.get("host")?.as_str().map(EndpointId::from)
}

fn decode_entry(entry: &Value, names: &DeploymentNames) -> Result<EndpointUpdate, InvalidEntryReason> {
    let fields = JsonFields::from_object(entry, ENTRY)?;
    let id = fields.string("host")?.into();
    let state = decode_state(fields.string("health")?)?;
    let zone = decode_zone(&fields, names);
    let weight = decode_weight(&fields);
    let started = decode_start_time(&fields);
    if state == EndpointState::Ready {
        return Ok(EndpointUpdate { id, zone: zone?, weight: weight?, state, started: started? });
    }
    // Traffic has to leave a draining or removed endpoint, even if other fields of its entry are invalid.
    Ok(EndpointUpdate {
        id,
        zone: zone.unwrap_or(DEFAULT_ZONE),
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        state,
        started: started.unwrap_or(None),
    })
}

fn decode_state(health: &str) -> Result<EndpointState, InvalidEntryReason> {
    match health {
        "active" => Ok(EndpointState::Ready),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Removed),
        other => Err(InvalidEntryReason::UnknownState(quoted(other))),
    }
}

fn decode_zone(fields: &JsonFields, names: &DeploymentNames) -> Result<u32, JsonFieldError> {
    if !fields.has("site") {
        return Ok(DEFAULT_ZONE);
    }
    let name = fields.string("site")?;
    Ok(names.zone(name).unwrap_or(UNKNOWN_ZONE))
}

fn decode_weight(fields: &JsonFields) -> Result<f64, JsonFieldError> {
    if !fields.has("share") {
        return Ok(DEFAULT_WEIGHT);
    }
    fields.non_negative("share")
}

/// When the endpoint started; `None` if the list does not state it, as for endpoints that started long ago.
fn decode_start_time(fields: &JsonFields) -> Result<Option<Moment>, JsonFieldError> {
    let started_ms = fields.i64_or("born_ms", 0)?;
    if started_ms <= 0 {
        return Ok(None);
    }
    Ok(Some(Moment::from_us(started_ms.saturating_mul(US_PER_MS))))
}

#[cfg(test)]
mod tests;
