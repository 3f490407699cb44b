//! Cases of the review: the entry program between stand-ins of clients, servers
//! and the platform, on loopback addresses.
//!
//! `standins CASE FOLDER [TROUBLE]` exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run. If `TROUBLE` is 0, there is no disruption.

mod cases;
mod client;
mod edge;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standins CASE FOLDER [TROUBLE]");
        return ExitCode::from(2);
    };
    let trouble = args.next().is_none_or(|value| value != "0");
    let record = record::Record::new();
    let result = match &*case {
        "release-copy" => cases::release_copy(&record, trouble),
        "refusal-copy" => cases::refusal_copy(&record, trouble),
        "grace" => cases::grace(&record, trouble),
        "logs" => cases::logs(&record, trouble),
        "restart" => cases::restart(&record, trouble),
        "old-entry" => cases::old_entry(&record, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    if let Err(error) = &result {
        record.add(format!("the case could not run: {error}"));
    }
    let broken = record.broken();
    record.add(format!("broken {broken} times, trouble {trouble}"));
    if record.write(Path::new(&folder)).is_err() || result.is_err() {
        eprintln!("the case could not run: {result:?}");
        return ExitCode::from(2);
    }
    println!("{case}: broken {broken} times");
    ExitCode::from(u8::from(broken > 0))
}
