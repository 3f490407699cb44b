//! Tests of the age of the leader's states.

use {
    catkin::types::{Span, Time},
    catkin_route::report_times::ReportTimes,
};

fn at(millis: u64) -> Time {
    Time::default().after(Span::from_millis(millis))
}

/// A state that was seconds on its way must count as old, however regularly the
/// states arrive: reports leave every 250 ms, and answers arrive every 375 ms.
#[test]
fn time_on_the_way_counts() {
    let mut reports = ReportTimes::new(at(0));
    let mut sent = 0;
    for answer in 0..12 {
        let now = 375 * answer;
        while 250 * sent <= now {
            reports.sent(at(250 * sent));
            sent += 1;
        }
        assert_eq!(reports.answered(at(now)), Some(Span::from_millis(125 * answer)));
        assert_eq!(reports.sent_after(), at(250 * answer));
    }
}

/// A state that the leader sends by itself is at least as new as the last report
/// that it has answered, and the first one as the link.
#[test]
fn states_without_a_report_are_as_new_as_the_last_answer() {
    let mut reports = ReportTimes::new(at(10));
    assert_eq!(reports.sent_after(), at(10));
    reports.sent(at(20));
    assert_eq!(reports.sent_after(), at(10));
    assert_eq!(reports.answered(at(50)), Some(Span::from_millis(30)));
    reports.sent(at(270));
    assert_eq!(reports.sent_after(), at(20));
    assert_eq!(reports.answered(at(280)), Some(Span::from_millis(10)));
    assert_eq!(reports.answered(at(290)), None, "there was no further report");
}
