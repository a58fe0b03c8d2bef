use std::time::{Duration, Instant};

use super::Upstreams;
use crate::action::Action;
use crate::clock::Now;
use crate::id::UpstreamId;
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::upstream::{Any, Info};

/// Time between two questions for the VM list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two questions of one entry for an upstream's load, where it is the one to ask.
const PERIOD: Duration = Duration::from_millis(500);
/// Age of what peers have told from which an entry asks for itself.
const STALE: Duration = Duration::from_secs(3);
/// Time between two questions out of turn.
const SPACING: Duration = Duration::from_millis(250);
/// Entries that ask an upstream and tell the others.
pub(super) const POLLERS: usize = 2;

/// When upstreams are asked for their load.
#[derive(Debug, Default)]
pub(super) struct Polls {
    next_spare: Option<Instant>,
}

impl Upstreams {
    /// Asks what is due: the list, the upstreams that it falls to this entry to ask, and now and then a stale one.
    pub(super) fn ask(&mut self, now: Now, out: &mut Outbox) {
        if self.list_at.is_none_or(|at| at <= now.instant) {
            self.list_at = Some(now.instant + LIST_PERIOD);
            out.act(Action::ListVms);
        }
        let has_no_seats = self.view.seats.is_empty();
        let mut stalest: Option<(Option<Instant>, UpstreamId)> = None;
        for upstream in self.known.values_mut() {
            let is_starting = matches!(upstream, Any::Cold(_) | Any::Warming(_));
            let info = upstream.info_mut();
            if info.ask_at.is_some_and(|at| at > now.instant) || !info.is_listed {
                continue;
            }
            let is_own = is_starting && !info.share.slots.is_empty();
            let is_first = has_no_seats && info.is_near;
            let is_due = info.is_poller || is_own || is_first || info.is_doubtful();
            if is_due {
                Self::ask_one(now, info, out);
            } else if Self::is_stale(now, info)
                && stalest
                    .as_ref()
                    .is_none_or(|(seen, _)| info.evidence.seen < *seen)
            {
                stalest = Some((info.evidence.seen, info.id.clone()));
            }
        }
        let Some((_, id)) = stalest else { return };
        if self.polls.next_spare.is_some_and(|at| at > now.instant) {
            return;
        }
        self.polls.next_spare = Some(now.instant + SPACING);
        if let Some(upstream) = self.known.get_mut(&id) {
            Self::ask_one(now, upstream.info_mut(), out);
        }
    }

    fn is_stale(now: Now, info: &Info) -> bool {
        let is_wanted = info.is_near || !info.share.slots.is_empty();
        let is_old = info
            .evidence
            .seen
            .is_none_or(|seen| seen + STALE <= now.instant);
        is_wanted && is_old
    }

    fn ask_one(now: Now, info: &mut Info, out: &mut Outbox) {
        info.ask_at = Some(now.instant + PERIOD);
        out.act(Action::AskLoad {
            upstream: info.id.clone(),
            address: info.address.clone(),
        });
    }

    /// Whether it falls to this entry to ask an upstream: a few do for each, the same as by all other views.
    pub(super) fn is_poller(&self, info: &Info) -> bool {
        let seats: Vec<&str> = self.view.seats_for(&info.zone).collect();
        let has_seat = seats.contains(&&*self.own);
        has_seat && rendezvous::rank(&info.id, &self.own, seats.iter().copied()) < POLLERS
    }
}

impl Info {
    /// Whether something hints at a new start that is not yet confirmed.
    fn is_doubtful(&self) -> bool {
        self.evidence.doubt.is_some()
    }
}
