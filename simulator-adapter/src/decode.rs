//! Decodes the simulator's messages. This is the one place where the words of its wire are mapped to the field's terms;
//! the commands that go back are encoded by `encode` and `wire_host`.

use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{controller_config, JsonFieldError, JsonFields};
use serde_json::Value;
use std::collections::BTreeMap;

/// The pages of the endpoint list that were received, by number. Events refer to them.
pub type EndpointPages = BTreeMap<u64, Vec<EndpointUpdate>>;

/// Why a line can't be used.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("not a JSON value: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// No message is of this kind.
    #[error("message {kind} is unknown")]
    UnknownKind {
        /// The kind that the message states.
        kind: String,
    },
    /// An event is for an instance that does not run.
    #[error("{kind}: no instance {instance} is up")]
    UnknownInstance {
        /// The kind of the message.
        kind: String,
        /// The instance that it names.
        instance: u64,
    },
    /// An entry of the endpoint list is in no known state.
    #[error("PAGE entry: health {health} is unknown")]
    UnknownHealth {
        /// The number of the state.
        health: u64,
    },
    /// A change of the endpoint list is of no known form.
    #[error("TOPOLOGY: form {form} is unknown")]
    UnknownListForm {
        /// The number of the form.
        form: u64,
    },
    /// A change of the endpoint list refers to a page that was not received.
    #[error("TOPOLOGY: page {page} never came")]
    UnknownPage {
        /// The number of the page.
        page: u64,
    },
    /// No timer has this number.
    #[error("BELL: timer {label} is unknown")]
    UnknownTimer {
        /// The number of the timer.
        label: u64,
    },
}

/// One message of the wire.
pub enum Message<'a> {
    /// A batch begins.
    Tick {
        /// The simulated time of the batch.
        now: Moment,
        /// The number of the batch.
        serial: u64,
    },
    /// The batch has ended and waits for its reply.
    EndOfBatch,
    /// A page of the endpoint list, which later events refer to.
    EndpointPage {
        /// The number of the page.
        page: u64,
        /// Its entries.
        entries: Vec<EndpointUpdate>,
    },
    /// An instance of the controller is to start.
    StartInstance {
        /// The number of the instance.
        instance: u64,
        /// Its configuration.
        config: ControllerConfig,
        /// The seed of all its chance.
        seed: u64,
    },
    /// An instance is to stop.
    StopInstance {
        /// The number of the instance.
        instance: u64,
    },
    /// An event for an instance, to be decoded by [`decode_event`].
    ForInstance {
        /// The number of the instance.
        instance: u64,
        /// The fields of the message.
        fields: JsonFields<'a>,
    },
}

impl<'a> Message<'a> {
    /// Decodes a line. What is for an instance is left undecoded, since that needs the pages.
    pub fn decode(value: &'a Value) -> Result<Self, MessageError> {
        let fields = JsonFields::from_message(value, "kind")?;
        let message = match fields.kind {
            "TICK" => {
                Message::Tick { now: Moment::from_us(fields.i64("timeUs")?), serial: fields.u64("serial")? }
            }
            "OVER_TO_YOU" => Message::EndOfBatch,
            "PAGE" => {
                Message::EndpointPage { page: fields.u64("page")?, entries: endpoint_updates(&fields)? }
            }
            "UP" => Message::StartInstance {
                instance: fields.u64("who")?,
                config: controller_config(&fields.settings("env")?),
                seed: fields.u64("entropy")?,
            },
            "DESTROY" => Message::StopInstance { instance: fields.u64("who")? },
            _ => Message::ForInstance { instance: fields.u64("who")?, fields },
        };
        Ok(message)
    }
}

/// What happened to one instance.
pub enum Event<'a> {
    /// Some endpoints changed; the others stay as they are.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// These are all endpoints of the list.
    EndpointListReplaced(Vec<EndpointUpdate>),
    /// The watch on the endpoint list failed.
    EndpointWatchFailed,
    /// A proxy joined the instance.
    ProxyJoined {
        /// The proxy.
        proxy: u32,
        /// The position of its zone.
        zone: u32,
        /// It has just started and holds only the table that it drew itself.
        fresh: bool,
        /// The requests a second that it usually gets.
        rate: f64,
    },
    /// A proxy left the instance.
    ProxyLeft {
        /// The proxy.
        proxy: u32,
    },
    /// A load report: what proxies met at one endpoint.
    EndpointOutcomes {
        /// The endpoint.
        endpoint: &'a str,
        /// Attempts that ended within the period.
        attempts: f64,
        /// Attempts that failed without an answer.
        failures: f64,
        /// The latency of those that were answered.
        latency: Span,
        /// The period of the report.
        period: Span,
    },
    /// Requests of one class that arrived.
    Demand {
        /// The position of the class.
        request_class: u32,
        /// How many arrived.
        requests: f64,
    },
    /// A timer of the instance fired.
    TimerFired(Timer),
    /// The instance is to publish for a shard.
    ShardAssigned {
        /// The shard.
        shard: u32,
    },
    /// The instance is not to publish for a shard any more.
    ShardRevoked {
        /// The shard.
        shard: u32,
    },
    /// A weight that stands in the table of a shard that was just assigned.
    ShardWeightRestored {
        /// The shard.
        shard: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy applied the commands up to an acknowledgement that the instance requested.
    Acknowledged {
        /// The number of the request.
        number: u32,
        /// The proxy.
        proxy: u32,
    },
}

/// Decodes an event for an instance; `None` for kinds that no decision needs.
pub fn decode_event<'a>(
    fields: &JsonFields<'a>,
    pages: &EndpointPages,
) -> Result<Option<Event<'a>>, MessageError> {
    let event = match fields.kind {
        "TOPOLOGY" => endpoint_list_event(fields, pages)?,
        "STREAM_UP" => Event::ProxyJoined {
            proxy: fields.u32("px")?,
            zone: fields.u32("campus")?,
            fresh: fields.bool("set"),
            rate: fields.non_negative("weight")?,
        },
        "STREAM_DOWN" => Event::ProxyLeft { proxy: fields.u32("px")? },
        "HEARD" => Event::EndpointOutcomes {
            endpoint: fields.string("server")?,
            attempts: fields.non_negative("triesN")?,
            failures: fields.non_negative("bad")?,
            latency: Span::from_us(fields.i64_or("delaySeenUs", 0)?),
            period: Span::from_us(fields.i64_or("periodLenUs", 0)?),
        },
        "INGRESS" => {
            Event::Demand { request_class: fields.u32("class")?, requests: fields.non_negative("triesN")? }
        }
        "BELL" => Event::TimerFired(timer(fields)?),
        "ASSIGNED_TO_ME" => shard_ownership_event(fields)?,
        "STORED_LINE" => Event::ShardWeightRestored {
            shard: fields.u32("mapId")?,
            endpoint: fields.string("server")?.into(),
            weight: fields.non_negative("weight")?,
        },
        "IN_FORCE" => Event::Acknowledged { number: fields.u32("epoch")?, proxy: fields.u32("px")? },
        // Health check results, demand by shard and gossip.
        "STATUS_BACK" | "KEY_LOAD" | "INBOX" => return Ok(None),
        kind => return Err(MessageError::UnknownKind { kind: kind.to_owned() }),
    };
    Ok(Some(event))
}

fn endpoint_list_event<'a>(
    fields: &JsonFields<'a>,
    pages: &EndpointPages,
) -> Result<Event<'a>, MessageError> {
    match fields.u64("form")? {
        0 => Ok(Event::EndpointsUpdated(referenced_page(fields, pages)?)),
        1 | 2 => Ok(Event::EndpointListReplaced(referenced_page(fields, pages)?)),
        3 => Ok(Event::EndpointWatchFailed),
        form => Err(MessageError::UnknownListForm { form }),
    }
}

fn referenced_page(fields: &JsonFields, pages: &EndpointPages) -> Result<Vec<EndpointUpdate>, MessageError> {
    let page = fields.u64("page")?;
    pages.get(&page).cloned().ok_or(MessageError::UnknownPage { page })
}

fn timer(fields: &JsonFields) -> Result<Timer, MessageError> {
    let label = fields.u64("label")?;
    Timer::from_label(label).ok_or(MessageError::UnknownTimer { label })
}

fn shard_ownership_event<'a>(fields: &JsonFields<'a>) -> Result<Event<'a>, MessageError> {
    let shard = fields.u32("mapId")?;
    if fields.bool("set") {
        Ok(Event::ShardAssigned { shard })
    } else {
        Ok(Event::ShardRevoked { shard })
    }
}

fn endpoint_updates(fields: &JsonFields) -> Result<Vec<EndpointUpdate>, MessageError> {
    fields.array("elements")?.iter().map(endpoint_update).collect()
}

fn endpoint_update(entry: &Value) -> Result<EndpointUpdate, MessageError> {
    let fields = JsonFields::from_object(entry, "PAGE entry")?;
    let state = match fields.u64("health")? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        health => return Err(MessageError::UnknownHealth { health }),
    };
    let started_us = fields.i64_or("cameUpUs", 0)?;
    Ok(EndpointUpdate {
        id: fields.string("server")?.into(),
        zone: if fields.has("campus") { fields.u32("campus")? } else { 0 },
        weight: if fields.has("weight") { fields.non_negative("weight")? } else { 1.0 },
        state,
        // The wire leaves the start out, or says 0, where it is long past.
        started: (started_us > 0).then(|| Moment::from_us(started_us)),
    })
}
