//! Sessions: each one keeps the version that it started with.
//!
//! A session that the router issues is a token that names its version. A caller may instead choose session ids of its
//! own, and the id does not tell whether such a session is new. Its version is derived from the hash of the id and the
//! versions' shares, so most sessions keep their version when shares change. Each entry also remembers the sessions that
//! it has seen recently, and gossips pins for those that would get another version under the new shares. Until the pins
//! have reached all entries, the previous shares apply.

mod pins;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Controller;
use crate::clock::Now;
use crate::event::Event;
use crate::filter::View;
use crate::filter::plan;
use crate::frame::{Frame, View as Members};
use crate::id::{Address, SessionHash, VersionId};
use crate::mechanism::Mechanism;
use crate::outbox::Outbox;
use crate::refusal::Code;
use crate::request::{Allowed, Choice, Head, Plan};
use crate::rules::{InForce, Version};
use crate::session::{Table, Token, share};
use crate::settings::Settings;

/// Keeps the keys of session tokens, and the sessions with ids chosen by callers.
#[derive(Debug)]
pub struct Sessions {
    keys: Vec<[u8; 32]>,
    token_lifetime: Duration,
    idle_timeout: Duration,
    session_cutoff: Duration,
    remembers_ids: bool,
    repins_withdrawn: bool,
    table: Table,
    rules: Option<Arc<InForce>>,
    previous: Option<Predecessor>,
    recent_pins: IndexMap<SessionHash, (VersionId, Instant)>,
    pin_cursor: usize,
    // Number of sessions that are not yet checked for a version change under the new shares.
    unchecked: usize,
    members: Rc<Members>,
}

/// Earlier rules whose shares still apply.
#[derive(Debug)]
struct Predecessor {
    rules: Arc<InForce>,
    until: Instant,
}

impl Sessions {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            keys: settings.session_keys.clone(),
            token_lifetime: settings.session_lifetime,
            idle_timeout: settings.session_idle_timeout,
            session_cutoff: settings.session_cutoff,
            remembers_ids: settings.is_enabled(Mechanism::StickyIds),
            repins_withdrawn: settings.is_enabled(Mechanism::Repinning),
            table: Table::default(),
            rules: None,
            previous: None,
            recent_pins: IndexMap::new(),
            pin_cursor: 0,
            unchecked: 0,
            members: Rc::default(),
        }
    }

    /// Whether waiting requests get another version when theirs is withdrawn.
    pub fn repins_withdrawn(&self) -> bool {
        self.repins_withdrawn
    }

    /// Number of remembered sessions with ids chosen by callers.
    pub fn remembered_ids(&self) -> usize {
        self.table.len()
    }

    /// Chooses the version that answers a request, and the session token to return.
    pub fn choose(&self, allowed: &Allowed, head: &Head, view: &View<'_>) -> Result<Choice, Code> {
        let rules = view.state.rules.for_new_work(view.now)?;
        let active: Vec<&Version> = allowed
            .versions
            .iter()
            .filter(|id| rules.is_active(id) && !view.state.rules.is_held(id))
            .filter_map(|id| rules.versions.get(id))
            .collect();
        if active.is_empty() {
            return Err(Code::Withdrawn);
        }
        let Some(text) = &head.session else {
            return self.start(allowed, &active, head, view);
        };
        let Some(token) = Token::verify(text, &self.keys) else {
            return self.choose_by_id(allowed, &active, text, view);
        };
        if token.customer != allowed.customer {
            return Err(Code::BadSession);
        }
        if token.until <= view.now.system {
            return self.start(allowed, &active, head, view);
        }
        if active.iter().any(|version| version.id == token.version) {
            return Ok(self.continue_token(&token, text, view));
        }
        let choice = self.start(allowed, &active, head, view)?;
        Ok(Choice {
            moved_from: Some(token.version),
            ..choice
        })
    }

    /// Continues the session of a token, which is renewed in the second half of its lifetime.
    fn continue_token(&self, token: &Token, text: &Arc<str>, view: &View<'_>) -> Choice {
        let needs_renewal = token.until < view.now.system + self.token_lifetime / 2;
        let session = if needs_renewal {
            self.issue(token, view)
        } else {
            Some(Arc::clone(text))
        };
        Choice {
            plan: Plan::single(token.version.clone()),
            session,
            ..Choice::default()
        }
    }

    /// Starts a session.
    fn start(
        &self,
        allowed: &Allowed,
        active: &[&Version],
        head: &Head,
        view: &View<'_>,
    ) -> Result<Choice, Code> {
        let is_new = head.session.is_none();
        if is_new && self.is_term_ending(view) {
            return Err(Code::TermOver);
        }
        let seed = share::hash(&allowed.customer, &allowed.route, &head.id);
        let plan = plan::plan(allowed, active, head, seed, view).ok_or(Code::NotFound)?;
        let first = plan.versions.first().cloned().ok_or(Code::NotFound)?;
        Ok(Choice {
            plan,
            ..self.single_choice(allowed, first, view)
        })
    }

    /// Issues the token of a session that starts with a version.
    pub(crate) fn new_token(
        &self,
        allowed: &Allowed,
        version: VersionId,
        view: &View<'_>,
    ) -> Option<Arc<str>> {
        self.single_choice(allowed, version, view).session
    }

    /// Chooses the version of a session whose id the caller has chosen.
    fn choose_by_id(
        &self,
        allowed: &Allowed,
        active: &[&Version],
        id: &str,
        view: &View<'_>,
    ) -> Result<Choice, Code> {
        let session = share::hash(&allowed.customer, &allowed.route, id);
        let known = self
            .table
            .get(session, view.now.instant)
            .filter(|_| self.remembers_ids);
        let is_active = |id: &VersionId| active.iter().any(|version| version.id == *id);
        let previous = || self.version_by_previous_shares(active, session, view.now);
        let expected = known.map(|known| known.version.clone()).or_else(previous);
        let version = match &expected {
            Some(version) if is_active(version) => version.clone(),
            _ => share::choose(active, session).ok_or(Code::NotFound)?,
        };
        let choice = self.single_choice(allowed, version, view);
        Ok(Choice {
            caller_session: Some(session),
            moved_from: known
                .map(|known| known.version.clone())
                .filter(|version| !is_active(version)),
            ..choice
        })
    }

    /// The version of a session under the previous shares, while these apply.
    fn version_by_previous_shares(
        &self,
        active: &[&Version],
        session: SessionHash,
        now: Now,
    ) -> Option<VersionId> {
        let previous = self.previous.as_ref()?;
        if !self.remembers_ids || previous.until <= now.instant {
            return None;
        }
        let versions: Vec<&Version> = active
            .iter()
            .filter_map(|version| previous.rules.rules.versions.get(&version.id))
            .collect();
        share::choose(&versions, session)
    }

    /// The choice of a single version, with a new token.
    fn single_choice(&self, allowed: &Allowed, version: VersionId, view: &View<'_>) -> Choice {
        let token = Token {
            customer: allowed.customer.clone(),
            route: allowed.route.clone(),
            version,
            until: view.now.system,
        };
        Choice {
            session: self.issue(&token, view),
            plan: Plan::single(token.version),
            ..Choice::default()
        }
    }

    /// Signs a token with a full lifetime from now on.
    fn issue(&self, token: &Token, view: &View<'_>) -> Option<Arc<str>> {
        let until = view.now.system + self.token_lifetime;
        let token = Token {
            until,
            ..token.clone()
        };
        self.keys.first().map(|key| token.sign(key).into())
    }

    /// Whether the term ends so soon that no new session may start.
    fn is_term_ending(&self, view: &View<'_>) -> bool {
        let end = self.rules.as_ref().and_then(|rules| rules.rules.term);
        end.is_some_and(|end| end <= view.now.system + self.session_cutoff)
    }
}

impl Controller for Sessions {
    fn handle(&mut self, now: Now, event: &Event, _: &mut Outbox) {
        match event {
            Event::InForce(rules) => self.on_rules(now, rules),
            Event::SessionSeen {
                session,
                allowed,
                version,
            } if self.remembers_ids => self.on_session_seen(now, *session, allowed, version),
            Event::Peer(frame) if self.remembers_ids => self.on_frame(now, frame),
            Event::Members(view) => self.on_members(view),
            Event::Tick => self.on_tick(now),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        self.fill_pins(now, frame);
    }
}
