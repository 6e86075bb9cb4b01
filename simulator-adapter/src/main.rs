//! Reads batches of wire lines, hands them to the instances they name, and writes one reply a batch.

mod decode;
mod desk;

use desk::Desk;
use otterwinch::controller::Controller;
use otterwinch::host::{EndpointUpdate, Timer};
use otterwinch::time::{Moment, Span};
use otterwinch_adapter_support::{catch_panic, controller_config, JsonFields};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

type Call<'a> = Box<dyn FnOnce(&mut Controller<Desk>) + 'a>;

#[derive(Default)]
struct Hosted {
    instances: BTreeMap<u64, Controller<Desk>>,
    pages: BTreeMap<u64, Vec<EndpointUpdate>>,
    now: Moment,
    serial: u64,
    failed: Vec<u8>,
}

fn main() -> io::Result<()> {
    let mut hosted = Hosted::default();
    let mut out = io::stdout().lock();
    let mut line = Vec::new();
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match hosted.take(&line) {
            Ok(false) => {}
            Ok(true) => {
                out.write_all(&hosted.reply())?;
                out.flush()?;
            }
            Err(fault) => eprintln!("otterwinch-simulator-adapter: line skipped: {fault}"),
        }
    }
}

impl Hosted {
    /// Handles one line; true where it hands the turn over.
    fn take(&mut self, line: &[u8]) -> Result<bool, String> {
        let value: serde_json::Value =
            serde_json::from_slice(line).map_err(|e| format!("not a JSON value: {e}"))?;
        let f = JsonFields::of_message(&value, "kind")?;
        match f.kind {
            "TICK" => {
                (self.now, self.serial) = (Moment::from_us(f.i64("timeUs")?), f.u64("serial")?);
            }
            "OVER_TO_YOU" => return Ok(true),
            "PAGE" => {
                self.pages.insert(f.u64("page")?, decode::listings(&f)?);
            }
            "UP" => {
                let (who, config) = (f.u64("who")?, controller_config(&f.settings("env")?));
                let desk = Desk::new(who, &config);
                let seed = f.u64("entropy")?;
                let now = self.now;
                self.guarded(who, |hosted| {
                    hosted.instances.insert(who, Controller::start(desk, config, seed, now));
                });
            }
            "DESTROY" => {
                self.instances.remove(&f.u64("who")?);
            }
            _ => self.event(&f)?,
        }
        Ok(false)
    }

    fn event(&mut self, f: &JsonFields) -> Result<(), String> {
        let who = f.u64("who")?;
        if !self.instances.contains_key(&who) {
            return Err(format!("{}: no instance {who} is up", f.kind));
        }
        let now = self.now;
        let call: Call = match f.kind {
            "TOPOLOGY" => match f.u64("form")? {
                3 => Box::new(|controller| controller.endpoint_watch_failed(now)),
                form @ 0..=2 => {
                    let page = f.u64("page")?;
                    let listings =
                        self.pages.get(&page).ok_or(format!("TOPOLOGY: page {page} never came"))?.clone();
                    Box::new(move |controller| {
                        controller.host().checks.add_endpoints(listings.iter().map(|l| &l.id));
                        if form == 0 {
                            controller.endpoints_updated(now, &listings)
                        } else {
                            controller.endpoint_list_replaced(now, &listings)
                        }
                    })
                }
                form => return Err(format!("TOPOLOGY: form {form} is unknown")),
            },
            "STREAM_UP" => {
                let (px, zone, fresh) = (f.u32("px")?, f.u32("campus")?, f.flag("set"));
                let rate = f.non_negative("weight")?;
                Box::new(move |controller| {
                    controller.host().checks.set_joined(px, true);
                    controller.proxy_joined(now, px, zone, rate, fresh);
                })
            }
            "STREAM_DOWN" => {
                let px = f.u32("px")?;
                Box::new(move |controller| {
                    controller.host().checks.set_joined(px, false);
                    controller.proxy_left(now, px);
                })
            }
            "HEARD" => {
                let id = f.text("server")?;
                let (tries, bad) = (f.non_negative("triesN")?, f.non_negative("bad")?);
                let took = Span::from_us(f.i64_or("delaySeenUs", 0)?);
                let over = Span::from_us(f.i64_or("periodLenUs", 0)?);
                Box::new(move |controller| controller.endpoint_outcomes(now, id, tries, bad, took, over))
            }
            "INGRESS" => {
                let (product, txns) = (f.u32("class")?, f.non_negative("triesN")?);
                Box::new(move |controller| controller.demand(product, txns))
            }
            "BELL" => {
                let label = f.u64("label")?;
                let timer =
                    Timer::from_label(label).ok_or_else(|| format!("BELL: timer {label} is unknown"))?;
                Box::new(move |controller| controller.timer_fired(now, timer))
            }
            "ASSIGNED_TO_ME" => {
                let (slice, given) = (f.u32("mapId")?, f.flag("set"));
                Box::new(move |controller| {
                    controller.host().checks.set_owned(slice, given);
                    if given {
                        controller.shard_assigned(slice)
                    } else {
                        controller.shard_revoked(slice)
                    }
                })
            }
            "STORED_LINE" => {
                let (slice, id, weight) = (f.u32("mapId")?, f.text("server")?, f.non_negative("weight")?);
                Box::new(move |controller| {
                    let id = id.into();
                    controller.host().checks.add_endpoints([&id].into_iter());
                    controller.shard_weight_restored(slice, &id, weight)
                })
            }
            "IN_FORCE" => {
                let (number, px) = (f.u32("epoch")?, f.u32("px")?);
                Box::new(move |controller| controller.acknowledged(now, number, px))
            }
            // Nothing is decided by these: probes, demand by slice and peers' words.
            "STATUS_BACK" | "KEY_LOAD" | "INBOX" => return Ok(()),
            kind => return Err(format!("message {kind} is unknown")),
        };
        self.guarded(who, |hosted| {
            if let Some(controller) = hosted.instances.get_mut(&who) {
                call(controller);
            }
        });
        Ok(())
    }

    /// A panic ends that instance alone, and says so on the wire.
    fn guarded(&mut self, who: u64, call: impl FnOnce(&mut Self)) {
        if let Err(panic) = catch_panic(|| call(self)) {
            self.instances.remove(&who);
            let die = serde_json::json!({"kind": "DIE", "who": who, "msg": panic.message});
            self.failed.extend_from_slice(format!("{die}\n").as_bytes());
        }
    }

    fn reply(&mut self) -> Vec<u8> {
        let mut reply = std::mem::take(&mut self.failed);
        self.instances.values_mut().for_each(|controller| reply.append(&mut controller.host().said));
        reply.extend_from_slice(format!("{{\"kind\":\"FINISHED\",\"serial\":{}}}\n", self.serial).as_bytes());
        reply
    }
}

#[cfg(test)]
mod tests;
