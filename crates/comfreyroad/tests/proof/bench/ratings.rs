use std::rc::Rc;
use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::frame::Frame;
use comfreyroad::id::{CallId, VersionId};
use comfreyroad::quality::{Cell, Count, Origin, Score, Subject};
use comfreyroad::record::{Record, Stream};
use indexmap::IndexSet;

use super::node::Post;
use super::{Bench, Step};

/// Time that a rating takes.
const RATING: Duration = Duration::from_millis(50);

/// The rating service.
#[derive(Default)]
pub(crate) struct Ratings {
    /// Whether it does not answer.
    pub(crate) outage: bool,
    /// Versions whose answers are bad.
    pub(crate) bad: IndexSet<VersionId>,
}

impl Bench {
    /// Tells all entries what was rated before: mona is good enough for drafts, and for plans only with lisa behind it.
    pub(crate) fn teach(&mut self) {
        let known = [
            ("draft", "mona@1", 980),
            ("draft", "mona@2", 980),
            ("plan", "mona@1", 700),
            ("plan", "mona@2", 700),
            ("plan", "lisa@1", 980),
        ];
        let count = |(route, version, good): (&str, &str, u32)| Count {
            origin: Origin {
                entry: "entry-before".into(),
                boot: "boot-1".into(),
            },
            subject: Subject {
                route: route.into(),
                version: version.into(),
                is_escalated: false,
            },
            cell: Cell {
                since: 0,
                window: 1,
                old: Score { rated: 1_000, good },
                new: Score::default(),
            },
        };
        let counts: Vec<Count> = known.into_iter().map(count).collect();
        for node in 0..self.nodes.len() {
            let frame = Frame {
                counts: counts.clone(),
                ..Frame::default()
            };
            let post = self.post(node);
            self.deliver(post, Event::Peer(Box::new(frame)));
        }
    }

    pub(super) fn rate(&mut self, post: Post, call: CallId, version: &VersionId) {
        self.reached(Step::Rating, post.node, None, Some(call as usize));
        if self.ratings.outage {
            return;
        }
        let good = Some(!self.ratings.bad.contains(version));
        self.answer(post, RATING, Event::Rated { call, good });
    }

    /// Two entries hold one version, neither of which knows of the other.
    pub(super) fn hold_twice(&mut self) {
        for _ in 0..2 {
            let record = Record::Hold {
                version: "mona@2".into(),
                generation: self.log.generation(),
                reason: "good less often than before".into(),
            };
            self.store_hold(&Rc::new(record));
        }
    }

    fn store_hold(&mut self, record: &Rc<Record>) {
        if !self.log.outage {
            self.take(Stream::Rules, record);
            self.wake(Stream::Rules);
        }
    }
}
