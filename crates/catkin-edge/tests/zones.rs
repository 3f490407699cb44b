//! Requests to servers of other zones.

mod common;

use {
    common::{Edge, Fleet, Tally, metrics},
    std::{rc::Rc, time::Duration},
};

async fn sleep(millis: u64) {
    actix_rt::time::sleep(Duration::from_millis(millis)).await;
}

/// Returns how many requests a process has sent to servers of other zones.
async fn crossings(edge: &Edge) -> u32 {
    let text = metrics(edge).await;
    let lines = text.lines().filter(|line| line.starts_with("catkin_edge_sends_to_other_zones_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u32>().ok()).sum()
}

/// Sends orders to all processes, eight at a time to each.
async fn orders(fleet: &Rc<Fleet>, rounds: u32) -> Tally {
    let tally = Tally::default();
    for _ in 0..rounds {
        let mut sent = Vec::new();
        for i in 0..8 * fleet.edges.len() {
            let (fleet, tally) = (fleet.clone(), tally.clone());
            sent.push(actix_rt::spawn(async move {
                let edge = &fleet.edges[i % fleet.edges.len()];
                tally.count(fleet.order(edge).await.as_ref());
            }));
        }
        for order in sent {
            order.await.unwrap();
        }
    }
    tally
}

/// Two servers are in the zone of the processes, one is in another. While the
/// two have room, the shares of the leader keep all orders in the zone; without
/// them, a process would send some to a server that is a little less busy. When
/// the two leave, the third gets the orders at once.
#[actix_rt::test]
async fn orders_stay_in_their_zone_while_it_has_room() {
    let fleet = Rc::new(Fleet::start(2).await);
    fleet.servers[5].set_zone("y");
    sleep(3_000).await;
    let before = [crossings(&fleet.edges[0]).await, crossings(&fleet.edges[1]).await];
    let tally = orders(&fleet, 20).await;
    assert!(tally.served_share() > 0.99, "{tally:?}");
    let after = [crossings(&fleet.edges[0]).await, crossings(&fleet.edges[1]).await];
    assert_eq!(after, before);
    fleet.servers[3].drain();
    fleet.servers[4].drain();
    sleep(2_000).await;
    let tally = orders(&fleet, 3).await;
    assert!(tally.served_share() > 0.9, "{tally:?}");
    let left = crossings(&fleet.edges[0]).await;
    assert!(left > after[0] + 16, "{left} after {after:?}");
    fleet.check();
}
