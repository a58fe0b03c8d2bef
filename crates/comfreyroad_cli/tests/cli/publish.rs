//! Tests of `publish` against a log service that loses responses and against operators who publish concurrently.

use std::path::PathBuf;

use crate::support::{Fake, Fault, State, run_command};
use comfreyroad::record::Record;
use comfreyroad_cli::Exit;

fn text(after: u64, zone: &str) -> String {
    format!("format 1 after {after} # asked by ada\nzone {zone} state=in # asked by ada\n")
}

fn publish(by: &str, after: u64) -> Record {
    Record::Publish {
        by: by.into(),
        after,
        text: text(after, by).into(),
    }
}

/// A temporary file, removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("a file");
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Publishes a file based on generation 1, which ada published. Returns the exit status, the output and the number of
/// records on the rules stream.
fn run(name: &str, faults: Vec<Fault>, flags: &str) -> (Exit, String, usize) {
    let fake = Fake::start(State {
        rules: vec![publish("ada", 0)],
        faults,
        ..State::default()
    });
    let file = File::new(name, &text(1, "b"));
    let path = file.0.display();
    let (exit, out, err) = run_command(&format!(
        "publish {path} --log {} --by bo {flags}",
        fake.address
    ));
    let count = fake.state.lock().expect("the state").rules.len();
    (exit, out + &err, count)
}

#[test]
fn an_accepted_file_gets_the_next_generation() {
    let (exit, out, _) = run("accepted.rules", vec![], "");
    assert_eq!(exit, Exit::Ok, "{out}");
    assert!(out.starts_with("accepted as generation 2\n"), "{out}");
}

#[test]
fn a_lost_response_does_not_publish_twice() {
    let (exit, out, count) = run("lost.rules", vec![Fault::Lost], "");
    assert_eq!((exit, count), (Exit::Ok, 2), "{out}");
    assert!(out.starts_with("accepted as generation 2\n"), "{out}");
}

#[test]
fn an_append_that_was_not_stored_is_retried() {
    let (exit, out, count) = run("again.rules", vec![Fault::Refused, Fault::Dropped], "");
    assert_eq!((exit, count), (Exit::Ok, 2), "{out}");
}

#[test]
fn an_outage_fails_at_the_deadline_and_reports_whether_the_outcome_is_known() {
    let flags = "--timeout-ms 700";
    let (exit, out, count) = run("outage.rules", vec![Fault::Refused; 99], flags);
    assert_eq!((exit, count), (Exit::Unreachable, 1), "{out}");
    assert!(
        out.contains("append: 127.0.0.1:") && out.contains("503"),
        "{out}"
    );
    let (exit, out, _) = run("unclear.rules", vec![Fault::Dropped; 99], flags);
    assert_eq!(exit, Exit::Unreachable, "{out}");
    assert!(out.contains("not known whether the log stored it"), "{out}");
}

#[test]
fn the_loser_of_a_race_gets_the_winner_reported() {
    let (exit, out, _) = run("race.rules", vec![Fault::Overtaken(publish("cy", 1))], "");
    assert_eq!(exit, Exit::Refused);
    assert_eq!(
        out,
        "refused: lost to generation 2, published by cy at 1970-01-01T00:00:01.000Z\n"
    );
}

#[test]
fn a_file_based_on_an_old_generation_is_not_appended() {
    let fake = Fake::start(State {
        rules: vec![publish("ada", 0), publish("cy", 1), publish("cy", 2)],
        ..State::default()
    });
    let file = File::new("old.rules", &text(1, "b"));
    let line = format!(
        "publish {} --log {} --by bo",
        file.0.display(),
        fake.address
    );
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Refused);
    assert!(
        out.contains("generation 3 is in force, published by cy at 1970"),
        "{out}"
    );
    assert_eq!(fake.state.lock().expect("the state").appends, 0);
}

#[test]
fn a_second_run_of_the_same_publish_does_not_append_again() {
    let fake = Fake::start(State {
        rules: vec![publish("ada", 0)],
        ..State::default()
    });
    let file = File::new("second.rules", &text(1, "b"));
    let line = format!(
        "publish {} --log {} --by bo",
        file.0.display(),
        fake.address
    );
    run_command(&line);
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Ok, "{out}");
    assert_eq!(fake.state.lock().expect("the state").appends, 1);
}

#[test]
fn an_equal_publish_that_came_too_early_does_not_decide_this_one() {
    let early = Record::Publish {
        by: "bo".into(),
        after: 1,
        text: text(1, "b").into(),
    };
    let fake = Fake::start(State {
        rules: vec![early, publish("ada", 0)],
        faults: vec![Fault::Dropped],
        ..State::default()
    });
    let file = File::new("early.rules", &text(1, "b"));
    let line = format!(
        "publish {} --log {} --by bo",
        file.0.display(),
        fake.address
    );
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Ok, "{out}");
    assert!(out.starts_with("accepted as generation 2\n"), "{out}");
}

#[test]
fn a_file_with_faults_is_not_published() {
    let fake = Fake::start(State::default());
    let file = File::new("faults.rules", "zone a state=off # asked by ada\n");
    let line = format!(
        "publish {} --log {} --by bo",
        file.0.display(),
        fake.address
    );
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Refused);
    assert!(
        out.contains("faults.rules:1:14: `off`: expected `out`"),
        "{out}"
    );
    assert_eq!(fake.state.lock().expect("the state").appends, 0);
}

fn entry(generation: u64, phase: &str) -> Fake {
    Fake::start(State {
        status: format!(r#"{{"entry":"e","phase":"{phase}","generation":{generation}}}"#),
        ..State::default()
    })
}

#[test]
fn publish_waits_for_every_entry_that_is_not_gone() {
    let (one, two, gone) = (entry(2, "serving"), entry(1, "serving"), entry(1, "gone"));
    let addresses = format!("{},{},{}", one.address, two.address, gone.address);
    let flags = format!("--entries {addresses} --timeout-ms 900");
    let (exit, out, _) = run("behind.rules", vec![], &flags);
    assert_eq!(exit, Exit::Refused, "{out}");
    assert!(out.contains("in force on 1 of 2 entries after "), "{out}");
    assert!(
        out.contains(&format!(
            "not in force: {}: e is at generation 1",
            two.address
        )),
        "{out}"
    );

    two.set(|state| state.status = state.status.replace(":1}", ":3}"));
    let (exit, out, _) = run("there.rules", vec![], &flags);
    assert_eq!(exit, Exit::Ok, "{out}");
    assert!(out.contains("in force on 2 of 2 entries after "), "{out}");
}

#[test]
fn entries_count_while_they_are_on_the_vm_list() {
    let (here, dead) = (entry(2, "serving"), Fake::start(State::default()));
    let vm = |address| {
        format!(r#"{{"id":"x","kind":"entry","zone":"a","address":"{address}","state":"leaving"}}"#)
    };
    let list = |vms: &[String]| format!(r#"{{"at_ms":1,"vms":[{}]}}"#, vms.join(","));
    let vms = Fake::start(State {
        vms: list(&[vm(here.address), vm(dead.address)]),
        ..State::default()
    });
    let flags = format!("--vms {} --timeout-ms 900", vms.address);
    let (exit, out, _) = run("leaving.rules", vec![], &flags);
    assert_eq!(exit, Exit::Refused, "{out}");
    assert!(
        out.contains(&format!("not in force: {}", dead.address)),
        "{out}"
    );

    vms.set(|state| state.vms = list(&[vm(here.address)]));
    let (exit, out, _) = run("left.rules", vec![], &flags);
    assert_eq!(exit, Exit::Ok, "{out}");
}

#[test]
fn a_stale_entry_is_reported_with_its_state() {
    let (here, stale) = (entry(2, "serving"), entry(1, "serving"));
    stale.set(|state| {
        state.status = state.status.replace(":1}", r#":1,"rules":"stale"}"#);
    });
    let flags = format!(
        "--entries {},{} --timeout-ms 600",
        here.address, stale.address
    );
    let (exit, out, _) = run("stale.rules", vec![], &flags);
    assert_eq!(exit, Exit::Refused, "{out}");
    assert!(out.contains("in force on 1 of 2 entries after "), "{out}");
    let line = format!(
        "not in force: {}: e is at generation 1, stale, and accepts no new requests",
        stale.address
    );
    assert!(out.contains(&line), "{out}");
}

#[test]
fn an_entry_that_shuts_down_meanwhile_is_not_waited_for() {
    let (here, leaving) = (entry(2, "serving"), entry(1, "serving"));
    let flags = format!(
        "--entries {},{} --timeout-ms 5000",
        here.address, leaving.address
    );
    let later = leaving.address;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(std::time::Duration::from_millis(400));
            leaving.set(|state| state.status = state.status.replace("serving", "gone"));
        });
        let (exit, out, _) = run("leaves.rules", vec![], &flags);
        assert_eq!(exit, Exit::Ok, "{out}");
        assert!(out.contains("in force on 1 of 1 entries after "), "{out}");
        assert!(!out.contains(&later.to_string()), "{out}");
    });
}
