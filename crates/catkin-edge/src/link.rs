//! Reports to the leader; tables and changes from it.
//!
//! Each process keeps one connection to the leader, on which it reports loads.
//! The leader answers each report, and passes a new table, configuration or
//! change of the directory on at once.

use {
    crate::{
        feed::{self, Feed},
        follow, lead,
        node::{Node, Owned, sleep},
    },
    bytes::{Bytes, BytesMut},
    catkin::types::{Span, Time},
    catkin_net::tune,
    catkin_route::owners::{Leader, Owners},
    serde::{Deserialize, Serialize},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        io,
        rc::Rc,
        sync::Arc,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp::OwnedWriteHalf},
    },
};

/// Pause between two reports.
const REPORT_PAUSE: Span = Span::from_millis(250);

/// The same pause in a fleet of many processes.
const REPORT_PAUSE_MANY: Span = Span::from_millis(500);

/// Processes from which on the longer pause holds.
const MANY: u32 = 17;

/// Silence after which a connection between edge processes is closed.
const SILENCE_MAX: Span = Span::from_millis(1_500);

/// Largest message.
const MESSAGE_BYTES_MAX: usize = 4 << 20;

/// Age of the last report above which a process is not counted.
const PEER_MAX: Span = Span::from_secs(3);

/// What a process says to the leader, or to the one before it.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Loads and what is known.
    Report(Report),
    /// Asks the process with an incarnation to stop leading.
    Stop(u64),
}

/// Keys and the requests for each.
type KeyCounts = Vec<(u16, u16)>;

/// What a process reports.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    vm: Arc<str>,
    /// Incarnation of the leader that it is meant for.
    leader: u64,
    /// Version of the newest known table.
    version: Option<u64>,
    /// Offsets of the next records of the configuration and the directory.
    next: [Option<u64>; 2],
    /// Requests by service and key since the last report.
    keys: Vec<(Arc<str>, KeyCounts)>,
    /// Whether the process can do the work of a leader well.
    strong: bool,
    /// Requests of this process at each target.
    own: Vec<(Arc<str>, u32)>,
    /// Mean time of a request at each target that was measured, in seconds.
    times: Vec<(Arc<str>, f32)>,
}

/// Says that the asked process of this VM no longer leads.
#[derive(Debug, Serialize, Deserialize)]
struct Stopped;

/// What a process answers to a report.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    /// What the leader says.
    Notice(Box<Notice>),
    /// The process that the report is meant for does not lead any more.
    Ended,
}

/// What the leader says.
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    /// Number of processes that report.
    peers: u32,
    /// Whether the process should stand by to follow the leader.
    standby: bool,
    /// Microseconds since the leader last reached the store.
    alone: u64,
    /// Full targets and the requests of all processes at them.
    full: Vec<(Arc<str>, u32)>,
    /// A newer table and its version.
    table: Option<(u64, Owners)>,
    /// Changes of the configuration and of the directory.
    changes: [Option<Changes>; 2],
}

/// Changes of one topic.
#[derive(Debug, Serialize, Deserialize)]
struct Changes {
    from: u64,
    to: u64,
    /// Microseconds since the leader read the store.
    age: u64,
    records: Vec<(u64, Bytes, Bytes)>,
}

impl Changes {
    fn new(feed: &Feed, from: u64, now: Time) -> Option<Self> {
        let feed::Batch { from, to, changes } = feed.since(from)?;
        let age = now.since(feed.fresh()).as_micros();
        Some(Self { from, to, age, records: changes })
    }

    fn into_batch(self) -> feed::Batch {
        feed::Batch { from: self.from, to: self.to, changes: self.records }
    }
}

/// What a process reported last.
#[derive(Debug)]
struct Peer {
    at: Time,
    strong: bool,
    own: Vec<(Arc<str>, u32)>,
}

/// The processes that report, by VM.
type Peers = Rc<RefCell<BTreeMap<Arc<str>, Peer>>>;

/// Returns the targets whose slots are full, and the requests of all processes
/// at them. A process alone does not see the others fill a target.
fn full(node: &Node, peers: &Peers) -> Vec<(Arc<str>, u32)> {
    let mut totals: HashMap<Arc<str>, u32> = HashMap::new();
    for (id, own) in peers.borrow().values().flat_map(|peer| &peer.own) {
        *totals.entry(id.clone()).or_default() += own;
    }
    let directory = node.directory.borrow();
    totals.retain(|id, total| directory.get(id).is_some_and(|t| *total >= t.entry.slots));
    totals.into_iter().collect()
}

/// Processes that stand by to follow the leader.
const STANDBYS: usize = 3;

/// Returns whether a process should stand by: the first strong ones, or the
/// first ones if too few are strong.
fn stands_by(node: &Node, peers: &Peers, vm: &str) -> bool {
    let peers = peers.borrow();
    let others = || peers.iter().filter(|(other, _)| **other != node.me.vm);
    let strong = others().filter(|(_, peer)| peer.strong);
    let weak = others().filter(|(_, peer)| !peer.strong);
    strong.chain(weak).take(STANDBYS).any(|(other, _)| **other == *vm)
}

async fn write<T: Serialize>(stream: &mut OwnedWriteHalf, message: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    tokio::time::timeout(SILENCE_MAX.as_duration(), stream.write_all(&bytes)).await?
}

/// Reads whole messages; a read that is dropped loses nothing.
struct Messages<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncReadExt + Unpin> Messages<R> {
    fn new(stream: R) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    async fn next(&mut self) -> io::Result<Bytes> {
        loop {
            if let Some(head) = self.buffer.first_chunk::<4>() {
                let length = u32::from_be_bytes(*head) as usize;
                if length > MESSAGE_BYTES_MAX {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.buffer.len() >= 4 + length {
                    let message = self.buffer.split_to(4 + length).freeze();
                    return Ok(message.slice(4..));
                }
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Takes reports of other processes.
pub(crate) async fn listen(node: Rc<Node>, listener: TcpListener) {
    let peers = Peers::default();
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
    let mut peers = peers.borrow_mut();
    let peer = Peer { at: now, strong: report.strong, own: report.own.clone() };
    peers.insert(report.vm.clone(), peer);
    peers.retain(|_, peer| now.since(peer.at) < PEER_MAX);
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
    u32::try_from(peers.len()).unwrap_or(u32::MAX)
}

async fn answer(node: &Rc<Node>, peers: &Peers, stream: TcpStream) -> io::Result<()> {
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = Messages::new(reader);
    let mut owned = node.owned.subscribe();
    let mut configs = node.configs.reads();
    let mut targets = node.targets.reads();
    let mut count = 0;
    let mut standby = false;
    let mut sent = None;
    let mut next: [Option<u64>; 2] = [None, None];
    let mut meant = node.me.incarnation;
    loop {
        let message = tokio::select! {
            message = tokio::time::timeout(SILENCE_MAX.as_duration(), messages.next()) => Some(message??),
            changed = owned.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = configs.changed() => changed.map(|()| None).map_err(io::Error::other)?,
            changed = targets.changed() => changed.map(|()| None).map_err(io::Error::other)?,
        };
        let asked = message.is_some();
        if let Some(message) = message {
            match postcard::from_bytes(&message).map_err(io::Error::other)? {
                Message::Report(report) => {
                    count = take(node, peers, &report);
                    standby = stands_by(node, peers, &report.vm);
                    sent = report.version;
                    next = report.next;
                    meant = report.leader;
                }
                Message::Stop(incarnation) => {
                    if incarnation == node.me.incarnation {
                        log::info!("another process leads and asks this one to stop");
                        node.seat.set(None);
                    }
                    return write(&mut writer, &Stopped).await;
                }
            }
        }
        if !node.leads.get() || meant != node.me.incarnation {
            return write(&mut writer, &Answer::Ended).await;
        }
        let newer = node.owned().filter(|o| sent.is_none_or(|sent| sent < o.version));
        let table = newer.map(|Owned { version, table }| (version, (*table).clone()));
        sent = table.as_ref().map(|t| t.0).or(sent);
        let now = node.now();
        let feeds = [&node.configs, &node.targets];
        let changes = [0, 1].map(|i| next[i].and_then(|from| Changes::new(feeds[i], from, now)));
        for (next, changes) in next.iter_mut().zip(&changes) {
            *next = changes.as_ref().map(|c| c.to).or(*next);
        }
        let alone = node.seat.get().map_or(u64::MAX, |at| now.since(at).as_micros());
        let news = changes.iter().flatten().any(|c| !c.records.is_empty());
        // Nothing new waits for the next report, which tells of the age.
        if asked || table.is_some() || news {
            let full = full(node, peers);
            let notice = Notice { peers: count, standby, alone, full, table, changes };
            write(&mut writer, &Answer::Notice(Box::new(notice))).await?;
        }
    }
}

fn report_now(node: &Node, leader: &Leader) -> Report {
    let mut keys: HashMap<Arc<str>, KeyCounts> = HashMap::new();
    for ((service, key), count) in node.keys.take() {
        keys.entry(service).or_default().push((key, count));
    }
    let times = node.loads.borrow_mut().take_times();
    let own = node.loads.borrow().own();
    let version = node.owned().map(|o| o.version);
    let next = [node.configs.next(), node.targets.next()];
    let strong = node.is_strong();
    let keys = keys.into_iter().collect();
    Report { vm: node.me.vm.clone(), leader: leader.incarnation, version, next, strong, own, keys, times }
}

/// Reports to the leader and takes its tables.
pub(crate) async fn report(node: Rc<Node>) {
    let mut owned = node.owned.subscribe();
    loop {
        let leader = owned.borrow_and_update().as_ref().map(|o| o.table.leader.clone());
        if let Some(leader) = leader {
            let next = |owned: &Option<Owned>| owned.as_ref().is_some_and(|o| o.table.leader != leader);
            tokio::select! {
                ended = link(&node, &leader) => note_end(&node, &leader, ended),
                _ = owned.wait_for(next) => continue,
            }
        }
        sleep(REPORT_PAUSE).await;
    }
}

/// Notes the end of the link to the leader. Where nothing runs or another
/// process answers, the next leader need not wait.
fn note_end(node: &Node, leader: &Leader, ended: io::Result<()>) {
    let refused = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    let is_over = ended.as_ref().map_or_else(refused, |()| true);
    if let Err(error) = ended {
        log::debug!(leader = &*leader.vm, error:display; "link to the leader ended");
    }
    if is_over {
        node.alive.set(Time::default());
    }
}

/// Takes what the leader says.
fn hear(node: &Node, notice: Notice, now: Time) {
    node.linked.set(now);
    node.peers.set(notice.peers.max(1));
    node.standby.set(notice.standby);
    for (id, total) in &notice.full {
        node.loads.borrow_mut().share(now, id, *total, notice.peers);
    }
    if let Some((version, table)) = notice.table {
        node.adopt(version, table);
    }
    // The leader reports to itself as well; its own changes are no news to it.
    if node.leads.get() {
        return;
    }
    node.alive.set(node.alive.get().max(now.before(Span::from_micros(notice.alone))));
    let at = |c: &Changes| now.before(Span::from_micros(c.age));
    let [configs, targets] = notice.changes;
    if let Some(changes) = configs {
        let at = at(&changes);
        follow::relay_configs(node, &changes.into_batch(), at);
    }
    if let Some(changes) = targets {
        let at = at(&changes);
        follow::relay_targets(node, &changes.into_batch(), at);
    }
}

/// Reports to a leader. Returns once that process does not lead any more.
async fn link(node: &Rc<Node>, leader: &Leader) -> io::Result<()> {
    let connect = TcpStream::connect(leader.addr);
    let stream = tokio::time::timeout(SILENCE_MAX.as_duration(), connect).await??;
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    let mut messages = Messages::new(reader);
    let pause = if node.peers.get() < MANY { REPORT_PAUSE } else { REPORT_PAUSE_MANY };
    let mut pause = tokio::time::interval(pause.as_duration());
    let mut heard = node.now();
    loop {
        tokio::select! {
            message = messages.next() => {
                let answer: Answer = postcard::from_bytes(&message?).map_err(io::Error::other)?;
                heard = node.now();
                match answer {
                    Answer::Notice(notice) => hear(node, *notice, heard),
                    Answer::Ended => return Ok(()),
                }
            }
            _ = pause.tick() => {
                if node.now().since(heard) > SILENCE_MAX {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                write(&mut writer, &Message::Report(report_now(node, leader))).await?;
            }
        }
    }
}

/// Asks an earlier leader to stop. Returns once it has, or once another
/// process runs in its place.
pub(crate) async fn stop(leader: &Leader) {
    loop {
        match tokio::time::timeout(SILENCE_MAX.as_duration(), stop_once(leader)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => log::debug!(error:display; "earlier leader not reached"),
            Err(_) => {}
        }
        sleep(REPORT_PAUSE).await;
    }
}

async fn stop_once(leader: &Leader) -> io::Result<()> {
    let stream = TcpStream::connect(leader.addr).await?;
    tune(&stream);
    let (reader, mut writer) = stream.into_split();
    write(&mut writer, &Message::Stop(leader.incarnation)).await?;
    Messages::new(reader).next().await.map(drop)
}
