//! The network between the emulated clients and servers: loopback sockets in real time, or in-memory streams,
//! which also work on a paused clock. Clients and servers run unchanged on either.

use crate::sync::lock;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// The buffer size of each direction of an in-memory stream.
const MEMORY_STREAM_BUFFER_BYTES: usize = 64 << 10;
/// The maximum number of connections that wait to be accepted, per listener.
const ACCEPT_BACKLOG: u32 = 1024;

/// A network on which servers listen and to which clients connect. Clones share the same network.
#[derive(Clone, Default)]
pub enum Network {
    /// TCP sockets on 127.0.0.1.
    #[default]
    Loopback,
    /// Streams within this process.
    Memory(Arc<MemoryNetwork>),
}

/// The listeners of an in-memory network, by address.
#[derive(Default)]
pub struct MemoryNetwork {
    listeners: Mutex<HashMap<String, mpsc::Sender<DuplexStream>>>,
}

/// One end of a connection.
pub(crate) enum Stream {
    Tcp(TcpStream),
    Memory(DuplexStream),
}

/// Accepts the connections to one address.
pub(crate) enum Listener {
    Tcp(TcpListener),
    Memory(mpsc::Receiver<DuplexStream>),
}

impl Network {
    /// Creates an in-memory network without listeners.
    pub fn memory() -> Network {
        Network::Memory(Arc::default())
    }

    /// Listens on a new address. Returns the listener and its address. `name` has to be unique within the
    /// network.
    pub(crate) fn listen(&self, name: &str) -> io::Result<(Listener, String)> {
        match self {
            Network::Loopback => {
                let listener = listen_tcp(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
                let address = listener.local_addr()?.to_string();
                Ok((Listener::Tcp(listener), address))
            }
            Network::Memory(network) => {
                let address = format!("{name}:1");
                Ok((network.listen(&address), address))
            }
        }
    }

    /// Listens on the address of an earlier listener, for a server that restarts.
    pub(crate) fn rebind(&self, address: &str) -> io::Result<Listener> {
        match self {
            Network::Loopback => {
                let invalid = |e| io::Error::new(io::ErrorKind::InvalidInput, e);
                let address = address.parse().map_err(invalid)?;
                Ok(Listener::Tcp(listen_tcp(address)?))
            }
            Network::Memory(network) => Ok(network.listen(address)),
        }
    }

    /// Connects to the listener at an address.
    pub(crate) async fn connect(&self, address: &str) -> io::Result<Stream> {
        match self {
            Network::Loopback => {
                let stream = TcpStream::connect(address).await?;
                stream.set_nodelay(true)?;
                Ok(Stream::Tcp(stream))
            }
            Network::Memory(network) => network.connect(address).await.map(Stream::Memory),
        }
    }
}

fn listen_tcp(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // Lets a restarted server listen on its address while old connections are still closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl MemoryNetwork {
    fn listen(&self, address: &str) -> Listener {
        let (sender, receiver) = mpsc::channel(ACCEPT_BACKLOG as usize);
        lock(&self.listeners).insert(address.to_owned(), sender);
        Listener::Memory(receiver)
    }

    async fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let listener = lock(&self.listeners).get(address).cloned().ok_or_else(refused)?;
        let (client, server) = tokio::io::duplex(MEMORY_STREAM_BUFFER_BYTES);
        listener.send(server).await.map_err(|_| refused())?;
        Ok(client)
    }
}

impl Listener {
    /// Waits for the next connection. An in-memory listener fails once it has been replaced or its network
    /// dropped.
    pub(crate) async fn accept(&mut self) -> io::Result<Stream> {
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
