//! Commands to the relay: decodes a batch of commands and sends them through the channel.

use super::{invalid_request, json_response, FleetNames, RelayServer, ResponseBody};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use otterwinch::host::{RequestClassSet, RetryPolicy};
use otterwinch_simulation::simulated_host::Command;
use serde_json::{json, Value};

#[cfg(test)]
mod tests;

/// The longest request body, in bytes.
const MAX_BATCH_BYTES: usize = 60_000;

impl RelayServer {
    /// Sends the commands of a batch up to the first invalid one, and responds with the number of commands
    /// sent.
    pub(super) async fn handle_batch(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(batch) = read_json(request).await else { return invalid_request() };
        let Some(changes) = batch["changes"].as_array() else { return invalid_request() };
        let is_connected = |proxy| self.channel.is_connected(proxy);
        let decode = |change| self.names.decode_command(change, is_connected);
        let commands: Vec<Command> = changes.iter().map_while(decode).collect();
        let accepted = commands.len();
        self.channel.send(commands);
        json_response(StatusCode::OK, &json!({"taken": accepted}))
    }
}

impl FleetNames {
    /// Decodes one command; `None` if it is invalid. `is_connected` returns whether a proxy is connected.
    fn decode_command(&self, change: &Value, is_connected: impl Fn(u32) -> bool) -> Option<Command> {
        let command = match change["op"].as_str()? {
            "put" => Command::SetWeight {
                table_id: unsigned_field(change, "table")?,
                endpoint: self.endpoint(change)?,
                weight: non_negative_field(change, "w")?,
            },
            // An emulated proxy has one table for all request classes, so an assignment for some of them is
            // invalid here.
            "attach" if change["routes"].is_null() => Command::AssignTable {
                proxy: unsigned_field(change, "node").filter(|proxy| is_connected(*proxy))?,
                table_id: unsigned_field(change, "table")?,
            },
            "eject" => Command::SetEjected { endpoint: self.endpoint(change)?, ejected: true },
            "uneject" => Command::SetEjected { endpoint: self.endpoint(change)?, ejected: false },
            "gate" => Command::SetAdmission {
                table_id: unsigned_field(change, "table")?,
                request_classes: self.request_classes(change),
                admitted: non_negative_field(change, "admit")?,
                retry: retry_policy(unsigned_field(change, "policy")?)?,
            },
            "fence" => Command::RequestAcknowledgement(unsigned_field(change, "nonce_out")?),
            _ => return None,
        };
        Some(command)
    }

    fn endpoint(&self, change: &Value) -> Option<u32> {
        self.endpoints.get(change["endpoint"].as_str()?).copied()
    }

    /// The request classes that a command names; all if it has no list of names. Unknown names are ignored.
    fn request_classes(&self, change: &Value) -> RequestClassSet {
        let classes = &self.request_classes;
        let Some(names) = change["routes"].as_array() else { return RequestClassSet::ALL };
        let position = |name: &Value| classes.iter().position(|class| name == class.as_str());
        names.iter().filter_map(position).collect()
    }
}

async fn read_json(request: Request<Incoming>) -> Option<Value> {
    let body = Limited::new(request.into_body(), MAX_BATCH_BYTES).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn unsigned_field(change: &Value, field: &str) -> Option<u32> {
    u32::try_from(change[field].as_u64()?).ok()
}

fn non_negative_field(change: &Value, field: &str) -> Option<f64> {
    change[field].as_f64().filter(|number| *number >= 0.0)
}

fn retry_policy(number: u32) -> Option<RetryPolicy> {
    match number {
        0 => Some(RetryPolicy::Never),
        1 => Some(RetryPolicy::IfNotExecuted),
        2 => Some(RetryPolicy::Once),
        3 => Some(RetryPolicy::Twice),
        _ => None,
    }
}
