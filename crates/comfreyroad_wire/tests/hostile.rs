//! Bytes from anywhere: they are read or refused, and never a panic.

use bytes::Bytes;
use comfreyroad::record::{Bill, Key, Record, Writer};
use comfreyroad_wire::{caller, engine, frame, record, sse};
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
/// Longest random input in bytes.
const SIZE: usize = 60;

fn check<A: quickcheck::Testable>(property: A) {
    let generator = Gen::from_size_and_seed(SIZE, 20_261_204);
    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .quickcheck(property);
}

/// All events of a stream that comes in chunks of a size.
fn events(bytes: &[u8], size: usize) -> Result<Vec<String>, sse::Error> {
    let mut parser = sse::Parser::default();
    let mut events = Vec::new();
    for chunk in bytes.chunks(size.max(1)) {
        parser.feed(chunk);
        while let Some(event) = parser.next_event()? {
            events.push(event);
        }
    }
    Ok(events)
}

#[test]
fn random_bytes_are_no_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let bytes = Bytes::from(bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = (
            record::decode(&bytes),
            frame::decode(&bytes),
            events(&bytes, 7),
        );
        let _ = (
            caller::parse_chat(&bytes),
            engine::Chunk::parse(&text),
            engine::request_body(&bytes, "mona@1"),
        );
        true
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_record_with_a_byte_changed_is_read_or_refused() {
    fn property(at: usize, value: u8) -> bool {
        let key = Key {
            customer: "acme".into(),
            request: "r-1".into(),
        };
        let writer = Writer {
            entry: "e1".into(),
            boot: "b".into(),
            number: 7,
        };
        let mut bytes = record::encode(&Record::Claim { key, writer });
        let at = at % bytes.len();
        bytes[at] = value;
        let _ = record::decode(&bytes);
        true
    }
    check(property as fn(usize, u8) -> bool);
}

#[test]
fn a_bill_comes_back_as_it_went() {
    fn property(customer: String, request: String, tokens: u64, cost: u64) -> bool {
        let key = Key {
            customer: customer.into(),
            request: request.into(),
        };
        let bill = Record::Bill(Bill {
            key,
            version: Some("mona@1".into()),
            tokens,
            cost,
        });
        record::decode(&record::encode(&bill)).is_ok_and(|read| read == bill)
    }
    check(property as fn(String, String, u64, u64) -> bool);
}

#[test]
fn events_do_not_depend_on_where_a_chunk_ends() {
    fn property(parts: Vec<String>, size: usize) -> bool {
        let parts: Vec<String> = parts
            .into_iter()
            .map(|part| part.replace(['\n', '\r'], " "))
            .collect();
        let stream: String = parts
            .iter()
            .map(|part| format!("data: {part}\n\n"))
            .collect();
        events(stream.as_bytes(), size % 16) == Ok(parts)
    }
    check(property as fn(Vec<String>, usize) -> bool);
}

#[test]
fn an_endless_event_is_refused() {
    let bytes = vec![b'x'; sse::MAX_EVENT_BYTES + 1];
    assert_eq!(events(&bytes, 4096), Err(sse::Error::TooLong));
}

#[test]
fn an_engine_gets_the_version_and_a_stream_whatever_the_caller_asked() {
    let body = br#"{"model":"draft","messages":[{"role":"user","content":"hi"}],"stream":false}"#;
    let sent = engine::request_body(body, "mona@1").expect("the body is JSON");
    let chat = caller::parse_chat(&Bytes::from(sent)).expect("it stays a request");
    assert_eq!((&*chat.model, chat.stream), ("mona@1", true));
}
