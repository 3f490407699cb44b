//! Answers that are to be sent over the link of this machine.

use {
    crate::{node::Node, serve::Answer},
    catkin::types::Size,
    catkin_route::link_load::AnswerId,
    std::{cell::Cell, rc::Rc, sync::Arc},
};

/// Counts an answer as due on the link until it is dropped.
pub(crate) struct DueAnswer {
    node: Rc<Node>,
    route: Arc<str>,
    id: AnswerId,
    written: Cell<u64>,
    is_success: bool,
}

impl DueAnswer {
    /// Counts the answer to a request of a route, with its usual size.
    pub(crate) fn new(node: &Rc<Node>, route: &Arc<str>) -> Self {
        let id = node.link_load.borrow_mut().begin(route);
        Self { node: node.clone(), route: route.clone(), id, written: Cell::new(0), is_success: false }
    }

    /// Sets what is known of the answer at its head.
    pub(crate) fn set_answer(&mut self, answer: &Answer) {
        self.is_success = answer.status.is_success();
        if let Some(length) = answer.length() {
            self.node.link_load.borrow_mut().set_size(self.id, Size::from_bytes(length));
        }
    }

    /// Records that a part of the answer was written.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        let (now, size) = (self.node.now(), Size::from_bytes(bytes as u64));
        self.node.link_load.borrow_mut().record_written(now, self.id, size);
    }

    /// Counts the size of an answer that was written completely.
    pub(crate) fn finish(self) {
        if self.is_success {
            let size = Size::from_bytes(self.written.get());
            self.node.link_load.borrow_mut().count_answer(&self.route, size);
        }
    }
}

impl Drop for DueAnswer {
    fn drop(&mut self) {
        self.node.link_load.borrow_mut().end(self.id);
    }
}
