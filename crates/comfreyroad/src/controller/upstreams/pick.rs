use super::{Requirements, Upstreams};
use crate::filter;
use crate::id::{VersionId, ZoneId};
use crate::rendezvous;
use crate::rules::Rules;
use crate::upstream::{Any, Load, Slot};

/// Score from which an upstream counts as full.
const FULL: f64 = 1.0;

impl Upstreams {
    /// A slot at an upstream that suits, if any has room.
    ///
    /// The own zone comes first, then those of the same region, then the others; a zone that is full or has nothing to
    /// offer leaves the request to the next. Within them the better one of two random picks is taken.
    pub fn pick(&self, need: &Requirements, view: &filter::View<'_>) -> Option<Slot> {
        let rules = view.state.rules.for_new_work(view.now).ok()?;
        let mut tiers: [Vec<&Any>; 3] = Default::default();
        for upstream in self.known.values() {
            if self.suits(upstream, need, rules, view) {
                let tier = self.distance(&upstream.info().zone, rules);
                tiers[tier].push(upstream);
            }
        }
        let picks = tiers
            .iter()
            .filter_map(|tier| self.better_of_two(tier, need));
        let mut best: Option<(f64, &Any)> = None;
        for (score, upstream) in picks {
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, upstream));
            }
            if score < FULL {
                break;
            }
        }
        Some(Slot::take(best?.1.info()))
    }

    fn suits(
        &self,
        upstream: &Any,
        need: &Requirements,
        rules: &Rules,
        view: &filter::View<'_>,
    ) -> bool {
        let info = upstream.info();
        if need.excluded.as_ref() == Some(&info.id) {
            return false;
        }
        if info.pool != need.pool || upstream.is_leaving() || info.pause.is_on(view.now.instant) {
            return false;
        }
        let Some(pool) = rules.pools.get(&need.pool) else {
            return false;
        };
        let is_offered = info.is_near || !info.share.slots.is_empty();
        is_offered
            && rules.is_zone_in(&info.zone)
            && Self::offers(info.load.as_ref(), need.version.as_ref())
            && info.share.running(info.in_flight.get())
                < self.limit(view.now.instant, upstream, pool)
    }

    fn offers(load: Option<&Load>, version: Option<&VersionId>) -> bool {
        let Some(version) = version else { return true };
        load.is_some_and(|load| load.versions.contains(version))
    }

    /// 0 for the own zone, 1 for its region, 2 beyond.
    pub(super) fn distance(&self, zone: &ZoneId, rules: &Rules) -> usize {
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
        need: &Requirements,
    ) -> Option<(f64, &'a Any)> {
        let key = need.salt.to_string();
        let weight = |upstream: &&&Any| rendezvous::weight(&key, &upstream.info().id);
        let first = upstreams.iter().max_by_key(weight)?;
        let others = upstreams
            .iter()
            .filter(|other| other.info().id != first.info().id);
        let second = others.max_by_key(weight).unwrap_or(first);
        let (one, two) = (Self::score(first), Self::score(second));
        Some(if two < one {
            (two, second)
        } else {
            (one, first)
        })
    }

    /// How loaded an upstream is: 1.0 is full. A report is corrected by what was sent since.
    fn score(upstream: &Any) -> f64 {
        let info = upstream.info();
        let reported = info
            .load
            .as_ref()
            .map_or(0, |load| load.running + load.waiting);
        let slots = f64::from(info.load.as_ref().map_or(1, |load| load.slots.max(1)));
        let used = f64::from(reported + info.share.unreported()) / slots;
        used.max(f64::from(info.in_flight.get()) / slots)
    }
}
