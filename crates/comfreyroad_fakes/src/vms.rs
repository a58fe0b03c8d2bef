//! Stand-in for the VM list.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad_wire::platform::{State, Vm, Vms};
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::Result;
use crate::call::Call;
use crate::injector::Injector;
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::time::now_ms;

/// Body of `POST /control`: sets the state of VMs selected by id or zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Ids of the selected VMs.
    pub ids: Vec<String>,
    /// Zone whose VMs are selected.
    pub zone: Option<String>,
    /// New state of the selected VMs.
    pub state: Presence,
    /// VMs to add; one with an id that is already listed replaces that VM.
    pub add: Vec<Vm>,
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// Accepts requests.
    #[default]
    Live,
    /// Finishes its running requests only.
    Leaving,
    /// Removed from the list.
    Absent,
}

/// The VM list, in which each change becomes visible after a lag.
pub struct List {
    injector: Injector,
    lag: Duration,
    vms: RefCell<IndexMap<String, Vm>>,
    published: RefCell<Published>,
}

/// The list visible to readers, with the pending lists and the times at which they become visible.
struct Published {
    current: Vms,
    pending: Vec<(Instant, Vms)>,
}

impl List {
    /// Creates a list of these VMs.
    #[must_use]
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        let current = Vms {
            at_ms: now_ms(),
            vms: vms.clone(),
        };
        Self {
            injector: Injector::default(),
            lag,
            vms: RefCell::new(vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect()),
            published: RefCell::new(Published {
                current,
                pending: Vec::new(),
            }),
        }
    }

    /// Changes the list; the change becomes visible after the lag.
    pub fn set(&self, control: Control) {
        let mut vms = self.vms.borrow_mut();
        for vm in control.add {
            vms.insert(vm.id.clone(), vm);
        }
        let selected = |vm: &Vm| {
            control.ids.contains(&vm.id)
                || control.zone.as_ref().is_some_and(|zone| *zone == vm.zone)
        };
        match control.state {
            Presence::Live => Self::set_state(&mut vms, selected, State::Live),
            Presence::Leaving => Self::set_state(&mut vms, selected, State::Leaving),
            Presence::Absent => vms.retain(|_, vm| !selected(vm)),
        }
        let list = Vms {
            at_ms: now_ms(),
            vms: vms.values().cloned().collect(),
        };
        self.published
            .borrow_mut()
            .pending
            .push((Instant::now() + self.lag, list));
    }

    fn set_state(vms: &mut IndexMap<String, Vm>, selected: impl Fn(&Vm) -> bool, state: State) {
        for vm in vms.values_mut().filter(|vm| selected(vm)) {
            vm.state = state;
        }
    }

    fn visible(&self) -> Vms {
        let now = Instant::now();
        let mut published = self.published.borrow_mut();
        while published
            .pending
            .first()
            .is_some_and(|(due, _)| *due <= now)
        {
            published.current = published.pending.remove(0).1;
        }
        // While no change is pending, the visible list is up to date.
        if published.pending.is_empty() {
            published.current.at_ms = now_ms();
        }
        published.current.clone()
    }
}

impl Fake for List {
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        json!({ "vms": self.vms.borrow().values().collect::<Vec<_>>() })
    }

    fn control(&self, call: &Call) -> Option<Reply> {
        if call.target() != ("POST", "/control") {
            return None;
        }
        Some(match call.json() {
            Ok(control) => {
                self.set(control);
                reply::json(StatusCode::OK, &json!({}))
            }
            Err(err) => reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        })
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            Ok(match call.target() {
                ("GET", "/v1/vms") => reply::json(StatusCode::OK, &self.visible()),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
