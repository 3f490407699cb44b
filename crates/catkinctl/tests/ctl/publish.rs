//! Tests of publishing to a log whose answers are lost.

use {
    crate::fake_log::{self, FLEET, Fault},
    catkin::{Code, Result, types::Span},
    catkinctl::{
        publish::{PublishReport, publish},
        reader::Reader,
    },
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, copy, copy_bidirectional},
        net::{TcpListener, TcpStream},
    },
};

const LIMIT: Span = Span::from_secs(60);

fn run(faults: &[Fault], limit: Span) -> (Result<PublishReport>, u32, usize) {
    actix_rt::System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        log.borrow_mut().faults.extend(faults);
        let published = publish(Reader::new(addr), FLEET, "ana", limit).await;
        let log = log.borrow();
        (published, log.appends, log.records.len())
    })
}

/// Guards against a wrong report on an accepted configuration.
#[test]
fn reports_revision_and_offset() {
    let (published, ..) = run(&[], LIMIT);
    assert_eq!(published.unwrap(), PublishReport::Accepted { revision: 1.into(), offset: 0.into() });
}

/// Guards against a second append when only the answer to the first one is lost.
#[test]
fn settles_a_lost_answer_by_reading() {
    let (published, appends, records) = run(&[Fault::GarbleAnswer], LIMIT);
    assert_eq!(published.unwrap(), PublishReport::Accepted { revision: 1.into(), offset: 0.into() });
    assert_eq!((appends, records), (1, 1));
}

/// Guards against a configuration that is never appended, or appended twice, when
/// append requests are lost.
#[test]
fn appends_again_when_the_record_is_not_there() {
    let (published, appends, records) = run(&[Fault::DropRecord, Fault::DropRecord], LIMIT);
    assert_eq!(published.unwrap(), PublishReport::Accepted { revision: 1.into(), offset: 0.into() });
    assert_eq!((appends, records), (3, 1));
}

/// Guards against two accepted configurations when another publisher appends a
/// configuration for the same revision first.
#[test]
fn a_race_has_one_winner() {
    let (published, ..) = run(&[Fault::Race], LIMIT);
    let PublishReport::Refused { offset, code, .. } = published.unwrap() else { panic!("accepted") };
    assert_eq!((offset.0, code), (1, Code::ConfigConflict.number()));
}

/// Guards against a report of "refused" or "accepted" when the record was not
/// found before the timeout.
#[test]
fn says_unknown_when_the_limit_ends_first() {
    let (published, ..) = run(&[Fault::DropRecord], Span::ZERO);
    assert_eq!(published.unwrap_err().code(), Code::AppendUnknown);
}

/// Starts a proxy of the log that closes the first connection with an append when
/// the answer arrives, before the client receives it.
async fn cut_first_append(log: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut cut = false;
        while let Ok((mut client, _)) = listener.accept().await {
            let mut server = TcpStream::connect(log).await.unwrap();
            let mut method = [0; 1];
            client.peek(&mut method).await.unwrap();
            let first = &method == b"P" && !cut;
            cut |= first;
            actix_rt::spawn(async move {
                if !first {
                    return drop(copy_bidirectional(&mut client, &mut server).await);
                }
                let (mut answer, mut request) = server.split();
                tokio::select! {
                    _ = copy(&mut client, &mut request) => {}
                    _ = answer.read_u8() => {}
                }
            });
        }
    });
    addr
}

/// Guards against an append that is taken as not sent when the connection closes
/// before the answer. The HTTP client reports this as a failed connection.
#[test]
fn settles_a_closed_connection_by_reading() {
    actix_rt::System::new().block_on(async {
        let (addr, log) = fake_log::start().await;
        let proxy = cut_first_append(addr).await;
        let published = publish(Reader::new(proxy), FLEET, "ana", LIMIT).await.unwrap();
        assert_eq!(published, PublishReport::Accepted { revision: 1.into(), offset: 0.into() });
        assert_eq!((log.borrow().appends, log.borrow().records.len()), (1, 1));
    });
}
