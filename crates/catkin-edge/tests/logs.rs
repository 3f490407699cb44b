//! A process whose logs nobody reads.

mod common;

use {
    common::Fleet,
    std::{
        io::{PipeReader, Write, pipe},
        process::Stdio,
        time::{Duration, Instant},
    },
};

/// Space of a pipe, as the system sets it.
const PIPE_BYTES: usize = 64 << 10;

/// Returns a pipe that has room for a few lines only.
fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, mut writer) = pipe().unwrap();
    writer.write_all(&[b'\n'; PIPE_BYTES - 2_000]).unwrap();
    (reader, writer.into())
}

/// Restarts the process of a fleet, and checks that it serves and answers each
/// request in time.
async fn check(output: Stdio, errors: Stdio) {
    let fleet = Fleet::start(1).await;
    let edge = &fleet.edges[0];
    edge.kill();
    edge.restart_with(output, errors);
    fleet.wait_until_serving(Duration::from_secs(10)).await;
    for key in 0..100 {
        let sent_at = Instant::now();
        let status = fleet.get(edge, key * 601).await.map(|response| response.status);
        assert_eq!((key, status), (key, Some(200)));
        assert!(sent_at.elapsed() < Duration::from_millis(800));
    }
    fleet.check();
}

/// The collector of the logs rests. The process must not wait for it: all of its
/// requests would end without an answer.
#[actix_rt::test]
async fn process_serves_while_nobody_reads_its_logs() {
    let (_output, stdout) = full_pipe();
    let (_errors, stderr) = full_pipe();
    check(stdout, stderr).await;
}

/// The collector of the logs is gone. A line that can't be written must not end
/// the request that it is about.
#[actix_rt::test]
async fn process_serves_without_a_reader_of_its_logs() {
    let (output, stdout) = full_pipe();
    let (errors, stderr) = full_pipe();
    drop((output, errors));
    check(stdout, stderr).await;
}
