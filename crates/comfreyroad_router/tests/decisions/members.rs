use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::{Action, Event};

use super::rig::{Rig, SECOND, frame, peer};

fn live(rig: &Rig) -> Vec<String> {
    let fleet = rig.router.state().members.fleet();
    let mut names: Vec<String> = fleet
        .entries
        .iter()
        .map(|it| it.entry.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn a_peer_is_live_while_its_heartbeat_increases() {
    let mut rig = Rig::serving("e1");
    for heartbeat in 1..10 {
        let mut incoming = frame("e2");
        incoming.sender.heartbeat = heartbeat;
        rig.receive(incoming);
        rig.run_for(SECOND);
    }
    assert_eq!(live(&rig), ["e1", "e2"]);
    // An unchanged heartbeat that others forward does not keep a peer live.
    for _ in 0..4 {
        let mut incoming = frame("e3");
        incoming.sender.heartbeat += 1;
        let mut old = peer("e2", "b");
        old.heartbeat = 9;
        incoming.peers.push(old);
        rig.receive(incoming);
        rig.run_for(SECOND);
    }
    assert!(!live(&rig).contains(&"e2".to_owned()));
}

#[test]
fn an_entry_without_heartbeats_counts_as_possibly_serving() {
    let mut rig = Rig::serving("e1");
    for name in ["e2", "e3"] {
        rig.receive(frame(name));
    }
    assert_eq!(rig.router.state().members.fleet().possibly_serving, 3);
    rig.run_for(5 * SECOND);
    assert_eq!(live(&rig), ["e1"]);
    assert_eq!(rig.router.state().members.fleet().possibly_serving, 3);
    rig.run_for(30 * SECOND);
    assert_eq!(live(&rig), ["e1"]);
}

#[test]
fn registered_entries_are_contacted() {
    let mut rig = Rig::serving("e1");
    rig.list(
        Topic::Entries,
        vec![("e9", Content::Entry(peer("e9", "c")))],
    );
    assert_eq!(live(&rig), ["e1"]);
    rig.actions.clear();
    rig.run_for(3 * SECOND);
    let contacted = rig
        .actions
        .iter()
        .any(|it| matches!(it, Action::Gossip { to, .. } if &**to == "e9:7340"));
    assert!(contacted);
    rig.raise(Event::PeerFailed("e9:7340".into()));
    assert_eq!(live(&rig), ["e1"]);
}
