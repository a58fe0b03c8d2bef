use std::cell::RefCell;
use std::rc::Rc;

use comfreyroad_router::id::{RequestId, UpstreamId};
use indexmap::IndexMap;

use super::registration::Registration;

/// Key of an open request. Callers may use one id for several requests.
pub(super) type Key = u64;

/// A request that is open: it has been read, and its answer has not ended.
#[derive(Clone, Debug)]
pub struct Open {
    /// The id that the caller sent.
    pub id: RequestId,
    /// The upstream to which it was sent last.
    pub upstream: Option<UpstreamId>,
    /// Whether the caller has the head of its answer.
    pub has_started: bool,
}

/// The open requests of callers. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    next: Key,
    open: IndexMap<Key, Open>,
    ended: Option<usize>,
}

impl Registry {
    /// Adds a request, until the registration is dropped.
    pub(super) fn register(&self, id: &RequestId) -> Registration {
        let mut state = self.state.borrow_mut();
        let key = state.next;
        state.next += 1;
        let open = Open {
            id: id.clone(),
            upstream: None,
            has_started: false,
        };
        state.open.insert(key, open);
        Registration::new(self.clone(), key)
    }

    /// Changes an open request.
    pub(super) fn update(&self, key: Key, change: impl FnOnce(&mut Open)) {
        if let Some(open) = self.state.borrow_mut().open.get_mut(&key) {
            change(open);
        }
    }

    pub(super) fn remove(&self, key: Key) {
        self.state.borrow_mut().open.swap_remove(&key);
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Marks the end of the process, and returns the requests that are still open.
    pub fn end(&self) -> Vec<Open> {
        let mut state = self.state.borrow_mut();
        state.ended = Some(state.open.len());
        state.open.values().cloned().collect()
    }

    /// Whether the process ends, so that answers end although their callers are there.
    pub fn has_ended(&self) -> bool {
        self.state.borrow().ended.is_some()
    }

    /// Number of requests that were open when the process ended; 0 if it ended by itself after the last one.
    pub fn open_at_end(&self) -> usize {
        self.state.borrow().ended.unwrap_or_default()
    }
}
