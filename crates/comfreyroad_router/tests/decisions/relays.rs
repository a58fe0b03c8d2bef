//! Zones with many entries: a few relays read the store and gossip; the other entries receive their frames.

use std::time::Duration;

use comfreyroad_router::answer::{Completion, Fault};
use comfreyroad_router::controller::members::Fleet;
use comfreyroad_router::frame::{Frame, Progress};
use comfreyroad_router::record::{Content, Record, Topic};
use comfreyroad_router::rollout::{Order, State, Status};
use comfreyroad_router::upstream::{Registration, Stage};
use comfreyroad_router::{Action, Event};

use super::rig::{MS, Rig, SECOND, configuration_content, frame, head, peer, registration};

/// Number of entries in the zone.
const ENTRIES: usize = 12;

fn name(number: usize) -> String {
    format!("near{number}")
}

/// A frame from an entry of the zone that lists all its entries with a heartbeat.
fn gossip(from: &str, heartbeat: u64) -> Frame {
    let mut incoming = frame(from);
    incoming.sender = peer(from, "a");
    incoming.sender.heartbeat = heartbeat;
    let peers = (0..ENTRIES).map(name).map(|it| peer(&it, "a"));
    incoming.peers = peers.collect();
    for peer in &mut incoming.peers {
        peer.heartbeat = heartbeat;
    }
    incoming
}

/// The first entry of the zone that is or is not a relay, which knows all the others, and the names of the other relays.
fn zone(is_relay: bool) -> (Rig, Vec<String>) {
    for number in 0..ENTRIES {
        let own = name(number);
        let mut rig = Rig::serving(&own);
        rig.receive(gossip(&name((number + 1) % ENTRIES), 2));
        let fleet: Fleet = rig.router.state().members.fleet().as_ref().clone();
        assert_eq!(fleet.entries.len(), ENTRIES);
        if fleet.is_relay(&own) == is_relay {
            let relays = fleet.relays().map(|it| it.entry.to_string());
            return (rig, relays.filter(|it| *it != own).collect());
        }
    }
    panic!("no such entry");
}

/// Lets time pass while the relays take turns to send a frame every 500 ms, which reports that they read the store.
fn run_with_relays(rig: &mut Rig, relays: &[String], time: Duration) {
    for round in 0..time.as_millis() / 500 {
        rig.run_for(500 * MS);
        let from = &relays[round as usize % relays.len()];
        let mut frame = gossip(
            from,
            10 + rig.now.instant.elapsed().as_millis() as u64 + round as u64,
        );
        frame.store_answer_age = Some(Duration::ZERO);
        rig.receive(frame);
    }
}

fn reads(rig: &Rig) -> usize {
    let is_read = |it: &&Action| matches!(it, Action::Read { .. } | Action::List(..));
    rig.actions.iter().filter(is_read).count()
}

/// Answers the reads that were started before the entry knew its zone.
fn answer_reads(rig: &mut Rig) {
    for topic in [Topic::Operator, Topic::Upstreams, Topic::Status] {
        let Some(call) = rig.pending_call(topic) else {
            continue;
        };
        let next = rig.offset + 1;
        let records = Vec::new();
        rig.raise(Event::TopicRead {
            topic,
            call,
            records,
            next,
        });
    }
}

#[test]
fn all_entries_agree_on_the_relays_of_each_zone() {
    let (first, mut relays) = zone(false);
    relays.sort();
    assert_eq!(relays.len(), 2);
    let (second, other) = zone(true);
    let second = second.router.state().members.fleet();
    assert_eq!(other.len(), 1);
    assert!(relays.iter().all(|relay| second.is_relay(relay)));
    // Another zone has relays of its own.
    let mut rig = first;
    let mut far = gossip("near1", 3);
    far.peers
        .extend((0..3).map(|it| peer(&format!("far{it}"), "z")));
    rig.receive(far);
    let fleet = rig.router.state().members.fleet();
    assert_eq!(fleet.relays().filter(|it| &*it.zone == "z").count(), 2);
}

/// Regression (scenario without faults, 67 entries): bookings were late at the few entries that were relays on an eighth
/// of a core.
#[test]
fn relays_run_on_the_largest_vms_of_a_zone() {
    let mut rig = Rig::serving("near0");
    let mut incoming = gossip("near1", 2);
    for (number, peer) in incoming.peers.iter_mut().enumerate() {
        peer.millicores = if number % 5 == 3 { 500 } else { 120 };
    }
    rig.receive(incoming);
    let fleet = rig.router.state().members.fleet();
    let mut relays: Vec<&str> = fleet.relays().map(|it| &*it.entry).collect();
    relays.sort_unstable();
    // The entry itself has a full core.
    assert_eq!(relays.len(), 2);
    assert!(relays.contains(&"near0"), "{relays:?}");
    assert!(["near3", "near8"].contains(&relays[1]), "{relays:?}");
}

/// Regression (first run with 66 entries): every entry read every topic, which cost a ninth of the run's score.
#[test]
fn an_entry_reads_the_store_only_while_no_relay_keeps_it_up_to_date() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, SECOND);
    answer_reads(&mut rig);
    rig.actions.clear();
    run_with_relays(&mut rig, &relays, 10 * SECOND);
    assert_eq!(reads(&rig), 0);
    rig.run_for(2 * SECOND);
    assert!(reads(&rig) > 0, "the relays have fallen silent");
}

#[test]
fn an_entry_does_not_rely_on_a_relay_that_the_store_does_not_answer() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, SECOND);
    answer_reads(&mut rig);
    rig.actions.clear();
    for heartbeat in 0..6 {
        rig.run_for(500 * MS);
        rig.receive(gossip(&relays[heartbeat % 2], 100 + heartbeat as u64));
    }
    assert!(reads(&rig) > 0);
}

#[test]
fn entries_contact_the_relays_of_their_zone_in_turn_and_report_only_themselves() {
    let (mut rig, relays) = zone(false);
    rig.actions.clear();
    run_with_relays(&mut rig, &relays, 4 * SECOND);
    let mut contacted: Vec<String> = Vec::new();
    for action in &rig.actions {
        let Action::Gossip { to, frame } = action else {
            continue;
        };
        assert!(frame.peers.is_empty());
        contacted.push(to.to_string());
    }
    for relay in &relays {
        let count = contacted
            .iter()
            .filter(|it| **it == format!("{relay}:7340"))
            .count();
        assert!(
            (3..=5).contains(&count),
            "{relay} contacted {count} times in 4 s"
        );
    }
}

#[test]
fn a_relay_forwards_changes_at_once_and_no_renewals() {
    let (mut rig, _) = zone(true);
    let mut query = gossip("near1", 5);
    query.sender.entry = "far1".into();
    query.sender.address = "far1:7340".into();
    let renewed = Registration {
        sequence: 2,
        ..registration("v1")
    };
    query.next_offsets.insert(Topic::Upstreams, rig.offset + 1);
    rig.read(Topic::Upstreams, "u1", Content::Upstream(Box::new(renewed)));
    let (answer, _) = rig.router.exchange(rig.now, query.clone());
    assert!(answer.records.is_empty(), "{:?}", answer.records);
    assert_eq!(
        answer.complete_up_to.get(&Topic::Upstreams),
        Some(&(rig.offset + 1))
    );
    let draining = Registration {
        sequence: 3,
        stage: Stage::Draining,
        ..registration("v1")
    };
    rig.read(
        Topic::Upstreams,
        "u1",
        Content::Upstream(Box::new(draining)),
    );
    let (answer, _) = rig.router.exchange(rig.now, query);
    assert_eq!(answer.records.len(), 1);
}

/// Renewals are not forwarded, so only the entry that reads a late registration can compare it with the newest one.
#[test]
fn a_late_registration_of_a_removed_upstream_is_not_forwarded() {
    let (mut rig, _) = zone(true);
    for sequence in 2..5 {
        let renewed = Registration {
            sequence,
            ..registration("v1")
        };
        rig.read(Topic::Upstreams, "u1", Content::Upstream(Box::new(renewed)));
    }
    rig.read(Topic::Upstreams, "u1", Content::Removed);
    let late = Registration {
        sequence: 3,
        ..registration("v1")
    };
    rig.read(Topic::Upstreams, "u1", Content::Upstream(Box::new(late)));
    let mut query = frame("far1");
    query.next_offsets.insert(Topic::Upstreams, 1);
    let (answer, _) = rig.router.exchange(rig.now, query);
    let forwarded = answer.records.iter().filter(|(_, it)| &*it.key == "u1");
    let forwarded: Vec<&Content> = forwarded.map(|(_, it)| &it.content).collect();
    assert_eq!(forwarded, [&Content::Removed]);
}

fn order() -> Order {
    Order {
        pool: "pool".into(),
        target: "v2".into(),
        duration: 20 * SECOND,
    }
}

/// An entry that is not a relay, on which a rollout was just ordered.
fn with_rollout() -> (Rig, Vec<String>) {
    let (mut rig, relays) = zone(false);
    let upstream = Content::Upstream(Box::new(registration("v2")));
    rig.read(Topic::Upstreams, "n1", upstream);
    rig.read(Topic::Operator, "rollout/pool", Content::Rollout(order()));
    (rig, relays)
}

/// Percentage of new requests that go to the new version.
fn target_percent(rig: &mut Rig, from: u64) -> usize {
    let mut new = 0;
    for number in from..from + 100 {
        let sent = rig.send(head(rig.now, "again", &format!("r{number}")));
        new += usize::from(sent.is_some_and(|it| &*it.stage().slot.version == "v2"));
    }
    new
}

#[test]
fn an_entry_without_a_quorum_of_counts_follows_the_share_that_relays_report() {
    let (mut rig, relays) = with_rollout();
    let progress = |rig: &Rig, share: f64| Progress {
        pool: "pool".into(),
        order_offset: rig.offset,
        age: 5 * SECOND,
        is_target_bad: false,
        trial_share: Some(0.02),
        target_share: Some(share),
    };
    run_with_relays(&mut rig, &relays, 12 * SECOND);
    // More than half of the duration has passed. By its own counts alone the entry could cut over, as the slack is that of
    // the whole fleet.
    let new = target_percent(&mut rig, 0);
    assert!(new < 30, "{new} of 100 before a relay reports");
    let mut frame = gossip(&relays[0], 100_000);
    frame.rollouts.push(progress(&rig, 1.0));
    rig.receive(frame);
    rig.run_for(200 * MS);
    assert_eq!(target_percent(&mut rig, 1000), 100);
}

/// Regression (four of 66 entries found a version bad by two answers of their own): one such entry rolls back the whole fleet.
#[test]
fn an_entry_without_a_quorum_of_counts_finds_no_version_bad_by_a_few_answers() {
    let (mut rig, relays) = with_rollout();
    run_with_relays(&mut rig, &relays, 17 * SECOND);
    for number in 0..60 {
        rig.advance(10 * MS);
        let sent = rig.send(head(rig.now, "once", &format!("good{number}")));
        let completion = Completion {
            is_success: true,
            events: 0,
            first_event_after: None,
            service_time: None,
        };
        rig.router.on_finished(rig.now, &sent.unwrap(), completion);
    }
    let mut frame = gossip(&relays[0], 100_000);
    frame.rollouts.push(Progress {
        pool: "pool".into(),
        order_offset: rig.offset,
        age: 18 * SECOND,
        is_target_bad: false,
        trial_share: Some(0.02),
        target_share: Some(1.0),
    });
    rig.receive(frame);
    rig.run_for(200 * MS);
    for number in 0..6 {
        let sent = rig.send(head(rig.now, "once", &format!("once{number}")));
        let failed = rig.router.on_failed(rig.now, sent.unwrap(), Fault::Failed);
        assert!(failed.is_err(), "it may not be retried");
        rig.run_for(200 * MS);
    }
    assert_eq!(target_percent(&mut rig, 0), 100);
}

/// Regression (126 of 614 requests reached a bad version while packets passed one way only): entries without a quorum all cut over
/// at the last moment, without an answer that spoke for the version.
#[test]
fn an_entry_without_a_quorum_of_counts_neither_cuts_over_nor_rolls_back_by_itself() {
    for seconds in [4, 12, 18, 19, 20] {
        let (mut rig, relays) = with_rollout();
        run_with_relays(&mut rig, &relays, seconds * SECOND);
        let new = target_percent(&mut rig, 0);
        assert!(new < 30, "{new} of 100 after {seconds} s");
        let state = rig.router.state().rollouts.states().next();
        assert_ne!(state.and_then(|(.., state)| state), Some(State::RolledBack));
    }
    let (mut rig, relays) = with_rollout();
    run_with_relays(&mut rig, &relays, 22 * SECOND);
    let status = Status {
        pool: "pool".into(),
        target: "v2".into(),
        state: State::Completed,
        order_offset: rig.router.state().rollouts.states().next().unwrap().1,
        withdrawn: Vec::new(),
    };
    let record = Record {
        offset: rig.offset + 1,
        key: "rollout/pool".into(),
        content: Content::Status(status),
    };
    let mut frame = gossip(&relays[0], 200_000);
    frame.records.push((Topic::Status, record));
    rig.receive(frame);
    rig.run_for(200 * MS);
    assert_eq!(target_percent(&mut rig, 100_000), 100);
}

#[test]
fn a_configuration_reaches_an_entry_through_a_relay() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, 2 * SECOND);
    let mut frame = gossip(&relays[0], 100_000);
    frame.store_answer_age = Some(Duration::ZERO);
    let record = Record {
        offset: rig.offset + 1,
        key: "config".into(),
        content: configuration_content(9),
    };
    frame.records.push((Topic::Operator, record));
    frame.complete_up_to.insert(Topic::Operator, rig.offset + 2);
    rig.receive(frame);
    let active = rig.router.state().configuration.active();
    assert_eq!(active.map(|it| it.generation), Some(9));
}

/// Regression (scenario scale-1 of the larger Inkwell deployment): with 90 engines, a rollout of 90 more and 62 replaced
/// ones, more records had changed than a frame holds. Nothing was forwarded then, and an entry sent a request to an
/// engine 3.2 s after it had left.
#[test]
fn an_entry_that_lacks_more_records_than_a_frame_holds_catches_up_frame_by_frame() {
    let (mut rig, _) = zone(true);
    rig.run_for(SECOND);
    let from = rig.offset + 1;
    let call = rig
        .pending_call(Topic::Upstreams)
        .expect("a read is active");
    let record = |number: u64| Record {
        offset: from + number,
        key: format!("many{number}").into(),
        content: Content::Upstream(Box::new(registration("v1"))),
    };
    rig.raise(Event::TopicRead {
        topic: Topic::Upstreams,
        call,
        records: (0..600).map(record).collect(),
        next: from + 600,
    });
    let fleet = rig.router.state().members.fleet();
    let other = (0..ENTRIES).map(name).find(|it| !fleet.is_relay(it));
    let mut query = gossip(&other.expect("most are no relays"), 5);
    let (mut next, mut learned, mut frames) = (from, 0, 0);
    while next < from + 600 && frames < 10 {
        query.next_offsets.insert(Topic::Upstreams, next);
        let (answer, _) = rig.router.exchange(rig.now, query.clone());
        let records = answer.records.iter();
        let records: Vec<u64> = records.map(|(_, record)| record.offset).collect();
        assert!(records.len() <= 256);
        learned += records.len();
        next = answer.complete_up_to[&Topic::Upstreams];
        assert!(records.iter().all(|offset| *offset < next));
        frames += 1;
    }
    assert_eq!((next, learned, frames), (from + 600, 600, 3));
}

#[test]
fn an_entry_that_lags_behind_its_relays_reads_the_store_itself() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, SECOND);
    answer_reads(&mut rig);
    rig.actions.clear();
    for heartbeat in 0..8 {
        rig.run_for(500 * MS);
        let mut frame = gossip(&relays[heartbeat % 2], 100_000 + heartbeat as u64);
        frame.store_answer_age = Some(Duration::ZERO);
        frame
            .next_offsets
            .insert(Topic::Upstreams, rig.offset + 1000);
        rig.receive(frame);
    }
    assert!(reads(&rig) > 0);
}

/// The offsets of the records that a relay sends to another relay, which lacks the records from an offset on and reads the
/// store or not, and the offset up to which they are complete.
fn forward(rig: &mut Rig, from: u64, reads_store: bool) -> (Vec<u64>, Option<u64>) {
    let mut query = frame("far1");
    query.store_answer_age = reads_store.then_some(Duration::ZERO);
    query.next_offsets.insert(Topic::Upstreams, from);
    let (answer, _) = rig.router.exchange(rig.now, query);
    let records = answer.records.iter().map(|(_, record)| record.offset);
    let complete = answer.complete_up_to.get(&Topic::Upstreams).copied();
    (records.collect(), complete)
}

/// Regression (scenario scale-2 of the larger Tahtiaskel deployment): the store rejected a third of the entries,
/// including both relays of a zone, while engines were replaced one after the other. The relays of another zone
/// forwarded nothing while any record was recent, and a request reached an engine 3.2 s after it had left.
#[test]
fn a_recent_record_does_not_hold_back_older_ones() {
    let (mut rig, _) = zone(true);
    rig.run_for(SECOND);
    let from = rig.offset + 1;
    for number in 0..20 {
        let call = rig
            .pending_call(Topic::Upstreams)
            .expect("a read is active");
        rig.offset += 1;
        let record = Record {
            offset: rig.offset,
            key: format!("new{number}").into(),
            content: Content::Upstream(Box::new(registration("v1"))),
        };
        let (records, next) = (vec![record], rig.offset + 1);
        rig.raise(Event::TopicRead {
            topic: Topic::Upstreams,
            call,
            records,
            next,
        });
        rig.run_for(SECOND);
        rig.raise(Event::Tick);
    }
    rig.read(
        Topic::Upstreams,
        "newest",
        Content::Upstream(Box::new(registration("v1"))),
    );
    let newest = rig.offset;
    let (records, complete) = forward(&mut rig, from, true);
    assert_eq!((records.len(), complete), (20, Some(newest)));
}

#[test]
fn records_are_forwarded_at_once_to_a_relay_that_does_not_read_the_store() {
    let (mut rig, _) = zone(true);
    let from = rig.offset + 1;
    rig.read(Topic::Upstreams, "u1", Content::Removed);
    assert_eq!(forward(&mut rig, from, true).0, [0; 0]);
    assert_eq!(forward(&mut rig, from, false).0, [rig.offset]);
}

#[test]
fn an_urgent_record_brings_a_relay_s_next_round_forward() {
    let rounds = |is_urgent: bool| {
        let (mut rig, _) = zone(true);
        rig.run_for(SECOND);
        let mut gossip = 0;
        for number in 0..20 {
            if let Some(call) = rig.pending_call(Topic::Upstreams) {
                rig.offset += 1;
                let content = if is_urgent {
                    Content::Removed
                } else {
                    Content::Upstream(Box::new(registration("v1")))
                };
                let record = Record {
                    offset: rig.offset,
                    key: format!("key{number}").into(),
                    content,
                };
                let (records, next) = (vec![record], rig.offset + 1);
                rig.actions.clear();
                rig.raise(Event::TopicRead {
                    topic: Topic::Upstreams,
                    call,
                    records,
                    next,
                });
            }
            rig.run_for(100 * MS);
            let is_gossip = |it: &&Action| matches!(it, Action::Gossip { .. });
            gossip += rig.actions.iter().filter(is_gossip).count();
            rig.actions
                .retain(|it| !matches!(it, Action::Gossip { .. }));
        }
        gossip
    };
    let (usual, urgent) = (rounds(false), rounds(true));
    assert!(
        urgent > usual,
        "{urgent} with urgent records, {usual} without"
    );
    assert!(urgent <= 30, "{urgent} in two seconds");
}

#[test]
fn the_next_relay_is_contacted_soon_if_one_does_not_answer() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, 2 * SECOND);
    rig.run_for(500 * MS);
    let last_contacted = |rig: &Rig| {
        let last = rig.actions.iter().rev().find_map(|it| match it {
            Action::Gossip { to, .. } => Some(to.clone()),
            _ => None,
        });
        last.expect("a relay is contacted")
    };
    let first = last_contacted(&rig);
    rig.raise(Event::PeerFailed(first.clone()));
    rig.run_for(200 * MS);
    assert_ne!(last_contacted(&rig), first);
}

/// Regression (a request reached an engine 2.9 s after it had left): a relay that starts lists the upstreams and never learns of
/// those that were removed before. It told an entry that lacked such a removal that it knew everything.
#[test]
fn a_relay_brings_no_entry_past_removals_from_before_its_own_listing() {
    let mut entry = Rig::serving("e1");
    let known = entry
        .router
        .state()
        .subscriptions
        .next_offset(Topic::Upstreams);
    // Upstream u1 is removed, and another entry of the zone starts.
    let mut relay = Rig::empty("e2");
    relay.offset = 10;
    relay.list(Topic::Operator, vec![("config", configuration_content(1))]);
    let remaining = Content::Upstream(Box::new(registration("v1")));
    relay.list(Topic::Upstreams, vec![("u2", remaining)]);
    relay.list(Topic::Status, Vec::new());
    for _ in 0..3 {
        let (outgoing, _) = entry.router.exchange(entry.now, frame("e3"));
        let mut outgoing = outgoing;
        outgoing.sender = peer("e1", "a");
        let (reply, _) = relay.router.exchange(relay.now, outgoing);
        entry.receive(reply);
    }
    let subscriptions = &entry.router.state().subscriptions;
    assert_eq!(subscriptions.next_offset(Topic::Upstreams), known);
    // An entry that knows nothing yet lacks no removal.
    let mut started = Rig::empty("e4");
    let mut outgoing = frame("e4");
    outgoing.next_offsets = Topic::ALL.map(|topic| (topic, 0)).into();
    let (reply, _) = relay.router.exchange(relay.now, outgoing);
    started.receive(reply);
    let subscriptions = &started.router.state().subscriptions;
    assert!(subscriptions.next_offset(Topic::Upstreams) > known);
}

/// As above: a peer that has not heard of the removal yet forwards the registration to an entry that has just started and will not
/// read the removal, which is from before its listing.
#[test]
fn a_registration_from_before_the_listing_does_not_bring_a_removed_upstream_back() {
    let mut started = Rig::empty("e2");
    started.offset = 10;
    started.list(Topic::Operator, vec![("config", configuration_content(1))]);
    let upstream = || Content::Upstream(Box::new(registration("v1")));
    started.list(Topic::Upstreams, vec![("u2", upstream())]);
    started.list(Topic::Status, Vec::new());
    let mut old = frame("e1");
    let record = |offset, key: &str| Record {
        offset,
        key: key.into(),
        content: upstream(),
    };
    old.records = vec![
        (Topic::Upstreams, record(2, "u1")),
        (Topic::Upstreams, record(30, "u3")),
    ];
    started.receive(old);
    assert!(!has_removed_upstream(&started));
    let mut known = started.router.state().upstreams.all();
    assert!(known.any(|it| &*it.id == "u3"));
}

/// As above: after a restart under the same address, relays still had the position of the entry's last process and sent only what
/// was newer. The entry took that for all there was, and passed it on.
#[test]
fn an_entry_that_has_restarted_does_not_take_the_changes_for_its_last_process_as_all() {
    let mut started = Rig::empty("e1");
    let mut stale = frame("e2");
    stale.complete_from.insert(Topic::Upstreams, 4);
    stale.complete_up_to.insert(Topic::Upstreams, 8);
    started.receive(stale.clone());
    let next = |rig: &Rig| {
        let subscriptions = &rig.router.state().subscriptions;
        subscriptions.next_offset(Topic::Upstreams)
    };
    assert_eq!(next(&started), None);
    stale.complete_from.insert(Topic::Upstreams, 0);
    started.receive(stale);
    assert_eq!(next(&started), Some(8));
}

/// As above, for an entry whose position the store has expired: it knows upstreams that its peers have never heard of.
#[test]
fn an_entry_whose_position_has_expired_lists_the_topic_itself() {
    let mut entry = Rig::serving("e1");
    entry.run_for(SECOND);
    let call = entry.pending_call(Topic::Upstreams).unwrap();
    entry.raise(Event::RecordsExpired(Topic::Upstreams, call));
    let mut snapshot = frame("e2");
    let record = Record {
        offset: 11,
        key: "u2".into(),
        content: Content::Upstream(Box::new(registration("v1"))),
    };
    snapshot.records.push((Topic::Upstreams, record));
    snapshot.complete_up_to.insert(Topic::Upstreams, 12);
    entry.receive(snapshot);
    // The listing that was under way fails.
    let call = entry.pending_call(Topic::Upstreams).unwrap();
    entry.raise(Event::StoreFailed(Topic::Upstreams, call));
    entry.run_for(2 * SECOND);
    let call = entry.pending_call(Topic::Upstreams);
    let is_listing =
        |action: &Action| matches!(action, Action::List(Topic::Upstreams, id) if Some(*id) == call);
    assert!(entry.actions.iter().any(is_listing));
    entry.offset = 10;
    let remaining = Content::Upstream(Box::new(registration("v1")));
    entry.list(Topic::Upstreams, vec![("u2", remaining)]);
    // The registration may have lapsed while the store was lost.
    entry.run_for(3 * SECOND);
    assert!(!has_removed_upstream(&entry));
}

/// A relay's frame with the removal of upstream `u1`, which reports the grace period after an outage.
fn removal_after_outage(rig: &Rig, relay: &str, grace: Duration) -> Frame {
    let mut frame = gossip(relay, 100_000);
    frame.store_answer_age = Some(Duration::ZERO);
    frame.registration_grace = grace;
    let record = Record {
        offset: rig.offset + 1,
        key: "u1".into(),
        content: Content::Removed,
    };
    frame.records.push((Topic::Upstreams, record));
    frame
}

fn has_removed_upstream(rig: &Rig) -> bool {
    let mut known = rig.router.state().upstreams.all();
    known.any(|it| &*it.id == "u1")
}

/// An entry that relies on relays does not notice a short outage of the store, during which registrations lapse.
#[test]
fn a_removal_read_by_a_relay_just_after_an_outage_may_be_a_lapse_for_other_entries_too() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, 2 * SECOND);
    // The store answers no relay.
    for heartbeat in 50_000..50_005 {
        rig.run_for(500 * MS);
        rig.receive(gossip(&relays[0], heartbeat));
    }
    let removal = removal_after_outage(&rig, &relays[0], 2 * SECOND);
    rig.receive(removal);
    assert!(has_removed_upstream(&rig));
    rig.run_for(3 * SECOND);
    assert!(!has_removed_upstream(&rig));
}

/// A relay that comes back from a partition cannot tell it from an outage of the store. Its zone took over its grace period and
/// kept on using engines that had left, though another relay had read the store all the while.
#[test]
fn a_relay_back_from_a_partition_does_not_hold_removals_back_for_its_zone() {
    let (mut rig, relays) = zone(false);
    run_with_relays(&mut rig, &relays, 4 * SECOND);
    rig.run_for(500 * MS);
    let removal = removal_after_outage(&rig, &relays[0], 2_400 * MS);
    rig.receive(removal);
    assert!(!has_removed_upstream(&rig));
}
