//! From a page of the wire to what the list says of servers.

use otterwinch::host::{Listing, Standing};
use otterwinch::time::Moment;
use otterwinch_adapter_support::Fields;
use serde_json::Value;

pub fn listings(f: &Fields) -> Result<Vec<Listing>, String> {
    let entries = f.list("elements")?;
    entries.iter().map(listing).collect()
}

fn listing(entry: &Value) -> Result<Listing, String> {
    let f = Fields::named(entry, "PAGE entry")?;
    let standing = match f.whole("health")? {
        0 => Standing::Gone,
        1 => Standing::Ready,
        2 => Standing::Draining,
        other => return Err(format!("PAGE entry: health {other} is unknown")),
    };
    let started = f.int_or("cameUpUs", 0)?;
    Ok(Listing {
        id: f.text("server")?.into(),
        zone: if f.has("campus") { f.small("campus")? } else { 0 },
        weight: if f.has("weight") { f.count("weight")? } else { 1.0 },
        standing,
        started: (started > 0).then(|| Moment::from_us(started)),
    })
}
