use std::time::{Duration, Instant};

use super::Upstreams;
use crate::action::Action;
use crate::clock::Now;
use crate::id::UpstreamId;
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::upstream::{Any, Info};

/// Time between two requests for the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two load polls of an upstream by the same entry.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of gossiped knowledge from which an entry polls an upstream itself.
const STALE_AFTER: Duration = Duration::from_secs(3);
/// Minimum time between two extra polls of stale upstreams.
const EXTRA_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of entries that poll an upstream and gossip the result.
pub(super) const POLLERS: usize = 2;

/// Schedule of load polls.
#[derive(Debug, Default)]
pub(super) struct Polls {
    next_extra_at: Option<Instant>,
}

impl Upstreams {
    /// Sends the requests that are due: for the VM list, for the load of upstreams assigned to this entry, and now and
    /// then for the load of a stale one.
    pub(super) fn poll(&mut self, now: Now, out: &mut Outbox) {
        if self.next_list_at.is_none_or(|at| at <= now.instant) {
            self.next_list_at = Some(now.instant + LIST_INTERVAL);
            out.act(Action::ListVms);
        }
        let has_no_holders = self.view.slot_holders.is_empty();
        let mut stalest: Option<(Option<Instant>, UpstreamId)> = None;
        for upstream in self.upstreams.values_mut() {
            let is_starting = matches!(upstream, Any::Cold(_) | Any::Warming(_));
            let info = upstream.info_mut();
            if info.next_poll_at.is_some_and(|at| at > now.instant) || !info.is_listed {
                continue;
            }
            let owns_slots = is_starting && !info.allocation.slots.is_empty();
            let is_unassigned = has_no_holders && info.is_preferred;
            let is_due =
                info.is_poller || owns_slots || is_unassigned || info.is_restart_suspected();
            if is_due {
                Self::poll_upstream(now, info, out);
            } else if Self::is_stale(now, info)
                && stalest
                    .as_ref()
                    .is_none_or(|(seen, _)| info.evidence.seen_at < *seen)
            {
                stalest = Some((info.evidence.seen_at, info.id.clone()));
            }
        }
        let Some((_, id)) = stalest else { return };
        if self.polls.next_extra_at.is_some_and(|at| at > now.instant) {
            return;
        }
        self.polls.next_extra_at = Some(now.instant + EXTRA_POLL_INTERVAL);
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            Self::poll_upstream(now, upstream.info_mut(), out);
        }
    }

    fn is_stale(now: Now, info: &Info) -> bool {
        let is_wanted = info.is_preferred || !info.allocation.slots.is_empty();
        let is_old = info
            .evidence
            .seen_at
            .is_none_or(|seen| seen + STALE_AFTER <= now.instant);
        is_wanted && is_old
    }

    fn poll_upstream(now: Now, info: &mut Info, out: &mut Outbox) {
        info.next_poll_at = Some(now.instant + POLL_INTERVAL);
        out.act(Action::AskLoad {
            upstream: info.id.clone(),
            address: info.address.clone(),
        });
    }

    /// Whether this entry is one of the pollers of an upstream. All entries with the same view agree on them.
    pub(super) fn is_poller(&self, info: &Info) -> bool {
        let holders: Vec<&str> = self.view.slot_holders_for(&info.zone).collect();
        let is_holder = holders.contains(&&*self.entry);
        is_holder && rendezvous::rank(&info.id, &self.entry, holders.iter().copied()) < POLLERS
    }
}

impl Info {
    /// Whether an unconfirmed hint suggests that the upstream has restarted.
    fn is_restart_suspected(&self) -> bool {
        self.evidence.suspicion.is_some()
    }
}
