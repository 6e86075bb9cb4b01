//! Where the stand-ins meet: loopback sockets in real time, or streams in memory under a clock that may be paused. What
//! runs on one runs on the other unchanged.

use hyper::rt;
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// What a stream in memory holds unread, and the connections that wait to be accepted.
const HELD: usize = 64 << 10;
const BACKLOG: usize = 1024;

#[derive(Clone, Default)]
pub enum Net {
    #[default]
    Loopback,
    Memory(Arc<Hub>),
}

/// Who listens in memory, by name.
#[derive(Default)]
pub struct Hub {
    listening: Mutex<HashMap<String, mpsc::Sender<DuplexStream>>>,
}

pub enum Stream {
    Tcp(TcpStream),
    Memory(DuplexStream),
}

pub enum Listener {
    Tcp(TcpListener),
    Memory(mpsc::Receiver<DuplexStream>),
}

impl Net {
    pub fn memory() -> Net {
        Net::Memory(Arc::default())
    }

    /// Listens under a name of its own; the answer is what others dial. `again` is an address to listen at once more.
    pub async fn listen(&self, name: &str, again: Option<&str>) -> io::Result<(Listener, String)> {
        match self {
            Net::Loopback => {
                let address = again.unwrap_or("127.0.0.1:0").parse().map_err(io::Error::other)?;
                let socket = TcpSocket::new_v4()?;
                // A node that comes back takes its old address, whatever connections still end there.
                socket.set_reuseaddr(true)?;
                socket.bind(address)?;
                let listener = socket.listen(BACKLOG as u32)?;
                let address = listener.local_addr()?.to_string();
                Ok((Listener::Tcp(listener), address))
            }
            Net::Memory(hub) => {
                let (sender, receiver) = mpsc::channel(BACKLOG);
                let name = again.map_or_else(|| format!("{name}:1"), str::to_owned);
                hub.listening.lock().expect("no holder panics").insert(name.clone(), sender);
                Ok((Listener::Memory(receiver), name))
            }
        }
    }

    pub async fn connect(&self, address: &str) -> io::Result<Stream> {
        match self {
            Net::Loopback => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
            Net::Memory(hub) => {
                let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
                let listening = hub.listening.lock().expect("no holder panics").get(address).cloned();
                let (ours, theirs) = tokio::io::duplex(HELD);
                listening.ok_or_else(refused)?.send(theirs).await.map_err(|_| refused())?;
                Ok(Stream::Memory(ours))
            }
        }
    }
}

impl Listener {
    pub async fn accept(&mut self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, _) = listener.accept().await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
            Listener::Memory(listener) => {
                listener.recv().await.map(Stream::Memory).ok_or_else(|| io::ErrorKind::NotConnected.into())
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_read(cx, buf),
            Stream::Memory(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_write(cx, buf),
            Stream::Memory(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Memory(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Memory(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

/// A stream as hyper's client takes it.
pub struct Wire(TokioIo<Stream>);

impl rt::Read for Wire {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: rt::ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl rt::Write for Wire {
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

impl Connection for Wire {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

/// Dials for hyper's client.
#[derive(Clone)]
pub struct Dial(pub Net);

impl tower_service::Service<Uri> for Dial {
    type Response = Wire;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Wire>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let net = self.0.clone();
        Box::pin(async move {
            let address = to.authority().map(ToString::to_string).unwrap_or_default();
            Ok(Wire(TokioIo::new(net.connect(&address).await?)))
        })
    }
}
