use super::*;
use tokio::task::yield_now;

#[tokio::test]
async fn our_own_pause_is_not_the_peers_silence() {
    // The limit is over at the first look, and what came takes several more to be read.
    let read = async {
        for _ in 0..5 {
            yield_now().await;
        }
        7
    };
    assert_eq!(within(Duration::ZERO, read).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn silence_ends_the_wait() {
    assert_eq!(within(Duration::from_secs(2), std::future::pending::<()>()).await, None);
}
