//! Which parts of messages are due.

mod common;

use {
    catkin::types::Span,
    catkin_route::{
        pacing::{ReportPacing, ZonePacing, levels_interval},
        spill::ZoneTable,
    },
    common::at,
    std::rc::Rc,
};

/// Counts the full ones of the reports of a second.
fn full_reports(processes: u32, interval_ms: usize) -> usize {
    let mut pacing = ReportPacing::default();
    (0..1_000).step_by(interval_ms).filter(|now| pacing.is_full(at(*now), processes)).count()
}

/// Up to 100 processes nothing may be sent less often than the leader's link allows.
#[test]
fn smaller_fleets_send_everything() {
    assert_eq!(full_reports(70, 60), 17);
    assert_eq!(levels_interval(70), Span::from_millis(200));
    assert_eq!(levels_interval(1), Span::from_millis(200));
}

/// Admission follows the load within about a second, so a report in calm times must
/// have all counts, and one of two at least where a process asks for quotas.
#[test]
fn large_fleets_send_counts_twice_a_second() {
    assert_eq!(full_reports(300, 500), 2);
    assert_eq!(full_reports(300, 60), 3);
    // Answers to reports that arrive a little early must have the levels too.
    assert!(levels_interval(2_000) < Span::from_millis(450));
    assert!(levels_interval(120) < levels_interval(150));
}

/// New shares that came late would send requests to a zone that is full by then.
#[test]
fn new_shares_of_zones_are_sent_at_once() {
    let table = |count| Rc::new(ZoneTable { zones: vec![("a".into(), count)], shares: Vec::new() });
    let mut pacing = ZonePacing::default();
    assert!(pacing.due(at(0), table(1)).is_some());
    assert!(pacing.due(at(60), table(1)).is_none());
    assert!(pacing.due(at(120), table(2)).is_some());
    assert!(pacing.due(at(180), table(2)).is_none());
    // A process drops shares that are not repeated.
    assert!(pacing.due(at(620), table(2)).is_some());
}
