//! The rules stream: all readers reach the same verdicts, whichever offset they start from.

#[macro_use]
mod seeded;

use std::sync::Arc;
use std::time::SystemTime;

use comfreyroad::id::{Generation, Offset};
use comfreyroad::record::Record;
use comfreyroad::rules::{History, Verdict};

fn text(after: Generation, zone: &str) -> Arc<str> {
    format!("format 1 after {after} # asked by ada\nzone {zone} state=in # asked by ada\n").into()
}

fn publish(by: &str, after: Generation) -> Record {
    Record::Publish {
        by: by.into(),
        after,
        text: text(after, by),
    }
}

fn hold(version: &str, generation: Generation) -> Record {
    Record::Hold {
        version: version.into(),
        generation,
        reason: "bad answers".into(),
    }
}

fn checkpoint(history: &History) -> Option<Record> {
    history.snapshot()?.to_record()
}

fn feed(history: &mut History, offset: Offset, record: &Record) -> Option<Verdict> {
    history.feed(offset, SystemTime::UNIX_EPOCH, record)
}

/// Reads a stream from an offset to its end.
fn read(stream: &[Record], from: usize) -> History {
    let mut history = History::default();
    for (offset, record) in stream.iter().enumerate().skip(from) {
        feed(&mut history, offset as Offset, record);
    }
    history
}

/// The offset, the publisher and the text of the rules in force.
type Source = (Offset, Arc<str>, Arc<str>);

/// The state on which any two readers must agree.
fn shared_state(history: &History) -> (Generation, Option<Source>, Vec<Arc<str>>) {
    let rules = history.in_force();
    let rules = rules.map(|rules| (rules.offset, rules.by.clone(), rules.text.clone()));
    let mut held: Vec<Arc<str>> = history.held().iter().cloned().collect();
    held.sort();
    (history.generation(), rules, held)
}

#[test]
fn the_first_publish_for_a_generation_wins() {
    let mut history = History::default();
    let accepted = |generation| Some(Verdict::Accepted { generation });
    assert_eq!(feed(&mut history, 0, &publish("ada", 0)), accepted(1));
    let stale = Verdict::Stale {
        in_force: 1,
        by: "ada".into(),
    };
    assert_eq!(feed(&mut history, 1, &publish("bo", 0)), Some(stale));
    assert_eq!(feed(&mut history, 2, &publish("bo", 1)), accepted(2));
    assert_eq!(
        feed(&mut history, 2, &publish("cy", 2)),
        None,
        "the record was already read"
    );
    assert_eq!(history.in_force().map(|rules| &*rules.by), Some("bo"));
}

#[test]
fn a_faulty_publish_changes_nothing() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    let bad = |after, text: &str| Record::Publish {
        by: "bo".into(),
        after,
        text: text.into(),
    };
    let verdict = feed(&mut history, 1, &bad(1, "zone a"));
    assert!(matches!(verdict, Some(Verdict::Faulty(_))), "{verdict:?}");
    let verdict = feed(&mut history, 2, &bad(1, &text(0, "a")));
    assert!(matches!(verdict, Some(Verdict::Faulty(_))), "{verdict:?}");
    let verdict = feed(&mut history, 3, &bad(0, &text(1, "a")));
    assert!(
        matches!(verdict, Some(Verdict::Stale { in_force: 1, .. })),
        "{verdict:?}"
    );
    assert_eq!(history.generation(), 1);
}

#[test]
fn a_hold_lasts_until_the_next_accepted_publish() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    feed(&mut history, 1, &hold("mona@2", 1));
    feed(&mut history, 2, &publish("bo", 0));
    assert!(
        history.held().contains("mona@2"),
        "a stale publish must not lift the hold"
    );
    feed(&mut history, 3, &publish("bo", 1));
    assert!(history.held().is_empty());
    feed(&mut history, 4, &hold("mona@2", 1));
    assert!(
        history.held().is_empty(),
        "a hold for an earlier generation must be ignored"
    );
}

#[test]
fn a_checkpoint_never_lowers_the_generation() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    let old = checkpoint(&history).expect("the history has rules");
    feed(&mut history, 1, &publish("bo", 1));
    feed(&mut history, 2, &old);
    assert_eq!(history.generation(), 2);
    feed(&mut history, 3, &old);
    assert_eq!(history.generation(), 2);
}

#[test]
fn an_outdated_checkpoint_does_not_affect_a_late_reader() {
    let mut writer = History::default();
    let mut stream = vec![publish("ada", 0)];
    feed(&mut writer, 0, &stream[0]);
    let old = checkpoint(&writer).expect("the history has rules");
    stream.push(publish("bo", 1));
    feed(&mut writer, 1, &stream[1]);
    let new = checkpoint(&writer).expect("the history has rules");
    stream.extend([old, publish("cy", 1), new]);
    assert_eq!(
        shared_state(&read(&stream, 2)),
        shared_state(&read(&stream, 0))
    );
}

#[test]
fn a_reader_that_skipped_records_recovers_from_a_checkpoint() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    let mut writer = History::default();
    for (offset, record) in [publish("ada", 0), publish("bo", 1)].iter().enumerate() {
        feed(&mut writer, offset as Offset, record);
    }
    let early = checkpoint(&writer).expect("the history has rules");
    (2..5).for_each(|offset| writer.skip(offset));
    let checkpoint = checkpoint(&writer).expect("the history has rules");
    assert_eq!(
        feed(&mut history, 5, &publish("cy", 2))
            .map(|verdict| matches!(verdict, Verdict::Stale { .. })),
        Some(true)
    );
    assert!(!history.is_known());
    feed(&mut history, 6, &early);
    assert!(
        !history.is_known(),
        "records 2 to 4 were skipped, and this checkpoint does not cover them"
    );
    feed(&mut history, 7, &checkpoint);
    assert!(history.is_known());
    assert_eq!(
        history.generation(),
        3,
        "record 5 is judged again after the checkpoint"
    );
    history.skip(8);
    assert_eq!(history.next(), 9);
}

#[test]
fn a_checkpoint_is_trusted_for_an_unsupported_format() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    let newer = Record::Publish {
        by: "bo".into(),
        after: 1,
        text: "format 2 after 1 # asked by bo\n".into(),
    };
    let verdict = feed(&mut history, 1, &newer);
    assert!(matches!(verdict, Some(Verdict::Faulty(_))), "{verdict:?}");
    assert!(history.is_known(), "no checkpoint accepts the publish yet");
    let checkpoint = |next| Record::Checkpoint {
        generation: 2,
        offset: 1,
        by: "bo".into(),
        text: text(1, "bo"),
        next,
        held: vec![],
    };
    feed(&mut history, 2, &checkpoint(2));
    assert!(!history.is_known(), "a checkpoint accepts the publish");
    feed(&mut history, 3, &checkpoint(3));
    assert!(history.is_known());
    assert_eq!(history.generation(), 2);
}

#[test]
fn a_checkpoint_is_not_trusted_for_a_supported_format() {
    let mut history = History::default();
    feed(&mut history, 0, &publish("ada", 0));
    feed(&mut history, 1, &publish("bo", 0));
    let wrong = Record::Checkpoint {
        generation: 2,
        offset: 1,
        by: "bo".into(),
        text: text(0, "bo"),
        next: 2,
        held: vec![],
    };
    feed(&mut history, 2, &wrong);
    assert_eq!((history.is_known(), history.generation()), (true, 1));
}

/// A random stream of publishes, holds and checkpoints; some checkpoints are appended late.
fn stream(steps: &[(u8, u8)]) -> Vec<Record> {
    let mut history = History::default();
    let mut late: Vec<Record> = Vec::new();
    let mut stream: Vec<Record> = Vec::new();
    for (step, choice) in steps {
        let now = history.generation();
        let record = match step % 6 {
            0 | 1 => publish(["ada", "bo", "cy"][usize::from(*choice) % 3], now),
            2 => publish("dee", Generation::from(choice % 5)),
            3 => hold(["mona@1", "mona@2"][usize::from(*choice) % 2], now),
            4 => {
                late.extend(checkpoint(&history));
                continue;
            }
            _ if late.is_empty() => continue,
            _ => late.remove(usize::from(*choice) % late.len()),
        };
        feed(&mut history, stream.len() as Offset, &record);
        stream.push(record);
    }
    stream
}

/// Shifts the offsets in checkpoints for `count` records that are inserted at index `at`.
fn shift_offsets(records: &mut [Record], at: usize, count: usize) {
    for record in records {
        if let Record::Checkpoint { offset, next, .. } = record {
            let moved = |place: Offset| {
                place
                    + if place > at as Offset {
                        count as Offset
                    } else {
                        0
                    }
            };
            (*offset, *next) = (moved(*offset + 1) - 1, moved(*next));
        }
    }
}

seeded! {
    fn a_late_reader_agrees_with_an_early_one(steps: Vec<(u8, u8)>, cut: usize, delay: usize) -> bool {
        let mut stream = stream(&steps);
        let cut = cut % (stream.len() + 1);
        // When old records expire, a writer has already repeated the state in force at that point, including holds.
        let expired = read(&stream[..cut], 0);
        let at = cut + delay % (stream.len() - cut + 1);
        let holds = expired.held().iter().map(|version| hold(version, expired.generation()));
        let repeated: Vec<Record> = checkpoint(&expired).into_iter().chain(holds).collect();
        shift_offsets(&mut stream[at..], at, repeated.len());
        stream.splice(at..at, repeated);
        shared_state(&read(&stream, cut)) == shared_state(&read(&stream, 0))
    }

    fn the_generation_never_decreases(steps: Vec<(u8, u8)>) -> bool {
        let mut history = History::default();
        stream(&steps).iter().enumerate().all(|(offset, record)| {
            let before = history.generation();
            feed(&mut history, offset as Offset, record);
            history.generation() >= before
        })
    }
}
