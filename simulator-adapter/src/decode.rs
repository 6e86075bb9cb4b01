//! From a page of the wire to what the list says of servers.

use otterwinch::host::{EndpointState, EndpointUpdate};
use otterwinch::time::Moment;
use otterwinch_adapter_support::JsonFields;
use serde_json::Value;

pub fn listings(f: &JsonFields) -> Result<Vec<EndpointUpdate>, String> {
    let entries = f.list("elements")?;
    entries.iter().map(listing).collect()
}

fn listing(entry: &Value) -> Result<EndpointUpdate, String> {
    let f = JsonFields::of_object(entry, "PAGE entry")?;
    let standing = match f.u64("health")? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(format!("PAGE entry: health {other} is unknown")),
    };
    let started = f.i64_or("cameUpUs", 0)?;
    Ok(EndpointUpdate {
        id: f.text("server")?.into(),
        zone: if f.has("campus") { f.u32("campus")? } else { 0 },
        weight: if f.has("weight") { f.non_negative("weight")? } else { 1.0 },
        state: standing,
        started: (started > 0).then(|| Moment::from_us(started)),
    })
}
