//! A stand-in of the platform's store: keyed topics in memory, with the calls that the proxy makes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

/// The store; clones share the records.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), &body].concat();
            if stream.get_mut().write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let path = request.word(1);
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
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
        let topics = self.topics.0.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], |it| it);
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
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end != from || left.is_zero() {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], |it| it);
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
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if at.is_some_and(|at| at != end) {
            return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
        }
        let length = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
        records.push((key, body[5 + length..].to_vec()));
        self.topics.1.notify_all();
        let body = format!("{{\"offset\":{end},\"end_offset\":{}}}", end + 1);
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for at in 0..3 {
            number = number << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at > group.len() { '=' } else { digit.into() });
        }
    }
    text
}
