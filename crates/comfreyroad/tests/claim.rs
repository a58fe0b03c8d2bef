//! Compares the claim table with a reference model that scans the whole stream for each verdict.

#[macro_use]
mod seeded;

use std::time::{Duration, SystemTime};

use comfreyroad::controller::claim::Table;
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::record::{Key, Outcome, Record, Stream, Writer};
use quickcheck::{Arbitrary, Gen};

const HORIZON: Duration = Duration::from_secs(100);
const KEYS: u8 = 3;

/// A record of a random stream: the seconds since the previous record, the request, the writer and the record kind.
#[derive(Clone, Debug)]
struct Op {
    pause: u64,
    key: u8,
    writer: u8,
    kind: u8,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pause = *g.choose(&[0, 1, 1, 5, 20, 60, 120]).unwrap_or(&1);
        Self {
            pause,
            key: u8::arbitrary(g) % KEYS,
            writer: u8::arbitrary(g) % 6,
            kind: u8::arbitrary(g) % 8,
        }
    }
}

fn key(number: u8) -> Key {
    Key {
        customer: "author".into(),
        request: format!("r{number}").into(),
    }
}

/// Each writer belongs to one request, as each call does.
fn writer(key: u8, number: u8) -> Writer {
    Writer {
        entry: format!("entry-{number}").into(),
        boot: "b".into(),
        number: key.into(),
    }
}

fn stream(ops: &[Op]) -> Vec<LogEntry> {
    let mut at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let entry = |(offset, op): (usize, &Op)| {
        at += Duration::from_secs(op.pause);
        let (key, writer) = (key(op.key), writer(op.key, op.writer));
        let record = match op.kind {
            0..=4 => Record::Claim { key, writer },
            5 | 6 => Record::Release { key, writer },
            _ => Record::Settle {
                key,
                writer,
                outcome: Outcome::Unknown,
            },
        };
        LogEntry {
            offset: offset as u64,
            at,
            record: Some(record),
        }
    };
    ops.iter().enumerate().map(entry).collect()
}

/// Feeds a stream from an offset on to a table, one record per page.
fn feed_from(stream: &[LogEntry], from: usize, mut each: impl FnMut(usize, &Table)) {
    let mut table = Table::new(HORIZON);
    for (index, entry) in stream.iter().enumerate().skip(from) {
        table.begin_page(&Page {
            stream: Stream::Claims,
            requested_at: std::time::Instant::now(),
            from: index as u64,
            oldest: from as u64,
            next: stream.len() as u64,
            entries: vec![entry.clone()],
        });
        table.feed(entry);
        each(index, &table);
    }
}

/// A live claim of the reference model. It is not conclusive if an earlier claim has expired since.
struct ReferenceClaim {
    writer: Writer,
    at: SystemTime,
    is_conclusive: bool,
    is_settled: bool,
}

/// The live claims of a request after the record at index `last`, earliest first.
fn reference_claims(stream: &[LogEntry], last: usize, request: &Key) -> Vec<ReferenceClaim> {
    let mut claims: Vec<ReferenceClaim> = Vec::new();
    for (index, entry) in stream.iter().enumerate().take(last + 1) {
        let is_live = |then: SystemTime| then + HORIZON > entry.at;
        let expired = claims.iter().any(|claim| !is_live(claim.at));
        claims.retain(|claim| is_live(claim.at));
        for claim in &mut claims {
            claim.is_conclusive &= !expired;
        }
        let was_released = |by: &Writer| {
            let mut first = None;
            for before in &stream[..index] {
                let is_release =
                    matches!(&before.record, Some(Record::Release { writer, .. }) if writer == by);
                let lapsed = first.is_some_and(|at: SystemTime| at + HORIZON <= before.at);
                if is_release && (first.is_none() || lapsed) {
                    first = Some(before.at);
                }
            }
            first.is_some_and(is_live)
        };
        match &entry.record {
            Some(Record::Claim { key, writer }) if key == request => {
                let is_known = claims.iter().any(|claim| claim.writer == *writer);
                if !is_known && !was_released(writer) {
                    claims.push(ReferenceClaim {
                        writer: writer.clone(),
                        at: entry.at,
                        is_conclusive: true,
                        is_settled: false,
                    });
                }
            }
            Some(Record::Release { key, writer }) if key == request => {
                claims.retain(|claim| claim.writer != *writer || claim.is_settled);
            }
            Some(Record::Settle { key, writer, .. }) if key == request => {
                let own = claims.iter_mut().filter(|claim| claim.writer == *writer);
                own.for_each(|claim| claim.is_settled = true);
            }
            _ => {}
        }
    }
    claims
}

seeded! {
    fn holder_matches_the_reference_model(ops: Vec<Op>) -> bool {
        let stream = stream(&ops);
        let mut agrees = true;
        feed_from(&stream, 0, |index, table| {
            for number in 0..KEYS {
                let key = key(number);
                let expected = reference_claims(&stream, index, &key);
                let first = expected.first().map(|claim| (&claim.writer, claim.is_conclusive, claim.is_settled));
                let held = table.holder(&key).map(|held| (&held.writer, held.is_conclusive, held.outcome.is_some()));
                agrees &= first == held;
            }
        });
        agrees
    }

    fn conclusive_holder_of_a_late_reader_is_correct(ops: Vec<Op>, from: usize) -> bool {
        let stream = stream(&ops);
        let from = if stream.is_empty() { 0 } else { from % stream.len() };
        let mut agrees = true;
        feed_from(&stream, from, |index, table| {
            for number in 0..KEYS {
                let key = key(number);
                let Some(held) = table.holder(&key).filter(|held| held.is_conclusive) else { continue };
                let expected = reference_claims(&stream, index, &key);
                agrees &= expected.first().is_some_and(|claim| claim.writer == held.writer && claim.is_conclusive);
            }
        });
        agrees
    }

    fn memory_is_bounded_by_the_horizon(ops: Vec<Op>) -> bool {
        let mut stream = stream(&ops);
        let Some(last) = stream.last().cloned() else { return true };
        stream.push(LogEntry {
            offset: last.offset + 1,
            at: last.at + HORIZON,
            record: None,
        });
        let mut left = 0;
        feed_from(&stream, 0, |_, table| left = table.len());
        left == 0
    }
}
