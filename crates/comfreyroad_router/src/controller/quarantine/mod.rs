//! Quarantine of prompt parts that crash engines.
//!
//! Answers the load pattern in which one part of a prompt crashes every engine that starts to answer it: retries and further
//! requests with that part would take down one engine after the other, with all other requests that they serve.
//!
//! Entries exchange the requests whose engine broke the connection before the end of the answer, and how far engines have got
//! since with answers to the same parts. A part is quarantined after a series of crashes without an answer in between that got
//! further; all parts of a failed prompt are suspects until then, and other requests exonerate the sound ones. That an answer
//! goes on where others broke off tells the other streams of a crashed engine from the one that has crashed it.

mod answers;
mod attribution;
mod crash;

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use comfreyroad::clock::Now;
use indexmap::{IndexMap, IndexSet};

use self::answers::Answers;
use self::crash::Crash;
use super::Controller;
use super::upstreams::Upstreams;
use crate::Event;
use crate::answer::Milestone;
use crate::frame::{Frame, PartAnswer};
use crate::id::{Address, PromptPartId};
use crate::note::{self, Note};
use crate::outbox::Outbox;
use crate::request::{Head, Request, Sent};

/// Duration of a quarantine after the last crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(300);
/// Time for which a crash that is not explained by a quarantined part is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(20);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;
/// Maximum numbers of crashes and of answers in a frame.
const MAX_CRASHES_PER_FRAME: usize = 48;
const MAX_ANSWERS_PER_FRAME: usize = 64;
/// An upstream that answers some entry after this time has not crashed. Answers that were under way arrive before, and the
/// times of those that peers report have an error.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Shortest time in which a crashed upstream is back. Its new incarnation may answer before its registration is read.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Controller of the quarantine.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: Vec<Crash>,
    answers: Answers,
    // The quarantined parts, and when their quarantine ends.
    quarantined: IndexMap<PromptPartId, Instant>,
    // Whether the quarantined parts have to be determined anew.
    is_outdated: bool,
    // Whether crashes became known since the last tick.
    has_news: bool,
}

impl Quarantine {
    /// When the quarantine of a prompt ends; `None` if no part of it is quarantined.
    pub fn ends_at(&self, now: Instant, head: &Head) -> Option<Instant> {
        if self.quarantined.is_empty() {
            return None;
        }
        let ends = |part: &crate::request::Part| self.quarantined.get(&part.id).copied();
        let ends = head.shared_parts().iter().filter_map(ends);
        ends.max().filter(|end| *end > now)
    }

    /// The quarantined parts.
    pub fn parts(&self) -> impl Iterator<Item = &PromptPartId> {
        self.quarantined.keys()
    }

    /// Records that the upstream of a request has broken the connection before the end of the answer.
    pub(crate) fn on_crash(&mut self, now: Instant, request: &Request<Sent>) {
        let parts = request.head().shared_parts();
        let parts: Vec<PromptPartId> = parts.iter().map(|part| part.id.clone()).collect();
        let stage = request.stage();
        if !parts.is_empty() {
            self.add(Crash {
                upstream: stage.slot.upstream.clone(),
                incarnation: stage.slot.incarnation,
                parts,
                milestone: stage.milestone,
                is_on_new_connection: stage.needs_new_connection(),
                sent_at: stage.sent_at,
                broken_at: now,
                is_disproved: false,
            });
        }
    }

    /// Records that the answer to a prompt has reached a milestone.
    pub(crate) fn on_progress(&mut self, now: Instant, head: &Head, milestone: Milestone) {
        for part in head.shared_parts() {
            self.record_answer(&part.id, milestone, now);
        }
    }

    fn record_answer(&mut self, part: &PromptPartId, milestone: Milestone, at: Instant) {
        self.is_outdated |= self.quarantined.contains_key(part);
        self.answers.record(part, milestone, at);
    }

    fn add(&mut self, crash: Crash) {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || !self.is_evidence(&crash) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.forget_one();
        }
        self.crashes.push(crash);
        self.is_outdated = true;
        self.has_news = true;
    }

    /// Whether a crash tells more than those that are known.
    fn is_evidence(&self, crash: &Crash) -> bool {
        let is_first = || !self.crashes.iter().any(|it| it.has_same_upstream(crash));
        !self.answers.exonerates_all(crash) || is_first()
    }

    /// Forgets the crash that tells least: none that is explained, rather one in which an answer broke off late, or an old one.
    fn forget_one(&mut self) {
        let value = |crash: &Crash| {
            let is_explained = self.is_explained(crash);
            (is_explained, Reverse(crash.milestone), crash.broken_at)
        };
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(_, crash)| value(crash));
        if let Some((index, _)) = least {
            self.crashes.remove(index);
        }
    }

    /// Whether a quarantined part explains a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        let is_quarantined = |part: &PromptPartId| self.quarantined.contains_key(part);
        crash.parts.iter().any(is_quarantined)
    }

    /// Determines the quarantined parts anew.
    pub(crate) fn update(&mut self, now: Instant, upstreams: &Upstreams, out: &mut Outbox) {
        for crash in &mut self.crashes {
            let restarted_at = crash.broken_at + RESTART_TIME;
            if !crash.is_disproved && restarted_at > now {
                let since = crash.broken_at + ANSWER_MARGIN;
                crash.is_disproved =
                    upstreams.has_answered_after(&crash.upstream, crash.incarnation, since);
            }
        }
        if !std::mem::take(&mut self.is_outdated) {
            return;
        }
        let crashes = self.crashes.iter().filter(|crash| !crash.is_disproved);
        let causes = attribution::causes(&crashes.collect::<Vec<_>>(), &self.answers, |part| {
            self.quarantined.contains_key(part)
        });
        let ends = causes
            .into_iter()
            .map(|cause| (cause.part, cause.last_crash_at + QUARANTINE_TIME));
        let quarantined: IndexMap<PromptPartId, Instant> =
            ends.filter(|(_, at)| *at > now).collect();
        for (part, ends_at) in &quarantined {
            if !self.quarantined.contains_key(part) {
                out.note(self.quarantine_note(part, ends_at.saturating_duration_since(now)));
            }
        }
        for part in self.quarantined.keys() {
            if !quarantined.contains_key(part) {
                out.note(Note::new(&note::PART_RELEASED).with("part", part));
            }
        }
        self.quarantined = quarantined;
    }

    fn quarantine_note(&self, part: &PromptPartId, left: Duration) -> Note {
        let crashes = self.crashes.iter().filter(|it| it.parts.contains(part));
        let upstreams: Vec<&str> = crashes.map(|crash| &*crash.upstream).collect();
        let note = Note::new(&note::PART_QUARANTINED).with("part", part);
        let note = note.with("upstreams", upstreams.join(","));
        note.with("for_ms", left.as_millis())
    }

    /// The answers to the first parts of these crashes, up to the limit of a frame.
    fn answered_parts(&self, now: Instant, crashes: &[&Crash]) -> Vec<PartAnswer> {
        let parts: IndexSet<&PromptPartId> = crashes.iter().flat_map(|it| &it.parts).collect();
        let answers = parts.into_iter().flat_map(|part| {
            let reached = self.answers.of(part);
            reached.map(move |(milestone, at)| PartAnswer {
                part: part.clone(),
                milestone,
                age: now.saturating_duration_since(at),
            })
        });
        answers.take(MAX_ANSWERS_PER_FRAME).collect()
    }

    fn on_frame(&mut self, now: Instant, frame: &Frame) {
        let crashes = frame.crashes.iter();
        crashes
            .filter_map(|report| Crash::from_report(now, report))
            .for_each(|crash| self.add(crash));
        for answer in &frame.answered_parts {
            if let Some(answered_at) = now.checked_sub(answer.age) {
                self.record_answer(&answer.part, answer.milestone, answered_at);
            }
        }
    }

    fn on_tick(&mut self, now: Instant, out: &mut Outbox) {
        if std::mem::take(&mut self.has_news) {
            // Each entry that does not know the crash may let the same prompts crash more.
            out.raise(Event::GossipUrgent);
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| self.is_explained(crash) || crash.broken_at + CRASH_MEMORY > now);
        self.crashes = crashes;
        // Crashes may have been disproved, and quarantines may have ended.
        self.is_outdated |= !self.quarantined.is_empty();
    }
}

impl Controller for Quarantine {
    fn handle(&mut self, now: Now, event: &Event, out: &mut Outbox) {
        match event {
            Event::FrameReceived(frame) => self.on_frame(now.instant, frame),
            Event::Tick => self.on_tick(now.instant, out),
            _ => {}
        }
    }

    fn fill_frame(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        let mut crashes: Vec<&Crash> = self.crashes.iter().collect();
        crashes.sort_by_cached_key(|it| {
            (
                !self.is_explained(it),
                self.answers.exonerates_all(it),
                it.milestone,
                now.instant.duration_since(it.broken_at),
            )
        });
        frame.answered_parts = self.answered_parts(now.instant, &crashes);
        crashes.truncate(MAX_CRASHES_PER_FRAME);
        let reports = crashes.iter().map(|crash| crash.to_report(now.instant));
        frame.crashes = reports.collect();
    }
}
