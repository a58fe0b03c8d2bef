//! An entry: its controllers, its open calls and its single input and output.

use std::rc::Rc;

use indexmap::IndexMap;

use crate::action::Action;
use crate::clock::Now;
use crate::controller::Controllers;
use crate::controller::ledger::Total;
use crate::controller::lifecycle::Phase;
use crate::dispatcher::{Context, Dispatcher};
use crate::event::Event;
use crate::id::FirmId;
use crate::outbox::Outbox;
use crate::record::{Record, Stream};
use crate::settings::Settings;

/// The firm under which customers are counted that the rules no longer contain.
const UNKNOWN_FIRM: &str = "unknown";

/// The state and the decisions of one entry.
#[derive(Debug)]
pub struct Entry {
    state: Controllers,
    dispatcher: Dispatcher,
}

impl Entry {
    /// Creates an entry without any data. Its first event must be [`Event::Started`].
    pub fn new(settings: &Settings) -> Self {
        Self {
            state: Controllers::new(settings),
            dispatcher: Dispatcher::new(settings),
        }
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut out = Outbox::default();
        out.raise(event);
        while let Some(event) = out.next_raised() {
            self.state.handle(now, &event, &mut out);
            self.handle_shared(now, &event, &mut out);
            self.dispatcher.handle(
                event,
                &mut Context {
                    now,
                    state: &self.state,
                    out: &mut out,
                },
            );
        }
        out.into_actions()
    }

    /// Handles the events that need data of several controllers: building frames and the closing record.
    fn handle_shared(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Gossip { to } => {
                let frame = Box::new(self.state.frame(now, to));
                out.act(Action::SendFrame {
                    to: to.clone(),
                    frame,
                });
            }
            Event::GossipRules { to } => {
                let frame = Box::new(self.state.brief_frame(now, to));
                out.act(Action::SendFrame {
                    to: to.clone(),
                    frame,
                });
            }
            Event::PeerRequest { exchange, address } => {
                let frame = Box::new(if self.state.rules.wants_brief_reply(address) {
                    self.state.brief_frame(now, address)
                } else {
                    self.state.frame(now, address)
                });
                out.act(Action::Reply {
                    exchange: *exchange,
                    frame,
                });
            }
            Event::ClosingDue => out.raise(Event::Write {
                stream: Stream::Ledger,
                record: Rc::new(Record::Closing {
                    sums: self.firm_totals(),
                }),
            }),
            _ => {}
        }
    }

    /// Requests and cost of each firm, from the ledger and the rules.
    fn firm_totals(&self) -> Vec<(FirmId, u64, u64)> {
        let Some(rules) = self.state.rules.in_force() else {
            return Vec::new();
        };
        let mut firms: IndexMap<FirmId, Total> = IndexMap::new();
        for firm in &rules.rules.firms {
            firms.insert(firm.clone(), Total::default());
        }
        for (customer, sum) in self.state.ledger.customer_totals() {
            let customer = rules.rules.customers.get(customer);
            let firm =
                customer.map_or_else(|| UNKNOWN_FIRM.into(), |customer| customer.firm.clone());
            let total = firms.entry(firm).or_default();
            total.requests = total.requests.saturating_add(sum.requests);
            total.cost = total.cost.saturating_add(sum.cost);
        }
        let firms = firms.into_iter();
        firms
            .map(|(firm, sum)| (firm, sum.requests, sum.cost))
            .collect()
    }

    /// Whether the entry is serving and has no open calls, pending appends or pending bills.
    pub fn is_idle(&self) -> bool {
        let is_serving = matches!(self.state.lifecycle.phase(), Phase::Serving(_));
        is_serving
            && self.dispatcher.calls() == 0
            && self.state.appends.pending() == 0
            && self.state.ledger.pending() == 0
    }

    /// The controllers.
    pub fn state(&self) -> &Controllers {
        &self.state
    }

    /// The open calls.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }
}
