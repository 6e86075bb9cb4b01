//! The supervisor: the rules of `otterwinch` on sockets.

mod call_error;
mod cli;
mod client;
mod command_delivery;
mod config;
mod connector;
mod control_loop;
mod endpoint_watch;
mod listener;
mod load_reports;
mod log;
mod proxy_streams;
mod relay_host;
mod task_restart;
mod timeout;

use config::Config;
use control_loop::ControlLoop;
use slog::{error, info, warn, Logger};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use task_restart::restart_on_panic;
use timeout::within;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, JoinError, LocalSet};
use tokio_util::sync::CancellationToken;

/// From the word to end until we do, whatever is still owed: a kill follows no sooner than 0.7 s after it.
const SETTLED_WITHIN: Duration = Duration::from_millis(500);

fn main() -> ExitCode {
    let env = |name: &str| std::env::var(name).ok();
    match cli::command().run() {
        cli::Command::Version => {
            println!("otterwinch {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        cli::Command::Check { file } => match Config::from_file(file.as_deref(), env) {
            Ok(config) => {
                println!("config of {} is in order", config.name);
                ExitCode::SUCCESS
            }
            Err(faults) => faulty(&faults),
        },
        cli::Command::Serve => match Config::from_file(None, env) {
            Ok(config) => start(config),
            Err(faults) => faulty(&faults),
        },
    }
}

fn faulty(faults: &[String]) -> ExitCode {
    faults.iter().for_each(|fault| eprintln!("otterwinch: {fault}"));
    ExitCode::from(2)
}

fn start(config: Config) -> ExitCode {
    let (log, guard) = log::to_stderr(&config.name);
    let ended = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => LocalSet::new().block_on(&runtime, serve(config, log.clone())),
        Err(e) => Err(e),
    };
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "ended"; "why" => %e);
            ExitCode::FAILURE
        }
    };
    drop(log);
    log::flush(guard);
    code
}

async fn serve(config: Config, log: Logger) -> std::io::Result<()> {
    let (mut told_to_end, mut interrupted) =
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    // Before we answer anybody: without a handler a SIGHUP ends the process.
    let hangups = signal(SignalKind::hangup())?;
    let config = Rc::new(config);
    let (list_moves, list) = watch::channel(config.list);
    let (relay_moves, relay) = watch::channel(config.relay);
    let commands = command_delivery::CommandDelivery::to(relay.clone());
    let (mut planner, ear, page) = ControlLoop::open(config.clone(), commands, log.clone());
    let follow = planner.follow();
    let listener = TcpListener::bind(config.listen).await?;
    info!(log, "started"; "version" => env!("CARGO_PKG_VERSION"), "listen" => %listener.local_addr()?);
    let (names, seen, list_bytes) = (config.names.clone(), ear.seen.clone(), config.list_bytes);
    let front = listener::Front { names: names.clone(), ear: ear.clone(), page, log: log.clone() };
    {
        let (names, ear, log) = (names.clone(), ear.clone(), log.clone());
        restart_on_panic("list", log.clone(), move || {
            // A task started anew asks at once: the rules do not know that the old one broke.
            follow.notify_one();
            let place = (list.clone(), list_bytes);
            endpoint_watch::follow(place, names.clone(), follow.clone(), ear.clone(), log.clone())
        });
    }
    {
        let log = log.clone();
        restart_on_panic("event stream", log.clone(), move || {
            proxy_streams::follow(relay.clone(), names.clone(), ear.clone(), log.clone())
        });
    }
    let end = CancellationToken::new();
    let mut front = spawn_local(listener::serve(listener, front, config.connections, end.clone()));
    let mut planner = spawn_local(planner.run(end.clone()));
    let why = tokio::select! {
        ended = &mut planner => return Err(unasked("the planner", ended)),
        ended = &mut front => return Err(unasked("our address", ended)),
        () = config::follow(hangups, config, list_moves, relay_moves, seen, log.clone()) => {
            return Err(std::io::Error::other("signals are heard no more"));
        }
        _ = told_to_end.recv() => "told to end",
        _ = interrupted.recv() => "interrupted",
    };
    info!(log, "{}", why);
    end.cancel();
    match within(SETTLED_WITHIN, async { tokio::join!(planner, front) }).await {
        Some((Ok(()), Ok(()))) => {}
        Some((planner @ Err(_), _)) => return Err(unasked("the planner", planner)),
        Some((_, front)) => return Err(unasked("our address", front)),
        None => {
            warn!(log, "ended with something still owed"; "after_ms" => SETTLED_WITHIN.as_millis() as u64);
        }
    }
    Ok(())
}

/// Why a task that goes on until we are told to end has ended.
fn unasked(task: &str, ended: Result<(), JoinError>) -> std::io::Error {
    std::io::Error::other(match ended {
        Ok(()) => format!("{task} ended"),
        Err(broken) => format!("{task} broke: {broken}"),
    })
}
