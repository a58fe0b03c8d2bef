//! Arbitrary input is decoded or rejected, and never causes a panic.

use bytes::Bytes;
use comfreyroad::record::{Bill, Key, Record, Writer};
use comfreyroad_wire::{caller, engine, frame, record, sse};
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
/// Size parameter of the generator, which limits the length of random input.
const MAX_INPUT_SIZE: usize = 60;

fn check<A: quickcheck::Testable>(property: A) {
    let generator = Gen::from_size_and_seed(MAX_INPUT_SIZE, 20_261_204);
    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .quickcheck(property);
}

/// Parses all events of a stream that arrives in chunks of `size` bytes.
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
fn random_bytes_cause_no_panic() {
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
fn a_record_with_a_changed_byte_causes_no_panic() {
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
fn a_bill_is_unchanged_by_encoding_and_decoding() {
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
        record::decode(&record::encode(&bill)).is_ok_and(|decoded| decoded == bill)
    }
    check(property as fn(String, String, u64, u64) -> bool);
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
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
fn an_event_over_the_limit_is_rejected() {
    let bytes = vec![b'x'; sse::MAX_EVENT_BYTES + 1];
    assert_eq!(events(&bytes, 4096), Err(sse::Error::TooLong));
}

#[test]
fn an_engine_request_has_the_chosen_version_and_asks_for_a_stream() {
    let body = br#"{"model":"draft","messages":[{"role":"user","content":"hi"}],"stream":false}"#;
    let engine_body = engine::request_body(body, "mona@1").expect("the body is JSON");
    let chat = caller::parse_chat(&Bytes::from(engine_body)).expect("the body is a valid request");
    assert_eq!((&*chat.model, chat.stream), ("mona@1", true));
}
