//! Executes the actions that call upstreams, the platform and peers. Each runs in a task that queues an event with its
//! outcome.

mod attempt;
mod platform;
mod ratings;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use comfreyroad::frame::Frame;
use comfreyroad::id::AttemptId;
use comfreyroad::{Action, Event};
use comfreyroad_net::client::Client;
use comfreyroad_net::{peer, upstream};
use comfreyroad_wire::frame;
use compio::runtime::JoinHandle;
use indexmap::IndexMap;

use crate::daemon::Shared;
use attempt::Attempt;
use platform::Platform;
use ratings::Ratings;

/// Timeout of an exchange with a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of a cancellation at an upstream.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Executes actions.
pub struct Executor {
    shared: Shared,
    client: Client,
    platform: Rc<Platform>,
    ratings: Ratings,
    // Dropping the handle of a task stops the task and closes its connection.
    attempts: IndexMap<AttemptId, JoinHandle<()>>,
}

impl Executor {
    /// Creates an executor without running tasks.
    pub fn new(shared: Shared) -> Self {
        let client = Client::default();
        let platform = Rc::new(Platform::new(shared.clone(), client.clone()));
        let ratings = Ratings::new(shared.clone(), client.clone());
        Self {
            shared,
            client,
            platform,
            ratings,
            attempts: IndexMap::new(),
        }
    }

    /// Starts the task of an action.
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Send(send) => {
                self.attempts.retain(|_, task| !task.is_finished());
                let attempt = send.attempt;
                let task = Attempt::new(self.shared.clone(), self.client.clone(), *send).run();
                self.attempts.insert(attempt, compio::runtime::spawn(task));
            }
            Action::Cancel {
                attempt,
                tag,
                address,
            } => {
                if let Some(task) = self.attempts.swap_remove(&attempt) {
                    drop(task);
                }
                self.cancel(tag.to_string(), &address);
            }
            Action::Rate {
                call,
                version,
                route,
                head,
                answer,
            } => self.ratings.rate(ratings::Request {
                call,
                version,
                route,
                head,
                answer,
            }),
            Action::SendFrame { to, frame } => self.send_frame(to, &frame),
            action => Rc::clone(&self.platform).execute(action),
        }
    }

    fn cancel(&self, tag: String, address: &str) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let cancel = upstream::Cancellations::new(self.client.clone());
        let task = async move {
            // A failure is ignored: cancellation only saves work, and the attempt's answer is dropped in any case.
            let _ = cancel
                .send(address, &tag, Instant::now() + CANCEL_TIMEOUT)
                .await;
        };
        compio::runtime::spawn(task).detach();
    }

    fn send_frame(&self, to: comfreyroad::id::Address, request: &Frame) {
        let shared = self.shared.clone();
        let peer = peer::Client::new(self.client.clone());
        let bytes = frame::encode(request);
        let task = async move {
            let event = match exchange(&peer, &to, bytes).await {
                Some(answer) => Event::Peer(Box::new(answer)),
                None => Event::PeerFailed(to),
            };
            shared.queue(event);
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn exchange(peer: &peer::Client, to: &str, bytes: Vec<u8>) -> Option<Frame> {
    let address = to.parse::<SocketAddr>().ok()?;
    let answer = peer
        .exchange(address, bytes.into(), Instant::now() + PEER_TIMEOUT)
        .await
        .ok()?;
    frame::decode(&answer).ok()
}
