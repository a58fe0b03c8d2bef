//! Responses compared with a reference model: the caller receives a prefix of the correct response, and all of it if
//! and only if the response is reported as complete.

use comfreyroad::Settings;
use comfreyroad::event::Signal;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::rig::{End, Params, Rig, text};

/// Number of tokens in the correct response.
const TOKENS: u64 = 6;

/// One event of the newest attempt, or of an older one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Next,
    Duplicate,
    Skip,
    Restart,
    WrongTag,
    LatePart,
    LateEnd,
    End,
    OvercountedEnd,
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
            Self::Duplicate,
            Self::Skip,
            Self::Restart,
            Self::WrongTag,
            Self::LatePart,
            Self::LateEnd,
            Self::End,
            Self::OvercountedEnd,
            Self::Failure,
            Self::Tick,
        ];
        *g.choose(&all).unwrap_or(&Self::Next)
    }
}

/// The reference model: the next token that the engine of the newest attempt sends.
struct Engine {
    attempt: u64,
    next: u64,
}

fn check(steps: Vec<Step>) -> bool {
    let mut rig = Rig::with_defaults(&Settings::default());
    let call = rig.call(&Params::chat("r1", "mona@1"));
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
        let response = rig.response(call);
        if !text(TOKENS).starts_with(&response.body) {
            return false;
        }
    }
    // A failed upstream is in backoff for a while.
    rig.advance(600);
    if rig.response(call).end.is_none() {
        // A correct engine completes the response.
        let newest = rig.last_attempt(call);
        rig.answer(newest, TOKENS as u32);
    }
    rig.advance(200);
    let response = rig.response(call);
    let is_whole = response.body == text(TOKENS);
    let sends = rig.sends_of(call);
    let same_version = sends
        .windows(2)
        .all(|pair| pair[0].version == pair[1].version);
    match &response.end {
        Some(End::Finished) => is_whole && same_version,
        Some(End::Broken) => !response.body.is_empty() && same_version,
        Some(End::Refused(_)) => response.body.is_empty(),
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
        Step::Duplicate if engine.next > 0 => rig.token(attempt, engine.next - 1),
        Step::Skip if engine.next + 1 < TOKENS => {
            rig.token(attempt, engine.next + 1);
            engine.next += 2;
        }
        Step::Restart => engine.next = 0,
        Step::WrongTag => rig.signal(
            attempt,
            Signal::Part {
                tag: Some("another".into()),
                offset: engine.next,
                length: 1,
                bytes: b"wrong ".as_slice().into(),
            },
        ),
        Step::LatePart => rig.token(first, engine.next.min(TOKENS - 1)),
        Step::LateEnd if first != attempt => rig.finish(first, TOKENS as u32),
        Step::End | Step::Next => rig.finish(attempt, TOKENS as u32),
        Step::OvercountedEnd => rig.finish(attempt, TOKENS as u32 + 1),
        Step::Failure => rig.fail(attempt),
        Step::Tick => rig.advance(50),
        Step::Duplicate | Step::Skip | Step::LateEnd => {}
    }
}

/// Size of the generated cases, and the fixed seed that makes runs reproducible.
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

#[test]
fn callers_receive_a_prefix_and_all_of_it_if_reported_complete() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(1_500)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
