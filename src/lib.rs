//! otterwinch: the decisions of a central planner behind a layer of plain proxies.
//!
//! [`controller`] decides; it acts through [`host::Host`] and reads a [`config::ControllerConfig`] at start. Nothing in
//! this crate does I/O.

pub mod channel_backlog;
pub mod config;
pub mod controller;
pub mod histogram;
pub mod host;
pub mod seeded_rng;
#[cfg(test)]
mod testing;
pub mod time;
