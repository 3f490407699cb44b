//! Side of the leader: records reports, and sends tables and changes.

use {
    super::{
        message::{Frame, LINK_TIMEOUT, MessageReader, changes_since, newest_changes, write, write_frame},
        peers::{ListingFrame, Peers},
    },
    crate::{
        lead,
        node::{Node, VersionedOwners, sleep},
        silence,
    },
    catkin::types::{Span, Time},
    catkin_net::{limit_send_buffer, set_socket_options},
    catkin_route::{
        cold::TokenGrant,
        level::LevelUpdate,
        message::{LeaderMessage, LeaderState, Message, Report, ReportedCounts, Stopped, TopicChanges},
        numbering::NumberingId,
        pace::Share,
        pacing::{ZonePacing, levels_interval},
        peer_view::{Known, PeerView},
        quotas::Counts,
        silence::Scope,
    },
    std::{io, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
        sync::SemaphorePermit,
    },
};

/// Bytes that the system holds for a link. Without a bound it holds up to 4 MB for each
/// of hundreds of links that are slower than what is written to them.
const SEND_BUFFER_BYTES: usize = 32 << 10;

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
    /// Numbering that was last sent.
    numbering: Option<NumberingId>,
    zones: ZonePacing,
}

impl PeerState {
    fn update(&mut self, node: &Node, peers: &Peers, report: &Report, counts: ReportedCounts) {
        self.count = peers.record(node, report, counts);
        self.share = peers.share(node, &report.vm);
        self.standby = peers.is_standby(node, &report.vm);
        self.view.report(report.received, report.known);
        self.table = self.table.take().filter(|owners| Some(owners.offset) == self.view.known().table);
    }

    /// Returns the newest table if it is newer than the known one, as a message.
    fn newer_table(&self, node: &Node, peers: &Peers) -> io::Result<Option<(VersionedOwners, Frame)>> {
        let known = self.view.known().table;
        let Some(newest) = node.owners().filter(|o| known.is_none_or(|known| known < o.offset)) else {
            return Ok(None);
        };
        let earlier = node.earlier_owners.borrow();
        let mut tables = self.table.iter().chain(&*earlier);
        let old = tables.find(|old| Some(old.offset) == known);
        let frame = peers.table(old, &newest)?;
        Ok(Some((newest, frame)))
    }

    /// Returns the changes of the configuration and of the directory.
    fn changes(&self, node: &Node) -> [Option<TopicChanges>; 2] {
        let now = node.now();
        let [config, directory] = self.view.known().next_offsets;
        let configs = match config {
            Some(from) => changes_since(&node.config_feed, from, now),
            None => newest_changes(&node.config_feed, now),
        };
        [configs, directory.and_then(|from| changes_since(&node.directory_feed, from, now))]
    }

    /// Returns a listing of the directory if the process has no position in it.
    fn listing(&self, node: &Node, peers: &Peers) -> io::Result<Option<ListingFrame>> {
        match self.view.known().next_offsets[1] {
            None => peers.listing(node),
            Some(_) => Ok(None),
        }
    }

    /// Returns the numbering of the targets if the process does not know it.
    fn numbering(&mut self, node: &Node, peers: &Peers) -> Option<NumberingId> {
        let newest = Some(peers.numbering(node));
        let known = std::mem::replace(&mut self.numbering, newest);
        newest.filter(|_| known != newest)
    }

    /// Returns the loads of targets if they are due.
    fn levels(&mut self, node: &Node, peers: &Peers) -> Option<LevelUpdate> {
        let now = node.now();
        if now.since(self.levels_sent_at) < levels_interval(self.count) {
            return None;
        }
        self.levels_sent_at = now;
        peers.levels(node, now, self.view.known().levels)
    }

    /// Records what the process will know once it has received a state.
    fn note_sent(&mut self, state: &LeaderState) {
        let known = self.view.known();
        let levels = state.levels.as_ref().map(LevelUpdate::version).or(known.levels);
        let next_offsets = [0, 1].map(|i| state.changes[i].as_ref().map(|c| c.to).or(known.next_offsets[i]));
        self.view.note_sent(Known { next_offsets, levels, ..known });
    }

    /// Sends the newest table of owners and a listing of the directory, if the process
    /// needs them. A large one waits for a turn; the link goes on meanwhile. Returns
    /// whether it waits.
    async fn send_large(
        &mut self,
        node: &Node,
        peers: &Peers,
        writer: &mut OwnedWriteHalf,
        mut turn: Option<SemaphorePermit<'_>>,
    ) -> io::Result<bool> {
        if let Some((newest, frame)) = self.newer_table(node, peers)? {
            turn = turn.or_else(|| peers.turns.take());
            if frame.is_large() && turn.is_none() {
                return Ok(true);
            }
            let known = Known { table: Some(newest.offset), ..self.view.known() };
            self.view.note_sent(known);
            self.table = Some(newest);
            write_frame(&node.metrics, writer, &frame, turn.take_if(|_| frame.is_large())).await?;
        }
        if let Some(listing) = self.listing(node, peers)? {
            turn = turn.or_else(|| peers.turns.take());
            if listing.frame.is_large() && turn.is_none() {
                return Ok(true);
            }
            let mut known = self.view.known();
            known.next_offsets[1] = Some(listing.to);
            self.view.note_sent(known);
            write_frame(&node.metrics, writer, &listing.frame, turn).await?;
        }
        Ok(false)
    }
}

async fn serve_link(node: &Rc<Node>, peers: &Peers, stream: TcpStream) -> io::Result<()> {
    set_socket_options(&stream);
    limit_send_buffer(&stream, SEND_BUFFER_BYTES);
    let (reader, mut writer) = stream.into_split();
    let mut messages = MessageReader::new(reader)?;
    let mut owners = node.owners.subscribe();
    let mut configs = node.config_feed.subscribe();
    let mut targets = node.directory_feed.subscribe();
    let mut silent = node.silence_changes.subscribe();
    let mut state = PeerState::default();
    let mut leader = node.identity.run_id;
    let mut awaits_turn = false;
    loop {
        let mut turn = None;
        let mut has_silence = false;
        let message = tokio::select! {
            message = tokio::time::timeout(LINK_TIMEOUT.as_duration(), messages.next()) => Some(message??),
            changed = owners.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = configs.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = targets.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            next = peers.turns.next(), if awaits_turn => {
                turn = Some(next?);
                None
            }
            changed = silent.changed() => {
                has_silence = true;
                changed.map(|()| None).map_err(io::Error::other)?
            }
        };
        let mut quotas = None;
        let mut tokens: Vec<TokenGrant> = Vec::new();
        let mut promised = Counts::new();
        match message.map(|m| postcard::from_bytes(&m)).transpose().map_err(io::Error::other)? {
            Some(Message::Report(mut report)) => {
                let mut counts = peers.take_counts(&mut report)?;
                let own_promised = std::mem::take(&mut counts.promised);
                state.update(node, peers, &report, counts);
                quotas = Some(peers.allot(node, &report.vm));
                tokens = peers.tokens(node, &report.vm);
                promised = peers.promised(&report.vm, own_promised);
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
        awaits_turn = state.send_large(node, peers, &mut writer, turn).await?;
        let changes = state.changes(node);
        let has_records = changes.iter().flatten().any(|c| !c.records.is_empty());
        // Without a change nothing is sent; the answer to the next report has
        // the current age of the store's last answer.
        if quotas.is_some() || has_records || has_silence {
            let store_age = node.last_join.get().map_or(u64::MAX, |at| node.now().since(at).as_micros());
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
            let zones = zones.and_then(|zones| state.zones.due(node.now(), zones));
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
                numbering: state.numbering(node, peers),
                use_quotas,
                changes,
            };
            state.note_sent(&leader_state);
            let frame = Frame::new("state", &LeaderMessage::State(Box::new(leader_state)))?;
            write_frame(&node.metrics, &mut writer, &frame, None).await?;
        }
    }
}
