//! Tests of what targets announce in their answers.

mod common;

use {
    common::Fleet,
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Counts of lookups.
#[derive(Clone, Debug, Default)]
struct Tally {
    served: Rc<Cell<u32>>,
    unserved: Rc<Cell<u32>>,
}

impl Tally {
    /// Returns the share of the lookups that were served.
    fn served_share(&self) -> f64 {
        f64::from(self.served.get()) / f64::from(self.served.get() + self.unserved.get()).max(1.0)
    }
}

/// Sends lookups of keys all over the range to all processes, at regular
/// intervals whether they are answered or not.
async fn load(fleet: &Rc<Fleet>, per_second: u64, span: Duration) -> Tally {
    let tally = Tally::default();
    let until = Instant::now() + span;
    let mut lookups = Vec::new();
    for number in 0_u16.. {
        if Instant::now() >= until {
            break;
        }
        let key = number.wrapping_mul(40_503);
        let (fleet, tally) = (fleet.clone(), tally.clone());
        lookups.push(actix_rt::spawn(async move {
            let edge = &fleet.edges[usize::from(number) % fleet.edges.len()];
            let response = fleet.get(edge, key).await;
            let count = match response.is_some_and(|response| response.status == 200) {
                true => &tally.served,
                false => &tally.unserved,
            };
            count.set(count.get() + 1);
        }));
        actix_rt::time::sleep(Duration::from_millis(1_000 / per_second)).await;
    }
    for lookup in lookups {
        lookup.await.unwrap();
    }
    tally
}

/// A target that owns keys names a limit far below the requests for them. All
/// processes together must keep it, and the keys must go where they are served.
#[actix_rt::test]
async fn named_limit_binds_all_processes_together() {
    let fleet = Rc::new(Fleet::start(3).await);
    fleet.servers[0].set_limit(Some(2.0));
    load(&fleet, 40, Duration::from_secs(4)).await;
    let tally = load(&fleet, 40, Duration::from_secs(5)).await;
    fleet.servers[0].set_limit(None);
    assert!(tally.served_share() > 0.9, "{tally:?}");
    fleet.check();
}

/// When a target no longer names a limit, it gets requests as before.
#[actix_rt::test]
async fn limit_ends_with_the_announcement() {
    let fleet = Rc::new(Fleet::start(2).await);
    for server in &fleet.servers[..3] {
        server.set_limit(Some(1.0));
    }
    let tally = load(&fleet, 40, Duration::from_secs(3)).await;
    assert!(tally.served_share() < 0.5, "{tally:?}");
    for server in &fleet.servers[..3] {
        server.set_limit(None);
    }
    load(&fleet, 40, Duration::from_secs(4)).await;
    let tally = load(&fleet, 40, Duration::from_secs(2)).await;
    assert!(tally.served_share() > 0.9, "{tally:?}");
    fleet.check();
}
