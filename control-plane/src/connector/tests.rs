use super::*;
use tokio::time::{sleep, Instant};

async fn complete_after(ms: u64, result: io::Result<u32>) -> io::Result<u32> {
    sleep(Duration::from_millis(ms)).await;
    result
}

/// Connects as a call does: starts an attempt and waits for as long as a call waits for a connection.
async fn call(
    connector: &mut Connector<u32>,
    attempt: impl Future<Output = io::Result<u32>> + Send + 'static,
) -> Option<u32> {
    timeout(Duration::from_millis(150), connector.connect(attempt, |_| true)).await.ok().and_then(Result::ok)
}

#[tokio::test(start_paused = true)]
async fn an_attempt_slower_than_any_call_succeeds_for_a_later_call() {
    let (mut connector, started_at) = (Connector::new(), Instant::now());
    assert_eq!(call(&mut connector, complete_after(400, Ok(1))).await, None);
    assert_eq!(call(&mut connector, complete_after(400, Ok(2))).await, None);
    assert_eq!(call(&mut connector, complete_after(400, Ok(3))).await, Some(1));
    assert_eq!(started_at.elapsed().as_millis(), 400);
    assert!(
        connector.attempts.is_empty() && connector.handles.is_empty(),
        "a success aborts the other attempts"
    );
}

#[tokio::test(start_paused = true)]
async fn a_new_attempt_is_not_delayed_by_hanging_ones() {
    let mut connector = Connector::new();
    for _ in 0..9 {
        assert_eq!(call(&mut connector, std::future::pending()).await, None);
        assert!(connector.attempts.len() <= MAX_ATTEMPTS + 1, "{} at once", connector.attempts.len());
    }
    assert_eq!(call(&mut connector, complete_after(1, Ok(7))).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn only_the_failure_of_the_newest_attempt_is_returned() {
    let mut connector = Connector::new();
    let refused = || Err(io::ErrorKind::ConnectionRefused.into());
    assert_eq!(call(&mut connector, complete_after(160, refused())).await, None);
    assert_eq!(call(&mut connector, complete_after(100, Ok(2))).await, Some(2));
    let result = connector.connect(complete_after(1, refused()), |_| true).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
}

#[tokio::test(start_paused = true)]
async fn an_unusable_connection_is_skipped() {
    let mut connector = Connector::new();
    assert_eq!(call(&mut connector, complete_after(200, Ok(1))).await, None);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(connector.connect(complete_after(5, Ok(2)), |stream| *stream != 1).await.unwrap(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_hanging_attempt_times_out() {
    let mut connector = Connector::new();
    let result = connector.connect(std::future::pending::<io::Result<u32>>(), |_| true).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(connector.handles.is_empty());
}
