//! The leader's side of links: reports are taken, and tables and changes passed
//! on.

use {
    super::message::{Answer, Changes, Message, Messages, News, Notice, Report, SILENCE_MAX, Stopped, write},
    crate::{
        lead,
        node::{Node, Owned, sleep},
    },
    catkin::types::{Span, Time},
    catkin_net::tune,
    catkin_route::{
        patch::Patch,
        turns::{Counts, Turn, Turns},
    },
    std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, sync::Arc},
    tokio::net::{TcpListener, TcpStream},
};

/// Age of the last report above which a process is not counted.
const PEER_MAX: Span = Span::from_secs(3);

/// What a process reported last.
#[derive(Debug)]
struct Peer {
    at: Time,
    strong: bool,
}

/// The last changes of the table and the versions that they lead from and to.
type Step = (u64, u64, Option<Rc<Patch>>);

/// What the leader's links share.
#[derive(Debug, Default)]
struct Peers {
    /// The processes that report, by VM.
    reports: RefCell<BTreeMap<Arc<str>, Peer>>,
    turns: RefCell<Turns>,
    step: RefCell<Option<Step>>,
}

impl Peers {
    /// Returns the targets whose slots are full, and the requests of all
    /// processes at them.
    fn full(&self, node: &Node) -> Counts {
        let directory = node.directory.borrow();
        self.turns.borrow().full(|id| directory.get(id).map(|t| t.entry.slots))
    }

    /// Gives turns at targets with keys to a process. Requests without a key
    /// go to another target instead of waiting for a turn.
    fn give(&self, node: &Node, vm: &str) -> Vec<Turn> {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let keyed = |service: &str| {
            config.as_ref().and_then(|c| c.services.get(service)).is_some_and(|service| service.keyed)
        };
        let slots = |id: &str| {
            let entry = &directory.get(id)?.entry;
            keyed(&entry.service).then_some(entry.slots)
        };
        self.turns.borrow_mut().give(vm, slots)
    }

    /// Returns what differs between two tables. Most links ask for the same.
    fn patch(&self, old: &Owned, new: &Owned) -> Option<News> {
        let mut step = self.step.borrow_mut();
        let (from, to) = (old.version, new.version);
        let same = step.as_ref().filter(|step| (step.0, step.1) == (from, to));
        let patch = match same {
            Some(step) => step.2.clone(),
            None => Patch::new(&old.table, &new.table).map(Rc::new),
        };
        *step = Some((from, to, patch.clone()));
        Some(News::Changes { from, to, patch: patch? })
    }
}

/// Processes that stand by to follow the leader.
const STANDBYS: usize = 3;

/// Returns whether a process should stand by: the first strong ones, or the
/// first ones if too few are strong.
fn stands_by(node: &Node, peers: &Peers, vm: &str) -> bool {
    let peers = peers.reports.borrow();
    let others = || peers.iter().filter(|(other, _)| **other != node.me.vm);
    let strong = others().filter(|(_, peer)| peer.strong);
    let weak = others().filter(|(_, peer)| !peer.strong);
    strong.chain(weak).take(STANDBYS).any(|(other, _)| **other == *vm)
}

/// Takes reports of other processes.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    let peers = Rc::<Peers>::default();
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (node, peers) = (node.clone(), peers.clone());
                actix_rt::spawn(async move {
                    if let Err(error) = answer(&node, &peers, stream).await {
                        log::debug!(from:display, error:display; "link ended");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:display; "no link accepted");
                sleep(Span::from_millis(20)).await;
            }
        }
    }
}

fn take(node: &Node, peers: &Peers, report: &Report) -> u32 {
    let now = node.now();
    let mut reports = peers.reports.borrow_mut();
    reports.insert(report.vm.clone(), Peer { at: now, strong: report.strong });
    reports.retain(|_, peer| now.since(peer.at) < PEER_MAX);
    let (own, waiting) = (report.own.clone(), report.waiting.clone());
    let count = peers.turns.borrow_mut().take(now, &report.vm, own, waiting);
    lead::with_loads(|loads| {
        for (service, keys) in &report.keys {
            for (key, count) in keys {
                loads.add(service, *key, f32::from(*count));
            }
        }
        for (target, seconds) in &report.times {
            loads.time(target, *seconds);
        }
    });
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// What a process at the other end of a link knows.
#[derive(Default)]
struct Known {
    /// Newest table that it was sent, or the version that it named.
    table: Option<Owned>,
    version: Option<u64>,
    /// Offsets of its next records of the configuration and the directory.
    next: [Option<u64>; 2],
    standby: bool,
    /// Number of processes with its last report.
    count: u32,
}

impl Known {
    fn take(&mut self, node: &Node, peers: &Peers, report: &Report) {
        self.count = take(node, peers, report);
        self.standby = stands_by(node, peers, &report.vm);
        self.next = report.next;
        self.version = report.version;
        self.table = self.table.take().filter(|owned| Some(owned.version) == report.version);
    }

    /// Returns the newest table if it is newer than the known one.
    fn news(&mut self, node: &Node, peers: &Peers) -> Option<News> {
        let newer = node.owned().filter(|o| self.version.is_none_or(|known| known < o.version))?;
        let news = self.table.as_ref().and_then(|old| peers.patch(old, &newer));
        self.version = Some(newer.version);
        self.table = Some(newer.clone());
        Some(news.unwrap_or(News::Whole(newer.version, newer.table)))
    }

    /// Returns the changes of the configuration and of the directory.
    fn changes(&mut self, node: &Node) -> [Option<Changes>; 2] {
        let now = node.now();
        let feeds = [&node.configs, &node.targets];
        let changes = [0, 1].map(|i| self.next[i].and_then(|from| Changes::new(feeds[i], from, now)));
        for (next, changes) in self.next.iter_mut().zip(&changes) {
            *next = changes.as_ref().map(|c| c.to).or(*next);
        }
        changes
    }
}

async fn answer(node: &Rc<Node>, peers: &Peers, stream: TcpStream) -> io::Result<()> {
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = Messages::new(reader);
    let mut owned = node.owned.subscribe();
    let mut configs = node.configs.reads();
    let mut targets = node.targets.reads();
    let mut known = Known::default();
    let mut meant = node.me.incarnation;
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(SILENCE_MAX.as_duration(), messages.next()) => Some(message??),
            changed = owned.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = configs.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = targets.changed() => changed.map(|()| None).map_err(io::Error::other)?,
        };
        let mut turns = None;
        match message.map(|m| postcard::from_bytes(&m)).transpose().map_err(io::Error::other)? {
            Some(Message::Report(report)) => {
                known.take(node, peers, &report);
                turns = Some(peers.give(node, &report.vm));
                meant = report.leader;
            }
            Some(Message::Stop(incarnation)) => {
                if incarnation == node.me.incarnation {
                    log::info!("another process leads and asks this one to stop");
                    node.seat.set(None);
                }
                return write(&mut writer, &Stopped).await;
            }
            None => {}
        }
        if !node.leads.get() || meant != node.me.incarnation {
            return write(&mut writer, &Answer::Ended).await;
        }
        let table = known.news(node, peers);
        let changes = known.changes(node);
        let fresh = changes.iter().flatten().any(|c| !c.records.is_empty());
        // Nothing new waits for the next report, which tells of the age.
        if turns.is_some() || table.is_some() || fresh {
            let alone = node.seat.get().map_or(u64::MAX, |at| node.now().since(at).as_micros());
            let full = peers.full(node);
            let Known { count, standby, .. } = known;
            let notice = Notice { peers: count, standby, alone, full, turns, table, changes };
            write(&mut writer, &Answer::Notice(Box::new(notice))).await?;
        }
    }
}
