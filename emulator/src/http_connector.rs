//! The connector with which hyper's pooling HTTP client opens connections on a [`Network`].

use crate::network::{Network, Stream};
use hyper::rt;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A [`Stream`] that implements the traits required by hyper's client.
pub(crate) struct HyperStream(TokioIo<Stream>);

impl rt::Read for HyperStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: rt::ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl rt::Write for HyperStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Connection for HyperStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

/// Opens connections on a [`Network`] for hyper's client.
#[derive(Clone)]
pub(crate) struct NetworkConnector(pub Network);

impl tower_service::Service<Uri> for NetworkConnector {
    type Response = HyperStream;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<HyperStream>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let network = self.0.clone();
        Box::pin(async move {
            let address = uri.authority().map(ToString::to_string).unwrap_or_default();
            Ok(HyperStream(TokioIo::new(network.connect(&address).await?)))
        })
    }
}
