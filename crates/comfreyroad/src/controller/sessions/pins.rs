//! Pins of sessions with ids chosen by callers: which sessions are remembered, which would change their version under
//! new shares, and which pins are gossiped to peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Predecessor, Sessions};
use crate::clock::Now;
use crate::filter::allow::Allow;
use crate::frame::{Frame, Heartbeat, Pins, View as Members};
use crate::id::{SessionHash, VersionId};
use crate::request::Allowed;
use crate::rules::{InForce, Rules, Version};
use crate::session::{Binding, share};

/// Time for which the previous shares apply after a change, until the pins of all entries have spread.
const SHARE_CHANGE_DELAY: Duration = Duration::from_secs(3);
/// Time for which a pin is gossiped.
const PIN_GOSSIP_TIME: Duration = Duration::from_secs(5);
/// Maximum number of pins in one frame.
const MAX_PINS_PER_FRAME: usize = 512;
/// Sessions that are swept in one tick.
const SESSIONS_PER_TICK: usize = 1024;

impl Sessions {
    pub(super) fn on_rules(&mut self, now: Now, rules: &Arc<InForce>) {
        let previous = self.rules.replace(Arc::clone(rules));
        let Some(previous) = previous else { return };
        if previous.rules.versions == rules.rules.versions {
            return;
        }
        // If several changes follow each other closely, the shares before the first of them apply.
        let previous = match self.previous.take() {
            Some(earlier) if earlier.until > now.instant => earlier.rules,
            _ => previous,
        };
        self.previous = Some(Predecessor {
            rules: previous,
            until: now.instant + SHARE_CHANGE_DELAY,
        });
        self.unchecked = self.table.len();
    }

    /// Remembers the version of a session that made a request.
    pub(super) fn on_session_seen(
        &mut self,
        now: Now,
        session: SessionHash,
        allowed: &Allowed,
        version: &VersionId,
    ) {
        let known = Binding {
            session,
            owner: Some((allowed.customer.clone(), allowed.route.clone())),
            version: version.clone(),
            expires_at: now.instant + self.idle_timeout,
        };
        let is_new = self.table.get(session, now.instant).is_none();
        self.table.insert(known.clone());
        // A session that starts during a share change is gossiped at once.
        if is_new && self.previous.is_some() && self.would_change_version(&known) {
            self.gossip_pin(now, &known);
        }
    }

    fn gossip_pin(&mut self, now: Now, known: &Binding) {
        let pin = (known.version.clone(), now.instant + PIN_GOSSIP_TIME);
        self.recent_pins.insert(known.session, pin);
    }

    /// Whether a session would get another version under the newest shares.
    fn would_change_version(&self, known: &Binding) -> bool {
        let Some(rules) = &self.rules else {
            return false;
        };
        let Some((customer, route)) = &known.owner else {
            return false;
        };
        let versions = Self::active_versions(&rules.rules, customer, route);
        let is_active = versions.iter().any(|version| version.id == known.version);
        is_active && share::choose(&versions, known.session).as_ref() != Some(&known.version)
    }

    /// The versions that a customer may use on a route, without those that are withdrawn.
    fn active_versions<'a>(
        rules: &'a Rules,
        customer: &str,
        route: &'a Arc<str>,
    ) -> Vec<&'a Version> {
        let Some(customer) = rules.customers.get(customer) else {
            return Vec::new();
        };
        Allow::resolve(rules, route)
            .into_iter()
            .filter(|version| customer.allows(version) && !version.withdrawn)
            .collect()
    }

    pub(super) fn on_frame(&mut self, now: Now, frame: &Frame) {
        let until = now.instant + self.idle_timeout;
        for pins in frame.pins.iter().take(MAX_PINS_PER_FRAME) {
            for session in pins.sessions.iter().take(MAX_PINS_PER_FRAME) {
                // What this entry has seen itself takes precedence.
                if self.table.get(*session, now.instant).is_some() {
                    continue;
                }
                let known = Binding {
                    session: *session,
                    owner: None,
                    version: pins.version.clone(),
                    expires_at: until,
                };
                self.gossip_pin(now, &known);
                self.table.insert(known);
            }
        }
    }

    /// Checks all sessions again when an entry joins or restarts, since that entry needs all pins.
    pub(super) fn on_members(&mut self, members: &Rc<Members>) {
        let is_known = |beat: &Heartbeat| {
            let known = self.members.members.get(&beat.entry);
            known.is_some_and(|known| known.boot == beat.boot)
        };
        if !members.members.values().all(is_known) {
            self.unchecked = self.table.len();
        }
        self.members = Rc::clone(members);
    }

    pub(super) fn on_tick(&mut self, now: Now) {
        let swept = self.table.sweep(now.instant, SESSIONS_PER_TICK);
        if self.unchecked > 0 {
            self.unchecked = self.unchecked.saturating_sub(SESSIONS_PER_TICK);
            let changing: Vec<&Binding> = swept
                .iter()
                .filter(|known| self.would_change_version(known))
                .collect();
            for known in changing {
                self.gossip_pin(now, known);
            }
        }
        self.previous
            .take_if(|previous| previous.until <= now.instant);
    }

    /// Adds some of the recent pins to a frame, in rotation.
    pub(super) fn fill_pins(&mut self, now: Now, frame: &mut Frame) {
        self.recent_pins
            .retain(|_, (_, until)| *until > now.instant);
        let count = self.recent_pins.len();
        let mut pins: IndexMap<VersionId, Vec<SessionHash>> = IndexMap::new();
        for step in 0..count.min(MAX_PINS_PER_FRAME) {
            let index = (self.pin_cursor + step) % count;
            if let Some((session, (version, _))) = self.recent_pins.get_index(index) {
                pins.entry(version.clone()).or_default().push(*session);
            }
        }
        self.pin_cursor = (self.pin_cursor + MAX_PINS_PER_FRAME) % count.max(1);
        let pins = pins.into_iter();
        frame.pins = pins
            .map(|(version, sessions)| Pins { version, sessions })
            .collect();
    }
}
