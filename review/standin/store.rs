//! Stand-in of the platform's store: keyed topics with conditional appends, and
//! one group.

use {
    crate::http::{self, Message},
    std::{
        collections::{BTreeMap, HashMap},
        io::{self, BufReader, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Partitions of the group's topic.
const PARTS: usize = 8;

/// Time of one call.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub addr: SocketAddr,
}

fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = vec![key.len() as u8];
    bytes.extend_from_slice(key.as_bytes());
    bytes.extend_from_slice(value);
    bytes
}

fn split(record: &[u8]) -> (String, &[u8]) {
    let length = usize::from(record[0]);
    (String::from_utf8_lossy(&record[1..=length]).into_owned(), &record[length + 1..])
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Returns the value of a text field of a flat JSON object.
pub fn json_text(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let rest = text.split_once(&format!("\"{name}\":\""))?.1;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

/// Returns the value of a number field of a flat JSON object.
pub fn json_number(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let rest = text.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Store {
    pub fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self { state: Arc::default(), addr: listener.local_addr()? };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Appends a record for the operator or a server; an empty value removes the
    /// key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push(record(key, value));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader)?;
            thread::sleep(CALL_TIME);
            writer.write_all(&self.call(&request))?;
        }
    }

    fn call(&self, request: &Message) -> Vec<u8> {
        let json = |status: u16, text: String| {
            http::answer(status, &[("Content-Type", "application/json")], text.as_bytes())
        };
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name: &str| request.query(name).and_then(|value| value.parse::<u64>().ok());
        match request.path() {
            "/v1/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return json(403, "{}".into());
                }
                let mut state = self.state.0.lock().unwrap();
                let records = state.topics.entry(topic).or_default();
                let offset = records.len() as u64;
                if number("asOf").is_some_and(|expected| expected != offset) {
                    return json(412, format!("{{\"end\":{offset}}}"));
                }
                let mut rest = &request.body[..];
                while let Some((length, content)) = rest.split_first_chunk::<4>() {
                    let length = u32::from_be_bytes(*length) as usize;
                    records.push(content[..length].to_vec());
                    rest = &content[length..];
                }
                let end = records.len();
                self.state.1.notify_all();
                json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
            }
            "/v1/log-read" => self.read(&topic, number("from").unwrap_or(0), number("waitMs").unwrap_or(0)),
            "/v1/log-newest" => {
                let state = self.state.0.lock().unwrap();
                let records = state.topics.get(&topic).map_or(&[][..], |records| &records[..]);
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let (key, value) = split(record);
                    newest.insert(key, (offset, value));
                }
                newest.retain(|_, (_, value)| !value.is_empty());
                let item = |(key, (offset, value)): (&String, &(usize, &[u8]))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                };
                let items: Vec<String> = newest.iter().map(item).collect();
                let (items, end) = (items.join(","), records.len());
                json(200, format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{end}}}"))
            }
            "/v1/log-join" => {
                let member = json_text(&request.body, "member").unwrap_or_default();
                let topic = "edge.seats";
                let ttl = Duration::from_millis(json_number(&request.body, "ttlMs").unwrap_or(1_000));
                let mut state = self.state.0.lock().unwrap();
                let before = state.live_members();
                state.members.insert(member.clone(), Instant::now() + ttl);
                let after = state.live_members();
                state.generation += u64::from(before != after);
                let index = after.iter().position(|known| *known == member).unwrap_or(0);
                let parts: Vec<String> = (0..PARTS)
                    .filter(|part| part % after.len() == index)
                    .map(|part| format!("[\"{topic}\",{part},0]"))
                    .collect();
                let (generation, parts) = (state.generation, parts.join(","));
                json(200, format!("{{\"generation\":{generation},\"ttlMs\":1000,\"parts\":[{parts}]}}"))
            }
            "/v1/log-leave" => {
                let member = json_text(&request.body, "member").unwrap_or_default();
                let mut state = self.state.0.lock().unwrap();
                state.members.remove(&member);
                state.generation += 1;
                json(200, "{}".into())
            }
            "/v1/log-owners" => {
                let members = self.state.0.lock().unwrap().live_members();
                let row = |part: usize| {
                    let member = &members[part % members.len()];
                    format!("[\"edge.seats\",{part},\"{member}\",0]")
                };
                let rows: Vec<String> =
                    if members.is_empty() { Vec::new() } else { (0..PARTS).map(row).collect() };
                json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
            }
            _ => json(404, "{}".into()),
        }
    }

    fn read(&self, topic: &str, from: u64, wait: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], |records| &records[..]);
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() as u64 || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return http::answer(200, &[], &body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn live_members(&mut self) -> Vec<String> {
        let now = Instant::now();
        self.members.retain(|_, until| *until > now);
        self.members.keys().cloned().collect()
    }
}
