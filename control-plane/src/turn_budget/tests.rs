use super::*;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

/// Whether handling messages of this length lets other tasks run.
async fn yields(messages: usize, bytes: usize) -> bool {
    let mut budget = TurnBudget::default();
    let mut work = pin!(async {
        for _ in 0..messages {
            budget.spend(bytes).await;
        }
    });
    work.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending()
}

#[tokio::test]
async fn other_tasks_run_after_some_small_messages_or_a_large_one() {
    assert!(!yields(10, 20).await);
    assert!(yields(100, 20).await);
    assert!(yields(1, 60_000).await);
}
