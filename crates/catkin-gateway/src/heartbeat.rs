//! UDP datagrams between gateways.

use {
    crate::{node::Node, reports},
    catkin::{
        Code, Error,
        event::Kind,
        member::{Event, TICK},
        place::own_totals,
        types::VmId,
        wire::{self, Body, DATAGRAM_BYTES_MAX, Datagram, Gossip},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Ticks between two datagrams with loads to one gateway. Answers carry the
/// load of their target, so these only serve plans and idle targets.
const GOSSIP_TICKS: u64 = 40;
/// Gateways that hear the loads of the kept targets.
pub(crate) const GOSSIP_PEERS: usize = 11;
/// Loads in one datagram; with ids of ordinary length they fit.
const GOSSIP_TARGETS: usize = 20;

/// Opens the socket for datagrams.
///
/// # Errors
///
/// `Code::BadValue` if the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(addr).await.map_err(|e| Error::new(Code::BadValue, format!("can't bind UDP {addr}: {e}")))
}

/// Sends and receives datagrams until the process ends.
pub(crate) async fn run(node: Rc<Node>, socket: UdpSocket) {
    let mut tick = actix_rt::time::interval(TICK.as_duration());
    let mut ticks = 0;
    // One byte more than is allowed tells a datagram that is too large.
    let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let bodies = tokio::select! {
            _ = tick.tick() => {
                ticks += 1;
                on_tick(&node, ticks)
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&node, &buffer[..length]),
                // A peer that does not listen makes the next receive fail.
                Err(_) => Vec::new(),
            },
        };
        send(&node, &socket, bodies).await;
    }
}

fn on_tick(node: &Node, ticks: u64) -> Vec<(VmId, Body)> {
    let now = node.now();
    let mut members = node.members.borrow_mut();
    let mut bodies = members.tick(now);
    for change in members.changes() {
        log::info!("{change}");
        match change.event {
            Event::Suspected => node.record_event(Kind::PeerSuspected { peer: change.vm }),
            Event::Recovered => node.record_event(Kind::PeerAlive { peer: change.vm }),
            _ => {}
        }
    }
    if !ticks.is_multiple_of(GOSSIP_TICKS) {
        return bodies;
    }
    let peers = members.live().map(|live| live.vm).filter(|vm| *vm != node.settings.vm).take(GOSSIP_PEERS);
    let loads = gossip(node);
    bodies.extend(peers.flat_map(|vm| loads.iter().map(move |body| (vm.clone(), body.clone()))));
    bodies
}

/// Makes the datagrams with the loads of the kept targets.
fn gossip(node: &Node) -> Vec<Body> {
    let state = node.state.borrow();
    let table = node.queues.table.borrow();
    let rates = own_totals(node.now(), &state, &node.slice_loads.borrow(), &node.settings.vm);
    let loads: Vec<Gossip> = state
        .kept_by(&node.settings.vm)
        .map(|(target, _)| Gossip {
            target: target.clone(),
            depth: table.depth(target),
            rate: rates.get(target).copied().unwrap_or_default() as u32,
            open: !node.draining.borrow().contains(target),
        })
        .collect();
    loads.chunks(GOSSIP_TARGETS).map(|part| Body::Loads(part.to_vec())).collect()
}

fn receive(node: &Node, bytes: &[u8]) -> Vec<(VmId, Body)> {
    let datagram: Datagram = match wire::decode(bytes) {
        Ok(datagram) => datagram,
        Err(_) => {
            node.metrics.count_drop("datagram");
            return Vec::new();
        }
    };
    node.observe(datagram.stamp);
    if let Body::Loads(loads) = &datagram.body {
        let now = node.now();
        let mut tables = node.target_loads.borrow_mut();
        tables.values_mut().for_each(|rows| loads.iter().for_each(|load| rows.hear(now, load)));
        node.target_rates.borrow_mut().extend(loads.iter().map(|load| (load.target.clone(), load.rate)));
        drop(tables);
        loads.iter().filter(|load| !load.open).for_each(|load| reports::close(node, &load.target));
    }
    node.members.borrow_mut().receive(node.now(), &datagram.from, &datagram)
}

async fn send(node: &Node, socket: &UdpSocket, bodies: Vec<(VmId, Body)>) {
    for (to, body) in bodies {
        let Some(addr) = node.peer_addr(&to) else { continue };
        let datagram = Datagram {
            from: node.settings.vm.clone(),
            boot: node.incarnation,
            stamp: node.stamp(),
            offset: node.state.borrow().next(),
            revision: node.state.borrow().config().revision,
            leaving: node.leaving.get(),
            body,
        };
        match wire::encode(&datagram, DATAGRAM_BYTES_MAX) {
            // A datagram that is lost is sent again at a later tick.
            Ok(bytes) => drop(socket.send_to(&bytes, addr).await),
            Err(_) => node.metrics.count_drop("datagram"),
        }
    }
}
