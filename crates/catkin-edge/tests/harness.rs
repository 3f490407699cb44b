//! The test fleet itself: what would let a test judge the processes of another one.

mod common;

use {
    catkin_standin::users::Store,
    common::{Edge, Fleet, free_addr, ports::PortRange},
    std::time::Duration,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
    },
};

/// Test programs whose process ids were equal modulo 30 took ports from one range,
/// also those that a process of the other one had not bound yet.
#[test]
fn programs_share_no_ports() {
    let preferred = 7;
    let (one, other) = (PortRange::reserve(preferred), PortRange::reserve(preferred));
    assert_ne!(one.first(), other.first());
}

/// A process that has not bound its port yet, or is being restarted, keeps it.
#[test]
fn address_is_not_given_twice() {
    let first = free_addr();
    for _ in 0..800 {
        let addr = free_addr();
        assert_ne!(addr, first);
        common::ports::release(addr.port());
    }
}

/// A process that found its port taken ended unseen, and the test failed late or
/// judged the answers of the process that had the port.
#[actix_rt::test]
async fn process_that_can_not_listen_is_named() {
    let store = Store::default().start().await;
    let taken = TcpListener::bind(free_addr()).await.unwrap();
    let edge = Edge::start_at("late", store, taken.local_addr().unwrap(), "");
    let error = edge.wait_until_started(Duration::from_secs(10)).await.unwrap_err();
    assert!(error.contains("can't listen on") && error.contains("ended: true"), "{error}");
}

/// The same for a process of a fleet whose port a process of another fleet has: that
/// one answers, so that the fleet seemed to serve, and never knows what the test
/// changes.
#[actix_rt::test]
#[should_panic(expected = "can't listen on")]
async fn answers_of_another_fleet_do_not_count() {
    let (fleet, other) = (Fleet::start(1).await, Fleet::start(1).await);
    let edge = &fleet.edges[0];
    edge.kill();
    let listener = TcpListener::bind(edge.callers).await.unwrap();
    let to = other.edges[0].callers;
    actix_rt::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut far = TcpStream::connect(to).await.unwrap();
            actix_rt::spawn(async move { copy_bidirectional(&mut near, &mut far).await });
        }
    });
    edge.restart();
    fleet.wait_until_serving(Duration::from_secs(10)).await;
}
