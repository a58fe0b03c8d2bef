//! Actions carried out at upstreams, the platform and peers, each by a task that queues what comes of it.

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
use ratings::{Question, Ratings};

/// Time for a peer to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for an upstream to take a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Carries actions out.
pub struct Outside {
    shared: Shared,
    client: Client,
    platform: Rc<Platform>,
    ratings: Ratings,
    // Dropping a task stops it and closes its connection.
    attempts: IndexMap<AttemptId, JoinHandle<()>>,
}

impl Outside {
    /// Nothing under way yet.
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

    /// Begins to carry an action out.
    pub fn carry_out(&mut self, action: Action) {
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
            } => self.ratings.rate(Question {
                call,
                version,
                route,
                head,
                answer,
            }),
            Action::SendFrame { to, frame } => self.tell(to, &frame),
            action => Rc::clone(&self.platform).carry_out(action),
        }
    }

    fn cancel(&self, tag: String, address: &str) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        let cancel = upstream::Cancel::new(self.client.clone());
        let task = async move {
            // Cancelling only saves work: the attempt's answer is dropped in any case.
            let _ = cancel
                .send(address, &tag, Instant::now() + CANCEL_TIMEOUT)
                .await;
        };
        compio::runtime::spawn(task).detach();
    }

    fn tell(&self, to: comfreyroad::id::Address, message: &Frame) {
        let shared = self.shared.clone();
        let peer = peer::Client::new(self.client.clone());
        let bytes = frame::encode(message);
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
