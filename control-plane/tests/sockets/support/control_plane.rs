//! The built program: its configuration, its process, its log, and clients of its listener.

use super::{wait_for, FakeEndpointList, FakeRelay, TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;

const ENVIRONMENT_VARIABLES: [&str; 4] = ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"];

/// A valid configuration.
pub fn config(list: SocketAddr, relay: SocketAddr) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": list.to_string(), "seed": "8c1f30d27a5be964",
        "relay": {"address": relay.to_string()},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "zones": ["north", "south"],
            "classes": [{"name": "quote", "promiseUs": 1_500_000, "importance": 1.0},
                {"name": "hold", "promiseUs": 1_200_000, "importance": 3.0}],
            "familyInfo": {"channelRate": 14000.0, "fixedCost": 10.0, "mostWaiting": 14000.0, "proxyCount": 16,
                "initialSet": 12, "transitMaxUs": 300_000, "reportEveryUs": 1_000_000,
                "throttleBy": "fraction"},
            "guarantees": {"drainGraceUs": 1_500_000, "coldUs": 10_000_000},
            "replicasOfMe": 1}})
}

/// A configuration file, deleted when this is dropped.
pub struct ConfigFile {
    pub path: PathBuf,
}

impl ConfigFile {
    pub fn with(text: &str) -> ConfigFile {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("otterwinch-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        ConfigFile { path }
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The program, without the environment variables that it reads.
pub fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_otterwinch"));
    for variable in ENVIRONMENT_VARIABLES {
        program.env_remove(variable);
    }
    program
}

/// A running program, killed when this is dropped.
pub struct ControlPlane {
    pub child: Child,
    pub address: SocketAddr,
    log: Receiver<Value>,
    config: ConfigFile,
}

impl ControlPlane {
    pub fn start(list: &FakeEndpointList, relay: &FakeRelay) -> ControlPlane {
        ControlPlane::start_with(&config(list.address, relay.address))
    }

    /// Starts the program and waits until it listens and has opened the event stream.
    pub fn start_with(config: &Value) -> ControlPlane {
        let config = ConfigFile::with(&config.to_string());
        let mut serve = program();
        serve.arg("serve").env("GW_CONFIG", &config.path).stderr(Stdio::piped());
        let mut child = serve.spawn().unwrap();
        let log = read_log(child.stderr.take().unwrap());
        let address = ([127, 0, 0, 1], 0).into();
        let mut control_plane = ControlPlane { child, address, log, config };
        let started = control_plane.wait_for_log("started");
        control_plane.address = started["listen"].as_str().unwrap().parse().unwrap();
        control_plane.wait_for_log("proxy stream connected");
        control_plane
    }

    /// The next line of the log with that message; lines before it are skipped.
    pub fn wait_for_log(&self, message: &str) -> Value {
        let next_line = || match self.log.recv_timeout(TIMEOUT) {
            Ok(line) => line,
            Err(error) => panic!("no '{message}' in the log: {error}"),
        };
        wait_for(message, || Some(next_line()).filter(|line| line["msg"] == message))
    }

    /// Waits until `/state` contains this text.
    pub fn wait_for_status(&self, text: &str) {
        wait_for(text, || self.http_get("/state").contains(text).then_some(()));
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    /// The answer to a request, head and body.
    pub fn http_get(&self, path: &str) -> String {
        let mut stream = self.connect();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.config.path, config).unwrap();
        self.signal("HUP");
    }

    /// Suspends the process while `action` runs: it finds all that happens meanwhile at once.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let stat_path = format!("/proc/{}/stat", self.child.id());
        let stat = || std::fs::read_to_string(&stat_path).ok();
        wait_for("suspension", || stat().filter(|stat| stat.contains(") T ")));
        let result = action();
        self.signal("CONT");
        result
    }

    pub fn signal(&self, name: &str) {
        let process = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &process]).status().unwrap().success());
    }

    /// A collector of zone `north` that has identified itself.
    pub fn connect_collector(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        self.wait_for_log("collector connected");
        stream
    }

    /// Waits until the process has ended; its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let exit_status = || {
            std::thread::yield_now();
            self.child.try_wait().unwrap()
        };
        wait_for("the end of the process", exit_status).code()
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_log(stderr: ChildStderr) -> Receiver<Value> {
    let (sender, log) = channel();
    spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            // Shown by the test runner if the test fails.
            println!("{line}");
            let _ = sender.send(serde_json::from_str(&line).unwrap_or(Value::String(line)));
        }
    });
    log
}

/// A frame of the collectors' protocol.
pub fn frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(String::from_utf8(body).unwrap())
}
