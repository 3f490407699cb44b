//! Guards against targets that run work without a valid lease and grant.

mod common;

use {
    actix_rt::spawn,
    bytes::Bytes,
    catkin::{
        api::{Operation, header, path},
        types::Span,
    },
    catkin_standin::{Echo, checksum},
    common::{LIMIT, held_slice, run},
    futures_util::StreamExt,
    std::convert::Infallible,
    tokio::sync::mpsc,
};

/// Guards against work that runs with an old fence.
#[test]
fn work_runs_only_under_its_fence() {
    run(
        |_| {},
        async |env| {
            env.grant(LIMIT).await;
            let send = |fence: &'static str| {
                let request = env.work_request("/draw").insert_header((header::REQUEST, "r-1"));
                request
                    .insert_header((header::SLICE, "3"))
                    .insert_header((header::FENCE, fence))
                    .send_body("plan")
            };
            let refused = send("6.0").await.unwrap();
            assert_eq!(refused.headers().get(header::OUTCOME).unwrap(), "not-run");
            let echo: Echo = send("7.0").await.unwrap().json().await.unwrap();
            assert_eq!((echo.length, echo.checksum), (4, checksum(b"plan")));
            let ledger = env.ledger().await;
            assert_eq!(ledger.runs["r-1"].len(), 1);
            assert_eq!((ledger.owned.len(), ledger.served.len()), (1, 1));
        },
    );
}

/// Guards against work that takes effect after its slice was released.
#[test]
fn work_has_no_effect_after_its_slice_is_released() {
    run(
        |_| {},
        async |env| {
            env.grant(LIMIT).await;
            let (body, parts) = mpsc::unbounded_channel::<Bytes>();
            let parts = futures_util::stream::unfold(parts, async |mut parts| {
                let part = parts.recv().await?;
                Some((Ok::<_, Infallible>(part), parts))
            });
            let request = env.work_request("/upload").insert_header((header::SLICE, "3"));
            let request = request.insert_header((header::FENCE, "7.0"));
            let upload = spawn(request.send_stream(parts.boxed_local()));
            // The client sends nothing until its write buffer is full.
            body.send(Bytes::from(vec![0; 64 << 10])).unwrap();
            while env.lease().await.running.is_empty() {}
            env.send_command(3, path::RELEASE, Operation::Release { slices: vec![held_slice()] }).await;
            drop(body);
            let answer = upload.await.unwrap().unwrap();
            assert_eq!(answer.headers().get(header::OUTCOME).unwrap(), "not-run");
            let ledger = env.ledger().await;
            assert_eq!((ledger.counts.fenced, ledger.runs.len()), (1, 0));
            assert!(env.lease().await.running.is_empty());
        },
    );
}

/// Guards against a ledger in which a slice is owned after its lease expired.
#[test]
fn ownership_ends_when_the_lease_expires() {
    run(
        |_| {},
        async |env| {
            env.grant(Span::from_millis(200)).await;
            while !env.lease().await.slices.is_empty() {}
            let clock = env.lease().await.clock;
            let ledger = env.ledger().await;
            let end = ledger.owned.first().map(|held| held.until);
            assert!(end.is_none_or(|end| end <= ledger.boot + clock.as_micros()));
            assert_eq!(env.ledger().await.owned, ledger.owned);
        },
    );
}
