//! The rating service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::Event;
use comfreyroad::id::{CallId, RouteId, VersionId};
use comfreyroad::request::Head;
use comfreyroad_net::client::Client;
use comfreyroad_net::platform;
use comfreyroad_wire::platform::Answer;

use crate::daemon::Shared;

/// Time for the rating service to answer.
const TIMEOUT: Duration = Duration::from_millis(2000);

/// An answer to be rated.
#[derive(Debug)]
pub(super) struct Question {
    pub(super) call: CallId,
    pub(super) version: VersionId,
    pub(super) route: RouteId,
    pub(super) head: std::rc::Rc<Head>,
    pub(super) answer: Arc<[u8]>,
}

/// A client of the rating service, if there is one.
#[derive(Clone)]
pub(super) struct Ratings {
    shared: Shared,
    service: Option<platform::Ratings>,
}

impl Ratings {
    pub(super) fn new(shared: Shared, client: Client) -> Self {
        let address = shared.settings.ratings;
        let service = address.map(|address| platform::Ratings::new(client, address));
        Self { shared, service }
    }

    /// Has an answer rated. No word and no service look the same to the decisions.
    pub(super) fn rate(&self, question: Question) {
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let task = async move {
            let call = question.call;
            let good = match service {
                Some(service) => ask(&service, &question).await,
                None => None,
            };
            shared.queue(Event::Rated { call, good });
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn ask(service: &platform::Ratings, question: &Question) -> Option<bool> {
    let answer = Answer {
        version: question.version.to_string(),
        route: question.route.to_string(),
        prompt: String::from_utf8_lossy(&question.head.body).into_owned(),
        answer: String::from_utf8_lossy(&question.answer).into_owned(),
    };
    let rating = service.rate(&answer, Instant::now() + TIMEOUT).await;
    rating.ok().map(|rating| rating.good)
}
