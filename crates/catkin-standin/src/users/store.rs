//! The store: topics of keyed records with conditional appends, and one
//! consumer group.

use {
    crate::body,
    actix_http::{Request, Response, body::BoxBody},
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::{Buf, BufMut, Bytes, BytesMut},
    catkin_net::{listen, reply_text},
    futures_util::future::pending,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Number of partitions of `edge.seats`, the topic of the group.
const PARTITIONS: usize = 8;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Executes and answers all calls.
    #[default]
    Up,
    /// Answers with status 503 and executes nothing.
    Unavailable,
    /// Never answers and executes nothing.
    Unresponsive,
    /// Executes appends but never answers them.
    UnansweredWrites,
    /// Executes and answers all calls after 300 ms.
    Slow,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record.
    first: u64,
    records: Vec<Bytes>,
}

impl Topic {
    /// Returns the offset that the next record gets.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// Expiry by member.
    members: BTreeMap<String, Instant>,
}

#[derive(Debug, Default)]
struct Inner {
    topics: RefCell<HashMap<String, Topic>>,
    group: RefCell<Group>,
    mode: Cell<StoreMode>,
    /// Time by which listings of a topic are answered late, by topic.
    listing_delays: RefCell<HashMap<String, Duration>>,
    /// Since when keys have a value that were put, by topic and key.
    set_since: RefCell<HashMap<(String, String), Instant>>,
    /// Number of calls by path.
    calls: RefCell<HashMap<String, u64>>,
    appended: Notify,
}

/// The store. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Store {
    inner: Rc<Inner>,
}

fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let mut record = BytesMut::new();
    record.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
    record.put_slice(key.as_bytes());
    record.put_slice(value);
    record.freeze()
}

fn decode_record(record: &Bytes) -> (String, Bytes) {
    let length = usize::from(record.first().copied().unwrap_or(0)).min(record.len().saturating_sub(1));
    let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
    (key, record.slice(1 + length..))
}

fn json_reply(status: u16, body: &Value) -> Response<BoxBody> {
    catkin_net::reply_json(status, body)
}

fn query_params(request: &Request) -> HashMap<String, String> {
    let text = request.uri().query().unwrap_or("");
    text.split('&').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

impl Store {
    /// Serves the store on a free port.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub async fn start(&self) -> SocketAddr {
        let listener = listen("127.0.0.1:0".parse().expect("valid address")).await.expect("free port");
        let addr = listener.local_addr().expect("bound socket");
        let store = self.clone();
        actix_rt::spawn(async move {
            let serving = catkin_net::serve(listener, move |request| {
                let store = store.clone();
                async move { store.handle(request).await }
            });
            let _ = serving.await;
        });
        addr
    }

    /// Changes how further calls are handled.
    pub fn set_mode(&self, mode: StoreMode) {
        self.inner.mode.set(mode);
    }

    /// Delays the answers to listings of a topic. They hold the records at the
    /// time of the call.
    pub fn set_listing_delay(&self, topic: &str, delay: Duration) {
        self.inner.listing_delays.borrow_mut().insert(topic.to_owned(), delay);
    }

    /// Returns how often a path was called, in any mode.
    pub fn call_count(&self, path: &str) -> u64 {
        self.inner.calls.borrow().get(path).copied().unwrap_or(0)
    }

    /// Appends a record in any mode, for the operator and the servers. An empty
    /// value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut set_since = self.inner.set_since.borrow_mut();
        let id = (topic.to_owned(), key.to_owned());
        if value.is_empty() {
            set_since.remove(&id);
        } else {
            set_since.entry(id).or_insert_with(Instant::now);
        }
        self.inner
            .topics
            .borrow_mut()
            .entry(topic.to_owned())
            .or_default()
            .records
            .push(encode_record(key, value));
        self.inner.appended.notify_waiters();
    }

    /// Returns since when a key has a value that was put.
    pub fn set_since(&self, topic: &str, key: &str) -> Option<Instant> {
        self.inner.set_since.borrow().get(&(topic.to_owned(), key.to_owned())).copied()
    }

    /// Compacts a topic to the newest value of each key. The end stays the
    /// same: the records that are kept get the last offsets, and reads from
    /// earlier offsets are answered with status 410.
    pub fn compact(&self, topic: &str) {
        let newest = self.newest(topic);
        let mut topics = self.inner.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        let end = topic.end();
        topic.records = newest.into_iter().map(|(key, value)| encode_record(&key, &value)).collect();
        topic.first = end - topic.records.len() as u64;
    }

    /// Returns the newest value of each key, without removed keys.
    pub fn newest(&self, topic: &str) -> BTreeMap<String, Bytes> {
        let topics = self.inner.topics.borrow();
        let records = topics.get(topic).map_or(&[][..], |t| &t.records[..]);
        let mut newest: BTreeMap<String, Bytes> = records.iter().map(decode_record).collect();
        newest.retain(|_, value| !value.is_empty());
        newest
    }

    async fn handle(&self, request: Request) -> Response<BoxBody> {
        *self.inner.calls.borrow_mut().entry(request.path().to_owned()).or_default() += 1;
        let mode = self.inner.mode.get();
        match mode {
            StoreMode::Unavailable => return reply_text(503, ""),
            StoreMode::Unresponsive => return pending().await,
            StoreMode::Slow => actix_rt::time::sleep(Duration::from_millis(300)).await,
            StoreMode::Up | StoreMode::UnansweredWrites => {}
        }
        let path = request.path().to_owned();
        let query = query_params(&request);
        match path.as_str() {
            "/v1/log-append" => {
                let reply = self.append(request, &query).await;
                if mode == StoreMode::UnansweredWrites { pending().await } else { reply }
            }
            "/v1/log-read" => self.read(&query).await,
            "/v1/log-newest" => self.list(&query).await,
            "/v1/log-join" => self.join(request).await,
            "/v1/log-leave" => self.leave(request).await,
            "/v1/log-owners" => self.owners(),
            _ => reply_text(404, ""),
        }
    }

    async fn append(&self, mut request: Request, query: &HashMap<String, String>) -> Response<BoxBody> {
        let Ok(mut body) = body::read(request.take_payload()).await else { return reply_text(400, "") };
        let name = query.get("topic").cloned().unwrap_or_default();
        let mut topics = self.inner.topics.borrow_mut();
        let topic = topics.entry(name).or_default();
        let end = topic.end();
        if query.get("asOf").and_then(|v| v.parse().ok()).is_some_and(|as_of: u64| as_of != end) {
            return json_reply(412, &json!({ "end": end }));
        }
        while body.len() >= 4 {
            let length = body.get_u32() as usize;
            topic.records.push(body.split_to(length.min(body.len())));
        }
        self.inner.appended.notify_waiters();
        json_reply(200, &json!({ "offset": end, "end": topic.end() }))
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<BoxBody> {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (name, from) = (query.get("topic").cloned().unwrap_or_default(), number("from"));
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            let appended = self.inner.appended.notified();
            let end = self.inner.topics.borrow_mut().entry(name.clone()).or_default().end();
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            let _ = actix_rt::time::timeout(left, appended).await;
        }
        let topics = self.inner.topics.borrow();
        let Some(topic) = topics.get(&name) else { return reply_text(404, "") };
        if from < topic.first {
            return json_reply(410, &json!({ "first": topic.first }));
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.end());
        body.put_u64(topic.first);
        let skip = usize::try_from(from - topic.first).unwrap_or(usize::MAX);
        for record in topic.records.iter().skip(skip) {
            body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
            body.put_slice(record);
        }
        Response::ok().set_body(body.freeze()).map_into_boxed_body()
    }

    async fn list(&self, query: &HashMap<String, String>) -> Response<BoxBody> {
        let name = query.get("topic").cloned().unwrap_or_default();
        let end = self.inner.topics.borrow_mut().entry(name.clone()).or_default().end();
        let item = |(key, value): (String, Bytes)| json!({ "key": key, "value": STANDARD.encode(value), "offset": 0 });
        let items: Vec<Value> = self.newest(&name).into_iter().map(item).collect();
        let delay = self.inner.listing_delays.borrow().get(&name).copied();
        if let Some(delay) = delay {
            actix_rt::time::sleep(delay).await;
        }
        json_reply(200, &json!({ "items": items, "truncated": false, "end": end }))
    }

    async fn join(&self, mut request: Request) -> Response<BoxBody> {
        let Ok(body) = body::read(request.take_payload()).await else { return reply_text(400, "") };
        let Ok(join) = serde_json::from_slice::<Value>(&body) else { return reply_text(400, "") };
        let member = join["member"].as_str().unwrap_or("").to_owned();
        let ttl = Duration::from_millis(join["ttlMs"].as_u64().unwrap_or(1_000));
        let mut group = self.inner.group.borrow_mut();
        let now = Instant::now();
        let before: Vec<String> = group.members.keys().cloned().collect();
        group.members.retain(|_, until| *until > now);
        group.members.insert(member.clone(), now + ttl);
        let after: Vec<String> = group.members.keys().cloned().collect();
        group.generation += u64::from(before != after);
        let index = after.iter().position(|m| *m == member).unwrap_or(0);
        let assigned = (0..PARTITIONS).filter(|part| part % after.len() == index);
        let parts: Vec<Value> = assigned.map(|part| json!(["edge.seats", part, 0])).collect();
        json_reply(200, &json!({ "generation": group.generation, "parts": parts }))
    }

    fn owners(&self) -> Response<BoxBody> {
        let mut group = self.inner.group.borrow_mut();
        let now = Instant::now();
        group.members.retain(|_, until| *until > now);
        let members: Vec<&String> = group.members.keys().collect();
        let row = |part: usize| json!(["edge.seats", part, members[part % members.len()], 0]);
        let rows: Vec<Value> =
            if members.is_empty() { Vec::new() } else { (0..PARTITIONS).map(row).collect() };
        json_reply(200, &json!({ "parts": rows }))
    }

    async fn leave(&self, mut request: Request) -> Response<BoxBody> {
        let Ok(body) = body::read(request.take_payload()).await else { return reply_text(400, "") };
        let leave: Value = serde_json::from_slice(&body).unwrap_or_default();
        let mut group = self.inner.group.borrow_mut();
        group.members.remove(leave["member"].as_str().unwrap_or(""));
        group.generation += 1;
        reply_text(200, "")
    }
}
