//! Answers held against a naive version: the caller gets a prefix of the true answer, and all of it if and only if it is
//! told that it is whole.

use comfreyroad::Settings;
use comfreyroad::event::Signal;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::rig::{Ask, End, Rig, text};

/// Tokens of the true answer.
const TOKENS: u64 = 6;

/// One thing that happens to the newest attempt, or to an older one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Next,
    Double,
    Skip,
    Anew,
    Crossed,
    LatePart,
    LateEnd,
    End,
    LongEnd,
    Failure,
    Tick,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::Next,
            Self::Next,
            Self::Next,
            Self::Next,
            Self::Next,
            Self::Double,
            Self::Skip,
            Self::Anew,
            Self::Crossed,
            Self::LatePart,
            Self::LateEnd,
            Self::End,
            Self::LongEnd,
            Self::Failure,
            Self::Tick,
        ];
        *g.choose(&all).unwrap_or(&Self::Next)
    }
}

/// The naive version: what the engine of the newest attempt will give next.
struct Engine {
    attempt: u64,
    next: u64,
}

fn holds(steps: Vec<Step>) -> bool {
    let mut rig = Rig::usual(&Settings::default());
    let call = rig.call(&Ask::chat("r1", "mona@1"));
    let mut engine = Engine {
        attempt: rig.last_attempt(call),
        next: 0,
    };
    let first = engine.attempt;
    for step in steps {
        let newest = rig.last_attempt(call);
        if newest != engine.attempt {
            let resumed = rig.sends_of(call).last().map_or(0, |send| send.resume_from);
            engine = Engine {
                attempt: newest,
                next: resumed,
            };
        }
        apply(&mut rig, &mut engine, first, step);
        let got = rig.got(call);
        if !text(TOKENS).starts_with(&got.body) {
            return false;
        }
    }
    // An upstream that failed is left alone for a while.
    rig.advance(600);
    if rig.got(call).end.is_none() {
        // An honest engine brings it to its end.
        let newest = rig.last_attempt(call);
        rig.answer(newest, TOKENS as u32);
    }
    rig.advance(200);
    let got = rig.got(call);
    let is_whole = got.body == text(TOKENS);
    let sends = rig.sends_of(call);
    let same_version = sends
        .windows(2)
        .all(|pair| pair[0].version == pair[1].version);
    match &got.end {
        Some(End::Finished) => is_whole && same_version,
        Some(End::Broken) => !got.body.is_empty() && same_version,
        Some(End::Refused(_)) => got.body.is_empty(),
        None => false,
    }
}

fn apply(rig: &mut Rig, engine: &mut Engine, first: u64, step: Step) {
    let attempt = engine.attempt;
    match step {
        Step::Next if engine.next < TOKENS => {
            rig.token(attempt, engine.next);
            engine.next += 1;
        }
        Step::Double if engine.next > 0 => rig.token(attempt, engine.next - 1),
        Step::Skip if engine.next + 1 < TOKENS => {
            rig.token(attempt, engine.next + 1);
            engine.next += 2;
        }
        Step::Anew => engine.next = 0,
        Step::Crossed => rig.signal(
            attempt,
            Signal::Part {
                tag: Some("another".into()),
                offset: engine.next,
                length: 1,
                bytes: b"wrong ".as_slice().into(),
            },
        ),
        Step::LatePart => rig.token(first, engine.next.min(TOKENS - 1)),
        Step::LateEnd if first != attempt => rig.whole(first, TOKENS as u32),
        Step::End | Step::Next => rig.whole(attempt, TOKENS as u32),
        Step::LongEnd => rig.whole(attempt, TOKENS as u32 + 1),
        Step::Failure => rig.failure(attempt),
        Step::Tick => rig.advance(50),
        Step::Double | Step::Skip | Step::LateEnd => {}
    }
}

/// Size of the cases, and the seed by which they are the same in each run.
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

#[test]
fn callers_get_a_prefix_and_all_of_it_if_told_so() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(1_500)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
