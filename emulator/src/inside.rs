//! A supervisor in this process: the rules without sockets, for plays on a paused clock. It hears and orders through the
//! same plane as one in a process of its own does.

use crate::forwarder::Forwarder;
use crate::plane::{Applied, Between};
use crate::word::report;
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointId, EndpointUpdate, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_fleet::model::Fleet;
use otterwinch_simulation::controller_config;
use otterwinch_simulation::simulated_host::SimulatedHost;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// Moments count from here, so that what started before has a time to have started at.
const ORIGIN: i64 = 1_000_000_000_000;

/// What it is told.
pub enum Word {
    Listed(Vec<Told>),
    Joined { forwarder: u32, hall: u32, rate: f64, fresh: bool },
    Left(u32),
}

/// What the list says of a node, in terms that go from thread to thread.
#[derive(Clone, Debug)]
pub struct Told {
    pub name: String,
    pub hall: u32,
    pub weight: f64,
    pub standing: otterwinch::host::EndpointState,
    pub started: Option<Instant>,
}

/// Runs until all who could tell it something are gone.
pub async fn supervise(
    fleet: Fleet,
    nodes: Vec<String>,
    between: Arc<Between>,
    forwarders: Arc<Vec<Forwarder>>,
    mut words: mpsc::UnboundedReceiver<Word>,
    mut applied: mpsc::UnboundedReceiver<Applied>,
    seed: u64,
) {
    let began = Instant::now();
    let moment = |at: Instant| Moment::from_us(ORIGIN + (at - began).as_micros() as i64);
    let ids: Vec<EndpointId> = nodes.iter().map(|name| name.as_str().into()).collect();
    let places = Rc::new((0..).zip(&ids).map(|(k, id)| (id.clone(), k)).collect());
    let mut controller =
        Controller::start(SimulatedHost::new(places), controller_config(&fleet), seed, moment(began));
    let mut wakes: BinaryHeap<Reverse<(Instant, u64, Timer)>> = BinaryHeap::new();
    let mut asked_for = 0;
    let us = |span: Span| Duration::from_micros(span.as_us().max(0) as u64);
    let (every, late) = (us(fleet.control_plane.report_interval), us(fleet.control_plane.report_delay));
    let mut reports = std::collections::VecDeque::new();
    let mut next_report = Instant::now() + every;
    loop {
        for (after, timer) in std::mem::take(&mut controller.host().timers) {
            asked_for += 1;
            wakes.push(Reverse((Instant::now() + us(after), asked_for, timer)));
        }
        let commands = std::mem::take(&mut controller.host().commands);
        if !commands.is_empty() {
            between.take(commands);
        }
        let wake = wakes.peek().map_or(next_report, |wake| wake.0 .0);
        let heard = reports.front().map_or(next_report, |report: &(Instant, _)| report.0);
        tokio::select! {
            biased;
            word = words.recv() => match word {
                None => return,
                Some(Word::Listed(told)) => {
                    let listing = |told: &Told| EndpointUpdate {
                        id: told.name.as_str().into(),
                        zone: told.hall,
                        weight: told.weight,
                        state: told.standing,
                        started: told.started.map(|at| match at.checked_duration_since(began) {
                            Some(since) => Moment::from_us(ORIGIN + since.as_micros() as i64),
                            None => Moment::from_us(ORIGIN - (began - at).as_micros() as i64),
                        }),
                    };
                    let listings: Vec<EndpointUpdate> = told.iter().map(listing).collect();
                    controller.endpoints_updated(moment(Instant::now()), &listings);
                }
                Some(Word::Joined { forwarder, hall, rate, fresh }) => {
                    controller.proxy_joined(moment(Instant::now()), forwarder, hall, rate, fresh);
                }
                Some(Word::Left(forwarder)) => controller.proxy_left(moment(Instant::now()), forwarder),
            },
            Some((mark, forwarder, _)) = applied.recv() => {
                controller.acknowledged(moment(Instant::now()), mark, forwarder);
            }
            () = sleep_until(next_report) => {
                next_report += every;
                let report = report(&forwarders, |f| between.has(f));
                reports.push_back((Instant::now() + late, report));
            }
            () = sleep_until(heard), if !reports.is_empty() => {
                let Some((_, report)) = reports.pop_front() else { continue };
                let now = moment(Instant::now());
                for (_, node, tries, voided, took_us) in report.met {
                    let took = Span::from_us((took_us / (tries - voided).max(1)) as i64);
                    let over = Span::from_us(every.as_micros() as i64);
                    controller.endpoint_outcomes(now, &ids[node as usize], tries as f64, voided as f64, took, over);
                }
                report.asked.iter().for_each(|(_, product, txns)| controller.demand(*product as u32, *txns as f64));
            }
            () = sleep_until(wake), if !wakes.is_empty() => {
                if let Some(Reverse((_, _, timer))) = wakes.pop() {
                    controller.timer_fired(moment(Instant::now()), timer);
                }
            }
        }
    }
}
