//! Exchange of rules and confirmations with peers.

use std::time::Instant;

use super::Rules;
use crate::clock::Now;
use crate::frame::{Frame, RulesStatus, Text};
use crate::id::{Address, Offset};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::rules::{InForce, Snapshot};

impl Rules {
    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame, out: &mut Outbox) {
        let asked_at = self.gossip.on_frame(frame);
        if !self.is_enabled(Mechanism::RulesGossip) {
            return;
        }
        let news = &frame.rules;
        let newest = news.next.max(news.newest).unwrap_or(0);
        self.newest_offset = self.newest_offset.max(newest);
        if let Some(next) = news.next {
            self.history.observe_generation(news.generation, next);
        }
        if let Some(next) = news.next
            && self.history.needs(next)
        {
            match self.snapshot_from(news, next) {
                Some(snapshot) => {
                    self.history.apply_snapshot(snapshot);
                    self.gossip.on_fetched();
                    self.apply_history(now, out);
                }
                None => self.gossip.fetch(now.instant, &frame.address, out),
            }
        }
        // An answer is newer than the frame that it answers. Any other frame may have been delayed without bound.
        let asked_at = if self.is_enabled(Mechanism::ConfirmationAge) {
            asked_at
        } else {
            Some(now.instant)
        };
        if let Some(asked_at) = asked_at {
            self.apply_ages(asked_at, news);
        }
        self.update_freshness(now, out);
    }

    /// Applies the ages in a peer's answer. Each stands for a moment no earlier than the request minus the age.
    fn apply_ages(&mut self, asked_at: Instant, news: &RulesStatus) {
        for doubt in &news.log_outages {
            if let Some(at) = asked_at.checked_sub(doubt.age) {
                self.outages.record(&doubt.zone, at);
            }
        }
        if let Some(at) = news
            .checkpoint_age
            .and_then(|age| asked_at.checked_sub(age))
        {
            self.checkpointer.on_peer(at);
        }
        // At that moment the log ended before `next`, and this entry knows all records up to there.
        let covers =
            self.history.is_known() && news.next.is_some_and(|next| next <= self.history.next());
        if covers
            && let Some(at) = news
                .confirmation_age
                .and_then(|age| asked_at.checked_sub(age))
        {
            self.confirmation.confirm(at);
        }
    }

    /// The snapshot that a peer's news describe, if they contain the rules' text or this entry has it.
    fn snapshot_from(&self, news: &RulesStatus, next: Offset) -> Option<Snapshot> {
        let in_force = match &news.text {
            Some(Text { offset, by, text }) => {
                Some(InForce::parse(news.generation, *offset, by, text)?)
            }
            None if news.generation == self.generation() => {
                self.in_force.as_ref().map(|rules| InForce::clone(rules))
            }
            None => return None,
        };
        Some(Snapshot {
            next,
            in_force,
            held: news.held_versions.iter().cloned().collect(),
        })
    }

    /// Records for this entry's zone that the log seems unreachable, if so.
    pub(super) fn report_outage(&mut self, now: Instant) {
        if self.confirmation.at().is_some() && self.confirmation.is_outage_suspected(now) {
            self.outages.record(&self.zone, now);
        }
    }

    pub(super) fn build_news(&mut self, now: Instant, to: &Address) -> RulesStatus {
        self.report_outage(now);
        let confirmed_at = self.confirmation.at();
        let is_text_requested = self.gossip.take_text_request(to);
        let snapshot = self.history.snapshot();
        let in_force = snapshot.as_ref().and_then(|known| known.in_force.as_ref());
        RulesStatus {
            generation: in_force.map_or(0, |rules| rules.generation),
            next: snapshot.as_ref().map(|known| known.next),
            newest: Some(self.newest_offset).filter(|newest| *newest > self.history.next()),
            held_versions: self.history.held().iter().cloned().collect(),
            confirmation_age: confirmed_at.map(|at| now.saturating_duration_since(at)),
            checkpoint_age: self.checkpointer.age(now),
            log_outages: self.outages.recent(now),
            wants_text: self.gossip.should_request_text(to),
            text: in_force.filter(|_| is_text_requested).map(|rules| Text {
                offset: rules.offset,
                by: rules.by.clone(),
                text: rules.text.clone(),
            }),
        }
    }
}
