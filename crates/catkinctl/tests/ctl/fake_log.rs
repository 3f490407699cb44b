//! An in-memory log service with faults that a test injects.

use {
    actix_http::{Method, Request, Response, body::BoxBody},
    base64::{Engine, prelude::BASE64_STANDARD},
    catkin::{
        api::{Append, Appended, LogRecord, RecordPage},
        record::{self, Change, Publish, Record, Writer},
        types::{Offset, Revision, Sequence, VmId},
    },
    catkin_net::{listen, reply_json, reply_text, serve},
    futures_util::StreamExt,
    std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc},
};

pub(crate) const FLEET: &str = "services: {a: {}}\n";

/// Fault that the service applies to one append.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// Appends the record, but returns an answer that cannot be decoded.
    GarbleAnswer,
    /// Returns an answer that cannot be decoded, without appending the record.
    DropRecord,
    /// Appends the configuration of another publisher first.
    Race,
}

#[derive(Default)]
pub(crate) struct FakeLog {
    /// Offset of the oldest retained record.
    pub first: u64,
    pub records: Vec<Vec<u8>>,
    pub faults: VecDeque<Fault>,
    pub appends: u32,
}

pub(crate) type Shared = Rc<RefCell<FakeLog>>;

pub(crate) async fn start() -> (SocketAddr, Shared) {
    let shared = Shared::default();
    let listener = listen("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let state = shared.clone();
    actix_rt::spawn(serve(listener, move |request| answer(state.clone(), request)));
    (addr, shared)
}

async fn answer(state: Shared, mut request: Request) -> Response<BoxBody> {
    if request.method() == Method::GET {
        return reply_json(200, &page(&state.borrow(), request.uri().query().unwrap_or_default()));
    }
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(Ok(part)) = payload.next().await {
        body.extend(part);
    }
    let append: Append = serde_json::from_slice(&body).unwrap();
    let bytes = BASE64_STANDARD.decode(append.data).unwrap();
    let mut log = state.borrow_mut();
    log.appends += 1;
    let fault = log.faults.pop_front();
    if matches!(fault, Some(Fault::Race)) {
        log.records.push(config_record("rival", 0, FLEET));
    }
    if !matches!(fault, Some(Fault::DropRecord)) {
        log.records.push(bytes);
    }
    match fault {
        Some(Fault::GarbleAnswer | Fault::DropRecord) => reply_text(200, "cut"),
        _ => reply_json(200, &Appended { offset: Offset(log.head() - 1) }),
    }
}

impl FakeLog {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

fn page(log: &FakeLog, query: &str) -> RecordPage {
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")).unwrap();
    let from = from.parse::<u64>().unwrap();
    let entry = |(offset, bytes): (u64, &Vec<u8>)| LogRecord {
        offset: Offset(offset),
        data: BASE64_STANDARD.encode(bytes),
    };
    let records = (log.first..).zip(&log.records).filter(|(offset, _)| *offset >= from);
    RecordPage { first: Offset(log.first), head: Offset(log.head()), records: records.map(entry).collect() }
}

pub(crate) fn config_record(author: &str, expects: u64, text: &str) -> Vec<u8> {
    let publish = Publish { expects: Revision(expects), author: author.into(), text: text.into() };
    let writer = Writer { id: VmId::new(author).unwrap(), boot: 1 };
    record::encode(&Record { writer, sequence: Sequence(expects + 1), change: Change::Config(publish) })
        .unwrap()
}
