//! Calls to the rating service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use comfreyroad::Event;
use comfreyroad::id::{CallId, RouteId, VersionId};
use comfreyroad::request::Head;
use comfreyroad_net::client::Client;
use comfreyroad_net::platform;
use comfreyroad_wire::platform::Answer;

use crate::daemon::Shared;

/// Timeout of a call to the rating service.
const TIMEOUT: Duration = Duration::from_millis(2000);

/// An answer to rate.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) call: CallId,
    pub(super) version: VersionId,
    pub(super) route: RouteId,
    pub(super) head: std::rc::Rc<Head>,
    pub(super) answer: Arc<[u8]>,
}

/// Client of the rating service; without a service, answers remain unrated.
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

    /// Requests the rating of an answer. A failed call and a missing service both give no rating.
    pub(super) fn rate(&self, request: Request) {
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let task = async move {
            let call = request.call;
            let good = match service {
                Some(service) => fetch_rating(&service, &request).await,
                None => None,
            };
            shared.queue(Event::Rated { call, good });
        };
        compio::runtime::spawn(task).detach();
    }
}

async fn fetch_rating(service: &platform::Ratings, request: &Request) -> Option<bool> {
    let answer = Answer {
        version: request.version.to_string(),
        route: request.route.to_string(),
        prompt: String::from_utf8_lossy(&request.head.body).into_owned(),
        answer: String::from_utf8_lossy(&request.answer).into_owned(),
    };
    let rating = service.rate(&answer, Instant::now() + TIMEOUT).await;
    rating.ok().map(|rating| rating.good)
}
