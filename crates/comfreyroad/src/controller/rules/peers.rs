//! What peers say of the rules, and what they are told.

use std::time::Instant;

use super::Rules;
use crate::clock::Now;
use crate::frame::{Frame, News, Text};
use crate::id::{Address, Offset};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::rules::{InForce, Snapshot};

impl Rules {
    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let asked = self.spread.hear(frame);
        if !self.has(Mechanism::Passing) {
            return;
        }
        let news = &frame.news;
        let told = news.next.max(news.newest).unwrap_or(0);
        self.newest = self.newest.max(told);
        if let Some(next) = news.next {
            self.history.compare(news.generation, next);
        }
        if let Some(next) = news.next
            && self.history.lacks(next)
        {
            match self.told(news, next) {
                Some(snapshot) => {
                    self.history.adopt(snapshot);
                    self.spread.fetched();
                    self.enact(now, out);
                }
                None => self.spread.fetch(now.instant, &frame.address, out),
            }
        }
        // Of an answer it is known that it is younger than the question; any other frame may have been long under way.
        let asked = if self.has(Mechanism::AskedAge) {
            asked
        } else {
            Some(now.instant)
        };
        if let Some(asked) = asked {
            self.on_answer(asked, news);
        }
        self.review(now, out);
    }

    /// Takes over what a peer said of moments, all of them after the one at which it was asked less their age.
    fn on_answer(&mut self, asked: Instant, news: &News) {
        for doubt in &news.doubts {
            if let Some(at) = asked.checked_sub(doubt.age) {
                self.doubts.hear(&doubt.zone, at);
            }
        }
        if let Some(at) = news.checkpoint.and_then(|age| asked.checked_sub(age)) {
            self.checkpoint.on_peer(at);
        }
        // The log ended before `next` then, and this entry knows all up to there.
        let covers =
            self.history.is_known() && news.next.is_some_and(|next| next <= self.history.next());
        if covers && let Some(at) = news.age.and_then(|age| asked.checked_sub(age)) {
            self.confirmation.confirm(at);
        }
    }

    /// What a peer's news say is in force, where this entry has or was given the text.
    fn told(&self, news: &News, next: Offset) -> Option<Snapshot> {
        let in_force = match &news.text {
            Some(Text { offset, by, text }) => {
                Some(InForce::read(news.generation, *offset, by, text)?)
            }
            None if news.generation == self.generation() => {
                self.in_force.as_ref().map(|rules| InForce::clone(rules))
            }
            None => return None,
        };
        Some(Snapshot {
            next,
            in_force,
            held: news.held.iter().cloned().collect(),
        })
    }

    pub(super) fn say_doubt(&mut self, now: Instant) {
        if self.confirmation.at().is_some() && self.confirmation.is_doubtful(now) {
            self.doubts.hear(&self.zone, now);
        }
    }

    pub(super) fn news(&mut self, now: Instant, to: &Address) -> News {
        self.say_doubt(now);
        let confirmed = self.confirmation.at();
        let wanted = self.spread.is_wanted(to);
        let snapshot = self.history.snapshot();
        let in_force = snapshot.as_ref().and_then(|known| known.in_force.as_ref());
        News {
            generation: in_force.map_or(0, |rules| rules.generation),
            next: snapshot.as_ref().map(|known| known.next),
            newest: Some(self.newest).filter(|newest| *newest > self.history.next()),
            held: self.history.held().iter().cloned().collect(),
            age: confirmed.map(|at| now.saturating_duration_since(at)),
            checkpoint: self.checkpoint.age(now),
            doubts: self.doubts.words(now),
            wants: self.spread.wants(to),
            text: in_force.filter(|_| wanted).map(|rules| Text {
                offset: rules.offset,
                by: rules.by.clone(),
                text: rules.text.clone(),
            }),
        }
    }
}
