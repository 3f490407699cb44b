//! Side of the leader: records reports, and sends tables and changes.

use {
    super::message::{
        LINK_TIMEOUT, LeaderMessage, LeaderState, Listing, Message, MessageReader, Report, Stopped,
        TableUpdate, TopicChanges, write,
    },
    crate::{
        lead,
        node::{Node, VersionedOwners, sleep},
    },
    catkin::types::{Span, Time},
    catkin_net::set_socket_options,
    catkin_route::{
        delta::Delta,
        directory::Target,
        level::Levels,
        load,
        peer_view::PeerView,
        quotas::{Counts, Quotas},
    },
    std::{cell::RefCell, collections::BTreeMap, io, rc::Rc, sync::Arc},
    tokio::net::{TcpListener, TcpStream},
};

/// Age of the last report from which on a process is not counted.
const PEER_TIMEOUT: Span = Span::from_secs(3);

/// Time for which all links share the loads of targets.
const LEVELS_AGE_MAX: Span = Span::from_millis(50);

/// Time for which a listing of the directory is sent to further processes.
const LISTING_AGE_MAX: Span = Span::from_millis(300);

/// Least time between two messages to a process with the loads of targets.
const LEVELS_INTERVAL: Span = Span::from_millis(200);

/// Last report of a process.
#[derive(Debug)]
struct Peer {
    reported_at: Time,
    strong: bool,
}

/// Offset of the older table, offset of the newer table, and their delta
/// if there is one.
type CachedDelta = (u64, u64, Option<Rc<Delta>>);

/// State that is shared by all links of the leader.
#[derive(Debug, Default)]
struct Peers {
    /// Last reports by VM.
    reports: RefCell<BTreeMap<Arc<str>, Peer>>,
    quotas: RefCell<Quotas>,
    cached: RefCell<Option<CachedDelta>>,
    levels: RefCell<Option<CachedLevels>>,
    /// Last listing of the directory and when it was made.
    listing: RefCell<Option<(Time, Rc<Listing>)>>,
}

/// Levels that were made at a time.
#[derive(Debug)]
struct CachedLevels {
    made_at: Time,
    /// Counter of the directory's changes.
    directory_changes: u64,
    levels: Rc<Vec<Levels>>,
}

impl Peers {
    /// Returns the loads of all targets. All links share them for a while.
    fn levels(&self, node: &Node, now: Time) -> Rc<Vec<Levels>> {
        let directory = node.directory.borrow();
        let mut cached = self.levels.borrow_mut();
        if let Some(known) = &*cached
            && known.directory_changes == directory.changes()
            && now.since(known.made_at) < LEVELS_AGE_MAX
        {
            return known.levels.clone();
        }
        let quotas = self.quotas.borrow();
        let pack = |service: &Arc<str>| {
            let targets: Vec<&Target> = directory.of_service(service).collect();
            Levels::new(service.clone(), &targets, |id| quotas.load(id))
        };
        let levels = Rc::new(directory.services().map(pack).collect::<Vec<_>>());
        let directory_changes = directory.changes();
        *cached = Some(CachedLevels { made_at: now, directory_changes, levels: levels.clone() });
        levels
    }

    /// Returns a listing of the directory. It is made once for all processes
    /// that ask within a while, and the changes since are forwarded.
    fn listing(&self, node: &Node) -> io::Result<Option<Rc<Listing>>> {
        let Some(to) = node.directory_feed.next_offset() else { return Ok(None) };
        let now = node.now();
        let mut cached = self.listing.borrow_mut();
        if let Some((made_at, listing)) = &*cached
            && now.since(*made_at) < LISTING_AGE_MAX
            && node.directory_feed.since(listing.to).is_some()
        {
            return Ok(Some(listing.clone()));
        }
        let age = (now.since(node.directory_feed.checked_at()) + LISTING_AGE_MAX).as_micros();
        let listing = Rc::new(Listing::new(to, age, &node.directory.borrow().listing(now))?);
        *cached = Some((now, listing.clone()));
        Ok(Some(listing))
    }

    /// Allots quotas at targets with keys to a process. Requests without a key
    /// go to another target instead of waiting for a quota.
    fn allot(&self, node: &Node, vm: &str) -> Counts {
        let (directory, config) = (node.directory.borrow(), node.config.borrow());
        let Some(config) = &*config else { return Counts::new() };
        let objectives = node.objectives.borrow();
        let requests_max = |id: &str| {
            let entry = &directory.get(id)?.entry;
            let is_keyed = config.services.get(&entry.service).is_some_and(|service| service.keyed);
            let objective = load::objective(&objectives, &entry.service);
            let service_time = lead::with_loads(|loads| loads.service_time(id));
            is_keyed.then(|| load::requests_max(entry.slots, objective, f64::from(service_time)))
        };
        self.quotas.borrow_mut().allot(vm, requests_max)
    }

    /// Returns the delta between two tables. Most links need the same one,
    /// so the last one is cached.
    fn delta(&self, old: &VersionedOwners, new: &VersionedOwners) -> Option<TableUpdate> {
        let mut cached = self.cached.borrow_mut();
        let (from, to) = (old.offset, new.offset);
        let matching = cached.as_ref().filter(|cached| (cached.0, cached.1) == (from, to));
        let delta = match matching {
            Some(cached) => cached.2.clone(),
            None => Delta::new(&old.table, &new.table).map(Rc::new),
        };
        *cached = Some((from, to, delta.clone()));
        Some(TableUpdate::Delta { from, to, delta: delta? })
    }
}

/// Number of standbys of the leader.
const STANDBY_COUNT: usize = 3;

/// Returns whether a process is a standby: one of the first strong processes,
/// or of the first weak ones if too few are strong.
fn is_standby(node: &Node, peers: &Peers, vm: &str) -> bool {
    let peers = peers.reports.borrow();
    let others = || peers.iter().filter(|(other, _)| **other != node.identity.vm);
    let strong = others().filter(|(_, peer)| peer.strong);
    let weak = others().filter(|(_, peer)| !peer.strong);
    strong.chain(weak).take(STANDBY_COUNT).any(|(other, _)| **other == *vm)
}

/// Accepts links from processes.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    let peers = Rc::<Peers>::default();
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let (node, peers) = (node.clone(), peers.clone());
                actix_rt::spawn(async move {
                    if let Err(error) = serve_link(&node, &peers, stream).await {
                        log::debug!(from:display, error:display; "link failed");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:display; "failed to accept a link");
                sleep(Span::from_millis(20)).await;
            }
        }
    }
}

fn record_report(node: &Node, peers: &Peers, report: &Report) -> u32 {
    let now = node.now();
    let mut reports = peers.reports.borrow_mut();
    reports.insert(report.vm.clone(), Peer { reported_at: now, strong: report.strong });
    reports.retain(|_, peer| now.since(peer.reported_at) < PEER_TIMEOUT);
    let (in_flight, queued) = (report.in_flight.clone(), report.queued.clone());
    let count = peers.quotas.borrow_mut().report(now, &report.vm, in_flight, queued);
    lead::with_loads(|loads| {
        for (service, keys) in &report.key_counts {
            for (key, count) in keys {
                loads.add_requests(service, *key, f32::from(*count));
            }
        }
        for (target, seconds) in &report.service_times {
            loads.record_service_time(target, *seconds);
        }
    });
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// State of one link.
#[derive(Default)]
struct PeerState {
    view: PeerView,
    /// Newest table that was sent, if the process is known to have it.
    table: Option<VersionedOwners>,
    standby: bool,
    /// Number of processes at the time of its last report.
    count: u32,
    /// When loads of targets were last sent.
    levels_sent_at: Time,
}

impl PeerState {
    fn update(&mut self, node: &Node, peers: &Peers, report: &Report) {
        self.count = record_report(node, peers, report);
        self.standby = is_standby(node, peers, &report.vm);
        self.view.report(report.received, report.offset, report.next_offsets);
        self.table = self.table.take().filter(|owners| Some(owners.offset) == self.view.table());
    }

    /// Returns the newest table if it is newer than the known one, as a delta
    /// if possible.
    fn table_update(&self, newest: Option<&VersionedOwners>, peers: &Peers) -> Option<TableUpdate> {
        let newer = newest.filter(|o| self.view.table().is_none_or(|known| known < o.offset))?;
        let update = self.table.as_ref().and_then(|old| peers.delta(old, newer));
        Some(update.unwrap_or(TableUpdate::Full(newer.offset, newer.table.clone())))
    }

    /// Returns the changes of the configuration and of the directory.
    fn changes(&self, node: &Node) -> [Option<TopicChanges>; 2] {
        let now = node.now();
        let [config, directory] = self.view.next_offsets();
        let configs = match config {
            Some(from) => TopicChanges::new(&node.config_feed, from, now),
            None => TopicChanges::newest(&node.config_feed, now),
        };
        [configs, directory.and_then(|from| TopicChanges::new(&node.directory_feed, from, now))]
    }

    /// Returns a listing of the directory if the process has no position in it.
    fn listing(&self, node: &Node, peers: &Peers) -> io::Result<Option<Rc<Listing>>> {
        match self.view.next_offsets()[1] {
            None => peers.listing(node),
            Some(_) => Ok(None),
        }
    }

    /// Returns the loads of targets if they are due.
    fn levels(&mut self, node: &Node, peers: &Peers) -> Option<Rc<Vec<Levels>>> {
        let now = node.now();
        if now.since(self.levels_sent_at) < LEVELS_INTERVAL {
            return None;
        }
        self.levels_sent_at = now;
        Some(peers.levels(node, now))
    }

    /// Records what the process will know once it has received a state.
    fn note_sent(&mut self, state: &LeaderState, newest: Option<VersionedOwners>) {
        if state.table.is_some() {
            self.table = newest;
        }
        let sent = self.table.as_ref().filter(|_| state.table.is_some()).map(|owners| owners.offset);
        let known = self.view.next_offsets();
        let mut next_offsets = [0, 1].map(|i| state.changes[i].as_ref().map(|c| c.to).or(known[i]));
        if let Some(listing) = &state.listing {
            next_offsets[1] = Some(listing.to);
        }
        self.view.note_sent(sent.or(self.view.table()), next_offsets);
    }
}

async fn serve_link(node: &Rc<Node>, peers: &Peers, stream: TcpStream) -> io::Result<()> {
    set_socket_options(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = MessageReader::new(reader);
    let mut owners = node.owners.subscribe();
    let mut configs = node.config_feed.subscribe();
    let mut targets = node.directory_feed.subscribe();
    let mut state = PeerState::default();
    let mut leader = node.identity.run_id;
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(LINK_TIMEOUT.as_duration(), messages.next()) => Some(message??),
            changed = owners.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = configs.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = targets.changed() => changed.map(|()| None).map_err(io::Error::other)?,
        };
        let mut quotas = None;
        match message.map(|m| postcard::from_bytes(&m)).transpose().map_err(io::Error::other)? {
            Some(Message::Report(report)) => {
                state.update(node, peers, &report);
                quotas = Some(peers.allot(node, &report.vm));
                leader = report.leader;
            }
            Some(Message::Stop(run_id)) => {
                if run_id == node.identity.run_id {
                    log::info!("another leader has asked this process to stop leading");
                    node.last_join.set(None);
                }
                return write(&mut writer, &Stopped).await;
            }
            None => {}
        }
        if !node.is_leader.get() || leader != node.identity.run_id {
            return write(&mut writer, &LeaderMessage::NotLeader).await;
        }
        let newest = node.owners();
        let table = state.table_update(newest.as_ref(), peers);
        let changes = state.changes(node);
        let has_records = changes.iter().flatten().any(|c| !c.records.is_empty());
        // Without a change nothing is sent; the answer to the next report has
        // the current age of the store's last answer.
        if quotas.is_some() || table.is_some() || has_records {
            let store_age = node.last_join.get().map_or(u64::MAX, |at| node.now().since(at).as_micros());
            let listing = state.listing(node, peers)?;
            let levels = quotas.as_ref().and_then(|_| state.levels(node, peers));
            let use_quotas = peers.quotas.borrow().use_quotas();
            let PeerState { count: peer_count, standby, .. } = state;
            let leader_state = LeaderState {
                peer_count,
                standby,
                store_age,
                quotas,
                levels,
                use_quotas,
                table,
                changes,
                listing,
            };
            state.note_sent(&leader_state, newest);
            write(&mut writer, &LeaderMessage::State(Box::new(leader_state))).await?;
        }
    }
}
