//! Tests of membership: failure detection, suspicion, restarts, partitions and tombstones. The cost of membership at an
//! entry must not grow with the fleet.

use std::time::{Duration, SystemTime};

use crate::support::{Fleet, Size};
use comfreyroad::clock::Now;
use comfreyroad::frame::{Frame, Heartbeat};
use comfreyroad::mechanism::Mechanism;
use comfreyroad::{Action, Entry, Event, Settings};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn converged_fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new(Size {
        entries,
        ..Size::default()
    });
    fleet.run_for(MS(8_000));
    fleet
}

/// The number of other entries that list an entry as live.
fn entries_listing(fleet: &Fleet, index: usize) -> usize {
    let name = &fleet.nodes[index].settings.entry;
    let knows = |entry: &Entry| entry.state().members.view().members.contains_key(name);
    fleet
        .live()
        .filter(|(other, entry)| *other != index && knows(entry))
        .count()
}

#[test]
fn all_entries_learn_of_each_other() {
    let fleet = converged_fleet(30);
    for (_, entry) in fleet.live() {
        assert_eq!(entry.state().members.view().members.len(), 30);
    }
}

#[test]
fn a_killed_entry_is_removed_within_the_bound_and_stays_removed() {
    let mut fleet = converged_fleet(30);
    fleet.kill(3);
    fleet.run_for(MS(6_500));
    assert_eq!(entries_listing(&fleet, 3), 0);
    for _ in 0..40 {
        fleet.run_for(MS(500));
        assert_eq!(entries_listing(&fleet, 3), 0);
    }
}

#[test]
fn an_entry_with_a_short_pause_stays_a_member() {
    let mut fleet = converged_fleet(12);
    fleet.pause(5);
    fleet.run_for(MS(2_500));
    fleet.resume(5);
    for _ in 0..20 {
        fleet.run_for(MS(500));
        assert_eq!(entries_listing(&fleet, 5), 11);
    }
}

#[test]
fn an_entry_with_a_long_pause_is_removed_and_rejoins() {
    let mut fleet = converged_fleet(12);
    fleet.pause(5);
    fleet.run_for(MS(8_000));
    assert_eq!(entries_listing(&fleet, 5), 0);
    fleet.resume(5);
    fleet.run_for(MS(4_000));
    assert_eq!(entries_listing(&fleet, 5), 11);
}

#[test]
fn a_restarted_entry_replaces_its_earlier_incarnation() {
    let mut fleet = converged_fleet(12);
    fleet.kill(5);
    fleet.run_for(MS(1_000));
    fleet.start(5);
    fleet.run_for(MS(4_000));
    for (_, entry) in fleet.live() {
        let heartbeat = &entry.state().members.view().members["entry-5"];
        assert_eq!(&*heartbeat.boot, "boot-2");
    }
}

#[test]
fn membership_recovers_after_a_partition() {
    let mut fleet = converged_fleet(30);
    let pairs = (0..30).flat_map(|one| (0..30).map(move |two| (one, two)));
    fleet.cut_links.extend(
        pairs.filter(|(one, two)| one % 3 == 0 && two % 3 != 0 || one % 3 != 0 && two % 3 == 0),
    );
    fleet.run_for(MS(60_000));
    assert_eq!(entries_listing(&fleet, 0), 9);
    fleet.cut_links.clear();
    fleet.run_for(MS(20_000));
    for (_, entry) in fleet.live() {
        assert_eq!(entry.state().members.view().members.len(), 30);
    }
}

#[test]
fn a_leaving_entry_releases_its_slots_at_once() {
    let mut fleet = converged_fleet(12);
    fleet.call(4, MS(20_000));
    fleet.shut_down(4);
    fleet.run_for(MS(1_500));
    for (_, entry) in fleet.live() {
        assert!(
            !entry
                .state()
                .members
                .view()
                .slot_holders
                .contains_key("entry-4")
        );
    }
}

/// A single started entry, used only through its membership view.
fn lone_entry(disabled: Vec<Mechanism>) -> (Entry, Now) {
    let now = Now {
        instant: std::time::Instant::now(),
        system: SystemTime::UNIX_EPOCH + Duration::from_secs(1_900_000_000),
    };
    let settings = Settings {
        entry: "own".into(),
        address: "10.0.0.1:80".into(),
        disabled,
        ..Settings::default()
    };
    let mut entry = Entry::new(&settings);
    entry.handle(now, Event::Started);
    (entry, now)
}

fn heartbeat(count: u64) -> Heartbeat {
    Heartbeat {
        entry: "peer".into(),
        boot: "boot".into(),
        zone: "zone".into(),
        address: "10.0.0.2:80".into(),
        started_at: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000),
        sequence: count,
        serving: true,
        suspect: false,
    }
}

/// A frame from a third entry that relays a heartbeat.
fn relayed_frame(heartbeat: Heartbeat) -> Event {
    Event::Peer(Box::new(Frame {
        from: "third".into(),
        boot: "boot".into(),
        zone: "zone".into(),
        address: "10.0.0.3:80".into(),
        sequence: 1,
        heartbeats: vec![heartbeat],
        member_count: 3,
        ..Frame::default()
    }))
}

/// Whether a late relayed heartbeat brings a lost peer back into the view.
fn is_revived(disabled: Vec<Mechanism>, count: u64) -> bool {
    let (mut entry, mut now) = lone_entry(disabled);
    entry.handle(now, relayed_frame(heartbeat(7)));
    entry.handle(now, Event::PeerFailed("10.0.0.2:80".into()));
    for _ in 0..50 {
        now.instant += MS(100);
        entry.handle(now, Event::Tick);
    }
    assert!(!entry.state().members.view().members.contains_key("peer"));
    entry.handle(now, relayed_frame(heartbeat(count)));
    entry.state().members.view().members.contains_key("peer")
}

#[test]
fn a_late_heartbeat_does_not_revive_a_lost_peer() {
    assert!(!is_revived(vec![], 7));
    assert!(is_revived(vec![], 8));
    assert!(is_revived(vec![Mechanism::Tombstones], 7));
}

#[test]
fn an_entry_refutes_its_own_suspicion_with_a_newer_heartbeat() {
    let (mut entry, now) = lone_entry(vec![]);
    let own = entry.state().members.view().members["own"].clone();
    let accused = Heartbeat {
        sequence: own.sequence + 40,
        suspect: true,
        ..own
    };
    let accused = Heartbeat {
        started_at: now.system,
        ..accused
    };
    entry.handle(now, relayed_frame(accused.clone()));
    let exchange = 1;
    let address = "10.0.0.3:80".into();
    let actions = entry.handle(now, Event::PeerRequest { exchange, address });
    let is_answered = actions.iter().any(|action| match action {
        Action::Reply { frame, .. } => frame.heartbeats.iter().any(|it| it.is_newer_than(&accused)),
        _ => false,
    });
    assert!(is_answered);
}
