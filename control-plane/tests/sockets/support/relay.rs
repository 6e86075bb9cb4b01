//! A fake relay: takes batches of commands and has an event stream.

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
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The longest body of a call.
const MAX_CALL_BYTES: usize = 60_000;

/// What the relay does with a call.
#[derive(Clone, Copy)]
pub enum RelayBehavior {
    Accepts,
    /// Accepts all, and answers a few bytes at a time.
    AnswersInPieces,
    /// Accepts so many commands and declines the next.
    AcceptsOnly(usize),
    /// Accepts all and closes the connection, as if it had been idle for too long.
    AcceptsAndCloses,
    /// Reads the call and closes the connection.
    ClosesConnection,
    /// Reads the call and never answers.
    DoesNotAnswer,
    /// Reads the call and answers after `release_answer`.
    WithholdsAnswer,
    /// Reads the call and resets the connection.
    ResetsConnection,
    /// Accepts all; the answer ends after so many bytes.
    TruncatesAnswer(usize),
    /// Accepts all and answers twice.
    AnswersTwice,
    /// Says that it accepted more commands than it was sent.
    AcceptsTooMany,
    /// Answers something that is not HTTP.
    AnswersGarbage,
    /// Answers something that is not JSON.
    AnswersInvalidJson,
    Throttles,
    /// Says that the call is invalid.
    RejectsAsInvalid,
}

/// The relay; a clone is the same relay.
#[derive(Clone)]
pub struct FakeRelay {
    pub address: SocketAddr,
    calls: Arc<Mutex<Receiver<Vec<Value>>>>,
    shared: Arc<Shared>,
}

/// What the server's threads share with the test.
#[derive(Default)]
struct Shared {
    /// What is done with the next calls; those after them are accepted.
    planned: Mutex<VecDeque<RelayBehavior>>,
    stream: Mutex<EventStream>,
    unreachable: AtomicBool,
    /// Withheld answers that may be given.
    released: Mutex<usize>,
    release: Condvar,
    /// Connections that are left without an answer.
    unanswered: Mutex<Vec<TcpStream>>,
}

#[derive(Default)]
struct EventStream {
    /// The lines that a new connection begins with.
    opening: Vec<String>,
    connections: Vec<TcpStream>,
}

impl EventStream {
    fn open(&mut self, stream: &mut TcpStream) {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for line in &self.opening {
            send_chunk(stream, &format!("{line}\n"));
        }
        send_chunk(stream, "{}\n");
        self.connections.push(stream.try_clone().unwrap());
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
        if self.unreachable.load(Ordering::SeqCst) {
            self.leave_unanswered(stream);
        } else {
            self.stream.lock().unwrap().open(stream);
        }
        ConnectionAction::StopReading
    }

    fn leave_unanswered(&self, stream: &TcpStream) {
        self.unanswered.lock().unwrap().push(stream.try_clone().unwrap());
    }

    fn serve_call(
        &self,
        calls: &Sender<Vec<Value>>,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> ConnectionAction {
        assert!(body.len() <= MAX_CALL_BYTES, "a call of {} bytes", body.len());
        let value: Value = serde_json::from_slice(body).unwrap();
        let commands = value["changes"].as_array().unwrap().clone();
        let count = commands.len();
        let planned = self.planned.lock().unwrap().pop_front();
        let behavior = planned.unwrap_or(RelayBehavior::Accepts);
        let _ = calls.send(commands);
        self.answer(behavior, count, stream)
    }

    fn answer(&self, behavior: RelayBehavior, count: usize, stream: &mut TcpStream) -> ConnectionAction {
        let accepted = json!({"taken": count}).to_string();
        match behavior {
            RelayBehavior::Accepts => send_response(stream, "200 OK", &accepted),
            RelayBehavior::AcceptsAndCloses => {
                send_response(stream, "200 OK", &accepted);
                let _ = stream.shutdown(Shutdown::Both);
            }
            RelayBehavior::AnswersInPieces => send_fragmented_response(stream, &accepted),
            RelayBehavior::AcceptsOnly(count) => {
                send_response(stream, "200 OK", &json!({"taken": count}).to_string());
            }
            RelayBehavior::ClosesConnection => _ = stream.shutdown(Shutdown::Both),
            RelayBehavior::WithholdsAnswer => {
                self.wait_for_release();
                send_response(stream, "200 OK", &accepted);
            }
            RelayBehavior::ResetsConnection => {
                enable_reset_on_close(stream);
                return ConnectionAction::StopReading;
            }
            RelayBehavior::TruncatesAnswer(bytes) => send_truncated_response(stream, &accepted, bytes),
            RelayBehavior::AnswersTwice => send_response_twice(stream, &accepted),
            RelayBehavior::AcceptsTooMany => {
                send_response(stream, "200 OK", &json!({"taken": count + 1}).to_string());
            }
            RelayBehavior::AnswersGarbage => _ = stream.write_all(b"\0\xff no answer at all\r\n\r\n"),
            RelayBehavior::DoesNotAnswer => self.leave_unanswered(stream),
            RelayBehavior::AnswersInvalidJson => send_response(stream, "200 OK", "{\"tak"),
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
        let released = self.released.lock().unwrap();
        let waited = self.release.wait_timeout_while(released, TIMEOUT, |released| *released == 0);
        *waited.unwrap().0 -= 1;
    }

    fn send_heartbeats(&self) {
        loop {
            sleep(HEARTBEAT_INTERVAL);
            if !self.unreachable.load(Ordering::SeqCst) {
                let mut stream = self.stream.lock().unwrap();
                stream.connections.retain_mut(|connection| send_chunk(connection, "{}\n"));
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

    /// Gives one answer that is withheld.
    pub fn release_answer(&self) {
        *self.shared.released.lock().unwrap() += 1;
        self.shared.release.notify_one();
    }

    /// From now on it sends no heartbeats and answers no request for the event stream.
    pub fn becomes_unreachable(&self) {
        self.shared.unreachable.store(true, Ordering::SeqCst);
    }

    /// Plans what is done with one more of the next calls.
    pub fn plan(&self, behavior: RelayBehavior) {
        self.shared.planned.lock().unwrap().push_back(behavior);
    }

    /// Plans the same for so many calls.
    pub fn plan_times(&self, times: usize, behavior: RelayBehavior) {
        for _ in 0..times {
            self.plan(behavior);
        }
    }

    pub fn proxy_joins(&self, proxy: u32) {
        let line = json!({"type": "hello", "object":
            {"node": proxy, "locality": "north", "w": 20.5, "cold": true}})
        .to_string();
        let mut stream = self.shared.stream.lock().unwrap();
        for connection in &mut stream.connections {
            send_chunk(connection, &format!("{line}\n"));
        }
        stream.opening.push(line);
    }

    /// Closes the event stream; a new one opens with these lines.
    pub fn reopens_stream_with(&self, lines: &[Value]) {
        let mut stream = self.shared.stream.lock().unwrap();
        stream.opening = lines.iter().map(Value::to_string).collect();
        stream.close_connections();
    }

    /// Closes the event stream; a new one names only the last proxy that joined.
    pub fn reopens_stream_with_last_proxy(&self) {
        let mut stream = self.shared.stream.lock().unwrap();
        let last = stream.opening.pop();
        stream.opening = last.into_iter().collect();
        stream.close_connections();
    }

    /// The next call, if it has come.
    pub fn try_next_call(&self) -> Option<Vec<Value>> {
        self.calls.lock().unwrap().try_recv().ok()
    }

    /// The commands of the next call.
    pub fn next_call(&self) -> Vec<Value> {
        self.calls.lock().unwrap().recv_timeout(TIMEOUT).expect("a call to the relay")
    }

    /// The next call with a command of that kind; calls before it are skipped.
    pub fn next_call_with(&self, op: &str) -> Vec<Value> {
        let has_command = |call: &Vec<Value>| call.iter().any(|command| command["op"] == op);
        wait_for(op, || Some(self.next_call()).filter(has_command))
    }

    /// The next command of that kind.
    pub fn next_command(&self, op: &str) -> Value {
        let call = self.next_call_with(op);
        call.into_iter().find(|command| command["op"] == op).unwrap()
    }
}
