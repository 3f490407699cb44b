//! Guards against requests that a shutdown aborts, and against settings that are
//! not checked before sockets are opened.

mod common;

use {
    common::{ORDERS, POLL_PERIOD, free_addrs, program, read_until_closed, run, send, settings_file},
    std::net::TcpListener,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Guards against a shutdown that truncates an upload or an answer, or that never
/// ends.
#[test]
fn shutdown_cuts_nothing() {
    run(async |env| {
        let [mut first, second, _third] = env.start_fleet(["a", "b", "c"]).await;
        let half = "x".repeat(100_000);
        let mut upload = TcpStream::connect(first.callers).await.unwrap();
        let head = format!(
            "POST /orders/upload HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{half}",
            2 * half.len()
        );
        upload.write_all(head.as_bytes()).await.unwrap();
        let slow = |gateway: &common::Gateway| {
            let request =
                gateway.request("POST", "/orders/slow").insert_header(("x-standin-work-ms", "3000"));
            actix_rt::spawn(send(request, ""))
        };
        let (own, forwarded) = (slow(&first), slow(&second));
        // Waits until all three requests run on the target.
        while env.load(ORDERS).await.running < 3 {
            actix_rt::time::sleep(POLL_PERIOD).await;
        }
        first.terminate();
        first.wait_status(|status| status.leaving).await;
        upload.write_all(half.as_bytes()).await.unwrap();
        let answer = read_until_closed(&mut upload).await;
        assert!(answer.contains("x-catkin-code: 601") && answer.contains("\"length\":200000"), "{answer}");
        for reply in [own.await.unwrap(), forwarded.await.unwrap()] {
            assert_eq!((reply.result(), &*reply.echo().path), (("601", "ran"), "/orders/slow"), "{reply:?}");
        }
        let status = first.wait_exit().await;
        assert!(status.success(), "{status}: {}", first.stderr());
    });
}

/// Guards against `--check` opening sockets or accepting broken settings.
#[test]
fn check_refuses_broken_settings() {
    let addrs = free_addrs();
    // The addresses are in use, so the program would fail with another exit code
    // if it opened one of them.
    let _listeners = addrs.map(|addr| TcpListener::bind(addr).unwrap());
    let [callers, peers, admin] = addrs;
    let text = format!(
        "{{vm: gw-1, zone: a, callers: '{callers}', peers: '{peers}', admin: '{admin}', \
         platform: {{log: '127.0.0.1:9', vms: '127.0.0.1:9'}}, limits: {{LIMITS}}}}"
    );
    let check = |text: &str| {
        let file = settings_file(text);
        let output = program().arg("--check").arg("--settings").arg(file).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    assert_eq!(check(&text.replace("LIMITS", "")), (Some(0), String::new()));
    let broken = [
        (text.replace("LIMITS", "buffer: 0B"), "E105"),
        (text.replace("LIMITS", "stall: 2"), "E103"),
        (text.replace("LIMITS", "speed: 2"), "E101"),
        (text.replace("LIMITS", "").replace("127.0.0.1:9", "log.example:9"), "E104"),
        (text.replace("LIMITS", "").replace("zone: a, ", ""), "E106"),
        ("callers: [".to_owned(), "E1"),
    ];
    for (text, code) in broken {
        let (status, stderr) = check(&text);
        assert_eq!(status, Some(2), "{text}: {stderr}");
        assert!(stderr.contains(code), "{text}: {stderr}");
    }
}
