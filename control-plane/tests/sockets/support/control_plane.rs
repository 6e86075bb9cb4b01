//! Starts the built program and gives access to its configuration file, process, log and listener.

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

/// A valid configuration with these addresses of the endpoint list and the relay.
pub fn config_with_peers(list: SocketAddr, relay: SocketAddr) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": list.to_string(), "seed": "8c1f30d27a5be964",
        "relay": {"address": relay.to_string()},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "zones": ["north", "south"],
            "classes": [{"name": "quote", "promiseUs": 1_500_000, "importance": 1.0},
                {"name": "hold", "promiseUs": 1_200_000, "importance": 3.0}],
            "familyInfo": {"channelRate": 14000.0, "fixedCost": 10.0, "mostWaiting": 14000.0,
                "proxyCount": 16, "initialSet": 12, "transitMaxUs": 300_000, "reportEveryUs": 1_000_000,
                "throttleBy": "fraction"},
            "guarantees": {"drainGraceUs": 1_500_000, "coldUs": 10_000_000},
            "replicasOfMe": 1}})
}

/// A temporary configuration file that is deleted on drop.
pub struct ConfigFile {
    pub path: PathBuf,
}

impl ConfigFile {
    /// Creates a file with this content.
    pub fn create(text: &str) -> ConfigFile {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("otterwinch-{}-{number}.json", std::process::id());
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

/// A command that runs the built program without any of the environment variables that the program reads.
pub fn program_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_otterwinch"));
    for variable in ENVIRONMENT_VARIABLES {
        command.env_remove(variable);
    }
    command
}

/// A running control plane process that is killed on drop.
pub struct ControlPlane {
    pub child: Child,
    /// The address of its listener.
    pub address: SocketAddr,
    log: Receiver<Value>,
    config_file: ConfigFile,
}

impl ControlPlane {
    pub fn start(list: &FakeEndpointList, relay: &FakeRelay) -> ControlPlane {
        ControlPlane::start_with(&config_with_peers(list.address, relay.address))
    }

    /// Starts the program with this configuration and waits until it listens and has opened the event stream.
    pub fn start_with(config: &Value) -> ControlPlane {
        let config_file = ConfigFile::create(&config.to_string());
        let mut command = program_command();
        command.arg("serve").env("GW_CONFIG", &config_file.path).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = read_log(child.stderr.take().unwrap());
        let address = ([127, 0, 0, 1], 0).into();
        let mut control_plane = ControlPlane { child, address, log, config_file };
        let started = control_plane.wait_for_log("started");
        control_plane.address = started["listen"].as_str().unwrap().parse().unwrap();
        control_plane.wait_for_log("proxy stream connected");
        control_plane
    }

    /// Waits for the next log line with this message and returns it. Lines before it are skipped.
    pub fn wait_for_log(&self, message: &str) -> Value {
        let next_line = || match self.log.recv_timeout(TIMEOUT) {
            Ok(line) => line,
            Err(error) => panic!("no log line '{message}': {error}"),
        };
        wait_for(&format!("log line '{message}'"), || Some(next_line()).filter(|line| line["msg"] == message))
    }

    /// Waits for the next log line with this message and returns the lines before it.
    pub fn log_lines_before(&self, message: &str) -> Vec<Value> {
        let mut lines = Vec::new();
        loop {
            let line = self.log.recv_timeout(TIMEOUT).expect("no such log line");
            if line["msg"] == message {
                return lines;
            }
            lines.push(line);
        }
    }

    /// Waits until the response to `/state` contains this text.
    pub fn wait_for_status(&self, text: &str) {
        wait_for(&format!("{text} in /state"), || self.http_get("/state").contains(text).then_some(()));
    }

    /// Connects to the listener. Reads of the connection time out after [`TIMEOUT`].
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    /// Sends a GET request and returns the response, head and body.
    pub fn http_get(&self, path: &str) -> String {
        let mut stream = self.connect();
        write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    /// The largest memory that the process has used so far, in MiB.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.split_whitespace().next().unwrap().parse::<u64>().unwrap() >> 10
    }

    /// Replaces the content of the configuration file and sends SIGHUP.
    pub fn reload_config(&self, config: &str) {
        std::fs::write(&self.config_file.path, config).unwrap();
        self.send_signal("HUP");
    }

    /// Suspends the process while `action` runs, so that everything that happens meanwhile reaches it at
    /// once.
    pub fn while_suspended<T>(&self, action: impl FnOnce() -> T) -> T {
        self.send_signal("STOP");
        let stat_path = format!("/proc/{}/stat", self.child.id());
        let stat = || std::fs::read_to_string(&stat_path).ok();
        wait_for("the process to be suspended", || stat().filter(|stat| stat.contains(") T ")));
        let result = action();
        self.send_signal("CONT");
        result
    }

    /// Sends the signal with this name, without `SIG`, to the process.
    pub fn send_signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Connects a collector that has identified itself as that of zone `north`.
    pub fn connect_collector(&self) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(&encode_frame(r#"{"msg":"agent","locality":"north"}"#)).unwrap();
        self.wait_for_log("collector connected");
        stream
    }

    /// Waits until the process has exited and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let exit_status = || {
            std::thread::yield_now();
            self.child.try_wait().unwrap()
        };
        wait_for("the process to exit", exit_status).code()
    }
}

impl Drop for ControlPlane {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the log lines in a thread of their own. A line that is not JSON is passed on as a string.
fn read_log(stderr: ChildStderr) -> Receiver<Value> {
    let (sender, log) = channel();
    spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            // The test runner shows this if the test fails.
            println!("{line}");
            let _ = sender.send(serde_json::from_str(&line).unwrap_or(Value::String(line)));
        }
    });
    log
}

/// Encodes a frame of the collectors' protocol: the length as four bytes, then the text.
pub fn encode_frame(text: &str) -> Vec<u8> {
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Reads one frame and returns its text.
pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut body)?;
    Ok(String::from_utf8(body).unwrap())
}
