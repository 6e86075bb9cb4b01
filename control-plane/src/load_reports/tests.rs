use super::*;
use crate::connection_log::ConnectionLog;
use crate::event::EventSender;
use crate::metrics::Metrics;
use slog::{o, Discard};
use std::cell::Cell;
use std::io::Write;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, yield_now, LocalSet};

const FRAMES: usize = 20_000;

fn frame(text: &str) -> Vec<u8> {
    [&(text.len() as u32).to_be_bytes(), text.as_bytes()].concat()
}

fn context() -> ConnectionContext {
    let names =
        DeploymentNames { zones: vec!["a".into()], request_classes: vec!["q".into()], proxy_count: 1 };
    let metrics = Rc::<Metrics>::default();
    ConnectionContext {
        names: Rc::new(names),
        events: EventSender::channel(1, metrics).0,
        status_pages: axum::Router::new(),
        log: Logger::root(Discard, o!()),
        connection_log: Rc::<ConnectionLog>::default(),
    }
}

/// Receives the frames of a collector that sends at full speed and returns how often another task has run
/// meanwhile.
async fn turns_of_another_task(sent: Vec<u8>) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sender = std::thread::spawn(move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(&frame(r#"{"msg":"agent","locality":"a"}"#)).unwrap();
        stream.write_all(&sent).unwrap();
    });
    let (stream, _) = listener.accept().await.unwrap();
    let turns = Rc::new(Cell::new(0));
    let counted = turns.clone();
    let other = spawn_local(async move {
        loop {
            counted.set(counted.get() + 1);
            yield_now().await;
        }
    });
    let context = context();
    let collector = Collector::identify(stream, &context.names).await.unwrap().unwrap();
    turns.set(0);
    let log = context.log.clone();
    collector.receive_reports(&context, || {}, &CancellationToken::new(), &log).await.unwrap();
    other.abort();
    sender.join().unwrap();
    assert_eq!(context.events.metrics.invalid_inputs.get(), FRAMES as u64);
    turns.get()
}

/// Guards against a collector that keeps the thread to itself while it sends at full speed: health checks and
/// drains were late by the time that all such collectors took for some thousand messages each.
#[tokio::test]
async fn a_collector_that_sends_at_full_speed_lets_other_tasks_run() {
    let turns =
        LocalSet::new().run_until(turns_of_another_task(frame(r#"{"msg":"x"}"#).repeat(FRAMES))).await;
    assert!(turns >= FRAMES / 100, "{turns} turns");
}
