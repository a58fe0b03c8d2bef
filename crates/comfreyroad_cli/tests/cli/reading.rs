//! Tests of the read-only commands.

use crate::support::{Fake, State, run_command};
use comfreyroad::event::LogEntry;
use comfreyroad::record::{Bill, Key, Record, Writer};
use comfreyroad_cli::{Exit, Ledger};

fn publish(by: &str, after: u64, state: &str) -> Record {
    let text =
        format!("format 1 after {after} # asked by ada\nzone a state={state} # asked by ada\n");
    Record::Publish {
        by: by.into(),
        after,
        text: text.into(),
    }
}

fn bill(customer: &str, request: &str, cost: u64) -> Record {
    Record::Bill(Bill {
        key: Key {
            customer: customer.into(),
            request: request.into(),
        },
        version: None,
        tokens: 1,
        cost,
    })
}

#[test]
fn the_examples_have_no_faults() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let line = format!("check {root}/inkwell.rules {root}/tahtiaskel.rules");
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Ok, "{out}");
}

#[test]
fn the_keys_of_the_examples_are_hashes_of_key_and_customer_id() {
    for name in ["inkwell", "tahtiaskel"] {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
        let text = std::fs::read_to_string(format!("{root}/{name}.rules")).expect("an example");
        let draft = comfreyroad::rules::Draft::new(text)
            .parse()
            .and_then(|draft| draft.check());
        let rules = draft.expect("no faults").rules().clone();
        assert_eq!(rules.customers.len(), 10);
        for customer in rules.customers.values() {
            let key = blake3::hash(format!("key-{}", customer.id).as_bytes());
            assert_eq!(customer.keys, [*key.as_bytes()], "{}", customer.id);
        }
    }
}

#[test]
fn all_faults_of_a_command_line_are_reported_at_once() {
    let (exit, out, err) = run_command("publish --log nowhere --timeout-ms soon");
    assert_eq!((exit, out.as_str()), (Exit::Usage, ""));
    for part in [
        "--log: `nowhere`",
        "--timeout-ms: `soon`",
        "--by",
        "expected one file",
    ] {
        assert!(err.contains(part), "{part}: {err}");
    }
    assert_eq!(run_command("publsh").0, Exit::Usage);
    assert_eq!(
        run_command("audit --customer x").0,
        Exit::Usage,
        "a flag of another command"
    );
    assert_eq!(run_command("--help").0, Exit::Ok);
    assert!(run_command("ledger --help").1.contains("COMFREYROAD_LOG"));
}

#[test]
fn the_audit_shows_verdicts_and_changes() {
    let gone = Record::Gone {
        writer: Writer {
            entry: "e1".into(),
            boot: "b1".into(),
            number: 1,
        },
        cut: vec![],
    };
    let fake = Fake::start(State {
        rules: vec![
            publish("ada", 0, "in"),
            publish("bo", 0, "in"),
            publish("bo", 1, "out"),
            gone,
        ],
        ..State::default()
    });
    let (exit, out, err) = run_command(&format!("audit --log {}", fake.address));
    assert_eq!(exit, Exit::Ok, "{err}");
    for part in [
        "publish by ada after 0: accepted as generation 1",
        "zone a added",
        "publish by bo after 0: refused, generation 1 by ada was in force",
        "publish by bo after 1: accepted as generation 2\n          zone a out",
        "entry e1 gone, 0 requests cut",
    ] {
        assert!(out.contains(part), "{part}: {out}");
    }
    let (_, out, _) = run_command(&format!("audit --log {} --from 3", fake.address));
    assert_eq!(out.lines().count(), 1, "{out}");
}

#[test]
fn the_audit_of_a_shortened_log_has_the_same_verdicts() {
    let checkpoint = Record::Checkpoint {
        generation: 1,
        offset: 0,
        by: "ada".into(),
        text: "format 1 after 0 # asked by ada\nzone a state=in # asked by ada\n".into(),
        next: 2,
        held: vec![],
    };
    let fake = Fake::start(State {
        rules: vec![publish("ada", 0, "in"), publish("bo", 1, "out"), checkpoint],
        oldest: 1,
        ..State::default()
    });
    let (_, out, _) = run_command(&format!("audit --log {}", fake.address));
    assert!(
        out.contains("publish by bo after 1: accepted as generation 2"),
        "{out}"
    );
    assert!(out.contains("zone a out"), "{out}");
}

#[test]
fn the_ledger_counts_the_highest_bill_of_a_key() {
    let fake = Fake::start(State {
        ledger: vec![
            bill("acme", "1", 4),
            bill("acme", "1", 10),
            bill("acme", "1", 10),
            bill("bolt", "1", 7),
        ],
        ..State::default()
    });
    let (exit, out, _) = run_command(&format!("ledger --log {} --customer acme", fake.address));
    assert_eq!(exit, Exit::Ok);
    let cells: Vec<&str> = out
        .lines()
        .nth(1)
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    assert_eq!(cells, ["acme", "1", "10", "1"], "{out}");
    assert_eq!(out.lines().count(), 2, "{out}");
}

fn entry(offset: u64, record: Record) -> LogEntry {
    LogEntry {
        offset,
        at: std::time::SystemTime::UNIX_EPOCH,
        record: Some(record),
    }
}

#[test]
fn totals_cover_the_bills_before_them() {
    let records = [
        bill("acme", "1", 10),
        bill("acme", "2", 20),
        bill("acme", "1", 10),
    ];
    let mut complete = Ledger::default();
    let mut truncated = Ledger::default();
    for (offset, record) in records.iter().enumerate() {
        let entry = entry(offset as u64, record.clone());
        complete.apply(&entry);
        if offset >= 1 {
            truncated.apply(&entry);
        }
    }
    assert_eq!(
        truncated.missing_range(),
        Some((0, 1)),
        "no totals cover the first bill"
    );
    // The writer of these totals had read two bills.
    let totals = Record::Totals {
        before: 2,
        sums: vec![("acme".into(), 2, 30)],
    };
    complete.apply(&entry(3, totals));
    complete.apply(&entry(4, bill("acme", "3", 5)));
    let total = complete.totals()["acme"];
    assert_eq!((total.requests, total.cost, total.duplicates), (3, 35, 1));
}

#[test]
fn status_and_wind_down_show_the_entries() {
    let fake = Fake::start(State {
        rules: vec![publish("ada", 0, "in")],
        status: r#"{"entry":"e1","zone":"a","phase":"draining","generation":1,"in_flight":4}"#
            .into(),
        ledger: vec![Record::Closing {
            sums: vec![("inkwell".into(), 3, 9)],
        }],
        ..State::default()
    });
    let (exit, out, _) = run_command(&format!("status {}", fake.address));
    assert_eq!(exit, Exit::Ok);
    assert!(out.contains("e1") && out.contains("draining"), "{out}");
    let address = fake.address;
    let (exit, out, _) = run_command(&format!("wind-down --log {address} --entries {address}"));
    assert_eq!(exit, Exit::Ok);
    for part in [
        "no end is set",
        "in flight: 4 requests",
        "inkwell: 3 requests, 9 millionths",
    ] {
        assert!(out.contains(part), "{part}: {out}");
    }
    fake.set(|state| state.status.clear());
    assert_eq!(
        run_command(&format!("status {address}")).0,
        Exit::Unreachable
    );
}

#[test]
fn explain_asks_every_entry() {
    let fake = Fake::start(State::default());
    let args: Vec<String> = ["explain", "r 1", "--entries", &fake.address.to_string()]
        .map(String::from)
        .to_vec();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = comfreyroad_cli::run(&args, |_| None, &mut out, &mut err);
    assert_eq!(exit, Exit::Ok, "{}", String::from_utf8_lossy(&err));
    assert!(String::from_utf8_lossy(&out).contains("\"request\": \"r 1\""));
    let line = format!("explain other --entries {}", fake.address);
    assert_eq!(run_command(&line).0, Exit::Refused);
}
