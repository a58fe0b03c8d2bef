//! An entry: the controllers, the calls under way, and the one door in and out.

use crate::action::Action;
use crate::clock::Now;
use crate::controller::Controllers;
use crate::dispatcher::{Dispatcher, Turn};
use crate::event::Event;
use crate::outbox::Outbox;
use crate::settings::Settings;

/// All decisions of one entry.
#[derive(Debug)]
pub struct Entry {
    state: Controllers,
    dispatcher: Dispatcher,
}

impl Entry {
    /// An entry that knows nothing yet; feed it [`Event::Started`] first.
    pub fn new(settings: &Settings) -> Self {
        Self {
            state: Controllers::new(settings),
            dispatcher: Dispatcher::new(settings),
        }
    }

    /// Takes an event and says what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        let mut out = Outbox::default();
        out.raise(event);
        while let Some(event) = out.next_raised() {
            self.state.handle(now, &event, &mut out);
            self.exchange(now, &event, &mut out);
            self.dispatcher.handle(
                event,
                &mut Turn {
                    now,
                    state: &self.state,
                    out: &mut out,
                },
            );
        }
        out.into_actions()
    }

    /// Frames need a part of each controller, so they are put together here.
    fn exchange(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::Gossip { to } => {
                let frame = Box::new(self.state.frame(now, to));
                out.act(Action::Tell {
                    to: to.clone(),
                    frame,
                });
            }
            Event::Brief { to } => {
                let frame = Box::new(self.state.brief_frame(now, to));
                out.act(Action::Tell {
                    to: to.clone(),
                    frame,
                });
            }
            Event::PeerAsks { exchange, address } => {
                let frame = Box::new(if self.state.rules.is_brief(address) {
                    self.state.brief_frame(now, address)
                } else {
                    self.state.frame(now, address)
                });
                out.act(Action::Reply {
                    exchange: *exchange,
                    frame,
                });
            }
            _ => {}
        }
    }

    /// The state, to be read.
    pub fn state(&self) -> &Controllers {
        &self.state
    }

    /// The calls under way.
    pub fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }
}
