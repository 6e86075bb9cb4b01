//! The emulated collectors, one per zone. Each connects to a control-plane process and sends it the load
//! reports of the process's proxies in that zone, in the published protocol.

use crate::frame::write_frame;
use crate::load_report::{EndpointOutcomes, LoadReport, ProxyDemand};
use crate::proxy::Proxy;
use crate::time::duration;
use otterwinch_fleet::model::Fleet;
use serde_json::{json, Value};
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

/// The collectors of one control-plane instance.
pub(crate) struct Collectors {
    pub(crate) fleet: Fleet,
    pub(crate) control_plane_address: String,
    /// By endpoint index.
    pub(crate) endpoint_names: Vec<String>,
    /// The proxies of all instances.
    pub(crate) proxies: Arc<Vec<Proxy>>,
    /// The index of the instance in the fleet's control plane.
    pub(crate) instance: u32,
}

/// The collector of one zone, with its connection to the control plane.
struct ZoneCollector {
    zone: usize,
    /// `None` before the first report and after a failed one.
    stream: Option<TcpStream>,
}

impl Collectors {
    /// Takes a report in each report interval and sends it after the report delay, until the task is aborted.
    pub(crate) async fn run(self) {
        let report_interval = duration(self.fleet.control_plane.report_interval);
        let report_delay = duration(self.fleet.control_plane.report_delay);
        let zones = 0..self.fleet.zones.len();
        let mut collectors: Vec<_> = zones.map(|zone| ZoneCollector { zone, stream: None }).collect();
        let mut next_report = Instant::now() + report_interval;
        loop {
            sleep_until(next_report).await;
            next_report += report_interval;
            let report = LoadReport::take(self.instance_proxies());
            sleep(report_delay).await;
            for collector in &mut collectors {
                let sent = collector.send(&self, &report).await;
                if sent.is_err() {
                    // The rest of the report is lost, as with a real collector. The next report opens a new
                    // connection.
                    collector.stream = None;
                }
            }
        }
    }

    fn instance_proxies(&self) -> impl Iterator<Item = &Proxy> {
        let instances = self.fleet.control_plane.instance_count;
        self.proxies.iter().filter(move |proxy| proxy.instance_index(instances) == self.instance)
    }

    fn interval_ms(&self) -> f64 {
        duration(self.fleet.control_plane.report_interval).as_secs_f64() * 1e3
    }

    fn outcomes_message(&self, outcomes: &EndpointOutcomes) -> Value {
        let sums = &outcomes.sums;
        let mean_latency_ms = sums.answered_latency_us as f64 / 1e3 / sums.answered().max(1) as f64;
        json!({
            "msg": "outcomes",
            "locality": self.fleet.zones[outcomes.zone].name,
            "endpoint": self.endpoint_names[outcomes.endpoint as usize],
            "total": sums.attempts,
            "errors": sums.failed,
            "rtt": mean_latency_ms,
            "interval": self.interval_ms(),
        })
    }

    fn demand_message(&self, demand: &ProxyDemand) -> Value {
        json!({
            "msg": "demand",
            "node": demand.proxy,
            "route": self.fleet.request_classes[demand.request_class].name,
            "total": demand.requests,
            "errors": 0,
            "interval": self.interval_ms(),
        })
    }
}

impl ZoneCollector {
    /// Sends this zone's part of a report; connects first if there is no connection.
    async fn send(&mut self, collectors: &Collectors, report: &LoadReport) -> io::Result<()> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            None => {
                let stream = self.connect(collectors).await?;
                self.stream.insert(stream)
            }
        };
        for outcomes in report.outcomes.iter().filter(|outcomes| outcomes.zone == self.zone) {
            write_frame(stream, &collectors.outcomes_message(outcomes)).await?;
        }
        for demand in report.demand.iter().filter(|demand| demand.zone == self.zone) {
            write_frame(stream, &collectors.demand_message(demand)).await?;
        }
        Ok(())
    }

    /// Connects and announces the zone that the reports are for.
    async fn connect(&self, collectors: &Collectors) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(&collectors.control_plane_address).await?;
        let zone = &collectors.fleet.zones[self.zone].name;
        write_frame(&mut stream, &json!({"msg": "agent", "locality": zone})).await?;
        Ok(stream)
    }
}
