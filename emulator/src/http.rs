//! The path and headers of emulated requests, and helpers for the HTTP servers of the emulator.

use crate::network::Stream;
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::error::Error;
use std::future::Future;

/// The path of all emulated requests.
pub(crate) const REQUEST_PATH: &str = "/txn";
/// The request header with the index of the request class.
pub(crate) const REQUEST_CLASS_HEADER: &str = "x-product";
/// The request header with the work of the request, in microseconds on a core of speed 1.
pub(crate) const WORK_US_HEADER: &str = "x-work-us";
/// The response header that marks a request as rejected by a proxy, because of its admission level or because
/// the proxy has no endpoint for it.
pub(crate) const REJECTED_HEADER: &str = "x-declined";
/// The response header that marks a request as not executed by any endpoint, so that a retry is safe.
pub(crate) const NOT_EXECUTED_HEADER: &str = "x-never-ran";

/// The value of headers that are only checked for presence.
const FLAG_VALUE: HeaderValue = HeaderValue::from_static("1");

/// Builds a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Builds a response without a body, marked by a header.
pub(crate) fn flagged_response(status: StatusCode, header: &'static str) -> Response<Full<Bytes>> {
    let mut response = empty_response(status);
    response.headers_mut().insert(header, FLAG_VALUE);
    response
}

/// The value of a header as text; `None` if it is missing or has other than visible ASCII.
pub(crate) fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Serves HTTP/1.1 on a connection until it is closed. Connection errors are ignored, since they affect only
/// the peer.
pub(crate) async fn serve_connection<H, F, B>(stream: Stream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
