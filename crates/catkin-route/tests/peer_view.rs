//! The leader's view of a process behind a slow link.

use {
    catkin_route::peer_view::{Known, PeerView},
    std::collections::VecDeque,
};

fn known(table: Option<u64>, next_offsets: [Option<u64>; 2]) -> Known {
    Known { table, next_offsets, levels: table }
}

/// Time between two reports of the process.
const REPORT_INTERVAL_MS: u64 = 60;

/// A process on whose link every message takes a time to arrive.
#[derive(Default)]
struct Process {
    received: u64,
    table: Option<u64>,
    in_transit: VecDeque<(u64, u64)>,
}

/// While answers are on their way, a report must not make the leader send their
/// content again: on a slow link, every further report would ask for the full
/// table, and the link would never recover.
#[test]
fn slow_link_gets_each_table_once() {
    for delay_ms in [1, 100, 1_000] {
        let (mut view, mut process) = (PeerView::default(), Process::default());
        let mut sent = Vec::new();
        for now in (0..20_000).step_by(REPORT_INTERVAL_MS as usize) {
            while let Some((_, table)) = process.in_transit.pop_front_if(|(at, _)| *at <= now) {
                process.received += 1;
                process.table = Some(table);
            }
            let newest = now / 2_000;
            view.report(process.received, known(process.table, [None, None]));
            if view.known().table.is_none_or(|known| known < newest) {
                sent.push(newest);
            }
            view.note_sent(known(Some(newest), [None, None]));
            process.in_transit.push_back((now + delay_ms, newest));
        }
        assert_eq!(sent, (0..10).collect::<Vec<u64>>(), "with a delay of {delay_ms} ms");
    }
}

/// A process may read the store itself or lose its position. Once nothing is on
/// its way, the leader continues from where the process stands.
#[test]
fn quiet_link_follows_the_process() {
    let mut view = PeerView::default();
    view.note_sent(known(Some(5), [Some(7), Some(8)]));
    view.report(0, known(None, [None, None]));
    assert_eq!(view.known(), known(Some(5), [Some(7), Some(8)]));
    view.report(1, known(Some(9), [None, Some(3)]));
    assert_eq!(view.known(), known(Some(9), [None, Some(3)]));
}
