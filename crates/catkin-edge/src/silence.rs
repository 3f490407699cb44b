//! Notices targets that have stopped responding, see [`catkin_route::silence`].

use {
    crate::{attempt::Awaited, node::Node},
    catkin::types::Time,
    catkin_route::{
        directory::Incarnation,
        silence::{Scope, SilenceReport, Wait},
    },
    std::{future::pending, sync::Arc},
};

/// Records that bytes of a target have arrived.
pub(crate) fn note_heard(node: &Node, incarnation: &Incarnation) {
    let has_ended = node.silence.borrow_mut().heard(node.now(), incarnation);
    if has_ended {
        node.request_report();
        apply(node);
    }
}

/// Records that an attempt to connect to a target has got no answer since a time.
pub(crate) fn note_unconnected(node: &Node, incarnation: &Incarnation, since: Time) {
    let is_evidence = node.silence.borrow_mut().note_silent(node.now(), incarnation, since);
    if is_evidence {
        note_evidence(node);
    }
}

fn note_evidence(node: &Node) {
    node.metrics.count_suspicion();
    node.request_report();
    apply(node);
}

/// Applies what other processes have observed.
pub(crate) fn learn(node: &Node, reports: &[SilenceReport]) {
    if !reports.is_empty() {
        node.silence.borrow_mut().learn(node.now(), reports);
    }
    apply(node);
}

/// Returns the observations for a message.
pub(crate) fn reports(node: &Node, scope: Scope) -> Vec<SilenceReport> {
    node.silence.borrow().reports(node.now(), &node.directory.borrow(), scope)
}

/// Returns the services with too many silent targets.
pub(crate) fn exempt_services(node: &Node) -> Vec<Arc<str>> {
    node.silence.borrow().exempt_services(node.now(), &node.directory.borrow())
}

/// Updates the directory by what is known of silent targets.
pub(crate) fn apply(node: &Node) {
    let mut directory = node.directory.borrow_mut();
    let silent = node.silence.borrow().suspects(node.now(), &directory);
    let changed = directory.set_silent(&silent);
    if changed.is_empty() {
        return;
    }
    let now = node.now();
    for incarnation in &changed {
        let (id, started, count) = (&*incarnation.id, incarnation.started, silent.len());
        if silent.contains(incarnation) {
            if node.log_limiter.allow(now, "target has stopped responding") {
                log::info!(target_id = id, started, count; "target has stopped responding");
            }
            continue;
        }
        let has_answered = node.silence.borrow().has_answered(incarnation);
        if has_answered && directory.current(incarnation).is_some() {
            node.loads.borrow_mut().forgive(incarnation);
        }
        if node.log_limiter.allow(now, "target counts as responding") {
            log::info!(target_id = id, started, has_answered, count; "target counts as responding");
        }
    }
    node.metrics.set_silent(&directory);
    drop(directory);
    node.silence_changed.set(true);
    node.waiters.notify_all();
}

/// Signals a change to the requests that wait at targets and, by the leader, to
/// other processes.
pub(crate) fn signal_change(node: &Node) {
    if node.silence_changed.replace(false) {
        node.silence_changes.send_modify(|count| *count += 1);
    }
}

fn is_silent(node: &Node, incarnation: &Incarnation) -> bool {
    node.directory.borrow().current(incarnation).is_some_and(|target| target.is_silent)
}

/// Notices whether the target of a request stops responding. Returns once that is
/// known and `claim` returns that the request goes to another target.
pub(crate) async fn watch(node: &Node, awaited: &Awaited<'_>, mut claim: impl FnMut() -> bool) {
    let incarnation = awaited.incarnation;
    let mut changes = node.silence_changes.subscribe();
    let mut wait = Wait::new(awaited.sent_at, awaited.limit);
    loop {
        if !awaited.has_received() && is_silent(node, incarnation) && claim() {
            return;
        }
        let due = async {
            match wait.due() {
                Some(due) => tokio::time::sleep(due.since(node.now()).as_duration()).await,
                None => pending().await,
            }
        };
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return pending().await },
            () = due => {
                if awaited.has_received() {
                    wait.end();
                    note_heard(node, incarnation);
                    continue;
                }
                let is_evidence = node.silence.borrow_mut().examine(node.now(), incarnation, &mut wait);
                if is_evidence {
                    note_evidence(node);
                }
            }
        }
    }
}
