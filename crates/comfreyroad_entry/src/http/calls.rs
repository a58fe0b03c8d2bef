use std::sync::Arc;

use comfreyroad::action::Action;
use comfreyroad::frame::Frame;
use comfreyroad::id::{CallId, VersionId};
use comfreyroad::refusal::Refusal;
use comfreyroad::request::Usage;
use futures_channel::{mpsc, oneshot};
use indexmap::IndexMap;

/// Calls and peers' exchanges that wait for the loop's word.
#[derive(Debug, Default)]
pub struct Calls {
    last: CallId,
    parts: IndexMap<CallId, mpsc::UnboundedSender<Part>>,
    exchanges: IndexMap<u64, oneshot::Sender<Box<Frame>>>,
}

/// A part of an answer, on its way to the caller.
#[derive(Debug)]
pub enum Part {
    /// The answer begins.
    Begin {
        /// HTTP status.
        status: u16,
        /// Type of the body, for a plain service.
        content_type: Option<Arc<str>>,
        /// The session token to hand back.
        session: Option<Arc<str>>,
        /// The version that answers.
        version: Option<VersionId>,
    },
    /// More of its body.
    Bytes(Arc<[u8]>),
    /// It is whole.
    Finish(Usage),
    /// There is none.
    Refuse(Refusal),
}

impl Calls {
    /// A new call and where its answer comes in; the stream ends without `Finish` when the answer breaks off.
    pub fn open(&mut self) -> (CallId, mpsc::UnboundedReceiver<Part>) {
        self.last += 1;
        let (sender, receiver) = mpsc::unbounded();
        self.parts.insert(self.last, sender);
        (self.last, receiver)
    }

    /// A new exchange with a peer.
    pub fn open_exchange(&mut self) -> (u64, oneshot::Receiver<Box<Frame>>) {
        self.last += 1;
        let (sender, receiver) = oneshot::channel();
        self.exchanges.insert(self.last, sender);
        (self.last, receiver)
    }

    /// Forgets a call whose caller is gone.
    pub fn close(&mut self, call: CallId) {
        self.parts.swap_remove(&call);
    }

    /// Passes an action on to the call that it concerns.
    pub fn pass(&mut self, action: Action) {
        match action {
            Action::Begin {
                call,
                status,
                content_type,
                session,
                version,
            } => {
                self.send(
                    call,
                    Part::Begin {
                        status,
                        content_type,
                        session,
                        version,
                    },
                );
            }
            Action::Deliver { call, bytes } => self.send(call, Part::Bytes(bytes)),
            Action::Finish { call, usage } => self.end(call, Part::Finish(usage)),
            Action::Refuse { call, refusal } => self.end(call, Part::Refuse(refusal)),
            Action::Abort(call) => self.close(call),
            Action::Reply { exchange, frame } => {
                if let Some(sender) = self.exchanges.swap_remove(&exchange) {
                    // The peer may have hung up.
                    let _ = sender.send(frame);
                }
            }
            _ => {}
        }
    }

    fn send(&self, call: CallId, part: Part) {
        if let Some(sender) = self.parts.get(&call) {
            // A caller that is gone says so by an event of its own.
            let _ = sender.unbounded_send(part);
        }
    }

    fn end(&mut self, call: CallId, part: Part) {
        self.send(call, part);
        self.close(call);
    }
}
