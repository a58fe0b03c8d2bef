//! Sessions: each keeps the version that it began with.
//!
//! A session that we hand out is a token that names its version. A caller may also bring ids of its own, and such a
//! session cannot be told from a new one by its id. Its version follows from its hash by the shares, so most stay when
//! shares change; each entry remembers the sessions that it has seen lately, and tells the others of those that would
//! get another version by the new shares. Until that has gone round, all go by the old shares.

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

/// Keeps the keys of session tokens, and the sessions of callers' own ids.
#[derive(Debug)]
pub struct Sessions {
    keys: Vec<[u8; 32]>,
    life: Duration,
    idle: Duration,
    last_sessions: Duration,
    keeps_ids: bool,
    pins_again: bool,
    table: Table,
    rules: Option<Arc<InForce>>,
    before: Option<Before>,
    young: IndexMap<SessionHash, (VersionId, Instant)>,
    cursor: usize,
    // Sessions still to be looked through for those that would move.
    left: usize,
    members: Rc<Members>,
}

/// Rules whose shares still count.
#[derive(Debug)]
struct Before {
    rules: Arc<InForce>,
    until: Instant,
}

impl Sessions {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            keys: settings.session_keys.clone(),
            life: settings.session_life,
            idle: settings.session_idle,
            last_sessions: settings.last_sessions,
            keeps_ids: settings.has(Mechanism::KeptIds),
            pins_again: settings.has(Mechanism::PinAgain),
            table: Table::default(),
            rules: None,
            before: None,
            young: IndexMap::new(),
            cursor: 0,
            left: 0,
            members: Rc::default(),
        }
    }

    /// Whether waiting requests get another version when theirs is withdrawn.
    pub fn repins_withdrawn(&self) -> bool {
        self.pins_again
    }

    /// Sessions of callers' own ids that are kept.
    pub fn remembered_ids(&self) -> usize {
        self.table.len()
    }

    /// The version that answers a request, and the session token to hand back.
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
            return self.begin(allowed, &active, head, view);
        };
        let Some(token) = Token::open(text, &self.keys) else {
            return self.own_id(allowed, &active, text, view);
        };
        if token.customer != allowed.customer {
            return Err(Code::BadSession);
        }
        if token.until <= view.now.system {
            return self.begin(allowed, &active, head, view);
        }
        if active.iter().any(|version| version.id == token.version) {
            return Ok(self.keep(&token, text, view));
        }
        let choice = self.begin(allowed, &active, head, view)?;
        Ok(Choice {
            moved_from: Some(token.version),
            ..choice
        })
    }

    /// Goes on with a token, which is renewed in the second half of its life.
    fn keep(&self, token: &Token, text: &Arc<str>, view: &View<'_>) -> Choice {
        let is_old = token.until < view.now.system + self.life / 2;
        let session = if is_old {
            self.seal(token, view)
        } else {
            Some(Arc::clone(text))
        };
        Choice {
            plan: Plan::single(token.version.clone()),
            session,
            ..Choice::default()
        }
    }

    /// A new session.
    fn begin(
        &self,
        allowed: &Allowed,
        active: &[&Version],
        head: &Head,
        view: &View<'_>,
    ) -> Result<Choice, Code> {
        let is_new = head.session.is_none();
        if is_new && self.is_near_end(view) {
            return Err(Code::TermOver);
        }
        let seed = share::hash(&allowed.customer, &allowed.route, &head.id);
        let plan = plan::plan(allowed, active, head, seed, view).ok_or(Code::NotFound)?;
        let first = plan.versions.first().cloned().ok_or(Code::NotFound)?;
        Ok(Choice {
            plan,
            ..self.choice(allowed, first, view)
        })
    }

    /// The token of a session that begins with a version.
    pub(crate) fn new_token(
        &self,
        allowed: &Allowed,
        version: VersionId,
        view: &View<'_>,
    ) -> Option<Arc<str>> {
        self.choice(allowed, version, view).session
    }

    /// A session that the caller names itself.
    fn own_id(
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
            .filter(|_| self.keeps_ids);
        let is_active = |id: &VersionId| active.iter().any(|version| version.id == *id);
        let settled = || self.by_old_shares(active, session, view.now);
        let kept = known.map(|known| known.version.clone()).or_else(settled);
        let version = match &kept {
            Some(version) if is_active(version) => version.clone(),
            _ => share::choose(active, session).ok_or(Code::NotFound)?,
        };
        let choice = self.choice(allowed, version, view);
        Ok(Choice {
            own_id: Some(session),
            moved_from: known
                .map(|known| known.version.clone())
                .filter(|version| !is_active(version)),
            ..choice
        })
    }

    fn by_old_shares(
        &self,
        active: &[&Version],
        session: SessionHash,
        now: Now,
    ) -> Option<VersionId> {
        let before = self.before.as_ref()?;
        if !self.keeps_ids || before.until <= now.instant {
            return None;
        }
        let old: Vec<&Version> = active
            .iter()
            .filter_map(|version| before.rules.rules.versions.get(&version.id))
            .collect();
        share::choose(&old, session)
    }

    fn choice(&self, allowed: &Allowed, version: VersionId, view: &View<'_>) -> Choice {
        let token = Token {
            customer: allowed.customer.clone(),
            route: allowed.route.clone(),
            version,
            until: view.now.system,
        };
        Choice {
            session: self.seal(&token, view),
            plan: Plan::single(token.version),
            ..Choice::default()
        }
    }

    fn seal(&self, token: &Token, view: &View<'_>) -> Option<Arc<str>> {
        let until = view.now.system + self.life;
        let token = Token {
            until,
            ..token.clone()
        };
        self.keys.first().map(|key| token.seal(key).into())
    }

    /// Whether the term ends so soon that no session begins.
    fn is_near_end(&self, view: &View<'_>) -> bool {
        let end = self.rules.as_ref().and_then(|rules| rules.rules.term);
        end.is_some_and(|end| end <= view.now.system + self.last_sessions)
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
            } if self.keeps_ids => self.on_seen(now, *session, allowed, version),
            Event::Peer(frame) if self.keeps_ids => self.on_frame(now, frame),
            Event::Members(view) => self.on_members(view),
            Event::Tick => self.on_tick(now),
            _ => {}
        }
    }

    fn fill(&mut self, now: Now, _: &Address, frame: &mut Frame) {
        self.fill_pins(now, frame);
    }
}
