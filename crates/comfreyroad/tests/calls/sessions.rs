//! A session keeps its version, whoever names it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use comfreyroad::frame::{Frame, RulesStatus};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::Code;
use comfreyroad::session::Token;
use comfreyroad::{Event, Settings};

use crate::rig::{Ask, End, Rig, unless};

fn publish(rig: &mut Rig, shares: (u32, u32)) {
    let rules = Rig::rules(shares, &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
}

/// Asks, is answered, and gives the version and the token that came back.
fn turn(rig: &mut Rig, ask: &Ask) -> (Arc<str>, Arc<str>) {
    let call = rig.call(ask);
    let attempt = rig.last_attempt(call);
    rig.answer(attempt, 1);
    // The bill has to come back from the log; nothing here waits for it.
    let got = rig.got(call);
    let version = got.version.clone().expect("a version");
    (version, got.session.clone().expect("a session"))
}

fn settings(keys: &[u8]) -> Settings {
    Settings {
        session_keys: keys.iter().map(|key| [*key; 32]).collect(),
        ..Settings::default()
    }
}

#[test]
fn a_token_keeps_its_version_while_shares_change() {
    let mut rig = Rig::usual(&Settings::default());
    let mut sessions = Vec::new();
    for index in 0..20 {
        sessions.push(turn(&mut rig, &Ask::chat(format!("r{index}"), "draft")));
    }
    assert!(
        sessions
            .iter()
            .any(|(version, _)| *version != sessions[0].0)
    );
    publish(&mut rig, (1, 99));
    rig.advance(5_000);
    for (index, (version, token)) in sessions.iter().enumerate() {
        let ask = Ask::chat(format!("s{index}"), "draft").in_session(token);
        assert_eq!(turn(&mut rig, &ask), (version.clone(), token.clone()));
    }
}

#[test]
fn the_old_key_opens_and_the_new_one_seals() {
    let (version, token) = turn(&mut Rig::usual(&settings(&[1])), &Ask::chat("r1", "draft"));
    let mut rotated = Rig::usual(&settings(&[2, 1]));
    let ask = Ask::chat("r2", "draft").in_session(&token);
    assert_eq!(turn(&mut rotated, &ask).0, version);
    let (_, sealed) = turn(&mut rotated, &Ask::chat("r3", "draft"));
    assert!(Token::verify(&sealed, &[[2; 32]]).is_some());
    assert!(Token::verify(&sealed, &[[1; 32]]).is_none());
}

#[test]
fn tokens_end_and_are_renewed_before() {
    let mut rig = Rig::usual(&Settings::default());
    let until = |rig: &Rig, left: Duration| rig.now.system + left;
    let seal = |until: SystemTime| -> Arc<str> {
        let token = Token {
            customer: "c1".into(),
            route: "draft".into(),
            version: "mona@2".into(),
            until,
        };
        token.sign(&[0; 32]).into()
    };
    let old = seal(until(&rig, Duration::from_secs(60)));
    let (version, renewed) = turn(&mut rig, &Ask::chat("r1", "draft").in_session(&old));
    assert_eq!((&*version, renewed != old), ("mona@2", true));
    let ended = seal(rig.now.system - Duration::from_secs(1));
    let (_, new) = turn(&mut rig, &Ask::chat("r2", "draft").in_session(&ended));
    let token = Token::verify(&new, &[[0; 32]]).expect("a token");
    assert!(token.until > rig.now.system + Duration::from_secs(3_600));
}

#[test]
fn a_token_of_another_customer_is_refused_and_a_forged_one_is_an_id() {
    let mut rig = Rig::usual(&Settings::default());
    let (_, token) = turn(&mut rig, &Ask::chat("r1", "draft"));
    let call = rig.call(&Ask::chat("r2", "draft").by(2).in_session(&token));
    assert!(
        matches!(&rig.got(call).end, Some(End::Refused(refusal)) if refusal.code() == Code::BadSession)
    );
    let forged = format!("{token}x");
    let first = turn(&mut rig, &Ask::chat("r3", "draft").in_session(&forged)).0;
    assert_eq!(
        turn(&mut rig, &Ask::chat("r4", "draft").in_session(&forged)).0,
        first
    );
}

#[test]
fn a_withdrawn_version_moves_its_sessions_once() {
    let mut rig = Rig::usual(&Settings::default());
    let ask = Ask::chat("r0", "draft").in_session("own id");
    let (own, _) = turn(&mut rig, &ask);
    let (one, token) = loop {
        let ask = Ask::chat(format!("r{}", rig.got.len()), "draft");
        let turn = turn(&mut rig, &ask);
        if turn.0 == own {
            break turn;
        }
    };
    publish(
        &mut rig,
        if &*one == "mona@1" {
            (0, 100)
        } else {
            (100, 0)
        },
    );
    let (two, moved) = turn(&mut rig, &Ask::chat("s1", "draft").in_session(&token));
    assert_ne!(one, two);
    assert_eq!(rig.noted(504), 1);
    assert_eq!(
        turn(&mut rig, &Ask::chat("s2", "draft").in_session(&moved)).0,
        two
    );
    assert_eq!(
        turn(
            &mut rig,
            &Ask {
                id: "s3".into(),
                ..ask.clone()
            }
        )
        .0,
        two
    );
    assert_eq!(rig.noted(504), 2);
    assert_eq!(
        turn(
            &mut rig,
            &Ask {
                id: "s4".into(),
                ..ask
            }
        )
        .0,
        two
    );
    assert_eq!(rig.noted(504), 2);
}

#[test]
fn what_waits_gets_another_version_when_its_own_is_withdrawn() {
    for pins_again in [true, false] {
        let disabled = unless(pins_again, Mechanism::Repinning);
        let mut rig = Rig::usual(&Settings {
            disabled,
            ..Settings::default()
        });
        let calls: Vec<u64> = (0..20)
            .map(|index| rig.call(&Ask::chat(format!("r{index}"), "draft")))
            .collect();
        let is_first = |rig: &Rig, call: u64| {
            rig.sends_of(call)
                .first()
                .is_some_and(|send| send.version.as_deref() == Some("mona@1"))
        };
        let failing = calls
            .iter()
            .copied()
            .find(|call| is_first(&rig, *call))
            .expect("one by mona@1");
        publish(&mut rig, (0, 100));
        // One that was sent and has not begun moves too.
        let attempt = rig.last_attempt(failing);
        rig.failure(attempt);
        for _ in 0..40 {
            rig.advance(100);
            let open: Vec<u64> = rig
                .sends
                .iter()
                .filter(|send| rig.got(send.head.call).end.is_none())
                .map(|send| send.attempt)
                .collect();
            open.into_iter().for_each(|attempt| rig.answer(attempt, 1));
        }
        let finished = calls
            .iter()
            .filter(|call| rig.got(**call).end == Some(End::Finished))
            .count();
        assert_eq!(finished == calls.len(), pins_again, "{finished} finished");
    }
}

/// Several entries that tell each other all they have to tell.
struct Fleet {
    rigs: Vec<Rig>,
    rng: u64,
}

impl Fleet {
    fn new(keeps_ids: bool) -> Self {
        let rig = |index: usize| {
            let disabled = unless(keeps_ids, Mechanism::StickyIds);
            Rig::usual(&Settings {
                entry: format!("e{index}").into(),
                seed: index as u64,
                disabled,
                ..Settings::default()
            })
        };
        let (rigs, rng) = ((0..7).map(rig).collect(), 1);
        Self { rigs, rng }
    }

    fn advance(&mut self, ms: u64) {
        for tick in 0..ms / 50 {
            self.rigs.iter_mut().for_each(|rig| rig.advance(50));
            for from in (0..7).filter(|from| (tick + from) % 20 == 0) {
                (0..3).for_each(|_| self.tell(from as usize));
            }
        }
    }

    /// Each entry reads a log of its own, so that only the pins go from one to another.
    fn tell(&mut self, from: usize) {
        self.rigs[from].handle(Event::Gossip {
            to: "10.0.0.1:80".into(),
        });
        let told = std::mem::take(&mut self.rigs[from].told);
        for frame in told {
            let frame = Frame {
                heartbeats: Vec::new(),
                rules: RulesStatus::default(),
                ..frame
            };
            let to = (from + 1 + self.any() % 6) % 7;
            self.rigs[to].handle(Event::Peer(Box::new(frame)));
        }
    }

    fn any(&mut self) -> usize {
        self.rng = self
            .rng
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.rng >> 33) as usize
    }

    /// The versions that sessions get, each at some entry.
    fn ask(&mut self, sessions: std::ops::Range<usize>, round: usize) -> Vec<Arc<str>> {
        let mut versions = Vec::new();
        for session in sessions {
            let entry = self.any() % 7;
            let ask = Ask::chat(format!("{session}/{round}"), "draft")
                .in_session(&format!("id {session}"));
            versions.push(turn(&mut self.rigs[entry], &ask).0);
        }
        versions
    }
}

/// Sessions of callers' own ids that move at each step of a roll-out, and new ones that get the new version.
#[test]
fn live_sessions_stay_and_new_ones_follow_the_shares() {
    const SESSIONS: usize = 1_000;
    for keeps_ids in [true, false] {
        let mut fleet = Fleet::new(keeps_ids);
        fleet.rigs.iter_mut().for_each(|rig| publish(rig, (90, 10)));
        fleet.advance(4_000);
        let mut known = fleet.ask(0..SESSIONS, 0);
        let mut moved = Vec::new();
        let mut share = 0;
        for (step, shares) in [(75, 25), (50, 50), (25, 75)].into_iter().enumerate() {
            fleet.rigs.iter_mut().for_each(|rig| publish(rig, shares));
            let first = fleet.ask(0..SESSIONS, 10 * step + 1);
            fleet.advance(6_000);
            let second = fleet.ask(0..SESSIONS, 10 * step + 2);
            let jumps =
                |a: &[Arc<str>], b: &[Arc<str>]| a.iter().zip(b).filter(|(a, b)| a != b).count();
            moved.push(jumps(&known, &first) + jumps(&first, &second));
            known = second;
            let start = SESSIONS * (step + 1);
            let new = fleet.ask(start..start + SESSIONS, 10 * step + 3);
            share = new.iter().filter(|version| &***version == "mona@2").count();
        }
        let pins = fleet
            .rigs
            .iter()
            .map(|rig| rig.entry.state().sessions.remembered_ids())
            .max();
        println!(
            "keeps {keeps_ids}: {moved:?} of {SESSIONS} moved, {share} new ones by mona@2, {pins:?} kept at an entry"
        );
        assert_eq!(moved.iter().sum::<usize>() == 0, keeps_ids);
        assert!((700..800).contains(&share), "{share}");
    }
}
