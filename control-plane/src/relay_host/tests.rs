use super::*;
use slog::{o, Discard};

#[test]
fn timers_fire_in_the_order_in_which_they_are_due() {
    let names = DeploymentNames { zones: vec![], request_classes: vec![], proxy_count: 0 };
    let now = Moment::from_us(1_000_000);
    let log = Logger::root(Discard, o!());
    let mut host = RelayHost::new(CommandValidator::default(), Rc::new(names), now, log);
    host.schedule_timer(Span::from_secs(2.0), Timer::AssignmentRetry);
    host.schedule_timer(Span::from_secs(1.0), Timer::Resend);
    let late = now + Span::from_secs(3.0);
    assert_eq!(
        [host.pop_due_timer(late), host.pop_due_timer(late), host.pop_due_timer(late)],
        [Some(Timer::Resend), Some(Timer::AssignmentRetry), None]
    );
}
