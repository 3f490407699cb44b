//! UDP datagrams between gateways: liveness of the gateways and loads of their
//! targets.

use {
    crate::{node::Node, reports},
    catkin::{
        Code, Error,
        event::Kind,
        member::{Event, TICK_INTERVAL},
        place::kept_loads,
        types::VmId,
        wire::{self, DATAGRAM_BYTES_MAX, Datagram, DatagramBody, LoadReport},
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Ticks between two datagrams with loads to one gateway. Answers to requests
/// carry the load of their target too, so the datagrams are needed only for
/// plans and for idle targets.
const LOAD_REPORT_PERIOD_TICKS: u64 = 40;
/// Maximum number of gateways to which the loads of the kept targets are sent.
pub(crate) const LOAD_REPORT_PEERS_MAX: usize = 11;
/// Maximum number of loads in one datagram. With ids of usual length they fit
/// into `DATAGRAM_BYTES_MAX`.
const LOADS_PER_DATAGRAM_MAX: usize = 20;

/// Opens the UDP socket.
///
/// # Errors
///
/// `Code::BadValue` if the address can't be bound.
pub(crate) async fn bind(addr: SocketAddr) -> Result<UdpSocket, Error> {
    UdpSocket::bind(addr).await.map_err(|e| Error::new(Code::BadValue, format!("can't bind UDP {addr}: {e}")))
}

/// Sends and receives datagrams until the process ends.
pub(crate) async fn run(node: Rc<Node>, socket: UdpSocket) {
    let mut tick = actix_rt::time::interval(TICK_INTERVAL.as_duration());
    let mut ticks = 0;
    // One byte above the limit, so that oversized datagrams are detected and not
    // truncated to a valid length.
    let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let bodies = tokio::select! {
            _ = tick.tick() => {
                ticks += 1;
                on_tick(&node, ticks)
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&node, &buffer[..length]),
                // After a datagram to a closed port, the next receive returns an
                // error.
                Err(_) => Vec::new(),
            },
        };
        send(&node, &socket, bodies).await;
    }
}

fn on_tick(node: &Node, ticks: u64) -> Vec<(VmId, DatagramBody)> {
    let now = node.now();
    let mut members = node.members.borrow_mut();
    let mut bodies = members.tick(now);
    for change in members.take_changes() {
        log::info!("{change}");
        match change.event {
            Event::Suspected => node.record_event(Kind::PeerSuspected { peer: change.vm }),
            Event::Recovered => node.record_event(Kind::PeerAlive { peer: change.vm }),
            _ => {}
        }
    }
    if !ticks.is_multiple_of(LOAD_REPORT_PERIOD_TICKS) {
        return bodies;
    }
    let peers =
        members.live().map(|live| live.vm).filter(|vm| *vm != node.settings.vm).take(LOAD_REPORT_PEERS_MAX);
    let loads = build_load_reports(node);
    bodies.extend(peers.flat_map(|vm| loads.iter().map(move |body| (vm.clone(), body.clone()))));
    bodies
}

/// Returns the loads of the kept targets, split into bodies of datagrams.
fn build_load_reports(node: &Node) -> Vec<DatagramBody> {
    let state = node.state.borrow();
    let dispatcher = node.queues.dispatcher.borrow();
    let rates = kept_loads(node.now(), &state, &node.slice_loads.borrow(), &node.settings.vm);
    let loads: Vec<LoadReport> = state
        .kept_by(&node.settings.vm)
        .map(|(target, _)| LoadReport {
            target: target.clone(),
            depth: dispatcher.job_count(target),
            rate: rates.get(target).copied().unwrap_or_default() as u32,
            accepting: !node.draining.borrow().contains(target),
        })
        .collect();
    loads.chunks(LOADS_PER_DATAGRAM_MAX).map(|part| DatagramBody::Loads(part.to_vec())).collect()
}

fn receive(node: &Node, bytes: &[u8]) -> Vec<(VmId, DatagramBody)> {
    let datagram: Datagram = match wire::decode(bytes) {
        Ok(datagram) => datagram,
        Err(_) => {
            node.metrics.count_drop("datagram");
            return Vec::new();
        }
    };
    node.observe(datagram.stamp);
    if let DatagramBody::Loads(loads) = &datagram.body {
        let now = node.now();
        let mut target_loads = node.target_loads.borrow_mut();
        target_loads
            .values_mut()
            .for_each(|service_loads| loads.iter().for_each(|load| service_loads.update_depth(now, load)));
        node.target_rates.borrow_mut().extend(loads.iter().map(|load| (load.target.clone(), load.rate)));
        drop(target_loads);
        loads
            .iter()
            .filter(|load| !load.accepting)
            .for_each(|load| reports::mark_draining(node, &load.target));
    }
    node.members.borrow_mut().receive(node.now(), &datagram.from, &datagram)
}

async fn send(node: &Node, socket: &UdpSocket, bodies: Vec<(VmId, DatagramBody)>) {
    for (to, body) in bodies {
        let Some(addr) = node.peer_addr(&to) else { continue };
        let datagram = Datagram {
            from: node.settings.vm.clone(),
            boot: node.incarnation,
            stamp: node.stamp(),
            offset: node.state.borrow().next_offset(),
            revision: node.state.borrow().config().revision,
            leaving: node.leaving.get(),
            body,
        };
        match wire::encode(&datagram, DATAGRAM_BYTES_MAX) {
            // A lost datagram is replaced by one of a later tick.
            Ok(bytes) => drop(socket.send_to(&bytes, addr).await),
            Err(_) => node.metrics.count_drop("datagram"),
        }
    }
}
