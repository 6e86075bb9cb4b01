use super::*;
use slog::{o, Discard};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::LocalSet;

#[tokio::test(start_paused = true)]
async fn a_task_that_breaks_is_started_again() {
    let (begun, again) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    let told = again.clone();
    let task = move || {
        begun.set(begun.get() + 1);
        let (first, again) = (begun.get() == 1, again.clone());
        async move {
            assert!(!first, "breaks once");
            again.notify_one();
            std::future::pending().await
        }
    };
    let run = async {
        restart_on_panic("list", Logger::root(Discard, o!()), task);
        told.notified().await;
    };
    LocalSet::new().run_until(run).await;
}
