//! Stand-in of the platform's store: keyed topics in memory.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

/// A store; clones share the records.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<Topics>,
    changed: Condvar,
    // Whether the store resets its channels in place of an answer.
    is_down: AtomicBool,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(crate::own_address()).expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let store = Self {
            shared: Arc::default(),
            address,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record. An empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = (key.to_owned(), value.as_bytes().to_vec());
        self.topics()
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.shared.changed.notify_all();
    }

    /// Whether the store resets its channels in place of an answer from now on.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.store(is_down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics();
        let mut records = topics.get(topic)?.iter().rev();
        let found = records.find(|(it, _)| it == key)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    fn topics(&self) -> MutexGuard<'_, Topics> {
        self.shared.topics.lock().expect("the lock of the store")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while matches!(stream.get_ref().peek(&mut [0]), Ok(1)) {
            // Closing a channel with unread bytes resets it.
            if self.is_down() {
                return;
            }
            let Some(request) = http::read_message(&mut stream) else {
                return;
            };
            let (status, body) = self.respond(&request);
            if self.is_down() {
                return;
            }
            let length = body.len();
            let head =
                format!("HTTP/1.1 {status} X\r\nStore-Era: 0\r\nContent-Length: {length}\r\n\r\n");
            let response = [head.as_bytes(), &body].concat();
            if stream.get_mut().write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let path = request.path();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let query: BTreeMap<&str, &str> = pairs.collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|it| it.parse::<usize>().ok());
        match path {
            "/-/log-newest" => (200, self.list(topic)),
            "/-/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                self.read(topic, number("start_from").unwrap_or(0), wait)
            }
            "/-/log-append" => self.append(topic, number("at"), &request.body),
            _ => (404, Vec::new()),
        }
    }

    fn list(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let entry = |(key, (offset, value)): (&&str, &(usize, &[u8]))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let entries: Vec<String> = newest.iter().map(entry).collect();
        let (entries, end) = (entries.join(","), records.len());
        format!("{{\"entries\":[{entries}],\"has_more\":false,\"end_offset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut topics = self.topics();
        let end = |topics: &Topics| topics.get(topic).map_or(0, Vec::len);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if self.is_down() {
                return (503, Vec::new());
            }
            if end(&topics) > from || left.is_zero() {
                break;
            }
            let waited = self.shared.changed.wait_timeout(topics, left);
            topics = waited.expect("the lock of the store").0;
        }
        if end(&topics) < from {
            return (410, br#"{"first_offset":0}"#.to_vec());
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in &records[from..] {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        (200, bytes)
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(length) = body.get(4).map(|it| usize::from(*it)) else {
            return (400, Vec::new());
        };
        let mut topics = self.topics();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end_offset\":{offset}}}").into_bytes());
        }
        let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
        records.push((key, body[5 + length..].to_vec()));
        drop(topics);
        self.shared.changed.notify_all();
        let end = offset + 1;
        let text = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
        (200, text.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            let is_padding = position > group.len();
            text.push(if is_padding { '=' } else { digit.into() });
        }
    }
    text
}
