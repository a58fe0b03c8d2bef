//! A fake of the platform's store: keyed topics in memory.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::http::{self, Message};

type Records = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// A fake store; clones share the records.
#[derive(Clone, Debug, Default)]
pub(super) struct Store {
    shared: Arc<(Mutex<Records>, Condvar)>,
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
        let (records, changed) = &*self.shared;
        let mut records = records.lock().unwrap();
        let topic = records.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub(super) fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let records = self.shared.0.lock().unwrap();
        let found = records.get(topic)?.iter().rev().find(|(it, _)| it == key);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
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
                (
                    200,
                    self.read(topic, number("start_from").unwrap_or(0), wait),
                )
            }
            "/-/log-append" => self.append(topic, number("at"), &request.body),
            _ => (404, Vec::new()),
        }
    }

    fn list(&self, topic: &str) -> Vec<u8> {
        let records = self.shared.0.lock().unwrap();
        let records = records.get(topic).cloned().unwrap_or_default();
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

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (records, changed) = &*self.shared;
        let deadline = Instant::now() + wait;
        let mut records = records.lock().unwrap();
        loop {
            let end = records.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            records = changed.wait_timeout(records, left).unwrap().0;
        }
        let records = records.get(topic).cloned().unwrap_or_default();
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        bytes
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (u16, Vec<u8>) {
        let end = self.shared.0.lock().unwrap().get(topic).map_or(0, Vec::len);
        if at.is_some_and(|at| at != end) {
            return (412, Vec::new());
        }
        let length = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
        self.put(topic, &key, &String::from_utf8_lossy(&body[5 + length..]));
        (200, b"{}".to_vec())
    }
}
