use super::*;
use tokio::task::yield_now;

#[tokio::test]
async fn a_pause_of_this_process_is_not_a_timeout() {
    // The limit has already expired at the first poll, and the future needs several more polls.
    let read = async {
        for _ in 0..5 {
            yield_now().await;
        }
        7
    };
    assert_eq!(timeout_with_grace(Duration::ZERO, read).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_times_out() {
    assert_eq!(timeout_with_grace(Duration::from_secs(2), std::future::pending::<()>()).await, None);
}
