//! One send to one target.

use {
    crate::{admit::Admitted, node::Node, serve::Job},
    actix_http::{
        HttpMessage, RequestHead, ResponseHead, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE},
    },
    catkin::types::{Span, Time},
    catkin_net::{Conn, Reply},
    catkin_platform::name,
    catkin_route::{directory::Life, load::End},
    std::{rc::Rc, time::Duration},
};

/// How a send ended.
pub(crate) enum Sent {
    /// With a complete answer.
    Answered(Reply),
    /// The target refused the request without running it.
    NotRun,
    /// The target does not hold the key, or another process has its address.
    Misdirected,
    /// No connection could be opened.
    Unreached,
    /// Some of the request was sent, and the connection ended without a
    /// complete answer.
    Lost,
    /// No answer came in time.
    Late,
}

/// Time to open a connection to a target.
const CONNECT_MAX: Duration = Duration::from_millis(250);

/// Added to a request's time, for the target's own answer at its deadline.
const ANSWER_SLACK: Span = Span::from_millis(40);

/// Counts a send at its target until it ends, also if it is dropped.
struct Count<'a> {
    node: &'a Node,
    target: &'a Admitted,
    start: Time,
    end: End,
}

impl<'a> Count<'a> {
    fn new(node: &'a Node, target: &'a Admitted) -> Self {
        node.loads.borrow_mut().begin(&target.life);
        Self { node, target, start: node.now(), end: End::Dropped }
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let (life, slots) = (&self.target.life, self.target.entry.slots);
        self.node.loads.borrow_mut().end(now, life, self.end, now.since(self.start), slots);
        self.node.room.notify_waiters();
    }
}

fn head(job: &Job<'_>, target: &Admitted, now: Time) -> Option<RequestHead> {
    let from = &job.incoming.head;
    let mut head = catkin_net::request(from.method().clone(), from.uri().clone());
    let dropped = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, EXPECT, UPGRADE, name::KEEP_ALIVE];
    let replaced = [name::DEADLINE, name::EXPECT];
    for (name, value) in from.headers() {
        if !dropped.contains(name) && !replaced.contains(name) {
            head.headers.append(name.clone(), value.clone());
        }
    }
    head.headers.insert(name::DEADLINE, HeaderValue::from(job.until.since(now).as_millis()));
    head.headers.insert(name::EXPECT, HeaderValue::from_str(&target.life.id).ok()?);
    Some(head)
}

fn text<'a>(head: &'a ResponseHead, name: &HeaderName) -> Option<&'a str> {
    head.headers().get(name)?.to_str().ok()
}

fn is_own(head: &ResponseHead, id: &str) -> bool {
    match text(head, &name::REQUEST_ID) {
        Some(answered) => answered == id,
        // Refusals before a request is read may not name it.
        None => !head.status.is_success(),
    }
}

/// Sends a request to a target and reads the whole answer.
pub(crate) async fn send(node: &Rc<Node>, job: &Job<'_>, target: &Admitted) -> Sent {
    let life = &target.life;
    let mut count = Count::new(node, target);
    let pooled = node.pool.take(node.now(), life);
    let conn = match pooled {
        Some(conn) => Ok(conn),
        None => {
            let left = job.until.since(node.now()).as_duration();
            Conn::open(target.entry.addr, CONNECT_MAX.min(left), node.http.clone()).await
        }
    };
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(error) => {
            if node.lines.allow(node.now(), "target not reached") {
                log::info!(id = &*job.id, target_id = &*life.id, error:display; "target not reached");
            }
            count.end = End::Unreached;
            node.metrics.send("unreached");
            return Sent::Unreached;
        }
    };
    let now = node.now();
    let Some(head) = head(job, target, now) else { return Sent::Unreached };
    let body = job.incoming.body.clone();
    let exchange = conn.exchange(head, body, job.incoming.chunked, |head| is_own(head, &job.id));
    let left = job.until.since(now) + ANSWER_SLACK;
    let reply = match tokio::time::timeout(left.as_duration(), exchange).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(broken)) if !broken.sent => {
            count.end = End::Unreached;
            node.metrics.send("unreached");
            return Sent::Unreached;
        }
        Ok(Err(broken)) => {
            let error = &broken.error;
            if node.lines.allow(node.now(), "answer lost") {
                let answered = broken.answered;
                log::info!(id = &*job.id, target_id = &*life.id, error:display, answered; "answer lost");
            }
            count.end = End::Failed;
            node.metrics.send("lost");
            return Sent::Lost;
        }
        Err(_) => {
            count.end = End::Failed;
            node.metrics.send("late");
            return Sent::Late;
        }
    };
    let now = node.now();
    if let Some((running, waiting, _)) = text(&reply.head, &name::LOAD).and_then(name::parse_load) {
        // The answered request still counts on both sides.
        node.loads.borrow_mut().report(now, life, running + waiting);
    }
    if reply.reusable {
        let named = text(&reply.head, &name::KEEP_ALIVE).and_then(name::parse_keep_alive);
        node.pool.put(now, life, conn, named.map(Span::from_secs));
    }
    judge(node, life, reply, &mut count)
}

fn judge(node: &Node, life: &Life, reply: Reply, count: &mut Count<'_>) -> Sent {
    let status = reply.head.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        // Another process has the address, or the target does not hold the key.
        if text(&reply.head, &name::INSTANCE).is_some_and(|other| other != &*life.id) {
            node.directory.borrow_mut().forget(&life.id);
        }
        count.end = End::Good;
        node.metrics.send("misdirected");
        return Sent::Misdirected;
    }
    if reply.head.headers().contains_key(name::NOT_RUN) {
        count.end = End::Refused;
        node.metrics.send("refused");
        return Sent::NotRun;
    }
    if status.is_success() && !reply.head.headers().contains_key(name::STAMP) {
        count.end = End::Failed;
        node.metrics.send("unsigned");
        return Sent::Lost;
    }
    count.end = if status.is_server_error() { End::Failed } else { End::Good };
    node.metrics.send("answered");
    Sent::Answered(reply)
}
