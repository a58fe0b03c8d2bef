//! Pins of callers' own sessions: who is remembered, who would move by new shares, and what peers are told.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Before, Sessions};
use crate::clock::Now;
use crate::filter::allow::Allow;
use crate::frame::{Beat, Frame, Pins, View as Members};
use crate::id::{SessionHash, VersionId};
use crate::request::Allowed;
use crate::rules::{InForce, Rules, Version};
use crate::session::{Known, share};

/// Time for which new shares wait for the pins of all entries.
const SETTLE: Duration = Duration::from_secs(3);
/// Time for which a pin is told to peers.
const YOUNG: Duration = Duration::from_secs(5);
/// Pins in one frame at most.
const PINS: usize = 512;
/// Sessions that are looked through at one tick.
const SWEEP: usize = 1024;

impl Sessions {
    pub(super) fn on_rules(&mut self, now: Now, rules: &Arc<InForce>) {
        let before = self.rules.replace(Arc::clone(rules));
        let Some(before) = before else { return };
        if before.rules.versions == rules.rules.versions {
            return;
        }
        // Where several changes follow each other closely, the shares before the first of them count.
        let before = match self.before.take() {
            Some(earlier) if earlier.until > now.instant => earlier.rules,
            _ => before,
        };
        self.before = Some(Before {
            rules: before,
            until: now.instant + SETTLE,
        });
        self.left = self.table.len();
    }

    /// Keeps the version of a session that has asked.
    pub(super) fn on_seen(
        &mut self,
        now: Now,
        session: SessionHash,
        allowed: &Allowed,
        version: &VersionId,
    ) {
        let known = Known {
            session,
            asked: Some((allowed.customer.clone(), allowed.route.clone())),
            version: version.clone(),
            until: now.instant + self.idle,
        };
        let is_new = self.table.get(session, now.instant).is_none();
        self.table.insert(known.clone());
        // One that begins while shares settle is told at once.
        if is_new && self.before.is_some() && self.would_move(&known) {
            self.tell(now, &known);
        }
    }

    fn tell(&mut self, now: Now, known: &Known) {
        let pin = (known.version.clone(), now.instant + YOUNG);
        self.young.insert(known.session, pin);
    }

    /// Whether a session would get another version by the newest shares.
    fn would_move(&self, known: &Known) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        let Some((customer, route)) = &known.asked else {
            return false;
        };
        let versions = Self::active(&rules.rules, customer, route);
        let stays = versions.iter().any(|version| version.id == known.version);
        stays && share::choose(&versions, known.session).as_ref() != Some(&known.version)
    }

    fn active<'a>(rules: &'a Rules, customer: &str, route: &'a Arc<str>) -> Vec<&'a Version> {
        let Some(customer) = rules.customers.get(customer) else {
            return Vec::new();
        };
        Allow::asked(rules, route)
            .into_iter()
            .filter(|version| customer.allows(version) && !version.withdrawn)
            .collect()
    }

    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame) {
        let until = now.instant + self.idle;
        for pins in frame.pins.iter().take(PINS) {
            for session in pins.sessions.iter().take(PINS) {
                // What this entry has seen itself counts.
                if self.table.get(*session, now.instant).is_some() {
                    continue;
                }
                let known = Known {
                    session: *session,
                    asked: None,
                    version: pins.version.clone(),
                    until,
                };
                self.tell(now, &known);
                self.table.insert(known);
            }
        }
    }

    /// A new entry has to be told of all pins.
    pub(super) fn on_members(&mut self, members: &Rc<Members>) {
        let is_known = |beat: &Beat| {
            let known = self.members.members.get(&beat.entry);
            known.is_some_and(|known| known.boot == beat.boot)
        };
        if !members.members.values().all(is_known) {
            self.left = self.table.len();
        }
        self.members = Rc::clone(members);
    }

    pub(super) fn on_tick(&mut self, now: Now) {
        let swept = self.table.sweep(now.instant, SWEEP);
        if self.left > 0 {
            self.left = self.left.saturating_sub(SWEEP);
            let moving: Vec<&Known> = swept
                .iter()
                .filter(|known| self.would_move(known))
                .collect();
            for known in moving {
                self.tell(now, known);
            }
        }
        self.before.take_if(|before| before.until <= now.instant);
    }

    /// Adds some of the pins that are told at present.
    pub(super) fn fill_pins(&mut self, now: Now, frame: &mut Frame) {
        self.young.retain(|_, (_, until)| *until > now.instant);
        let count = self.young.len();
        let mut pins: IndexMap<VersionId, Vec<SessionHash>> = IndexMap::new();
        for step in 0..count.min(PINS) {
            let index = (self.cursor + step) % count;
            if let Some((session, (version, _))) = self.young.get_index(index) {
                pins.entry(version.clone()).or_default().push(*session);
            }
        }
        self.cursor = (self.cursor + PINS) % count.max(1);
        let pins = pins.into_iter();
        frame.pins = pins
            .map(|(version, sessions)| Pins { version, sessions })
            .collect();
    }
}
