//! A fake of the platform's store: keyed topics in memory.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};

use super::http::{self, Message};

/// Keys and values by topic, in the order of their offsets.
pub(super) type Records = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// What the store holds.
#[derive(Debug, Default)]
struct State {
    records: Records,
    /// How often the records have come back from a copy.
    era: u64,
    /// Whether the store closes all connections.
    is_away: bool,
    connections: Vec<Weak<TcpStream>>,
}

/// A fake store; clones share the records.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub(super) fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    pub(super) fn put(&self, topic: &str, key: &str, value: &str) {
        let topic = topic.to_owned();
        let record = (key.to_owned(), value.as_bytes().to_vec());
        self.state().records.entry(topic).or_default().push(record);
        self.shared.1.notify_all();
    }

    /// Takes a copy of all topics.
    pub(super) fn copy(&self) -> Records {
        self.state().records.clone()
    }

    /// Puts a copy in the place of all topics, in a new era, and closes all connections.
    pub(super) fn restore(&self, copy: Records) {
        let mut state = self.state();
        state.records = copy;
        state.era += 1;
        state.disconnect();
        self.shared.1.notify_all();
    }

    /// Closes all connections, and new ones at once, until the store is back.
    pub(super) fn set_away(&self, is_away: bool) {
        let mut state = self.state();
        state.is_away = is_away;
        state.disconnect();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Returns the newest value of a key.
    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state();
        let found = state
            .records
            .get(topic)?
            .iter()
            .rev()
            .find(|(it, _)| it == key);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, stream: TcpStream) {
        let connection = Arc::new(stream.try_clone().unwrap());
        let mut state = self.state();
        if state.is_away {
            return;
        }
        state.connections.retain(|it| it.strong_count() > 0);
        state.connections.push(Arc::downgrade(&connection));
        drop(state);
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            let (status, body) = self.respond(&request);
            let era = self.state().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = stream
                .get_mut()
                .write_all(&[head.as_bytes(), &body].concat());
            if sent.is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
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
        let records = self.state().records.get(topic).cloned().unwrap_or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let entry = |(key, (offset, value)): (&&str, &(usize, &[u8]))| {
            let value = data_encoding::BASE64.encode(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let entries: Vec<String> = newest.iter().map(entry).collect();
        let (entries, end) = (entries.join(","), records.len());
        format!("{{\"entries\":[{entries}],\"has_more\":false,\"end_offset\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        let end = |state: &State| state.records.get(topic).map_or(0, Vec::len);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if end(&state) != from || left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        if end(&state) < from {
            return (410, br#"{"first_offset":0}"#.to_vec());
        }
        let records = state.records.get(topic).cloned().unwrap_or_default();
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        (200, bytes)
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let end = self.state().records.get(topic).map_or(0, Vec::len);
        if at.is_some_and(|at| at != end) {
            return (412, Vec::new());
        }
        let length = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
        self.put(topic, &key, &String::from_utf8_lossy(&body[5 + length..]));
        (200, b"{}".to_vec())
    }
}

impl State {
    fn disconnect(&mut self) {
        for connection in self.connections.drain(..) {
            if let Some(connection) = connection.upgrade() {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
    }
}
