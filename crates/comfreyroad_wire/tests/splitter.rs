//! Streams of events, split without a change to their bytes.

use comfreyroad_wire::sse::Splitter;
use quickcheck::quickcheck;

/// Feeds bytes in chunks of a size, and gives back the events and whether a part is left over.
fn split(bytes: &[u8], size: usize) -> (Vec<Vec<u8>>, Vec<Option<u64>>, bool) {
    let mut splitter = Splitter::default();
    let (mut events, mut ids) = (Vec::new(), Vec::new());
    for chunk in bytes.chunks(size.max(1)) {
        splitter.feed(chunk);
        while let Ok(Some(event)) = splitter.next_event() {
            events.push(event.bytes.to_vec());
            ids.push(event.id);
        }
    }
    (events, ids, splitter.has_partial_event())
}

#[test]
fn events_have_their_numbers_whichever_line_ends_they_use() {
    let bytes = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: x\n\nid: 5\ndata: cut";
    let (events, ids, has_partial_event) = split(bytes, 1000);
    assert_eq!(ids, [Some(1), Some(2), None, None]);
    assert_eq!(events.len(), 4);
    assert!(has_partial_event);
}

quickcheck! {
    fn chunks_make_no_difference_and_no_byte_is_lost(bytes: Vec<u8>, size: usize) -> bool {
        // Line ends are common in streams and rare in random bytes.
        let bytes: Vec<u8> = bytes.iter().map(|byte| if byte % 3 == 0 { b'\n' } else { *byte }).collect();
        let whole = split(&bytes, bytes.len());
        let joined = whole.0.concat();
        whole == split(&bytes, size % 7) && bytes.starts_with(&joined)
    }
}
