//! A session keeps its version, whether the router or the caller chose the session id.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use comfreyroad::frame::{Frame, RulesStatus};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::refusal::Code;
use comfreyroad::session::Token;
use comfreyroad::{Event, Settings};

use crate::rig::{End, Params, Rig, disabled_unless};

fn publish(rig: &mut Rig, shares: (u32, u32)) {
    let rules = Rig::rules(shares, &[]);
    rig.publish(&rules.iter().map(String::as_str).collect::<Vec<_>>());
}

/// Sends a request, answers it, and returns the version and the session token of the response.
fn turn(rig: &mut Rig, params: &Params) -> (Arc<str>, Arc<str>) {
    let call = rig.call(params);
    let attempt = rig.last_attempt(call);
    rig.answer(attempt, 1);
    // The response ends only when its bill is read back from the log; this function does not wait for that.
    let response = rig.response(call);
    let version = response
        .version
        .clone()
        .expect("the response has a version");
    (
        version,
        response
            .session
            .clone()
            .expect("the response has a session"),
    )
}

fn settings(keys: &[u8]) -> Settings {
    Settings {
        session_keys: keys.iter().map(|key| [*key; 32]).collect(),
        ..Settings::default()
    }
}

#[test]
fn a_session_token_keeps_its_version_while_shares_change() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let mut sessions = Vec::new();
    for index in 0..20 {
        sessions.push(turn(&mut rig, &Params::chat(format!("r{index}"), "draft")));
    }
    assert!(
        sessions
            .iter()
            .any(|(version, _)| *version != sessions[0].0)
    );
    publish(&mut rig, (1, 99));
    rig.advance(5_000);
    for (index, (version, token)) in sessions.iter().enumerate() {
        let params = Params::chat(format!("s{index}"), "draft").in_session(token);
        assert_eq!(turn(&mut rig, &params), (version.clone(), token.clone()));
    }
}

#[test]
fn the_old_key_verifies_and_the_new_key_signs() {
    let (version, token) = turn(
        &mut Rig::with_defaults(&settings(&[1])),
        &Params::chat("r1", "draft"),
    );
    let mut rotated = Rig::with_defaults(&settings(&[2, 1]));
    let params = Params::chat("r2", "draft").in_session(&token);
    assert_eq!(turn(&mut rotated, &params).0, version);
    let (_, sealed) = turn(&mut rotated, &Params::chat("r3", "draft"));
    assert!(Token::verify(&sealed, &[[2; 32]]).is_some());
    assert!(Token::verify(&sealed, &[[1; 32]]).is_none());
}

#[test]
fn session_tokens_expire_and_are_renewed_before_expiry() {
    let mut rig = Rig::with_defaults(&Settings::default());
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
    let (version, renewed) = turn(&mut rig, &Params::chat("r1", "draft").in_session(&old));
    assert_eq!((&*version, renewed != old), ("mona@2", true));
    let ended = seal(rig.now.system - Duration::from_secs(1));
    let (_, new) = turn(&mut rig, &Params::chat("r2", "draft").in_session(&ended));
    let token = Token::verify(&new, &[[0; 32]]).expect("the token is valid");
    assert!(token.until > rig.now.system + Duration::from_secs(3_600));
}

#[test]
fn a_token_of_another_customer_is_refused_and_a_forged_token_is_a_plain_id() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let (_, token) = turn(&mut rig, &Params::chat("r1", "draft"));
    let call = rig.call(
        &Params::chat("r2", "draft")
            .for_customer(2)
            .in_session(&token),
    );
    assert!(
        matches!(&rig.response(call).end, Some(End::Refused(refusal)) if refusal.code() == Code::BadSession)
    );
    let forged = format!("{token}x");
    let first = turn(&mut rig, &Params::chat("r3", "draft").in_session(&forged)).0;
    assert_eq!(
        turn(&mut rig, &Params::chat("r4", "draft").in_session(&forged)).0,
        first
    );
}

#[test]
fn a_withdrawn_version_moves_its_sessions_once() {
    let mut rig = Rig::with_defaults(&Settings::default());
    let params = Params::chat("r0", "draft").in_session("own id");
    let (own, _) = turn(&mut rig, &params);
    let (one, token) = loop {
        let params = Params::chat(format!("r{}", rig.responses.len()), "draft");
        let turn = turn(&mut rig, &params);
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
    let (two, moved) = turn(&mut rig, &Params::chat("s1", "draft").in_session(&token));
    assert_ne!(one, two);
    assert_eq!(rig.event_count(504), 1);
    assert_eq!(
        turn(&mut rig, &Params::chat("s2", "draft").in_session(&moved)).0,
        two
    );
    assert_eq!(
        turn(
            &mut rig,
            &Params {
                id: "s3".into(),
                ..params.clone()
            }
        )
        .0,
        two
    );
    assert_eq!(rig.event_count(504), 2);
    assert_eq!(
        turn(
            &mut rig,
            &Params {
                id: "s4".into(),
                ..params
            }
        )
        .0,
        two
    );
    assert_eq!(rig.event_count(504), 2);
}

#[test]
fn queued_calls_are_repinned_when_their_version_is_withdrawn() {
    for pins_again in [true, false] {
        let disabled = disabled_unless(pins_again, Mechanism::Repinning);
        let mut rig = Rig::with_defaults(&Settings {
            disabled,
            ..Settings::default()
        });
        let calls: Vec<u64> = (0..20)
            .map(|index| rig.call(&Params::chat(format!("r{index}"), "draft")))
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
            .expect("a call sent to mona@1");
        publish(&mut rig, (0, 100));
        // A call that was sent but has no response yet moves as well.
        let attempt = rig.last_attempt(failing);
        rig.fail(attempt);
        for _ in 0..40 {
            rig.advance(100);
            let open: Vec<u64> = rig
                .sends
                .iter()
                .filter(|send| rig.response(send.head.call).end.is_none())
                .map(|send| send.attempt)
                .collect();
            open.into_iter().for_each(|attempt| rig.answer(attempt, 1));
        }
        let finished = calls
            .iter()
            .filter(|call| rig.response(**call).end == Some(End::Finished))
            .count();
        assert_eq!(finished == calls.len(), pins_again, "{finished} finished");
    }
}

/// Several entries that gossip with each other.
struct Fleet {
    rigs: Vec<Rig>,
    rng: u64,
}

impl Fleet {
    fn new(keeps_ids: bool) -> Self {
        let rig = |index: usize| {
            let disabled = disabled_unless(keeps_ids, Mechanism::StickyIds);
            Rig::with_defaults(&Settings {
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
                (0..3).for_each(|_| self.gossip(from as usize));
            }
        }
    }

    /// Sends the gossip frames of one entry to random others. Each entry reads its own log, so heartbeats and the rules
    /// status are removed and only session pins are exchanged.
    fn gossip(&mut self, from: usize) {
        self.rigs[from].handle(Event::Gossip {
            to: "10.0.0.1:80".into(),
        });
        let frames = std::mem::take(&mut self.rigs[from].sent_frames);
        for frame in frames {
            let frame = Frame {
                heartbeats: Vec::new(),
                rules: RulesStatus::default(),
                ..frame
            };
            let to = (from + 1 + self.random() % 6) % 7;
            self.rigs[to].handle(Event::Peer(Box::new(frame)));
        }
    }

    fn random(&mut self) -> usize {
        self.rng = self
            .rng
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.rng >> 33) as usize
    }

    /// Sends one request for each session to a random entry and returns the versions that answered.
    fn send_requests(&mut self, sessions: std::ops::Range<usize>, round: usize) -> Vec<Arc<str>> {
        let mut versions = Vec::new();
        for session in sessions {
            let entry = self.random() % 7;
            let params = Params::chat(format!("{session}/{round}"), "draft")
                .in_session(&format!("id {session}"));
            versions.push(turn(&mut self.rigs[entry], &params).0);
        }
        versions
    }
}

/// Guards against sessions with caller-chosen ids that change version at a rollout step: their version is derived from
/// the shares unless the entries remember and exchange it. New sessions still follow the new shares.
#[test]
fn live_sessions_keep_their_version_and_new_ones_follow_the_shares() {
    const SESSIONS: usize = 1_000;
    for keeps_ids in [true, false] {
        let mut fleet = Fleet::new(keeps_ids);
        fleet.rigs.iter_mut().for_each(|rig| publish(rig, (90, 10)));
        fleet.advance(4_000);
        let mut known = fleet.send_requests(0..SESSIONS, 0);
        let mut moved = Vec::new();
        let mut share = 0;
        for (step, shares) in [(75, 25), (50, 50), (25, 75)].into_iter().enumerate() {
            fleet.rigs.iter_mut().for_each(|rig| publish(rig, shares));
            let first = fleet.send_requests(0..SESSIONS, 10 * step + 1);
            fleet.advance(6_000);
            let second = fleet.send_requests(0..SESSIONS, 10 * step + 2);
            let jumps =
                |a: &[Arc<str>], b: &[Arc<str>]| a.iter().zip(b).filter(|(a, b)| a != b).count();
            moved.push(jumps(&known, &first) + jumps(&first, &second));
            known = second;
            let start = SESSIONS * (step + 1);
            let new = fleet.send_requests(start..start + SESSIONS, 10 * step + 3);
            share = new.iter().filter(|version| &***version == "mona@2").count();
        }
        let pins = fleet
            .rigs
            .iter()
            .map(|rig| rig.entry.state().sessions.remembered_ids())
            .max();
        println!(
            "keeps ids {keeps_ids}: {moved:?} of {SESSIONS} sessions moved, {share} new sessions on mona@2, at most {pins:?} ids remembered at an entry"
        );
        assert_eq!(moved.iter().sum::<usize>() == 0, keeps_ids);
        assert!((700..800).contains(&share), "{share}");
    }
}
