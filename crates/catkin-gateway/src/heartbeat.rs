//! UDP datagrams between gateways.

use {
    crate::node::Node,
    catkin::{
        Code, Error,
        types::VmId,
        wire::{self, Body, DATAGRAM_BYTES_MAX, Datagram},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::net::UdpSocket,
};

const TICK: Duration = Duration::from_millis(50);

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
    let mut tick = actix_rt::time::interval(TICK);
    // One byte more than is allowed tells a datagram that is too large.
    let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let bodies = tokio::select! {
            _ = tick.tick() => on_tick(&node),
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&node, &buffer[..length]),
                // A peer that does not listen makes the next receive fail.
                Err(_) => Vec::new(),
            },
        };
        send(&node, &socket, bodies).await;
    }
}

fn on_tick(node: &Node) -> Vec<(VmId, Body)> {
    let now = node.now();
    let mut members = node.members.borrow_mut();
    members.tick(now)
}

fn receive(node: &Node, bytes: &[u8]) -> Vec<(VmId, Body)> {
    let datagram: Datagram = match wire::decode(bytes) {
        Ok(datagram) => datagram,
        Err(_) => {
            node.metrics.drop("datagram");
            return Vec::new();
        }
    };
    if let Body::Loads(loads) = &datagram.body {
        node.loads.borrow_mut().extend(loads.iter().map(|load| (load.target.clone(), load.clone())));
    }
    node.members.borrow_mut().receive(node.now(), &datagram.from, &datagram)
}

async fn send(node: &Node, socket: &UdpSocket, bodies: Vec<(VmId, Body)>) {
    for (to, body) in bodies {
        let Some(addr) = node.peer(&to) else { continue };
        let datagram = Datagram {
            from: node.set.vm.clone(),
            boot: node.boot,
            clock: node.now(),
            offset: node.state.borrow().next(),
            revision: node.state.borrow().config().revision,
            leaving: node.leaving.get(),
            body,
        };
        match wire::encode(&datagram, DATAGRAM_BYTES_MAX) {
            // A datagram that is lost is sent again at a later tick.
            Ok(bytes) => drop(socket.send_to(&bytes, addr).await),
            Err(_) => node.metrics.drop("datagram"),
        }
    }
}
