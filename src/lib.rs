//! The control logic of otterwinch: a library without I/O.
//!
//! A [`controller::Controller`] takes events (endpoint list updates, proxies that join and leave, load
//! reports, timers) and issues commands through a [`host::Host`]: endpoint weights, table assignments,
//! ejections and admission levels. It is configured by a [`config::ControllerConfig`] at its start. The
//! programs that embed it carry events and commands over their protocols. The controller is deterministic:
//! the same configuration, seed and events always give the same commands.

pub mod channel_backlog;
pub mod config;
pub mod controller;
pub mod histogram;
pub mod host;
pub mod listed_state;
pub mod seeded_rng;
#[cfg(test)]
mod test_support;
pub mod time;
