use std::sync::Arc;

use comfreyroad::action::Action;
use comfreyroad::frame::Frame;
use comfreyroad::id::{CallId, VersionId};
use comfreyroad::refusal::Refusal;
use comfreyroad::request::Usage;
use futures_channel::{mpsc, oneshot};
use indexmap::IndexMap;

/// Open calls and exchanges with peers, which wait for actions of the event loop.
#[derive(Debug, Default)]
pub struct Calls {
    last: CallId,
    parts: IndexMap<CallId, mpsc::UnboundedSender<Part>>,
    exchanges: IndexMap<u64, oneshot::Sender<Box<Frame>>>,
}

/// A part of an answer for the caller.
#[derive(Debug)]
pub enum Part {
    /// The answer begins.
    Begin {
        /// HTTP status of the response.
        status: u16,
        /// Content type of the body, for a plain service.
        content_type: Option<Arc<str>>,
        /// The session token for the caller.
        session: Option<Arc<str>>,
        /// The version that generates the answer.
        version: Option<VersionId>,
    },
    /// The next bytes of the body.
    Bytes(Arc<[u8]>),
    /// The answer is complete.
    Finish(Usage),
    /// The request is refused.
    Refuse(Refusal),
}

impl Calls {
    /// Opens a call and returns the receiver of its answer. The receiver ends without `Finish` if the answer is aborted.
    pub fn open(&mut self) -> (CallId, mpsc::UnboundedReceiver<Part>) {
        self.last += 1;
        let (sender, receiver) = mpsc::unbounded();
        self.parts.insert(self.last, sender);
        (self.last, receiver)
    }

    /// Opens an exchange with a peer.
    pub fn open_exchange(&mut self) -> (u64, oneshot::Receiver<Box<Frame>>) {
        self.last += 1;
        let (sender, receiver) = oneshot::channel();
        self.exchanges.insert(self.last, sender);
        (self.last, receiver)
    }

    /// Removes a call.
    pub fn close(&mut self, call: CallId) {
        self.parts.swap_remove(&call);
    }

    /// Forwards an action to its call or exchange.
    pub fn forward(&mut self, action: Action) {
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
            Action::Finish { call, usage } => self.send_last(call, Part::Finish(usage)),
            Action::Refuse { call, refusal } => self.send_last(call, Part::Refuse(refusal)),
            Action::Abort(call) => self.close(call),
            Action::Reply { exchange, frame } => {
                if let Some(sender) = self.exchanges.swap_remove(&exchange) {
                    // The peer may have closed the connection.
                    let _ = sender.send(frame);
                }
            }
            _ => {}
        }
    }

    fn send(&self, call: CallId, part: Part) {
        if let Some(sender) = self.parts.get(&call) {
            // A caller that has gone is reported by `Event::CallerGone`.
            let _ = sender.unbounded_send(part);
        }
    }

    fn send_last(&mut self, call: CallId, part: Part) {
        self.send(call, part);
        self.close(call);
    }
}
