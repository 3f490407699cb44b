//! Clients that stop reading a large answer for a while.

use {
    crate::{Fleet, Outcome, has_trouble, http, record::Record},
    std::{
        io::Read,
        net::{SocketAddr, TcpStream},
        path::Path,
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which a client doesn't read, well before its deadline.
const PAUSE: Duration = Duration::from_millis(3_500);
const DEADLINE: Duration = Duration::from_secs(8);

/// Size of the answers; that of the largest downloads is 540,000 bytes.
const BODY_BYTES: usize = 500_000;

/// Kept connections, each of which carries one large answer.
const CLIENTS: usize = 8;

/// Uses a connection for a small answer, then for a large one. Returns whether the
/// large one broke off before the deadline.
fn use_conn(addr: SocketAddr, record: &Record, i: usize) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let deadline = DEADLINE.as_millis().to_string();
    let mut bytes = vec![0; 64 << 10];
    let (first, export) = (format!("first-{i}"), format!("export-{i}"));
    let headers = |id| [("Host", "hulo84.example"), ("X-Request-Id", id), ("X-Deadline-Ms", &*deadline)];
    http::write(&mut stream, "GET /sheets/1 HTTP/1.1", &headers(&*first), b"").ok()?;
    let count = stream.read(&mut bytes).ok()?;
    record.write(&format!("{first}: {count} bytes"));
    let line = format!("GET /exports/1/b{BODY_BYTES} HTTP/1.1");
    http::write(&mut stream, &line, &headers(&*export), b"").ok()?;
    let sent_at = Instant::now();
    record.write(&format!("sent {export}"));
    let mut total = stream.read(&mut bytes[..4 << 10]).ok()?;
    if has_trouble() {
        thread::sleep(PAUSE);
    }
    let end = loop {
        match stream.read(&mut bytes) {
            Ok(0) => break "the connection was closed".to_owned(),
            Ok(count) => total += count,
            Err(error) => break error.to_string(),
        }
        if total >= BODY_BYTES {
            break "all has arrived".to_owned();
        }
    };
    let took = sent_at.elapsed();
    record.write(&format!("{export} after {:.2} s: {total} bytes of the answer, {end}", took.as_secs_f64()));
    Some(total < BODY_BYTES && took < DEADLINE)
}

pub fn run(scratch: &Path, record: &Record) -> Outcome {
    let Some(fleet) = Fleet::start(scratch, record, 2) else { return Outcome::NotRun };
    // The machines are in touch after this time without a disruption.
    thread::sleep(Duration::from_millis(3_500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            let (addr, record) = (fleet.edges[i % 2].callers, record.clone());
            thread::sleep(Duration::from_millis(100));
            thread::spawn(move || use_conn(addr, &record, i))
        })
        .collect();
    let cut: Vec<bool> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    let count = cut.iter().filter(|cut| **cut).count();
    let sent = cut.len();
    record.tell(&format!("{sent} answers on kept connections; {count} cut before their deadline"));
    if count > 3 { Outcome::Broken } else { Outcome::Held }
}
