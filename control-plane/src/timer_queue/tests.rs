use super::*;
use otterwinch::time::Span;

#[test]
fn timers_due_at_the_same_time_fire_in_the_order_in_which_they_were_scheduled() {
    let due = Moment::from_us(1_000_000);
    let mut queue = TimerQueue::default();
    queue.schedule(due, Timer::Resend);
    queue.schedule(due, Timer::Evaluation);
    assert_eq!(queue.pop_due(Moment::from_us(999_999)), None);
    assert_eq!(
        [queue.pop_due(due), queue.pop_due(due), queue.pop_due(due)],
        [Some(Timer::Resend), Some(Timer::Evaluation), None]
    );
}

#[test]
fn a_cleared_queue_has_no_timer_due() {
    let mut queue = TimerQueue::default();
    queue.schedule(Moment::from_us(0), Timer::AssignmentRetry);
    queue.clear();
    assert_eq!(queue.next_due(), None);
    assert_eq!(queue.pop_due(Moment::from_us(0) + Span::from_secs(1.0)), None);
}
