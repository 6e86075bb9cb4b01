//! The read-only HTTP status pages: `/healthz` and `/state`.

use crate::call_error::CallError;
use axum::extract::State;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

const HEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_HEADER_BYTES: usize = 8 << 10;

/// Returns the router of the pages. `status` holds the JSON text of `/state`.
pub fn router(status: watch::Receiver<String>) -> Router {
    Router::new().route("/healthz", get(health)).route("/state", get(state)).with_state(status)
}

async fn health() -> &'static str {
    "alive\n"
}

async fn state(State(status): State<watch::Receiver<String>>) -> impl IntoResponse {
    ([(CONTENT_TYPE, "application/json")], status.borrow().clone())
}

/// Answers one request on a connection and closes it. With keep-alive, a peer could keep its connection open
/// without identifying itself.
pub async fn serve(stream: TcpStream, pages: Router) -> Result<(), CallError> {
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), TowerToHyperService::new(pages));
    connection.await.map_err(|error| CallError::InvalidData(error.into()))
}

#[cfg(test)]
mod tests;
