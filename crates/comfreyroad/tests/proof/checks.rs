//! The checks themselves: each must see a journal that breaks its promise, also where no entry can be made to.

use std::time::Duration;

use comfreyroad::refusal::{Code, Ran};

use crate::bench::{self, Ask, Bench, CallSpec, Hold, Outcome, promise};

/// A run in which one chat and one booking were answered.
fn answered() -> Bench {
    let mut bench = Bench::new(bench::seed());
    bench.run_for(Duration::from_secs(2));
    bench.call(0, CallSpec::new("r1", "author", Ask::Chat("draft", 10)));
    bench.call(1, CallSpec::new("r2", "author", Ask::Book));
    bench.run_for(Duration::from_secs(3));
    assert_eq!(promise::all(&bench), []);
    bench
}

fn assert_broken(bench: &Bench, name: &str) {
    let broken = promise::all(bench);
    assert!(
        broken.iter().any(|(broken, _)| *broken == name),
        "{broken:?}"
    );
}

#[test]
fn false_not_run_is_seen() {
    let mut bench = answered();
    bench.calls[1].outcome = Outcome::Refused(Code::Deadline, Ran::No);
    assert_broken(&bench, "not_run");
}

#[test]
fn reverted_generation_is_seen() {
    let mut bench = answered();
    bench.journal.enacted[0].generation = 9;
    let post = bench.journal.enacted[0].post;
    bench.journal.enacted.push(bench::Enacted {
        post,
        generation: 1,
    });
    assert_broken(&bench, "in_force");
}

#[test]
fn part_that_claims_to_be_whole_is_seen() {
    let mut bench = answered();
    bench.calls[0].body.pop();
    assert_broken(&bench, "whole_answer");
}

#[test]
fn foreign_version_is_seen() {
    let mut bench = answered();
    bench.journal.sendings[0].customer = "band".into();
    bench.journal.sendings[0].version = Some("mona@1".into());
    assert_broken(&bench, "allowed");
}

#[test]
fn held_version_is_seen() {
    let mut bench = answered();
    let sending = &bench.journal.sendings[0];
    let version = sending.version.clone().expect("a chat has its version");
    let at = sending.at - Duration::from_secs(5);
    bench.journal.accepted.clear();
    bench.journal.holds.push(Hold {
        at,
        version,
        is_lifted: false,
    });
    assert_broken(&bench, "held");
}
