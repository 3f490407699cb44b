//! Side of the leader: records reports, and sends tables and changes.

use {
    super::{
        message::{
            LINK_TIMEOUT, LeaderMessage, LeaderState, Listing, Message, MessageReader, Report, Stopped,
            TableUpdate, TopicChanges, write,
        },
        peers::Peers,
    },
    crate::{
        lead,
        node::{Node, VersionedOwners, sleep},
        silence,
    },
    catkin::types::{Span, Time},
    catkin_net::set_socket_options,
    catkin_route::{
        cold::TokenGrant, level::Levels, pace::Share, peer_view::PeerView, quotas::Counts, silence::Scope,
    },
    std::{io, rc::Rc},
    tokio::net::{TcpListener, TcpStream},
};

/// Least time between two messages to a process with the loads of targets.
const LEVELS_INTERVAL: Span = Span::from_millis(200);

/// Accepts links from processes.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    let peers = Rc::new(Peers::new(node.settings.crossing_cost()));
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

/// State of one link.
#[derive(Default)]
struct PeerState {
    view: PeerView,
    /// Newest table that was sent, if the process is known to have it.
    table: Option<VersionedOwners>,
    standby: bool,
    /// Number of processes at the time of its last report.
    count: u32,
    /// Its share at cold targets as of then.
    share: Option<Share>,
    /// When loads of targets were last sent.
    levels_sent_at: Time,
}

impl PeerState {
    fn update(&mut self, node: &Node, peers: &Peers, report: &Report) {
        self.count = peers.record(node, report);
        self.share = peers.share(node, &report.vm);
        self.standby = peers.is_standby(node, &report.vm);
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
        let table = match state.table {
            Some(_) => newest.as_ref().map(|owners| owners.offset),
            None => self.view.table(),
        };
        if state.table.is_some() {
            self.table = newest;
        }
        let known = self.view.next_offsets();
        let mut next_offsets = [0, 1].map(|i| state.changes[i].as_ref().map(|c| c.to).or(known[i]));
        if let Some(listing) = &state.listing {
            next_offsets[1] = Some(listing.to);
        }
        self.view.note_sent(table, next_offsets);
    }
}

async fn serve_link(node: &Rc<Node>, peers: &Peers, stream: TcpStream) -> io::Result<()> {
    set_socket_options(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = MessageReader::new(reader)?;
    let mut owners = node.owners.subscribe();
    let mut configs = node.config_feed.subscribe();
    let mut targets = node.directory_feed.subscribe();
    let mut silent = node.silence_changes.subscribe();
    let mut state = PeerState::default();
    let mut leader = node.identity.run_id;
    loop {
        let mut has_silence = false;
        let message = tokio::select! {
            message = tokio::time::timeout(LINK_TIMEOUT.as_duration(), messages.next()) => Some(message??),
            changed = owners.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = configs.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = targets.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = silent.changed() => {
                has_silence = true;
                changed.map(|()| None).map_err(io::Error::other)?
            }
        };
        let mut quotas = None;
        let mut tokens: Vec<TokenGrant> = Vec::new();
        let mut promised = Counts::new();
        match message.map(|m| postcard::from_bytes(&m)).transpose().map_err(io::Error::other)? {
            Some(Message::Report(report)) => {
                state.update(node, peers, &report);
                quotas = Some(peers.allot(node, &report.vm));
                tokens = peers.tokens(node, &report);
                promised = peers.promised(&report);
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
        if quotas.is_some() || table.is_some() || has_records || has_silence {
            let store_age = node.last_join.get().map_or(u64::MAX, |at| node.now().since(at).as_micros());
            let listing = state.listing(node, peers)?;
            let levels = quotas.as_ref().and_then(|_| state.levels(node, peers));
            let limits = match quotas {
                Some(_) => lead::with_loads(|loads| loads.limit_reports(node.now())),
                None => Vec::new(),
            };
            let leaving = if quotas.is_some() { node.directory.borrow().leaving() } else { Vec::new() };
            let staying = if quotas.is_some() { node.directory.borrow().staying() } else { Vec::new() };
            let silence = silence::reports(node, Scope::All);
            let silence_exempt = silence::exempt_services(node);
            let admission = quotas.as_ref().map(|_| peers.admission(node.now()));
            let zones = quotas.as_ref().and_then(|_| peers.zones(node));
            let use_quotas = peers.use_quotas();
            let PeerState { count: peer_count, standby, share, .. } = state;
            let leader_state = LeaderState {
                peer_count,
                standby,
                store_age,
                share: share.filter(|_| quotas.is_some()),
                quotas,
                promised,
                tokens,
                levels,
                limits,
                leaving,
                staying,
                silence,
                silence_exempt,
                vacancies: node.own_vacancies.borrow().clone(),
                admission,
                zones,
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
