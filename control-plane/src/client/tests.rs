use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{yield_now, JoinSet};

const LIMIT: Duration = Duration::from_millis(40);

async fn call(address: SocketAddr) -> CallError {
    let response = PeerClient::new(address).call(Method::GET, "/", Bytes::new(), LIMIT, 1 << 10).await;
    response.expect_err("the peer does not respond")
}

/// Makes many calls, so that their timeouts fall on all parts of a timer tick.
#[tokio::test]
async fn a_peer_that_sends_nothing_in_time_has_not_responded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut calls = JoinSet::new();
    for _ in 0..400 {
        calls.spawn(call(address));
        yield_now().await;
        std::thread::sleep(Duration::from_micros(70));
    }
    while let Some(error) = calls.join_next().await {
        let error = error.unwrap();
        assert!(matches!(error, CallError::NoResponse(_)), "{error}: {:?}", error.source());
    }
}

#[tokio::test]
async fn a_response_whose_body_does_not_end_in_time_is_invalid() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_u8().await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").await.unwrap();
        let _ = stream.read_to_end(&mut Vec::new()).await;
    });
    let error = call(address).await;
    assert!(matches!(error, CallError::InvalidData(_)), "{error}: {:?}", error.source());
    server.abort();
}
