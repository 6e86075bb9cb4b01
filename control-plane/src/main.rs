//! The `otterwinch` program: runs the control plane as a network service, and checks its configuration.

mod call_error;
mod cli;
mod client;
mod clock;
mod collector_message;
mod command;
mod command_batch;
mod command_delivery;
mod command_queue;
mod config;
mod config_fault;
mod config_reload;
mod connection;
mod connection_context;
mod connection_log;
mod connection_table;
mod connector;
mod control_loop;
mod controller_restart;
mod deployment_names;
mod endpoint_list;
mod endpoint_watch;
mod event;
mod event_dispatch;
mod listener;
mod load_reports;
mod log;
mod metrics;
mod observed_fleet;
mod proxy_event;
mod proxy_snapshot;
mod proxy_stream_connection;
mod proxy_streams;
mod relay_host;
mod server;
mod shutdown;
mod status;
mod status_pages;
mod task_restart;
mod timeout;
mod timer_queue;
mod turn_budget;

use config::Config;
use config_fault::ConfigFault;
use server::{serve, ServeError};
use slog::{error, Logger};
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

const EXIT_INVALID_CONFIG: u8 = 2;

fn main() -> ExitCode {
    match cli::subcommand().run() {
        cli::Subcommand::Version => {
            println!("otterwinch {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        cli::Subcommand::Check { file } => match Config::from_file(file.as_deref(), env_var) {
            Ok(config) => {
                println!("config of {} is valid", config.name);
                ExitCode::SUCCESS
            }
            Err(faults) => print_faults(&faults),
        },
        cli::Subcommand::Serve => match Config::from_file(None, env_var) {
            Ok(config) => run_server(config),
            Err(faults) => print_faults(&faults),
        },
    }
}

fn env_var(variable: &str) -> Option<String> {
    std::env::var(variable).ok()
}

fn print_faults(faults: &[ConfigFault]) -> ExitCode {
    for fault in faults {
        eprintln!("otterwinch: {fault}");
    }
    ExitCode::from(EXIT_INVALID_CONFIG)
}

fn run_server(config: Config) -> ExitCode {
    let (log, flush_guard) = log::stderr_logger(&config.name);
    let result = block_on_server(config, log.clone());
    if let Err(failure) = &result {
        error!(log, "exiting with an error"; "why" => #failure);
    }
    drop(log);
    log::flush(flush_guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Runs all tasks on one thread, so that they can share state without locks.
fn block_on_server(config: Config, log: Logger) -> Result<(), ServeError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, log))
}
