//! Tests of the built program on loopback sockets, with a fake endpoint list and a fake relay.

mod commands;
mod config;
mod config_reload;
mod connections;
mod endpoint_list;
mod proxy_stream;
mod shutdown;
mod support;
