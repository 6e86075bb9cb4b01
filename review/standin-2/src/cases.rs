//! The cases, by number. `messages` and `explore` are none; the report tells what they showed.

use crate::deployment::Deployment;
use crate::explore;
use crate::world::{CallMode, Health, World};
use crate::{Stage, Verdict};
use std::path::Path;

/// The rule that a case judges.
#[derive(Clone, Copy, PartialEq)]
pub enum Rule {
    /// Joined proxies stop sending to a server within the grace.
    DrainsKept,
    /// No cold server is pushed over.
    ColdServersStand,
    /// No proxy is written more messages than the settings allow.
    ShortQueue,
}

struct Case {
    deployment: Deployment,
    rule: Rule,
    run: fn(&mut Stage),
}

fn case(name: &str) -> Option<Case> {
    use Rule::{ColdServersStand, DrainsKept, ShortQueue};
    let (deployment, rule, run): (Deployment, Rule, fn(&mut Stage)) = match name {
        "6" => (Deployment::many_gateways(), DrainsKept, fleet_grows),
        "7" => (Deployment::local_gateways(), ColdServersStand, zone_returns),
        "8" => (Deployment::forwarders(400), DrainsKept, orders_for_proxies_that_left),
        "9" => (Deployment::gateways(), DrainsKept, resets_before_a_drain),
        "10" => (Deployment::local_forwarders(), DrainsKept, drain_beside_a_crash),
        "messages" => (Deployment::gateways(), ShortQueue, answers_lost),
        "explore" => (explore::deployment(), DrainsKept, explore::run),
        _ => return None,
    };
    Some(Case { deployment, rule, run })
}

/// Plays a case. Returns the verdict and the record.
pub fn play(name: &str, record: &Path) -> (Verdict, Vec<String>) {
    let Some(case) = case(name) else {
        return (Verdict::NotRun(format!("there is no case {name}")), Vec::new());
    };
    let mut stage = match Stage::start(case.deployment, record) {
        Ok(stage) => stage,
        Err(error) => return (Verdict::NotRun(error), Vec::new()),
    };
    (case.run)(&mut stage);
    let alive = stage.supervisor.runs();
    let verdict = stage.change(|world| judge(world, case.rule, alive));
    let lines = stage.change(|world| std::mem::take(&mut world.record));
    (verdict, lines)
}

/// The stand-ins need to be called this often for their times to be worth anything.
const LONGEST_TICK_S: f64 = 0.3;

fn judge(world: &mut World, rule: Rule, alive: bool) -> Verdict {
    let load = world.servers.iter().map(|server| server.worst_load).fold(0.0, f64::max);
    let summary = [
        format!(
            "calls {} (broken {}), rejected orders {}",
            world.calls, world.broken_calls, world.rejections
        ),
        format!("requests {}, failed {}", world.requests, world.failed_requests),
        format!(
            "requests after the end of a grace {} (lost {}, latest {:.2} s)",
            world.late_requests, world.late_failed, world.worst_late
        ),
        format!("most messages to a proxy in 10 s {}", world.most_messages),
        format!("most lines waiting {:.0}", world.most_waiting),
        format!("longest time without a line {:.2} s", world.worst_unserved),
        format!("cold servers pushed over {}, most load of one {load:.2} of the limit", world.fallen),
        format!("longest tick {:.3} s", world.longest_tick),
    ]
    .join("; ");
    if !alive {
        return Verdict::Broken(format!("the supervisor ended by itself; {summary}"));
    }
    if world.longest_tick > LONGEST_TICK_S {
        return Verdict::NotRun(format!("the machine is too busy; {summary}"));
    }
    let broken = match rule {
        Rule::DrainsKept => world.late_requests > 0,
        Rule::ColdServersStand => world.fallen > 0,
        Rule::ShortQueue => world.most_messages > world.dep.messages_most,
    };
    if broken {
        Verdict::Broken(summary)
    } else {
        Verdict::Held(summary)
    }
}

/// A server drains: it completes what it has, and its process ends after `runs_for` seconds.
fn drain(stage: &Stage, server: usize, runs_for: f64) {
    stage.change(|world| {
        world.set_health(server, Health::Leaving);
        world.servers[server].runs_until = world.now() + runs_for;
    });
}

/// The fleet grows from 26 to 62 servers within 10.8 s, and three servers drain meanwhile.
fn fleet_grows(stage: &mut Stage) {
    let start = stage.now() + 8.0;
    let servers = stage.change(|world| world.servers.len());
    for step in 0..=36 {
        let at = 0.3 * f64::from(step);
        stage.wait_until(start + at);
        if stage.trouble && step < 36 {
            stage.change(|world| {
                world.add_server(step as usize % world.dep.zones.len());
                let factor = world.servers.len() as f64 / servers as f64;
                world.scale_requests(factor);
            });
        }
        match step {
            17 => drain(stage, 1, 3.0),
            20 => drain(stage, 2, 3.0),
            23 => drain(stage, 3, 3.0),
            _ => {}
        }
    }
    stage.wait_until(start + 16.0);
}

/// The relay's connections are reset, also under calls, and half of the proxies are cut off from the
/// supervisors. Then a server drains.
fn orders_for_proxies_that_left(stage: &mut Stage) {
    const ANSWER_MS: u64 = 40;
    stage.change(|world| world.mode = CallMode::Answer(ANSWER_MS));
    let start = stage.now() + 8.0;
    stage.wait_until(start);
    let mut cut: Vec<(f64, usize)> = Vec::new();
    if stage.trouble {
        stage.change(|world| {
            world.note("the relay's connections are reset, for 2 s also each call's after its last byte");
            world.mode = CallMode::ResetUnexecuted;
            world.break_news();
            for number in (0..world.proxies.len()).filter(|number| number % 25 < 13) {
                world.cut_off(number);
                let noticed_after = 0.16 + (3.0 - 0.16) * world.chance();
                cut.push((noticed_after, number));
            }
            world.note(format!("{} proxies are cut off for 12 s, noticed within 3 s", cut.len()));
        });
    }
    cut.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut noticed = cut.iter().peekable();
    for step in 0..=70 {
        let at = 0.05 * f64::from(step);
        stage.wait_until(start + at);
        while let Some((_, number)) = noticed.next_if(|(noticed_after, _)| *noticed_after <= at) {
            stage.change(|world| world.leave(*number));
        }
        match step {
            40 => stage.change(|world| {
                world.note("the relay answers calls again");
                world.mode = CallMode::Answer(ANSWER_MS);
            }),
            56 => drain(stage, 4, 3.5),
            _ => {}
        }
    }
    stage.wait_until(start + 12.0);
    stage.change(|world| cut.iter().for_each(|(_, number)| world.rejoin(*number)));
    stage.wait_until(start + 16.0);
}

/// For 1.5 s the relay resets the connection under each call. Two seconds later a server drains.
fn resets_before_a_drain(stage: &mut Stage) {
    let start = stage.now() + 8.0;
    stage.wait_until(start);
    if stage.trouble {
        stage.change(|world| {
            world.note("from now on the relay resets each call's connection after its last byte");
            world.mode = CallMode::ResetUnexecuted;
        });
    }
    drain(stage, 3, 60.0);
    stage.wait_until(start + 1.5);
    stage.change(|world| {
        world.note("the relay answers calls");
        world.mode = CallMode::Answer(5);
    });
    stage.wait_until(start + 3.5);
    drain(stage, 4, 3.0);
    stage.wait_until(start + 14.0);
}

/// Two servers of a zone die. When the list tells that, it also tells that the zone's other three drain.
fn drain_beside_a_crash(stage: &mut Stage) {
    let start = stage.now() + 10.0;
    let (dead, draining) = ([12, 16], [0, 4, 8]);
    stage.wait_until(start - 2.2);
    if stage.trouble {
        stage.change(|world| {
            world.note("two servers of the first zone die");
            let now = world.now();
            dead.iter().for_each(|server| world.servers[*server].runs_until = now);
        });
    }
    stage.wait_until(start);
    stage.change(|world| {
        if stage.trouble {
            dead.iter().for_each(|server| world.set_health(*server, Health::Left));
        }
        for server in draining {
            world.set_health(server, Health::Leaving);
            world.servers[server].runs_until = world.now() + 2.3;
        }
    });
    stage.wait_until(start + 4.0);
    stage.change(|world| draining.iter().for_each(|_| world.add_server(0)));
    stage.wait_until(start + 6.5);
    if stage.trouble {
        stage.change(|world| dead.iter().for_each(|server| world.set_started(*server)));
    }
    stage.wait_until(start + 9.0);
}

/// For 3 s the relay carries out the calls, and resets the connection under each.
fn answers_lost(stage: &mut Stage) {
    let start = stage.now() + 8.0;
    stage.wait_until(start);
    if stage.trouble {
        stage.change(|world| {
            world.note("from now on the relay carries out each call, and resets its connection");
            world.mode = CallMode::ResetExecuted;
        });
    }
    drain(stage, 3, 60.0);
    stage.wait_until(start + 3.0);
    stage.change(|world| {
        world.note("the relay answers calls");
        world.mode = CallMode::Answer(5);
    });
    stage.wait_until(start + 12.0);
}

/// The servers of a zone are lost for 5 s and return cold. The list tells of each within 1.5 s of its start.
fn zone_returns(stage: &mut Stage) {
    let start = stage.now() + 8.0;
    let zone: Vec<usize> = (0..20).filter(|server| server % 4 == 0).collect();
    stage.wait_until(start);
    if !stage.trouble {
        stage.wait_until(start + 20.0);
        return;
    }
    stage.change(|world| {
        world.note("the five servers of the first zone die");
        let now = world.now();
        zone.iter().for_each(|server| world.servers[*server].runs_until = now);
    });
    for (step, server) in zone.iter().enumerate() {
        stage.wait_until(start + 1.0 + 0.5 * step as f64);
        stage.change(|world| world.set_health(*server, Health::Left));
    }
    stage.wait_until(start + 5.0);
    stage.change(|world| {
        world.note("the five servers run again, cold");
        zone.iter().for_each(|server| world.restart(*server));
    });
    for (server, told_after) in zone.iter().zip([0.3, 0.6, 0.9, 1.2, 1.5]) {
        stage.wait_until(start + 5.0 + told_after);
        stage.change(|world| world.set_health(*server, Health::Active));
    }
    stage.wait_until(start + 20.0);
}
