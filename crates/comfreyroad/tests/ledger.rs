//! Compares the ledger with a reference model that scans the whole stream for each bill.

#[macro_use]
mod seeded;

use std::time::{Duration, Instant, SystemTime};

use comfreyroad::controller::ledger::{State, Total};
use comfreyroad::event::{LogEntry, Page};
use comfreyroad::record::{Bill, Key, Record, Stream};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen};

const HORIZON: Duration = Duration::from_secs(100);

/// A record of a random stream: the seconds since the previous record, and a bill or the totals of earlier bills.
#[derive(Clone, Debug)]
struct Op {
    pause: u64,
    key: u8,
    cost: u8,
    kind: u8,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pause = *g.choose(&[0, 1, 1, 5, 20, 60, 120]).unwrap_or(&1);
        Self {
            pause,
            key: u8::arbitrary(g) % 6,
            cost: u8::arbitrary(g) % 4,
            kind: u8::arbitrary(g) % 5,
        }
    }
}

type Sums = IndexMap<String, Total>;

/// The totals of the bills before an offset.
fn reference_totals(stream: &[LogEntry], before: usize) -> Sums {
    let mut sums = Sums::new();
    for (index, entry) in stream.iter().enumerate().take(before) {
        let Some(Record::Bill(bill)) = &entry.record else {
            continue;
        };
        let earlier = stream[..index].iter().filter_map(|other| {
            let Some(Record::Bill(known)) = &other.record else {
                return None;
            };
            let counts = known.key == bill.key && other.at + HORIZON > entry.at;
            counts.then_some(known.cost)
        });
        let highest = earlier.max();
        let sum = sums.entry(bill.key.customer.to_string()).or_default();
        sum.requests += u64::from(highest.is_none());
        sum.cost += bill.cost.saturating_sub(highest.unwrap_or(0));
    }
    sums
}

fn stream(ops: &[Op]) -> Vec<LogEntry> {
    let mut at = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let mut stream: Vec<LogEntry> = Vec::new();
    for (index, op) in ops.iter().enumerate() {
        at += Duration::from_secs(op.pause);
        let record = if op.kind == 0 {
            let before = index.saturating_sub(op.cost.into());
            let sums = reference_totals(&stream, before).into_iter();
            Record::Totals {
                before: before as u64,
                sums: sums
                    .map(|(customer, sum)| (customer.into(), sum.requests, sum.cost))
                    .collect(),
            }
        } else {
            Record::Bill(Bill {
                key: Key {
                    customer: format!("c{}", op.key % 2).into(),
                    request: format!("r{}", op.key).into(),
                },
                version: None,
                tokens: 0,
                cost: u64::from(op.cost) + 1,
            })
        };
        stream.push(LogEntry {
            offset: index as u64,
            at,
            record: Some(record),
        });
    }
    stream
}

/// Feeds a stream to a ledger, without the records that expire before they are read. A final empty record lets the
/// ledger notice that records before it expired.
fn feed_stream(stream: &[LogEntry], expired: std::ops::Range<usize>) -> State {
    let mut ledger = State::new(HORIZON);
    let mut oldest = 0;
    let last = stream.last().map(|last| LogEntry {
        offset: last.offset + 1,
        at: last.at,
        record: None,
    });
    for (index, entry) in stream.iter().chain(&last).enumerate() {
        if expired.contains(&index) {
            oldest = index as u64 + 1;
            continue;
        }
        ledger.begin_page(&Page {
            stream: Stream::Ledger,
            requested_at: Instant::now(),
            from: index as u64,
            oldest,
            next: stream.len() as u64,
            entries: vec![entry.clone()],
        });
        ledger.feed(entry);
    }
    ledger
}

fn sums(ledger: &State) -> Sums {
    let sum =
        |(customer, sum): (&comfreyroad::id::CustomerId, &Total)| (customer.to_string(), *sum);
    ledger.customer_totals().iter().map(sum).collect()
}

seeded! {
    fn totals_match_the_reference_model(ops: Vec<Op>) -> bool {
        let stream = stream(&ops);
        let ledger = feed_stream(&stream, 0..0);
        ledger.is_complete() && sums(&ledger) == reference_totals(&stream, stream.len())
    }

    /// A reader that starts late or misses records has the same totals, or reports that it is incomplete.
    fn late_reader_has_the_same_totals_or_is_incomplete(ops: Vec<Op>, from: usize, count: usize) -> bool {
        let stream = stream(&ops);
        let from = from % (stream.len() + 1);
        let until = stream.len().min(from + count % 8);
        let expired = if count.is_multiple_of(2) { 0..from } else { from..until };
        let ledger = feed_stream(&stream, expired);
        !ledger.is_complete() || sums(&ledger) == reference_totals(&stream, stream.len())
    }

    fn memory_is_bounded_by_the_horizon(ops: Vec<Op>) -> bool {
        let mut stream = stream(&ops);
        let Some(last) = stream.last().cloned() else { return true };
        stream.push(LogEntry {
            offset: last.offset + 1,
            at: last.at + HORIZON,
            record: None,
        });
        feed_stream(&stream, 0..0).is_empty()
    }
}

/// With totals written every quarter of the horizon, a reader can start at a record that is two horizons old.
#[test]
fn late_reader_starts_from_totals_on_the_log() {
    let ops = (0..100).map(|index| Op {
        pause: 5,
        key: index % 6,
        cost: index % 3,
        kind: u8::from(index % 5 != 0),
    });
    let stream = stream(&ops.collect::<Vec<_>>());
    let ledger = feed_stream(&stream, 0..60);
    assert!(ledger.is_complete());
    assert_eq!(sums(&ledger), reference_totals(&stream, stream.len()));
}

/// A partial and a complete response of the same request are billed once, at the higher cost, in whichever order their
/// bills reach the log.
#[test]
fn broken_response_and_its_retry_are_billed_once() {
    for costs in [[0, 3], [3, 0]] {
        let ops = costs.map(|cost| Op {
            pause: 1,
            key: 0,
            cost,
            kind: 1,
        });
        let ledger = feed_stream(&stream(&ops), 0..0);
        let owed = Total {
            requests: 1,
            cost: 4,
        };
        assert_eq!(sums(&ledger).values().copied().collect::<Vec<_>>(), [owed]);
    }
}
