use super::*;
use slog::{o, Discard};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::LocalSet;

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_restarted() {
    let (starts, restarted) = (Rc::new(Cell::new(0)), Rc::new(Notify::new()));
    let notified = restarted.clone();
    let task = move || {
        starts.set(starts.get() + 1);
        let (first, restarted) = (starts.get() == 1, restarted.clone());
        async move {
            assert!(!first, "panics once");
            restarted.notify_one();
            std::future::pending().await
        }
    };
    let run = async {
        restart_on_panic("endpoint watch", Logger::root(Discard, o!()), task);
        notified.notified().await;
    };
    LocalSet::new().run_until(run).await;
}
