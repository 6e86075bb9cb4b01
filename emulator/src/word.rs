//! What a supervisor in a process of its own is told: its config at its start, and the collectors' frames.

use crate::forwarder::Forwarder;
use otterwinch_fleet::model::Fleet;
use serde_json::{json, Value};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

/// The config of a supervisor of this fleet.
pub fn config(
    fleet: &Fleet,
    name: &str,
    listen: &str,
    list: &str,
    relay: &str,
    known: Value,
    seed: u64,
) -> Value {
    let us = |span: otterwinch::time::Span| span.as_us();
    let told = &fleet.control_plane;
    let products: Vec<Value> = fleet.request_classes.iter().map(|product| {
        json!({"name": product.name, "promiseUs": us(product.latency_objective), "importance": product.priority_weight})
    }).collect();
    let halls: Vec<&str> = fleet.zones.iter().map(|hall| hall.name.as_str()).collect();
    let forwarders: u32 = fleet.zones.iter().map(|hall| hall.proxy_count).sum();
    let crossing = if told.cross_zone_costs && fleet.zones.len() > 1 { 0.04 } else { 0.0 };
    json!({"name": name, "listen": listen, "discovery": list, "seed": format!("{seed:x}"),
        "relay": {"address": relay}, "known": known,
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": {"zones": halls, "classes": products, "charges": {"crossZone": crossing},
            "familyInfo": {"proxyCount": forwarders, "channelRate": told.channel_rate,
                "fixedCost": told.message_overhead_lines, "mostWaiting": told.max_queued_lines,
                "transitMaxUs": us(told.message_delay) * 2, "reportEveryUs": us(told.report_interval),
                "initialSet": fleet.proxies.initial_table_size, "throttleBy": "fraction"},
            "guarantees": {"drainGraceUs": us(told.drain_grace), "coldUs": us(told.slow_start_window)},
            "replicasOfMe": told.instances}})
}

/// Sums of one interval, as collectors tell them.
pub struct Report {
    /// By hall and node: tries, voided, microseconds of the answered ones.
    pub met: Vec<(usize, u32, u64, u64, u64)>,
    /// By forwarder and product.
    pub asked: Vec<(u32, usize, u64)>,
}

/// Takes the sums of a supervisor's forwarders.
pub fn report(forwarders: &[Forwarder], mine: impl Fn(u32) -> bool) -> Report {
    let mut met = std::collections::BTreeMap::<(usize, u32), (u64, u64, u64)>::new();
    let mut asked = Vec::new();
    for forwarder in forwarders.iter().filter(|f| mine(f.told.number)) {
        let sums = forwarder.take_sums();
        for (node, (tries, voided, took)) in sums.met {
            let sum = met.entry((forwarder.told.hall, node)).or_default();
            *sum = (sum.0 + tries, sum.1 + voided, sum.2 + took);
        }
        let some = sums.asked.iter().enumerate().filter(|(_, txns)| **txns > 0);
        asked.extend(some.map(|(product, txns)| (forwarder.told.number, product, *txns)));
    }
    Report { met: met.into_iter().map(|((hall, node), s)| (hall, node, s.0, s.1, s.2)).collect(), asked }
}

async fn frame(to: &mut TcpStream, value: &Value) -> io::Result<()> {
    let text = value.to_string();
    let mut bytes = (text.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(text.as_bytes());
    to.write_all(&bytes).await
}

/// The collectors of all halls: each connects to the supervisor, states its hall, and passes reports on, late. A connection
/// that breaks is made again.
pub async fn collect(
    fleet: Fleet,
    supervisor: String,
    nodes: Vec<String>,
    forwarders: Arc<Vec<Forwarder>>,
    mine: impl Fn(u32) -> bool,
) {
    let span = |span: otterwinch::time::Span| Duration::from_micros(span.as_us().max(0) as u64);
    let (every, late) = (span(fleet.control_plane.report_interval), span(fleet.control_plane.report_delay));
    let mut links: Vec<Option<TcpStream>> = fleet.zones.iter().map(|_| None).collect();
    let mut next = Instant::now() + every;
    loop {
        sleep_until(next).await;
        next += every;
        let report = report(&forwarders, &mine);
        sleep(late).await;
        let interval = every.as_secs_f64() * 1e3;
        for (hall, link) in links.iter_mut().enumerate() {
            let name = &fleet.zones[hall].name;
            let told = async {
                if link.is_none() {
                    let mut to = TcpStream::connect(&supervisor).await?;
                    frame(&mut to, &json!({"msg": "agent", "locality": name})).await?;
                    *link = Some(to);
                }
                let to = link.as_mut().expect("just made");
                for (_, node, tries, voided, took) in report.met.iter().filter(|met| met.0 == hall) {
                    let rtt = *took as f64 / 1e3 / (tries - voided).max(1) as f64;
                    let outcomes = json!({"msg": "outcomes", "locality": name, "endpoint": nodes[*node as usize],
                        "total": tries, "errors": voided, "rtt": rtt, "interval": interval});
                    frame(to, &outcomes).await?;
                }
                for (forwarder, product, txns) in &report.asked {
                    if forwarders[*forwarder as usize].told.hall == hall {
                        let demand = json!({"msg": "demand", "node": forwarder,
                            "route": fleet.request_classes[*product].name, "total": txns, "errors": 0,
                            "interval": interval});
                        frame(to, &demand).await?;
                    }
                }
                Ok::<_, io::Error>(())
            };
            if told.await.is_err() {
                *link = None;
            }
        }
    }
}
