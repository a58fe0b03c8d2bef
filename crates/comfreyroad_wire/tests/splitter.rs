//! `Splitter` splits a stream into events and leaves their bytes unchanged.

use comfreyroad_wire::sse::Splitter;
use quickcheck::quickcheck;

/// Feeds `bytes` in chunks of `size`, and returns the events, their ids, and whether an incomplete event is left.
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
fn event_ids_are_parsed_with_lf_and_crlf_line_ends() {
    let bytes = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: x\n\nid: 5\ndata: cut";
    let (events, ids, has_partial_event) = split(bytes, 1000);
    assert_eq!(ids, [Some(1), Some(2), None, None]);
    assert_eq!(events.len(), 4);
    assert!(has_partial_event);
}

quickcheck! {
    fn chunk_sizes_change_no_event_and_no_byte_is_lost(bytes: Vec<u8>, size: usize) -> bool {
        // Random bytes contain few line ends, so a third of the bytes is replaced by them.
        let bytes: Vec<u8> = bytes.iter().map(|byte| if byte % 3 == 0 { b'\n' } else { *byte }).collect();
        let unchunked = split(&bytes, bytes.len());
        let joined = unchunked.0.concat();
        unchunked == split(&bytes, size % 7) && bytes.starts_with(&joined)
    }
}
