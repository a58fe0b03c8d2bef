use super::{Requirements, Upstreams};
use crate::filter;
use crate::id::{VersionId, ZoneId};
use crate::rendezvous;
use crate::rules::Rules;
use crate::upstream::{Any, Load, Slot};

/// Load score from which an upstream counts as full.
const FULL_SCORE: f64 = 1.0;

impl Upstreams {
    /// Takes a slot at an eligible upstream, if any has room.
    ///
    /// The own zone comes first, then the other zones of its region, then all others. A tier that is full or has no
    /// eligible upstream passes the request to the next. Within a tier, the less loaded of two random candidates is taken.
    pub fn pick(&self, requirements: &Requirements, view: &filter::View<'_>) -> Option<Slot> {
        let rules = view.state.rules.for_new_work(view.now).ok()?;
        let mut tiers: [Vec<&Any>; 3] = Default::default();
        for upstream in self.upstreams.values() {
            if self.is_eligible(upstream, requirements, rules, view) {
                let tier = self.zone_distance(&upstream.info().zone, rules);
                tiers[tier].push(upstream);
            }
        }
        let picks = tiers
            .iter()
            .filter_map(|tier| self.better_of_two(tier, requirements));
        let mut best: Option<(f64, &Any)> = None;
        for (score, upstream) in picks {
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, upstream));
            }
            if score < FULL_SCORE {
                break;
            }
        }
        Some(Slot::take(best?.1.info()))
    }

    fn is_eligible(
        &self,
        upstream: &Any,
        requirements: &Requirements,
        rules: &Rules,
        view: &filter::View<'_>,
    ) -> bool {
        let info = upstream.info();
        if requirements.excluded.as_ref() == Some(&info.id) {
            return false;
        }
        if info.pool != requirements.pool
            || upstream.is_leaving()
            || info.backoff.is_active(view.now.instant)
        {
            return false;
        }
        let Some(pool) = rules.pools.get(&requirements.pool) else {
            return false;
        };
        let is_assigned = info.is_preferred || !info.allocation.slots.is_empty();
        is_assigned
            && rules.is_zone_in(&info.zone)
            && Self::has_loaded(info.load.as_ref(), requirements.version.as_ref())
            && info.allocation.running(info.in_flight.get())
                < self.limit(view.now.instant, upstream, pool)
    }

    fn has_loaded(load: Option<&Load>, version: Option<&VersionId>) -> bool {
        let Some(version) = version else { return true };
        load.is_some_and(|load| load.versions.contains(version))
    }

    /// Tier of a zone: 0 for the own zone, 1 for its region, 2 for other regions.
    pub(super) fn zone_distance(&self, zone: &ZoneId, rules: &Rules) -> usize {
        let region = |zone: &ZoneId| rules.zones.get(zone).map(|zone| &zone.region);
        match () {
            () if *zone == self.zone => 0,
            () if region(zone) == region(&self.zone) => 1,
            () => 2,
        }
    }

    fn better_of_two<'a>(
        &self,
        upstreams: &[&'a Any],
        requirements: &Requirements,
    ) -> Option<(f64, &'a Any)> {
        let key = requirements.salt.to_string();
        let weight = |upstream: &&&Any| rendezvous::hash(&key, &upstream.info().id);
        let first = upstreams.iter().max_by_key(weight)?;
        let others = upstreams
            .iter()
            .filter(|other| other.info().id != first.info().id);
        let second = others.max_by_key(weight).unwrap_or(first);
        let (one, two) = (Self::load_score(first), Self::load_score(second));
        Some(if two < one {
            (two, second)
        } else {
            (one, first)
        })
    }

    /// Load score of an upstream; 1.0 is full. Requests sent since the newest report are added to it.
    fn load_score(upstream: &Any) -> f64 {
        let info = upstream.info();
        let reported = info
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let slots = f64::from(info.load.as_ref().map_or(1, |load| load.slots.max(1)));
        let used = f64::from(reported + info.allocation.unreported()) / slots;
        used.max(f64::from(info.in_flight.get()) / slots)
    }
}
