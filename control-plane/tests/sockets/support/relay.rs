//! A fake relay: accepts calls with commands and serves the event stream.

use super::http::{
    enable_reset_on_close, send_chunk, send_fragmented_response, send_response, send_response_twice,
    send_truncated_response, spawn_http_server, ConnectionAction, HttpRequest,
};
use super::{wait_for, TIMEOUT};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const STREAM_PATH: &str = "/v3/kv/stream";
/// An empty object on the event stream is a heartbeat.
const HEARTBEAT: &str = "{}\n";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The real relay does not read longer request bodies; asserted here.
const MAX_BODY_BYTES: usize = 60_000;

/// How the relay handles a call, a request with commands. Requests for the event stream are not calls.
#[derive(Clone, Copy)]
pub enum RelayBehavior {
    /// Accepts all commands.
    Accepts,
    /// Accepts all commands and sends the response a few bytes at a time.
    FragmentsResponse,
    /// Accepts this number of commands and rejects the next one.
    AcceptsOnly(usize),
    /// Accepts all commands and then closes the connection, as if it had been idle for too long.
    AcceptsAndCloses,
    /// Reads the call and closes the connection without a response.
    ClosesConnection,
    /// Reads the call and never responds.
    DoesNotRespond,
    /// Accepts all commands but sends the response only after `release_response`.
    WithholdsResponse,
    /// Rejects the first command, and sends the response only after `release_response`.
    WithholdsRejection,
    /// Reads the call and resets the connection without a response.
    ResetsConnection,
    /// Accepts all commands and truncates the response to this number of bytes.
    TruncatesResponse(usize),
    /// Accepts all commands and sends the response twice.
    RespondsTwice,
    /// Responds that it accepted one command more than it was sent.
    OverstatesAcceptedCount,
    /// Sends a response that is not HTTP.
    SendsInvalidHttp,
    /// Sends a response whose body is not valid JSON.
    SendsInvalidJson,
    /// Responds that it is throttling calls.
    Throttles,
    /// Responds that the call is invalid.
    RejectsAsInvalid,
}

/// A handle to the fake relay. Clones share the same relay.
#[derive(Clone)]
pub struct FakeRelay {
    pub address: SocketAddr,
    /// The commands of each call, in the order of arrival.
    calls: Arc<Mutex<Receiver<Vec<Value>>>>,
    shared: Arc<Shared>,
}

/// State that the server's threads share with the test.
#[derive(Default)]
struct Shared {
    /// How the next calls are handled. Calls after these are accepted.
    queued_behaviors: Mutex<VecDeque<RelayBehavior>>,
    event_stream: Mutex<EventStream>,
    event_stream_silent: AtomicBool,
    /// The number of withheld responses that may be sent.
    released_responses: Mutex<usize>,
    response_released: Condvar,
    /// Connections that are kept open without a response.
    unanswered_connections: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct EventStream {
    /// The lines that a new connection begins with, before its first heartbeat.
    snapshot_lines: Vec<String>,
    connections: Vec<TcpStream>,
}

impl EventStream {
    fn open(&mut self, stream: &mut TcpStream) {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for line in &self.snapshot_lines {
            send_chunk(stream, &format!("{line}\n"));
        }
        send_chunk(stream, HEARTBEAT);
        self.connections.push(stream.try_clone().unwrap());
    }

    fn send_line(&mut self, line: &str) {
        for connection in &mut self.connections {
            send_chunk(connection, &format!("{line}\n"));
        }
    }

    fn close_connections(&mut self) {
        for connection in self.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn serve(
        &self,
        calls: &Sender<Vec<Value>>,
        request: &HttpRequest,
        stream: &mut TcpStream,
    ) -> ConnectionAction {
        if !request.request_line.starts_with(&format!("GET {STREAM_PATH}")) {
            return self.serve_call(calls, &request.body, stream);
        }
        if self.event_stream_silent.load(Ordering::SeqCst) {
            self.hold_unanswered(stream);
        } else {
            self.event_stream.lock().unwrap().open(stream);
        }
        ConnectionAction::StopReading
    }

    fn hold_unanswered(&self, stream: &TcpStream) {
        self.unanswered_connections.lock().unwrap().push(stream.try_clone().unwrap());
    }

    fn serve_call(
        &self,
        calls: &Sender<Vec<Value>>,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> ConnectionAction {
        assert!(body.len() <= MAX_BODY_BYTES, "request body of {} bytes, limit {MAX_BODY_BYTES}", body.len());
        let value: Value = serde_json::from_slice(body).unwrap();
        let commands = value["changes"].as_array().unwrap().clone();
        let count = commands.len();
        let queued = self.queued_behaviors.lock().unwrap().pop_front();
        let behavior = queued.unwrap_or(RelayBehavior::Accepts);
        let _ = calls.send(commands);
        self.respond(behavior, count, stream)
    }

    fn respond(&self, behavior: RelayBehavior, count: usize, stream: &mut TcpStream) -> ConnectionAction {
        let accepted = json!({"taken": count}).to_string();
        match behavior {
            RelayBehavior::Accepts => send_response(stream, "200 OK", &accepted),
            RelayBehavior::AcceptsAndCloses => {
                send_response(stream, "200 OK", &accepted);
                let _ = stream.shutdown(Shutdown::Both);
            }
            RelayBehavior::FragmentsResponse => send_fragmented_response(stream, &accepted),
            RelayBehavior::AcceptsOnly(count) => {
                send_response(stream, "200 OK", &json!({"taken": count}).to_string());
            }
            RelayBehavior::ClosesConnection => _ = stream.shutdown(Shutdown::Both),
            RelayBehavior::WithholdsResponse => {
                self.wait_for_release();
                send_response(stream, "200 OK", &accepted);
            }
            RelayBehavior::WithholdsRejection => {
                self.wait_for_release();
                send_response(stream, "200 OK", &json!({"taken": 0}).to_string());
            }
            RelayBehavior::ResetsConnection => {
                enable_reset_on_close(stream);
                return ConnectionAction::StopReading;
            }
            RelayBehavior::TruncatesResponse(bytes) => send_truncated_response(stream, &accepted, bytes),
            RelayBehavior::RespondsTwice => send_response_twice(stream, &accepted),
            RelayBehavior::OverstatesAcceptedCount => {
                send_response(stream, "200 OK", &json!({"taken": count + 1}).to_string());
            }
            RelayBehavior::SendsInvalidHttp => _ = stream.write_all(b"\0\xff no answer at all\r\n\r\n"),
            RelayBehavior::DoesNotRespond => self.hold_unanswered(stream),
            RelayBehavior::SendsInvalidJson => send_response(stream, "200 OK", "{\"tak"),
            RelayBehavior::RejectsAsInvalid => {
                send_response(stream, "400 Bad Request", r#"{"error":"invalid"}"#);
            }
            RelayBehavior::Throttles => {
                send_response(stream, "429 Too Many Requests", r#"{"error":"throttled"}"#);
            }
        }
        ConnectionAction::ReadNextRequest
    }

    fn wait_for_release(&self) {
        let released = self.released_responses.lock().unwrap();
        let waited = self.response_released.wait_timeout_while(released, TIMEOUT, |released| *released == 0);
        *waited.unwrap().0 -= 1;
    }

    fn send_heartbeats(&self) {
        loop {
            sleep(HEARTBEAT_INTERVAL);
            if !self.event_stream_silent.load(Ordering::SeqCst) {
                let mut stream = self.event_stream.lock().unwrap();
                stream.connections.retain_mut(|connection| send_chunk(connection, HEARTBEAT));
            }
        }
    }
}

impl FakeRelay {
    pub fn start() -> FakeRelay {
        let shared = Arc::<Shared>::default();
        let (sender, calls) = channel();
        let server = shared.clone();
        let address = spawn_http_server(move |request, stream| server.serve(&sender, request, stream));
        let heartbeats = shared.clone();
        spawn(move || heartbeats.send_heartbeats());
        FakeRelay { address, calls: Arc::new(Mutex::new(calls)), shared }
    }

    /// Releases one withheld response.
    pub fn release_response(&self) {
        *self.shared.released_responses.lock().unwrap() += 1;
        self.shared.response_released.notify_one();
    }

    /// Stops the heartbeats and leaves new requests for the event stream unanswered.
    pub fn silence_event_stream(&self) {
        self.shared.event_stream_silent.store(true, Ordering::SeqCst);
    }

    /// Appends a behavior; each call takes the oldest.
    pub fn queue_behavior(&self, behavior: RelayBehavior) {
        self.shared.queued_behaviors.lock().unwrap().push_back(behavior);
    }

    /// Appends the same behavior for `times` calls.
    pub fn queue_behavior_times(&self, times: usize, behavior: RelayBehavior) {
        for _ in 0..times {
            self.queue_behavior(behavior);
        }
    }

    /// Announces on the event stream that a proxy has joined.
    pub fn join_proxy(&self, proxy: u32) {
        let line = json!({"type": "hello", "object":
            {"node": proxy, "locality": "north", "w": 20.5, "cold": true}})
        .to_string();
        let mut stream = self.shared.event_stream.lock().unwrap();
        stream.send_line(&line);
        stream.snapshot_lines.push(line);
    }

    /// Announces on the event stream that a proxy has left.
    pub fn remove_proxy(&self, proxy: u32) {
        let line = json!({"type": "bye", "object": {"node": proxy}}).to_string();
        let mut stream = self.shared.event_stream.lock().unwrap();
        stream.send_line(&line);
        stream.snapshot_lines.push(line);
    }

    /// Announces on the event stream that a proxy has acknowledged commands.
    pub fn acknowledge(&self, proxy: u32, number: &Value) {
        let object = json!({"node": proxy, "nonce": number, "latency": 20.5});
        let line = json!({"type": "ack", "object": object}).to_string();
        self.shared.event_stream.lock().unwrap().send_line(&line);
    }

    /// Closes the event stream. New connections to it begin with these lines.
    pub fn close_event_stream_and_list(&self, lines: &[Value]) {
        let mut stream = self.shared.event_stream.lock().unwrap();
        stream.snapshot_lines = lines.iter().map(Value::to_string).collect();
        stream.close_connections();
    }

    /// Closes the event stream. New connections to it list only the proxy that joined last.
    pub fn close_event_stream_and_list_last_proxy(&self) {
        let mut stream = self.shared.event_stream.lock().unwrap();
        let last = stream.snapshot_lines.pop();
        stream.snapshot_lines = last.into_iter().collect();
        stream.close_connections();
    }

    /// Returns the commands of the next call if it has arrived.
    pub fn try_next_call(&self) -> Option<Vec<Value>> {
        self.calls.lock().unwrap().try_recv().ok()
    }

    /// Waits for the next call and returns its commands.
    pub fn next_call(&self) -> Vec<Value> {
        self.calls.lock().unwrap().recv_timeout(TIMEOUT).expect("no call to the relay")
    }

    /// Waits for a call with a command of this kind and returns all its commands. Calls before it are
    /// skipped.
    pub fn next_call_with(&self, op: &str) -> Vec<Value> {
        let has_command = |call: &Vec<Value>| call.iter().any(|command| command["op"] == op);
        wait_for(&format!("command '{op}'"), || Some(self.next_call()).filter(has_command))
    }

    /// Waits for a command of this kind and returns it. Commands of calls before it are skipped.
    pub fn next_command(&self, op: &str) -> Value {
        let call = self.next_call_with(op);
        call.into_iter().find(|command| command["op"] == op).unwrap()
    }
}
