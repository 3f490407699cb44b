//! Requests for downloads at a machine whose link is too slow for all of them.

use {
    catkin::types::{Size, Span, Time},
    catkin_route::{
        link_load::{AnswerId, LinkLoad},
        rate::LinkRate,
    },
    std::{collections::VecDeque, sync::Arc},
};

const DOWNLOAD: u64 = 540_000;
const TIMEOUT: Span = Span::from_millis(1_500);

/// Bytes that a link of 10 Mbit/s carries in 10 ms.
const STEP_BYTES: u64 = 12_500;

fn at(millis: u64) -> Time {
    Time::default().after(Span::from_millis(millis))
}

fn size(bytes: u64) -> Size {
    Size::from_bytes(bytes)
}

fn link() -> (LinkLoad, Arc<str>, Arc<str>) {
    let mut link = LinkLoad::new(LinkRate::from_mbps(10.0).unwrap());
    let (download, short): (Arc<str>, Arc<str>) = ("download".into(), "short".into());
    link.count_answer(&download, size(DOWNLOAD));
    link.count_answer(&short, size(1_000));
    (link, download, short)
}

/// Offers a download every `interval` ms for 20 s to a link that is shared equally.
/// Returns how many arrived in time, late, and were refused, and how many short
/// requests were refused.
fn run(interval: u64, refuse: bool) -> (u32, u32, u32, u32) {
    let (mut link, download, short) = link();
    let mut open: VecDeque<(AnswerId, u64, u64)> = VecDeque::new();
    let (mut in_time, mut late, mut refused, mut shorts) = (0, 0, 0, 0);
    for now in (0..20_000).step_by(10) {
        let deadline = at(now).after(TIMEOUT);
        if now % interval == 0 {
            match link.wait(at(now), &download, deadline) {
                Some(_) if refuse => refused += 1,
                _ => open.push_back((link.begin(&download), now, DOWNLOAD)),
            }
        }
        shorts += u32::from(link.wait(at(now), &short, deadline).is_some());
        let each = STEP_BYTES / (open.len() as u64).max(1);
        open.retain_mut(|(id, since, left)| {
            let part = each.min(*left);
            link.record_written(at(now), *id, size(part));
            *left -= part;
            if *left > 0 {
                return true;
            }
            link.end(*id);
            let is_late = now - *since > 1_500;
            (in_time, late) = (in_time + u32::from(!is_late), late + u32::from(is_late));
            false
        });
    }
    (in_time, late, refused, shorts)
}

/// With twice the downloads that the link carries, most would arrive late: those that
/// can't be sent in time must be refused, and the others arrive in time.
#[test]
fn downloads_beyond_the_link_are_refused_at_once() {
    let (in_time, late, _, _) = run(210, false);
    assert!(late > 2 * in_time, "without refusals: {in_time} in time, {late} late");
    let (in_time, late, refused, shorts) = run(210, true);
    assert!(in_time >= 35, "{in_time} in time, {late} late, {refused} refused");
    assert!(late * 10 <= in_time, "{in_time} in time, {late} late, {refused} refused");
    assert_eq!(shorts, 0, "short requests hardly wait for downloads");
}

/// Downloads that the link carries must not be refused.
#[test]
fn downloads_within_the_link_are_accepted() {
    let (_, late, refused, _) = run(600, true);
    assert_eq!((late, refused), (0, 0));
}

/// Answers that wait for their targets, or for callers that read slowly, must not cause
/// refusals: the link is not what they wait for.
#[test]
fn answers_that_wait_for_others_refuse_nothing() {
    let (mut link, download, _) = link();
    let ids: Vec<_> = (0..50).map(|_| link.begin(&download)).collect();
    assert_eq!(link.wait(at(0), &download, at(1_500)), None);
    // All callers stop after some bytes, and one goes on at the rate of the link.
    ids.iter().for_each(|id| link.record_written(at(0), *id, size(10_000)));
    for now in (0..3_000).step_by(10) {
        link.record_written(at(now), ids[0], size(STEP_BYTES));
    }
    assert_eq!(link.wait(at(3_000), &download, at(4_500)), None);
}

/// The time that a refused caller is told must be the one by which the answer would be
/// late, and nothing is refused before the first answer of a route.
#[test]
fn wait_is_the_time_that_is_missing() {
    let (mut link, download, _) = link();
    let ids: Vec<_> = (0..4).map(|_| link.begin(&download)).collect();
    ids.iter().for_each(|id| link.record_written(at(0), *id, size(250_000)));
    ids.iter().for_each(|id| link.set_size(*id, size(DOWNLOAD)));
    let wait = link.wait(at(100), &download, at(1_600));
    // Five downloads take 2,160 ms.
    assert_eq!(wait, Some(Span::from_millis(660)));
    assert_eq!(link.wait(at(100), "new", at(1_600)), None);
    ids.into_iter().for_each(|id| link.end(id));
    assert_eq!(link.wait(at(100), &download, at(1_600)), None);
}
