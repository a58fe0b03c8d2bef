use std::rc::Rc;
use std::time::Duration;

use comfreyroad::Event;
use comfreyroad::frame::Frame;
use comfreyroad::id::{CallId, VersionId};
use comfreyroad::quality::{Cell, Count, Origin, Score, Subject};
use comfreyroad::record::{Record, Stream};
use indexmap::IndexSet;

use super::node::Instance;
use super::{Bench, Step};

/// Time from the rating of an answer to its result.
const RATING_DELAY: Duration = Duration::from_millis(50);

/// The simulated rating service.
#[derive(Default)]
pub(crate) struct Ratings {
    /// Whether the service does not respond.
    pub(crate) outage: bool,
    /// Versions whose answers are rated as bad.
    pub(crate) bad: IndexSet<VersionId>,
}

impl Bench {
    /// Gives all entries earlier ratings: mona is good enough for the route `draft`, but for `plan` only in a cascade
    /// with lisa as the fallback.
    pub(crate) fn seed_ratings(&mut self) {
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
            let instance = self.instance(node);
            self.deliver(instance, Event::Peer(Box::new(frame)));
        }
    }

    pub(super) fn rate(&mut self, instance: Instance, call: CallId, version: &VersionId) {
        self.reached(Step::Rating, instance.node, None, Some(call as usize));
        if self.ratings.outage {
            return;
        }
        let good = Some(!self.ratings.bad.contains(version));
        self.deliver_after(instance, RATING_DELAY, Event::Rated { call, good });
    }

    /// Appends two holds of one version, as two entries do concurrently.
    pub(super) fn hold_twice(&mut self) {
        for _ in 0..2 {
            let record = Record::Hold {
                version: "mona@2".into(),
                generation: self.log.generation(),
                reason: "good less often than before".into(),
            };
            self.append_hold(&Rc::new(record));
        }
    }

    fn append_hold(&mut self, record: &Rc<Record>) {
        if !self.log.outage {
            self.store_record(Stream::Rules, record);
            self.wake_polls(Stream::Rules);
        }
    }
}
