//! Stand-in of the platform's store: keyed topics in memory.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
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

    /// Writes a record, as the operator and the engines do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let _ = self.append(topic, key, value.as_bytes().to_vec(), None);
    }

    fn append(&self, topic: &str, key: &str, value: Vec<u8>, at: Option<u64>) -> Result<u64, u64> {
        let (topics, changed) = &*self.shared;
        let mut topics = topics.lock().expect("the topics");
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        records.push((key.to_owned(), value));
        changed.notify_all();
        Ok(end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let response = [head.as_bytes(), &body].concat();
            if stream.get_mut().write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|it| it.parse::<u64>().ok());
        match path {
            "/-/log-newest" => (200, self.newest(topic)),
            "/-/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let from = number("start_from").unwrap_or(0) as usize;
                (200, self.read(topic, from, wait))
            }
            "/-/log-append" => {
                let body = &request.body;
                let length = usize::from(body[4]);
                let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
                match self.append(topic, &key, body[5 + length..].to_vec(), number("at")) {
                    Ok(at) => {
                        let end = at + 1;
                        let text = format!("{{\"offset\":{at},\"end_offset\":{end}}}");
                        (200, text.into_bytes())
                    }
                    Err(end) => (412, format!("{{\"end_offset\":{end}}}").into_bytes()),
                }
            }
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.shared.0.lock().expect("the topics");
        let records = topics.get(topic).cloned().unwrap_or_default();
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

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (topics, changed) = &*self.shared;
        let deadline = Instant::now() + wait;
        let mut topics = topics.lock().expect("the topics");
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left).expect("the topics").0;
        }
        let records = topics.get(topic).cloned().unwrap_or_default();
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
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
