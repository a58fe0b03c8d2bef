use std::cell::RefCell;
use std::rc::Rc;

use comfreyroad_router::id::{RequestId, UpstreamId};
use futures_util::future::{AbortHandle, AbortRegistration};
use indexmap::IndexMap;

use super::open::Open;
use super::registration::Registration;

/// Key of an open request. Callers may use one id for several requests.
pub(super) type Key = u64;

/// The open requests of callers. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    next: Key,
    open: IndexMap<Key, Entry>,
    ended: Option<usize>,
}

#[derive(Debug)]
struct Entry {
    open: Open,
    // Ends the task that works on the answer.
    abort: AbortHandle,
}

impl Registry {
    /// Adds a request, until its registration is dropped. The second value aborts the work on it at the end of the process.
    pub(super) fn register(&self, id: &RequestId) -> (Registration, AbortRegistration) {
        let mut state = self.state.borrow_mut();
        let key = state.next;
        state.next += 1;
        let open = Open {
            id: id.clone(),
            upstream: None,
            has_started: false,
        };
        let (abort, aborted) = AbortHandle::new_pair();
        state.open.insert(key, Entry { open, abort });
        (Registration::new(self.clone(), key), aborted)
    }

    pub(super) fn record_upstream(&self, key: Key, upstream: &UpstreamId) {
        if let Some(entry) = self.state.borrow_mut().open.get_mut(&key) {
            entry.open.upstream = Some(upstream.clone());
        }
    }

    pub(super) fn record_start(&self, key: Key) -> AbortRegistration {
        let (abort, aborted) = AbortHandle::new_pair();
        if let Some(entry) = self.state.borrow_mut().open.get_mut(&key) {
            entry.open.has_started = true;
            entry.abort = abort;
        }
        aborted
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

    /// Ends the work on the requests that are still open, and returns them. Those without an answer get one that says so.
    pub fn end(&self) -> Vec<Open> {
        let mut state = self.state.borrow_mut();
        state.ended = Some(state.open.len());
        let entries = state.open.values();
        entries
            .map(|entry| {
                entry.abort.abort();
                entry.open.clone()
            })
            .collect()
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
