use super::*;
use tokio::time::{sleep, Instant};

async fn after(ms: u64, what: io::Result<u32>) -> io::Result<u32> {
    sleep(Duration::from_millis(ms)).await;
    what
}

/// One call's part: a connect of its own, waited for as long as a call waits.
async fn call(
    dials: &mut Connector<u32>,
    dial: impl Future<Output = io::Result<u32>> + Send + 'static,
) -> Option<u32> {
    timeout(Duration::from_millis(150), dials.up(dial, |_| true)).await.ok().and_then(Result::ok)
}

#[tokio::test(start_paused = true)]
async fn a_connect_slower_than_any_call_waits_comes_up_for_a_later_call() {
    let (mut dials, from) = (Connector::new(), Instant::now());
    assert_eq!(call(&mut dials, after(400, Ok(1))).await, None);
    assert_eq!(call(&mut dials, after(400, Ok(2))).await, None);
    assert_eq!(call(&mut dials, after(400, Ok(3))).await, Some(1));
    assert_eq!(from.elapsed().as_millis(), 400);
    assert!(dials.running.is_empty() && dials.handles.is_empty(), "the others end with it");
}

#[tokio::test(start_paused = true)]
async fn a_connect_begun_late_is_not_held_up_by_those_that_hang() {
    let mut dials = Connector::new();
    for _ in 0..9 {
        assert_eq!(call(&mut dials, std::future::pending()).await, None);
        assert!(dials.running.len() <= AT_ONCE + 1, "{} at once", dials.running.len());
    }
    assert_eq!(call(&mut dials, after(1, Ok(7))).await, Some(7));
}

#[tokio::test(start_paused = true)]
async fn a_failure_of_the_newest_is_told_and_that_of_an_older_one_is_not() {
    let mut dials = Connector::new();
    let refused = || Err(io::ErrorKind::ConnectionRefused.into());
    assert_eq!(call(&mut dials, after(160, refused())).await, None);
    assert_eq!(call(&mut dials, after(100, Ok(2))).await, Some(2));
    let told = dials.up(after(1, refused()), |_| true).await;
    assert_eq!(told.unwrap_err().kind(), io::ErrorKind::ConnectionRefused);
}

#[tokio::test(start_paused = true)]
async fn one_that_came_up_while_nobody_called_and_is_closed_by_now_is_passed_over() {
    let mut dials = Connector::new();
    assert_eq!(call(&mut dials, after(200, Ok(1))).await, None);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(dials.up(after(5, Ok(2)), |stream| *stream != 1).await.unwrap(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_connect_that_hangs_ends_by_itself() {
    let mut dials = Connector::new();
    let told = dials.up(std::future::pending::<io::Result<u32>>(), |_| true).await;
    assert_eq!(told.unwrap_err().kind(), io::ErrorKind::TimedOut);
    assert!(dials.handles.is_empty());
}
