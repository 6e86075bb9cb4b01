use super::*;
use tokio::io::AsyncWriteExt;

/// Frames have to be recognized before they reach the HTTP server, because its parser would reject them.
#[tokio::test]
async fn the_http_parser_rejects_the_first_byte_of_a_frame() {
    let (mut client, server) = tokio::io::duplex(1024);
    client.write_all(b"\0\0\0\x0f{\"msg\":\"probe\"}").await.unwrap();
    let pages = TowerToHyperService::new(router(watch::channel(String::new()).1));
    let result = http1::Builder::new().serve_connection(TokioIo::new(server), pages).await;
    assert!(result.unwrap_err().is_parse());
}
