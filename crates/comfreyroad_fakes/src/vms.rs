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
use crate::gate::Gate;
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::time::now_ms;

/// Body of `POST /control`: sets the state of a VM, or of all VMs of a zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Ids of the VMs to set.
    pub ids: Vec<String>,
    /// A zone whose VMs to set.
    pub zone: Option<String>,
    /// `live`, `leaving` or `absent`.
    pub state: Presence,
    /// VMs to add, or to put in the place of those with the same id.
    pub add: Vec<Vm>,
}

/// Whether a VM stands in the list, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has.
    Leaving,
    /// It isn't listed.
    Absent,
}

/// The VM list, which shows each change after a lag.
pub struct List {
    gate: Gate,
    lag: Duration,
    vms: RefCell<IndexMap<String, Vm>>,
    shown: RefCell<Shown>,
}

/// What readers see now, and when what replaces it.
struct Shown {
    now: Vms,
    later: Vec<(Instant, Vms)>,
}

impl List {
    /// A list of these VMs.
    #[must_use]
    pub fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        let now = Vms {
            at_ms: now_ms(),
            vms: vms.clone(),
        };
        Self {
            gate: Gate::default(),
            lag,
            vms: RefCell::new(vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect()),
            shown: RefCell::new(Shown {
                now,
                later: Vec::new(),
            }),
        }
    }

    /// Changes the list; readers see it after the lag.
    pub fn set(&self, control: Control) {
        let mut vms = self.vms.borrow_mut();
        for vm in control.add {
            vms.insert(vm.id.clone(), vm);
        }
        let named = |vm: &Vm| {
            control.ids.contains(&vm.id)
                || control.zone.as_ref().is_some_and(|zone| *zone == vm.zone)
        };
        match control.state {
            Presence::Live => Self::mark(&mut vms, named, State::Live),
            Presence::Leaving => Self::mark(&mut vms, named, State::Leaving),
            Presence::Absent => vms.retain(|_, vm| !named(vm)),
        }
        let list = Vms {
            at_ms: now_ms(),
            vms: vms.values().cloned().collect(),
        };
        self.shown
            .borrow_mut()
            .later
            .push((Instant::now() + self.lag, list));
    }

    fn mark(vms: &mut IndexMap<String, Vm>, named: impl Fn(&Vm) -> bool, state: State) {
        for vm in vms.values_mut().filter(|vm| named(vm)) {
            vm.state = state;
        }
    }

    fn list(&self) -> Vms {
        let now = Instant::now();
        let mut shown = self.shown.borrow_mut();
        while shown.later.first().is_some_and(|(due, _)| *due <= now) {
            shown.now = shown.later.remove(0).1;
        }
        // While no change waits, the list is true as of now.
        if shown.later.is_empty() {
            shown.now.at_ms = now_ms();
        }
        shown.now.clone()
    }
}

impl Fake for List {
    fn gate(&self) -> &Gate {
        &self.gate
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
                ("GET", "/v1/vms") => reply::json(StatusCode::OK, &self.list()),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
