//! Decodes the simulator's messages. Their wire names appear only in this module; those of replies and
//! commands appear only in `encode` and `wire_host`.

use otterwinch::config::ControllerConfig;
use otterwinch::host::{EndpointId, EndpointState, EndpointUpdate, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{controller_config, JsonFieldError, JsonFields};
use serde_json::Value;
use std::collections::BTreeMap;

/// The pages of the endpoint list received so far, by page number.
pub type EndpointPages = BTreeMap<u64, Vec<EndpointUpdate>>;

/// Why a line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error("not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is missing or malformed.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// The message's kind is unknown.
    #[error("unknown message kind '{kind}'")]
    UnknownKind {
        /// The message's kind.
        kind: String,
    },
    /// The event is for an instance that is not running.
    #[error("{kind}: instance {instance} is not running")]
    UnknownInstance {
        /// The event's kind.
        kind: String,
        /// The instance's number.
        instance: u64,
    },
    /// The state of an endpoint list entry is unknown.
    #[error("PAGE entry: field 'health' is not 0, 1 or 2: {health}")]
    UnknownEndpointState {
        /// The number that should identify a state.
        health: u64,
    },
    /// The form of an endpoint list event is unknown.
    #[error("TOPOLOGY: field 'form' is not an integer from 0 to 3: {form}")]
    UnknownListForm {
        /// The number that should identify a form.
        form: u64,
    },
    /// An endpoint list event refers to a page that was not received.
    #[error("TOPOLOGY: page {page} was not received")]
    UnknownPage {
        /// The page's number.
        page: u64,
    },
    /// The timer is unknown.
    #[error("BELL: field 'label' is not the number of a timer: {label}")]
    UnknownTimer {
        /// The number that should identify a timer.
        label: u64,
    },
}

/// One message from the simulator.
pub enum Message<'a> {
    /// The start of a batch.
    BatchStart {
        /// The simulated time of the batch.
        now: Moment,
        /// The batch's number, which the reply repeats.
        number: u64,
    },
    /// The end of a batch. The simulator waits for the reply.
    BatchEnd,
    /// A page of the endpoint list. Later events refer to it by its number.
    EndpointPage {
        /// The page's number.
        page: u64,
        /// The page's entries.
        entries: Vec<EndpointUpdate>,
    },
    /// Starts a controller instance.
    StartInstance {
        /// The instance's number.
        instance: u64,
        /// The controller's configuration.
        config: ControllerConfig,
        /// The seed of the controller's random number generator.
        seed: u64,
    },
    /// Stops a controller instance.
    StopInstance {
        /// The instance's number.
        instance: u64,
    },
    /// An event for an instance, to be decoded by [`decode_event`].
    InstanceEvent {
        /// The instance's number.
        instance: u64,
        /// The message's fields.
        fields: JsonFields<'a>,
    },
}

impl<'a> Message<'a> {
    /// Decodes a message. Events for an instance are left to [`decode_event`], since that needs the pages.
    pub fn decode(value: &'a Value) -> Result<Self, MessageError> {
        let fields = JsonFields::from_message(value, "kind")?;
        let message = match fields.kind {
            "TICK" => Message::BatchStart {
                now: Moment::from_us(fields.i64("timeUs")?),
                number: fields.u64("serial")?,
            },
            "OVER_TO_YOU" => Message::BatchEnd,
            "PAGE" => {
                Message::EndpointPage { page: fields.u64("page")?, entries: endpoint_updates(&fields)? }
            }
            "UP" => Message::StartInstance {
                instance: fields.u64("who")?,
                config: controller_config(&fields.settings("env")?),
                seed: fields.u64("entropy")?,
            },
            "DESTROY" => Message::StopInstance { instance: fields.u64("who")? },
            _ => Message::InstanceEvent { instance: fields.u64("who")?, fields },
        };
        Ok(message)
    }
}

/// One decoded input for the controller of an instance.
pub enum Event<'a> {
    /// Some entries of the endpoint list changed.
    EndpointsUpdated(Vec<EndpointUpdate>),
    /// The complete endpoint list.
    EndpointListReplaced(Vec<EndpointUpdate>),
    /// Watching the endpoint list failed.
    EndpointWatchFailed,
    /// A proxy joined the instance.
    ProxyJoined {
        /// The proxy's number.
        proxy: u32,
        /// The position of the proxy's zone in the configuration.
        zone: u32,
        /// Whether the proxy has just started and holds only the initial table that it selected itself.
        has_initial_table: bool,
        /// The proxy's usual rate, in requests per second.
        rate: f64,
    },
    /// A proxy left the instance.
    ProxyLeft {
        /// The proxy's number.
        proxy: u32,
    },
    /// A load report about one endpoint.
    EndpointOutcomes {
        /// The endpoint's identifier. The endpoint list may not contain it.
        endpoint: &'a str,
        /// The number of attempts that ended in the interval.
        attempts: f64,
        /// The number of those attempts that failed without an answer.
        failures: f64,
        /// The latency of the answered attempts.
        latency: Span,
        /// The length of time that the report covers.
        interval: Span,
    },
    /// A load report about one request class.
    Demand {
        /// The position of the class in the configuration.
        class: u32,
        /// The number of requests that arrived.
        requests: f64,
    },
    /// A timer of the instance fired.
    TimerFired(Timer),
    /// The instance becomes responsible for publishing a shard.
    ShardAssigned {
        /// The shard's number.
        shard: u32,
    },
    /// The instance must stop publishing a shard.
    ShardRevoked {
        /// The shard's number.
        shard: u32,
    },
    /// A weight that was already published for a newly assigned shard.
    ShardWeightRestored {
        /// The shard's number.
        shard: u32,
        /// The endpoint's identifier.
        endpoint: EndpointId,
        /// The published weight.
        weight: f64,
    },
    /// A proxy acknowledged that it applied all commands up to an acknowledgement request.
    Acknowledged {
        /// The number of the acknowledgement request.
        number: u32,
        /// The proxy's number.
        proxy: u32,
    },
}

/// Decodes an event for an instance. Returns `None` for kinds that the controller does not use.
pub fn decode_event<'a>(
    fields: &JsonFields<'a>,
    pages: &EndpointPages,
) -> Result<Option<Event<'a>>, MessageError> {
    let event = match fields.kind {
        "TOPOLOGY" => endpoint_list_event(fields, pages)?,
        "STREAM_UP" => Event::ProxyJoined {
            proxy: fields.u32("px")?,
            zone: fields.u32("campus")?,
            has_initial_table: fields.bool("set"),
            rate: fields.non_negative("weight")?,
        },
        "STREAM_DOWN" => Event::ProxyLeft { proxy: fields.u32("px")? },
        "HEARD" => Event::EndpointOutcomes {
            endpoint: fields.string("server")?,
            attempts: fields.non_negative("triesN")?,
            failures: fields.non_negative("bad")?,
            latency: Span::from_us(fields.i64_or("delaySeenUs", 0)?),
            interval: Span::from_us(fields.i64_or("periodLenUs", 0)?),
        },
        "INGRESS" => Event::Demand { class: fields.u32("class")?, requests: fields.non_negative("triesN")? },
        "BELL" => Event::TimerFired(timer(fields)?),
        "ASSIGNED_TO_ME" => shard_ownership_event(fields)?,
        "STORED_LINE" => Event::ShardWeightRestored {
            shard: fields.u32("mapId")?,
            endpoint: fields.string("server")?.into(),
            weight: fields.non_negative("weight")?,
        },
        "IN_FORCE" => Event::Acknowledged { number: fields.u32("epoch")?, proxy: fields.u32("px")? },
        // Health check results, demand per shard, and messages from other instances.
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
        health => return Err(MessageError::UnknownEndpointState { health }),
    };
    let started_us = fields.i64_or("cameUpUs", 0)?;
    Ok(EndpointUpdate {
        id: fields.string("server")?.into(),
        zone: if fields.has("campus") { fields.u32("campus")? } else { 0 },
        weight: if fields.has("weight") { fields.non_negative("weight")? } else { 1.0 },
        state,
        // The field is missing or 0 if the endpoint started long ago.
        started: (started_us > 0).then(|| Moment::from_us(started_us)),
    })
}
