//! Troubles drawn by chance, to look for faults. Not a case.
//!
//! The environment names the deployment (`DEP`, as `NAME:PROXIES`), the troubles (`TROUBLES`, with commas between) and
//! the seed (`SEED`). The time limits wait for 1.6 s as the supervisor is stopped, unless `STALL_COUNTS` is set.

use crate::deployment::Deployment;
use crate::world::{CallMode, Health};
use crate::Stage;

/// The deployment that `DEP` names, as `NAME:PROXIES`.
pub fn deployment() -> Deployment {
    let text = std::env::var("DEP").unwrap_or_default();
    let (name, count) = text.split_once(':').unwrap_or((&text, "150"));
    match name {
        "local" => {
            let mut dep = Deployment::forwarders(count.parse().unwrap_or(150));
            dep.stays_local = "false,true,false";
            dep
        }
        "midgates" => {
            let mut dep = Deployment::many_gateways();
            dep.proxies = count.parse().unwrap_or(40);
            dep
        }
        "localmid" => {
            let mut dep = Deployment::many_gateways();
            dep.proxies = count.parse().unwrap_or(40);
            dep.stays_local = "false,true";
            dep
        }
        "biggates" => {
            let mut dep = Deployment::gateways();
            dep.servers = 40;
            dep.ejects = 3;
            dep.proxies = count.parse().unwrap_or(64);
            dep.all_proxies = 250;
            dep.requests_per_proxy = 3.5;
            dep
        }
        "fares" => {
            let mut dep = Deployment::gateways();
            dep.zones = vec!["dyce", "altens"];
            dep.servers = 28;
            dep.ejects = 8;
            dep.standing = 5;
            dep.proxies = count.parse().unwrap_or(35);
            dep.rate = 1500.0;
            dep.most_waiting = 3000.0;
            dep.messages_most = 30;
            dep.grace_ms = 3000.0;
            dep.late_ms = 150.0;
            dep.late_most_ms = 400.0;
            dep.throttle = "fraction";
            dep.requests_per_proxy = 8.0;
            dep.min_conn_cap = 88.0;
            dep
        }
        "bigforwarders" => {
            let mut dep = Deployment::forwarders(count.parse().unwrap_or(300));
            dep.servers = 90;
            dep.requests_per_proxy = 1.0;
            dep
        }
        "localgates" => {
            let mut dep = Deployment::gateways();
            dep.stays_local = "false,true";
            dep
        }
        "forwarders" => Deployment::forwarders(count.parse().unwrap_or(150)),
        _ => Deployment::gateways(),
    }
}

/// Causes the troubles that `TROUBLES` names, at times drawn from `SEED`.
pub fn run(stage: &mut Stage) {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let troubles = std::env::var("TROUBLES").unwrap_or_default();
    let has = |name: &str| troubles.split(',').any(|trouble| trouble == name);
    let mut rng = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut chance = move || {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        (rng >> 11) as f64 / (1u64 << 53) as f64
    };
    for _ in 0..20 {
        chance();
    }
    let start = stage.now() + 6.0;
    let mut events: Vec<(f64, String, usize)> = Vec::new();
    let servers = stage.change(|world| world.servers.len());
    let proxies = stage.change(|world| world.proxies.len());
    if has("deploy") || has("join") {
        let (count, span) = if has("join") { (servers * 6 / 10, 7.0) } else { (servers * 8 / 10, 20.0) };
        for k in 0..count {
            let at = 1.0 + span * (k as f64 + chance() * 0.5) / count as f64;
            events.push((at, "drain".into(), k));
            events.push((at + 2.0 + chance() * 2.0, "left".into(), k));
            events.push((at + 0.3 + chance() * 3.0, "new".into(), k));
        }
    }
    if has("crash") {
        for k in 0..servers / 5 {
            events.push((4.0, "dead".into(), k));
            events.push((4.0 + 2.0 + chance() * 3.0, "left".into(), k));
            events.push((4.0 + 6.4 + chance() * 3.0, "up".into(), k));
        }
    }
    if has("fastcrash") {
        for k in 0..servers / 5 {
            events.push((4.0 + chance(), "up".into(), k));
        }
    }
    if has("streams") {
        let at = 2.0 + chance() * 8.0;
        for k in 0..proxies {
            if chance() < 0.88 {
                events.push((at, "leave".into(), k));
                events.push((at + 0.2 + chance() * 2.2, "join".into(), k));
            }
        }
    }
    if has("cut") {
        let at = 2.0 + chance() * 8.0;
        for k in 0..proxies {
            if chance() < 0.5 {
                events.push((at, "leave".into(), k));
                events.push((at + 6.0 + chance() * 6.0, "join".into(), k));
            }
        }
    }
    if has("news") {
        events.push((2.0 + chance() * 10.0, "news".into(), 0));
    }
    if has("reset") {
        let at = 2.0 + chance() * 8.0;
        events.push((at, "reset".into(), 0));
        events.push((at + 1.0, "ok".into(), 0));
    }
    if has("somelost") {
        for k in 0..20 {
            let at = 1.0 + k as f64 + chance();
            events.push((at, if chance() < 0.5 { "silent" } else { "silentx" }.into(), 0));
            events.push((at + 0.2, "ok".into(), 0));
        }
    }
    if has("slow") {
        events.push((2.0 + chance() * 3.0, "slow".into(), 0));
        events.push((12.0 + chance() * 3.0, "fast".into(), 0));
    }
    if has("disc") {
        let at = 2.0 + chance() * 5.0;
        events.push((at, "disc".into(), 0));
        events.push((at + 6.0, "discok".into(), 0));
    }
    if has("stall") {
        for k in 0..8 {
            events.push((2.0 + k as f64 * 2.4 + chance(), "stop".into(), 0));
        }
    }
    if has("zonegone") {
        let at = 2.0 + chance() * 5.0;
        let spread = chance() * 0.5;
        for k in (0..servers).filter(|k| k % 4 == 0) {
            events.push((at + spread * chance(), "gone".into(), k));
            events.push((at + 8.0 + chance(), "up".into(), k));
        }
    }
    for (name, mode) in [("resetx", "resetx"), ("lost", "silent"), ("lostx", "silentx"), ("resetu", "reset")]
    {
        if has(name) {
            let at = 2.0 + chance() * 8.0;
            events.push((at, mode.into(), 0));
            events.push((at + 2.0, "ok".into(), 0));
        }
    }
    if has("spoil") {
        events.push((0.0, "spoil".into(), 0));
    }
    if has("grow") {
        let span = 8.4 + chance() * 15.0;
        let count = servers * 3 / 2;
        for k in 0..count {
            events.push((1.0 + span * k as f64 / count as f64, "new".into(), k));
        }
    }
    if has("drains") {
        for k in 0..5 {
            let at = 2.0 + 20.0 * chance();
            events.push((at, "drain".into(), k));
            events.push((at + 3.0, "left".into(), k));
        }
    }
    if has("hup") {
        events.push((2.0 + chance() * 8.0, "hup".into(), 0));
        events.push((14.0 + chance() * 8.0, "hup".into(), 0));
    }
    if has("kill") {
        let at = 3.0 + chance() * 5.0;
        events.push((at, "kill".into(), 0));
        events.push((at + 1.0 + chance() * 3.0, "start".into(), 0));
        for k in 0..proxies {
            events.push((at + 4.5 + chance() * 2.4, "join".into(), k));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, name, k) in events {
        stage.wait_until(start + at);
        match name.as_str() {
            "hup" => {
                let _ = stage.move_peers();
                continue;
            }
            "kill" => {
                stage.kill_supervisor();
                continue;
            }
            "start" => {
                if let Err(e) = stage.start_supervisor() {
                    stage.change(|w| w.note(e))
                }
                continue;
            }
            _ => {}
        }
        if name == "stop" {
            if std::env::var_os("STALL_COUNTS").is_none() {
                stage.change(|world| {
                    world.limits_wait_until = world.limits_wait_until.max(world.now() + 1.6);
                });
            }
            stage.supervisor.signal("-STOP");
            stage.wait_until(stage.now() + 0.9);
            stage.supervisor.signal("-CONT");
            continue;
        }
        stage.change(|world| match name.as_str() {
            "drain" => world.set_health(k, Health::Leaving),
            "left" => {
                world.servers[k].runs_until = world.now();
                world.set_health(k, Health::Left)
            }
            "gone" => world.set_health(k, Health::Left),
            "dead" => {
                world.servers[k].runs_until = world.now();
            }
            "up" => world.set_started(k),
            "new" => world.add_server(k % world.dep.zones.len()),
            "leave" => world.leave(k),
            "join" => world.join(k),
            "news" => world.break_news(),
            "reset" => world.mode = CallMode::ResetUnexecuted,
            "silent" => world.mode = CallMode::SilentUnexecuted,
            "resetx" => world.mode = CallMode::ResetExecuted,
            "silentx" => world.mode = CallMode::SilentExecuted,
            "ok" => world.mode = CallMode::Answer(5),
            "slow" => world.channel_slowdown = 4.0,
            "fast" => world.channel_slowdown = 1.0,
            "spoil" => world.spoilt_share = 0.25,
            "disc" => world.discovery_silent = true,
            "discok" => world.discovery_silent = false,
            _ => {}
        });
    }
    stage.wait_until(start + 34.0);
}
