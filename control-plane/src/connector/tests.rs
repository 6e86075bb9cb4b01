use super::*;
use tokio::time::{sleep, Instant};

async fn after(ms: u64, result: io::Result<u32>) -> io::Result<u32> {
    sleep(Duration::from_millis(ms)).await;
    result
}

/// Does what a call does: starts an attempt and waits for as long as a call waits for a connection.
async fn call(
    connector: &mut Connector<u32>,
    attempt: impl Future<Output = io::Result<u32>> + Send + 'static,
) -> Option<u32> {
    timeout(Duration::from_millis(150), connector.connect(attempt, |_| true)).await.ok().and_then(Result::ok)
}

#[tokio::test(start_paused = true)]
async fn an_attempt_slower_than_any_call_succeeds_for_a_later_call() {
    let (mut connector, begun) = (Connector::new(), Instant::now());
    assert_eq!(call(&mut connector, after(400, Ok(1))).await, None);
    assert_eq!(call(&mut connector, after(400, Ok(2))).await, None);
    assert_eq!(call(&mut connector, after(400, Ok(3))).await, Some(1));
    assert_eq!(begun.elapsed().as_millis(), 400);
    assert!(
        connector.attempts.is_empty() && connector.handles.is_empty(),
        "a success aborts the other attempts"
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_attempt_is_not_delayed_by_those_that_hang() {
    let mut connector = Connector::new();
    for _ in 0..9 {
        assert_eq!(call(&mut connector, std::future::pending()).await, None);
        assert!(connector.attempts.len() <= MAX_ATTEMPTS + 1, "{} at once", connector.attempts.len());
    }
    assert_eq!(call(&mut connector, after(1, Ok(7))).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn the_failure_of_the_newest_attempt_is_returned_and_that_of_an_older_one_is_not() {
    let mut connector = Connector::new();
    let refused = || Err(io::ErrorKind::ConnectionRefused.into());
    assert_eq!(call(&mut connector, after(160, refused())).await, None);
    assert_eq!(call(&mut connector, after(100, Ok(2))).await, Some(2));
    let result = connector.connect(after(1, refused()), |_| true).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_was_closed_before_it_was_used_is_skipped() {
    let mut connector = Connector::new();
    assert_eq!(call(&mut connector, after(200, Ok(1))).await, None);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(connector.connect(after(5, Ok(2)), |stream| *stream != 1).await.unwrap(), 2);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_hangs_times_out() {
    let mut connector = Connector::new();
    let result = connector.connect(std::future::pending::<io::Result<u32>>(), |_| true).await;
    assert_eq!(result.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(connector.handles.is_empty());
}
