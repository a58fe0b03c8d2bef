//! A version found bad is put on hold by a record on the log; the next accepted publish lifts the hold.

use std::sync::Arc;

use comfreyroad::frame::Frame;
use comfreyroad::mechanism::Mechanism;
use comfreyroad::quality::{Cell, Count, Origin, Score, Subject};
use comfreyroad::record::{Record, Stream};
use comfreyroad::{Event, Settings};

use crate::rig::{Params, Rig, disabled_unless};

/// An entry during a rollout of `mona@2` beside `mona@1`.
fn rig(disabled: Vec<Mechanism>) -> Rig {
    let settings = Settings {
        disabled,
        ..Settings::default()
    };
    Rig::with_defaults(&settings)
}

/// The rating counts of an entry for a version on the `draft` route.
fn count(by: u32, version: &str, old: (u32, u32), new: (u32, u32)) -> Count {
    let score = |(rated, good)| Score { rated, good };
    Count {
        origin: Origin {
            entry: format!("entry-{by}").into(),
            boot: "b1".into(),
        },
        subject: Subject {
            route: "draft".into(),
            version: version.into(),
            is_escalated: false,
        },
        cell: Cell {
            since: 0,
            window: 7,
            old: score(old),
            new: score(new),
        },
    }
}

fn receive(rig: &mut Rig, counts: Vec<Count>) {
    let frame = Frame {
        counts,
        ..Frame::default()
    };
    rig.handle(Event::Peer(Box::new(frame)));
}

fn holds(rig: &Rig) -> Vec<(Arc<str>, u64)> {
    let hold = |record: &Record| match record {
        Record::Hold {
            version,
            generation,
            ..
        } => Some((version.clone(), *generation)),
        _ => None,
    };
    let records = rig.log.get(&Stream::Rules).into_iter().flatten();
    records.filter_map(|(_, record)| hold(record)).collect()
}

/// The versions that answer 20 new draft requests.
fn versions(rig: &mut Rig, prefix: &str) -> Vec<Arc<str>> {
    let mut versions = Vec::new();
    for index in 0..20 {
        let call = rig.call(&Params::chat(format!("{prefix}-{index}"), "draft"));
        versions.extend(rig.sends_of(call)[0].version.clone());
        rig.answer(rig.last_attempt(call), 1);
    }
    versions
}

fn bad_rollout(rig: &mut Rig) {
    receive(rig, vec![count(1, "mona@1", (200, 180), (0, 0))]);
    receive(rig, vec![count(2, "mona@2", (60, 24), (0, 0))]);
    rig.advance(1_000);
}

#[test]
fn a_bad_rollout_is_held_and_a_publish_lifts_it() {
    let mut rig = rig(Vec::new());
    bad_rollout(&mut rig);
    assert_eq!(holds(&rig), [("mona@2".into(), 1)]);
    assert_eq!(rig.event_count(803), 1);
    rig.advance(500);
    assert!(
        versions(&mut rig, "held")
            .iter()
            .all(|version| **version == *"mona@1")
    );
    let rules = Rig::rules((50, 50), &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
    let after = versions(&mut rig, "lifted");
    assert!(after.iter().any(|version| **version == *"mona@2"));
    // Counts from before the publish are ignored, also when a peer sends them again.
    receive(&mut rig, vec![count(2, "mona@2", (61, 24), (0, 0))]);
    rig.advance(1_000);
    assert_eq!(
        holds(&rig).len(),
        1,
        "the version was held again because of old ratings"
    );
}

#[test]
fn without_the_detector_a_bad_version_stays_in_use() {
    let mut rig = rig(disabled_unless(false, Mechanism::RegressionDetector));
    bad_rollout(&mut rig);
    assert!(
        holds(&rig).is_empty(),
        "without the detector, nothing is held"
    );
    assert!(
        versions(&mut rig, "on")
            .iter()
            .any(|version| **version == *"mona@2")
    );
}

#[test]
fn a_version_of_equal_quality_is_not_held() {
    let mut rig = rig(Vec::new());
    receive(&mut rig, vec![count(1, "mona@1", (200, 180), (0, 0))]);
    for rated in 1..=60_u32 {
        receive(
            &mut rig,
            vec![count(2, "mona@2", (rated, rated - rated / 9), (0, 0))],
        );
    }
    rig.advance(1_000);
    assert!(holds(&rig).is_empty());
}

#[test]
fn a_version_that_turns_bad_is_held() {
    let mut rig = rig(Vec::new());
    receive(&mut rig, vec![count(1, "mona@1", (900, 810), (40, 10))]);
    rig.advance(1_000);
    assert_eq!(holds(&rig), [("mona@1".into(), 1)]);
}

#[test]
fn the_last_active_version_is_not_held() {
    let mut rig = rig(Vec::new());
    let rules = Rig::rules((0, 100), &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
    bad_rollout(&mut rig);
    assert!(holds(&rig).is_empty());
    assert_eq!(rig.event_count(804), 1);
}

#[test]
fn repeated_counts_are_counted_once() {
    for has in [true, false] {
        let mut rig = rig(disabled_unless(has, Mechanism::CountMerging));
        // Three of six ratings are good: too few for a verdict, unless repeated frames are counted again.
        let counts = vec![
            count(1, "mona@1", (200, 180), (0, 0)),
            count(2, "mona@2", (6, 3), (0, 0)),
        ];
        (0..12).for_each(|_| receive(&mut rig, counts.clone()));
        rig.advance(1_000);
        assert_eq!(holds(&rig).is_empty(), has);
    }
}

#[test]
fn repeated_tests_need_anytime_valid_evidence() {
    for has in [true, false] {
        let mut rig = rig(disabled_unless(has, Mechanism::AnytimeEvidence));
        receive(&mut rig, vec![count(1, "mona@1", (200, 180), (0, 0))]);
        // The first responses of a version of equal quality happen to be bad.
        for (rated, good) in [(1, 0), (2, 1), (3, 2), (9, 8), (40, 36)] {
            receive(&mut rig, vec![count(2, "mona@2", (rated, good), (0, 0))]);
        }
        rig.advance(1_000);
        assert_eq!(holds(&rig).is_empty(), has);
    }
}

#[test]
fn a_hold_is_retried_when_the_log_is_unavailable() {
    let mut rig = rig(Vec::new());
    rig.log_is_up = false;
    bad_rollout(&mut rig);
    assert!(holds(&rig).is_empty());
    rig.log_is_up = true;
    rig.advance(1_000);
    assert_eq!(holds(&rig).len(), 1);
}

#[test]
fn a_second_hold_changes_nothing() {
    let mut rig = rig(Vec::new());
    bad_rollout(&mut rig);
    let hold = Record::Hold {
        version: "mona@2".into(),
        generation: 1,
        reason: "found by another entry".into(),
    };
    rig.append(Stream::Rules, hold);
    rig.advance(1_000);
    let rules = Rig::rules((50, 50), &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
    assert!(
        versions(&mut rig, "lifted")
            .iter()
            .any(|version| **version == *"mona@2")
    );
}

#[test]
fn a_hold_by_another_entry_is_not_repeated() {
    let mut rig = rig(Vec::new());
    let hold = Record::Hold {
        version: "mona@2".into(),
        generation: 1,
        reason: "found by another entry".into(),
    };
    rig.append(Stream::Rules, hold);
    rig.advance(500);
    bad_rollout(&mut rig);
    assert_eq!(holds(&rig).len(), 1, "the hold is not repeated");
}
