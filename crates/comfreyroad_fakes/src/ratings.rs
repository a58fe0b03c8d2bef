//! Stand-in for the rating service.

use std::cell::RefCell;
use std::rc::Rc;

use comfreyroad_wire::platform::{Answer, Rating};
use futures_util::future::LocalBoxFuture;
use http::StatusCode;
use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::answer::Quality;
use crate::call::Call;
use crate::injector::Injector;
use crate::reply::{self, Reply};
use crate::server::Fake;
use crate::{Result, VersionId};

/// The rating service, which scores an answer by the quality that its tokens encode.
#[derive(Default)]
pub struct Ratings {
    injector: Injector,
    counts: RefCell<IndexMap<VersionId, Counts>>,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    rated: u64,
    good: u64,
}

impl Ratings {
    /// Scores an answer.
    #[must_use]
    pub fn rate(answer: &Answer) -> Rating {
        let score = match Quality::from_text(&answer.answer) {
            Some(Quality::Good) => 0.9,
            Some(Quality::Poor) => 0.4,
            Some(Quality::Bad) | None => 0.1,
        };
        Rating {
            score,
            good: score >= 0.5,
        }
    }

    fn handle(&self, call: &Call) -> Reply {
        let answer: Answer = match call.json() {
            Ok(answer) => answer,
            Err(err) => return reply::error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let rating = Self::rate(&answer);
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(answer.version).or_default();
        count.rated += 1;
        count.good += u64::from(rating.good);
        reply::json(StatusCode::OK, &rating)
    }
}

impl Fake for Ratings {
    fn injector(&self) -> &Injector {
        &self.injector
    }

    fn journal(&self) -> Value {
        let mut versions = json!({});
        for (version, count) in &*self.counts.borrow() {
            versions[version] = json!({ "rated": count.rated, "good": count.good });
        }
        json!({ "versions": versions })
    }

    fn serve(self: Rc<Self>, call: Call) -> LocalBoxFuture<'static, Result<Reply>> {
        Box::pin(async move {
            Ok(match call.target() {
                ("POST", "/v1/ratings") => self.handle(&call),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            })
        })
    }
}
