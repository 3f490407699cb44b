//! Side of the reporting process: sends reports to the leader and applies its
//! answers.

use {
    super::message::{Frame, LINK_TIMEOUT, MessageReader, connect, into_batch, write, write_frame},
    crate::{
        node::{Node, VersionedOwners, sleep},
        silence, sync,
    },
    catkin::types::{Span, Time},
    catkin_route::{
        directory::Target,
        level::{LevelCopy, Levels},
        message::{
            KeyCounts, LeaderMessage, LeaderState, Listing, Message, Report, TableUpdate, TopicChanges,
        },
        numbering::{ByTarget, Numbering, NumberingId, Numberings},
        owners::ProcessId,
        pacing::ReportPacing,
        peer_view::Known,
        quotas::{Counts, TargetQuota},
        report_times::ReportTimes,
        silence::Scope,
    },
    std::{collections::HashMap, io, rc::Rc, sync::Arc},
};

/// Interval between reports.
const REPORT_INTERVAL: Span = Span::from_millis(250);

/// Interval between reports in a large fleet.
const REPORT_INTERVAL_LARGE: Span = Span::from_millis(500);

/// Least time between a report and a further one that requests a quota or tells of
/// a target that has stopped responding.
const QUOTA_REPORT_INTERVAL_MIN: Span = Span::from_millis(60);

/// What a process has received on one link to a leader.
struct LinkState {
    /// Number of states.
    received: u64,
    /// Numbering of the targets that the leader knows.
    leader_numbering: Option<NumberingId>,
    /// Numbering of the targets that this process knows.
    numberings: Numberings,
    levels: LevelCopy,
    pacing: ReportPacing,
}

impl LinkState {
    fn new() -> Self {
        Self {
            received: 0,
            leader_numbering: None,
            numberings: Numberings::new(1),
            levels: LevelCopy::default(),
            pacing: ReportPacing::default(),
        }
    }

    /// Returns the numbering of the targets, if the leader knows the same ones.
    fn numbering(&mut self, node: &Node) -> Option<Rc<Numbering>> {
        let newest = self.numberings.newest(&node.directory.borrow());
        (self.leader_numbering == Some(newest.id())).then_some(newest)
    }
}

fn build_report(node: &Node, leader: &ProcessId, link: &mut LinkState) -> Report {
    let now = node.now();
    let is_full = link.pacing.is_full(now, node.peers());
    let mut key_counts: HashMap<Arc<str>, KeyCounts> = HashMap::new();
    for ((service, key), count) in if is_full { node.key_counts.take() } else { HashMap::new() } {
        key_counts.entry(service).or_default().push((key, count));
    }
    let numbering = link.numbering(node);
    let numbering = numbering.as_deref();
    let mut service_times = Vec::new();
    if is_full {
        service_times = node.loads.borrow_mut().take_service_times(link.received == 0);
    }
    let in_flight = node.loads.borrow().in_flight();
    let queued = node.loads.borrow().queue_lengths();
    let urgent = node.loads.borrow().urgent_lengths();
    let promised = node.loads.borrow_mut().promised(now);
    let limits = node.loads.borrow().limit_reports(now);
    let zones =
        is_full.then(|| node.loads.borrow_mut().spill().take_report(&node.directory.borrow())).flatten();
    let admission = if is_full { node.admission.borrow_mut().report(now) } else { Vec::new() };
    let table = node.owners().map(|o| o.offset);
    let next_offsets = [node.config_feed.next_offset(), node.directory_feed.next_offset()];
    let strong = node.is_strong();
    let key_counts = key_counts.into_iter().collect();
    Report {
        vm: node.identity.vm.clone(),
        leader: leader.run_id,
        received: link.received,
        numbering: numbering.map(Numbering::id),
        known: Known { table, next_offsets, levels: link.levels.version() },
        strong,
        in_flight: ByTarget::new(in_flight, numbering),
        queued: ByTarget::new(queued, numbering),
        urgent: ByTarget::new(urgent, numbering),
        promised: ByTarget::new(promised, numbering),
        key_counts,
        service_times: ByTarget::new(service_times, numbering),
        limits,
        leaving: node.directory.borrow().leaving(),
        silence: silence::reports(node, Scope::Own),
        admission,
        zones,
    }
}

/// Keeps a link to the known leader, and to its successor once a newer table
/// names one.
pub(crate) async fn report(node: Rc<Node>) {
    let mut owners = node.owners.subscribe();
    loop {
        let leader = owners.borrow_and_update().as_ref().map(|o| o.table.leader.clone());
        if let Some(leader) = leader {
            let is_replaced =
                |owners: &Option<VersionedOwners>| owners.as_ref().is_some_and(|o| o.table.leader != leader);
            tokio::select! {
                ended = run_link(&node, &leader) => handle_end(&node, &leader, ended),
                _ = owners.wait_for(is_replaced) => continue,
            }
        }
        sleep(REPORT_INTERVAL).await;
    }
}

/// Handles the end of the link to the leader. If nothing listens there or
/// another process answers, the next leader need not wait for a time-out.
fn handle_end(node: &Node, leader: &ProcessId, ended: io::Result<()>) {
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    let leader_ended = ended.as_ref().map_or_else(refused, |()| true);
    if let Err(error) = ended {
        log::debug!(leader = &*leader.vm, error:display; "link to the leader failed");
    }
    if leader_ended {
        node.leader_store_contact.set(Time::default());
    }
}

/// Records that a message of the leader has arrived, which it has sent after a time.
fn note_message(node: &Node, now: Time, sent_after: Time) {
    node.last_leader_answer.set(now);
    node.forwarded_at.set(node.forwarded_at.get().max(sent_after));
}

/// Applies a table of owners that the leader has sent.
fn apply_table(node: &Node, update: &TableUpdate) {
    let known = node.owners();
    match update.apply(known.as_ref().map(|known| (known.offset, &*known.table))) {
        Ok(Some((offset, table))) => node.update_owners(offset, Rc::new(table)),
        Ok(None) => {}
        Err(error) => log::warn!(error:display; "invalid table of owners ignored"),
    }
}

/// Applies a listing of the directory that the leader has sent after a time.
fn apply_listing(node: &Node, listing: &Listing, sent_after: Time) {
    // The leader reports to itself as well; it already has its own changes.
    if node.is_leader.get() {
        return;
    }
    let at = sent_after.before(Span::from_micros(listing.age));
    match listing.entries() {
        Ok(entries) => sync::apply_listing(node, entries, listing.to, at),
        Err(error) => log::warn!(error:display; "invalid listing of the directory ignored"),
    }
}

/// Applies a state that the leader has sent after a time.
fn apply_state(node: &Node, state: LeaderState, link: &mut LinkState, now: Time, sent_after: Time) {
    note_message(node, now, sent_after);
    let mut peer_count = node.peer_count.get();
    peer_count.update(now, state.peer_count);
    node.peer_count.set(peer_count);
    node.is_standby.set(state.standby);
    // The leader reports to itself as well; it already has its own changes.
    if !node.is_leader.get() {
        let contact = now.before(Span::from_micros(state.store_age));
        node.leader_store_contact.set(node.leader_store_contact.get().max(contact));
        apply_changes(node, state.changes, sent_after);
    }
    if state.numbering.is_some() {
        link.leader_numbering = state.numbering;
    }
    if let Some(shares) = &state.admission {
        node.admission.borrow_mut().apply(now, shares);
    }
    node.vacancies.borrow_mut().learn(now, state.vacancies);
    if !node.is_leader.get() {
        node.silence.borrow_mut().learn_exempt(now, state.silence_exempt);
    }
    silence::learn(node, &state.silence);
    if let Some(table) = state.zones {
        node.loads.borrow_mut().spill().learn(now, table);
    }
    // Loads refer to the targets of the newest directory.
    if let Some(allotted) = state.quotas {
        let levels = state.levels.as_ref().and_then(|update| link.levels.apply(update));
        apply_loads(node, now, levels, state.use_quotas, &allotted);
        node.loads.borrow_mut().learn_promised(now, &state.promised);
        sync::apply_leaving(node, &state.leaving);
        sync::apply_staying(node, &state.staying);
        let directory = node.directory.borrow();
        node.loads.borrow_mut().learn_limits(now, &directory, &state.limits, sent_after);
        node.loads.borrow_mut().record_tokens(now, sent_after, state.share, &state.tokens);
        node.waiters.notify_all();
    }
}

/// Applies changes of the configuration and of the directory.
fn apply_changes(node: &Node, changes: [Option<TopicChanges>; 2], sent_after: Time) {
    let at = |c: &TopicChanges| sent_after.before(Span::from_micros(c.age));
    let [configs, targets] = changes;
    if let Some(changes) = configs {
        let at = at(&changes);
        sync::apply_forwarded_configs(node, &into_batch(changes), at);
    }
    if let Some(changes) = targets {
        let at = at(&changes);
        sync::apply_forwarded_targets(node, &into_batch(changes), at);
    }
}

/// Applies quotas and the loads of targets. Loads of other targets than the
/// known ones are ignored; a message for the same directory follows.
fn apply_loads(node: &Node, now: Time, levels: Option<&[Levels]>, use_quotas: bool, allotted: &Counts) {
    let (directory, config) = (node.directory.borrow(), node.config.borrow());
    let mut loads = node.loads.borrow_mut();
    let peers = node.peers();
    let mut quotas = Vec::new();
    let mut is_complete = levels.is_some();
    for levels in levels.into_iter().flatten() {
        let targets: Vec<&Target> = directory.of_service(&levels.service).collect();
        let keyed = config.as_ref().and_then(|c| c.services.get(&levels.service)).is_some_and(|s| s.keyed);
        let ranks = config.as_ref().and_then(|c| c.ranks.get(&levels.service));
        let has_ranks = ranks.is_some_and(|ranks| !ranks.is_single());
        let Some(unpacked) = levels.unpack(&targets) else {
            is_complete &= !keyed;
            continue;
        };
        for (incarnation, load) in unpacked {
            if has_ranks {
                loads.track(&incarnation);
            }
            loads.record_total(now, &incarnation.id, load.total, peers);
            let slots = directory.current(&incarnation).map_or(1, |t| t.entry.slots);
            if keyed && use_quotas && load.is_busy(slots) {
                let queue_length = load.queue_length;
                quotas.push(TargetQuota { target: incarnation.id, quota: 0, queue_length });
            }
        }
    }
    if is_complete {
        loads.set_quotas(now, &quotas);
    }
    loads.renew_quotas(now, allotted);
}

/// Waits until a request needs a quota, or a target has stopped responding, and the
/// last report is old enough and answered: quotas that arrive late would be of no
/// use, and those on their way are kept from other processes.
async fn quota_due(node: &Node, last_report: Time, is_answered: bool) {
    if !is_answered {
        return std::future::pending().await;
    }
    while !node.quota_wanted.get() {
        node.quota_requested.notified().await;
    }
    sleep(QUOTA_REPORT_INTERVAL_MIN.saturating_sub(node.now().since(last_report))).await;
}

/// Reports to a leader. Returns once that process does not lead.
async fn run_link(node: &Rc<Node>, leader: &ProcessId) -> io::Result<()> {
    let stream = connect(leader.addr).await?;
    let (reader, mut writer) = stream.into_split();
    let mut messages = MessageReader::new(reader)?;
    let interval = if node.is_large_fleet() { REPORT_INTERVAL_LARGE } else { REPORT_INTERVAL };
    let mut interval = tokio::time::interval(interval.as_duration());
    let mut last_answer = node.now();
    let mut last_report = last_answer;
    let mut reports = ReportTimes::new(last_answer);
    let mut link = LinkState::new();
    let mut is_answered = true;
    loop {
        let due = tokio::select! {
            message = messages.next() => {
                let answer: LeaderMessage = postcard::from_bytes(&message?).map_err(io::Error::other)?;
                last_answer = node.now();
                link.received += 1;
                match answer {
                    LeaderMessage::Table(update) => {
                        note_message(node, last_answer, reports.sent_after());
                        apply_table(node, &update);
                    }
                    LeaderMessage::Listing(listing) => {
                        note_message(node, last_answer, reports.sent_after());
                        apply_listing(node, &listing, reports.sent_after());
                    }
                    LeaderMessage::State(state) => {
                        if state.quotas.is_some() {
                            is_answered = true;
                            if let Some(delay) = reports.answered(last_answer) {
                                node.metrics.record_link_delay(delay);
                            }
                        }
                        apply_state(node, *state, &mut link, last_answer, reports.sent_after());
                    }
                    LeaderMessage::NotLeader => return Ok(()),
                }
                false
            }
            _ = interval.tick() => true,
            () = quota_due(node, last_report, is_answered) => true,
        };
        if !due {
            continue;
        }
        last_report = node.now();
        if last_report.since(last_answer) > LINK_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        node.quota_wanted.set(false);
        is_answered = false;
        reports.sent(last_report);
        let report = Message::Report(Box::new(build_report(node, leader, &mut link)));
        write_frame(&node.metrics, &mut writer, &Frame::new("report", &report)?, None).await?;
    }
}

/// Asks an earlier leader to stop, until it has confirmed that or another
/// process runs in its place.
pub(crate) async fn stop(leader: &ProcessId) {
    loop {
        match tokio::time::timeout(LINK_TIMEOUT.as_duration(), stop_once(leader)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => log::debug!(error:display; "earlier leader unreachable"),
            Err(_) => {}
        }
        sleep(REPORT_INTERVAL).await;
    }
}

async fn stop_once(leader: &ProcessId) -> io::Result<()> {
    let stream = connect(leader.addr).await?;
    let (reader, mut writer) = stream.into_split();
    write(&mut writer, &Message::Stop(leader.run_id)).await?;
    MessageReader::new(reader)?.next().await.map(drop)
}
