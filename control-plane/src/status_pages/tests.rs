use super::*;
use tokio::io::AsyncWriteExt;

/// Frames have to be recognized before they reach the HTTP server, because its parser would reject them.
#[tokio::test]
async fn an_http_parser_ends_the_connection_at_a_frames_first_byte() {
    let (mut ours, theirs) = tokio::io::duplex(1024);
    ours.write_all(b"\0\0\0\x0f{\"msg\":\"probe\"}").await.unwrap();
    let page = TowerToHyperService::new(router(watch::channel(String::new()).1));
    let ended = http1::Builder::new().serve_connection(TokioIo::new(theirs), page).await;
    assert!(ended.unwrap_err().is_parse());
}
