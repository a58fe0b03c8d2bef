//! A fake engine. The last segment of a request's path selects its behaviour.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::cut::Cut;
use super::flood::Flood;
use super::http::{self, Message};

/// A fake engine; clones share its state.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    requests: Vec<Message>,
    cancelled: usize,
}

impl Engine {
    pub(super) fn start() -> (Self, SocketAddr) {
        let engine = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let served = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                std::thread::spawn(move || engine.serve(stream));
            }
        });
        (engine, address)
    }

    pub(super) fn requests(&self) -> Vec<Message> {
        self.state.lock().unwrap().requests.clone()
    }

    pub(super) fn cancelled(&self) -> usize {
        self.state.lock().unwrap().cancelled
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut stream) {
            let attempt = {
                let mut state = self.state.lock().unwrap();
                state.requests.push(request.clone());
                let id = request.header("x-comfreyroad-request-id");
                let same = |it: &&Message| it.header("x-comfreyroad-request-id") == id;
                state.requests.iter().filter(same).count()
            };
            let rejects = request.path().contains("rejects-second") && attempt == 2
                || request.path().contains("rejects-later") && attempt > 1;
            if rejects {
                let refusal = refusal(request.header("x-comfreyroad-request-id"));
                if stream.get_mut().write_all(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let later = millis(&request, "second-waits-").filter(|_| attempt > 1);
            if let Some(wait) = millis(&request, "waits-").or(later) {
                std::thread::sleep(wait);
            }
            if !self.respond(&mut stream, &request, attempt) {
                return;
            }
        }
    }

    /// Responds to a request and returns whether the connection stays open. `attempt` counts the requests with the same
    /// id.
    fn respond(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Message,
        attempt: usize,
    ) -> bool {
        let id = request.header("x-comfreyroad-request-id").to_owned();
        let head = |status: &str, rest: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{rest}"
            )
        };
        let ok = head("200 OK", "Content-Length: 2\r\n\r\nok");
        let path = request.path().split('?').next().unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default();
        if send_fault(stream, name, head) {
            return false;
        }
        let response = match name {
            "ok" => ok,
            "slow" => {
                std::thread::sleep(Duration::from_millis(700));
                ok
            }
            "crossed" => ok.replace(&id, "another"),
            "unsigned" => ok.replace("X-Comfreyroad-Server-Signature: s\r\n", ""),
            "full" => refusal(&id),
            "refused-again" => return refuse_twice(stream, &id, &refusal(&id)),
            "refused-again-unnamed" => {
                let copy = refusal(&id).replace("X-Comfreyroad-Request-Id", "X-Other");
                return refuse_twice(stream, &id, &copy);
            }
            "large" => large(head),
            "refused-again-late" => return self.refuse_again_later(stream, &refusal(&id)),
            "unconfirmed" => head("503 X", "Content-Length: 0\r\n\r\n"),
            "failed" => head("500 X", "Content-Length: 4\r\n\r\noops"),
            "closed" => return false,
            "extra" => format!("{ok}{ok}"),
            "copied" => {
                let length = id.len();
                let own = head("200 OK", &format!("Content-Length: {length}\r\n\r\n{id}"));
                if stream.get_mut().write_all(own.as_bytes()).is_err() {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(
                    3 * (attempt as u64 + length as u64 % 2),
                ));
                own
            }
            "unframed" => {
                let _ = stream
                    .get_mut()
                    .write_all(head("200 OK", "Connection: close\r\n\r\nok").as_bytes());
                return false;
            }
            "hang" => {
                let end = stream.read(&mut [0; 64]);
                if matches!(end, Ok(0) | Err(_)) {
                    self.state.lock().unwrap().cancelled += 1;
                }
                return false;
            }
            "stream" => return self.stream(stream, request, &head("200 OK", ""), attempt),
            _ => "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".into(),
        };
        stream.get_mut().write_all(response.as_bytes()).is_ok()
    }

    /// Sends a rejection, and a copy of it without an id in front of the answer to the next request.
    fn refuse_again_later(&self, stream: &mut BufReader<TcpStream>, refusal: &str) -> bool {
        if stream.get_mut().write_all(refusal.as_bytes()).is_err() {
            return false;
        }
        let Some(next) = http::read_message(stream) else {
            return false;
        };
        self.state.lock().unwrap().requests.push(next.clone());
        let copy = refusal.replace("X-Comfreyroad-Request-Id", "X-Other");
        stream.get_mut().write_all(copy.as_bytes()).is_ok() && self.respond(stream, &next, 1)
    }

    /// Sends ten events, by default one every 20 ms; `every-MS` in the path sets another interval, and with `pauses-MS` each
    /// attempt pauses once after its third event. Breaks off inside the fifth event on the first attempt if the path contains `breaks`, on every
    /// attempt if it contains `always`. If the path contains `unframed`, the stream has neither a length nor chunks and ends with
    /// the connection; if it contains `empty`, the first attempt ends after the head.
    fn stream(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Message,
        head: &str,
        attempt: usize,
    ) -> bool {
        if attempt > 1
            && let Some((response, stays_open)) = unusable(request, head)
        {
            return stream.get_mut().write_all(response.as_bytes()).is_ok() && stays_open;
        }
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let stalls = request
            .path()
            .split('/')
            .find_map(stall)
            .filter(|_| attempt == 1);
        let breaks =
            request.path().contains("breaks") && attempt == 1 || request.path().contains("always");
        let interval = millis(request, "every-").unwrap_or(Duration::from_millis(20));
        let pause = millis(request, "pauses-");
        let socket = stream.get_mut();
        let is_unframed = request.path().contains("unframed");
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        if request.path().contains("empty") && attempt == 1 {
            return !is_unframed && socket.write_all(b"0\r\n\r\n").is_ok();
        }
        for number in from + 1..=10 {
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let event = if breaks && number == 5 {
                &event[..9]
            } else {
                &event
            };
            let chunk = if is_unframed {
                event.to_owned()
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            if socket.write_all(chunk.as_bytes()).is_err() {
                self.state.lock().unwrap().cancelled += 1;
                return false;
            }
            if breaks && number == 5 {
                return false;
            }
            if let Some((text, pause)) = stalls.filter(|_| number == 3) {
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                while socket.write_all(chunk.as_bytes()).is_ok() {
                    std::thread::sleep(pause);
                }
                self.state.lock().unwrap().cancelled += 1;
                return false;
            }
            let is_pause = number == from + 3;
            std::thread::sleep(pause.filter(|_| is_pause).unwrap_or(interval));
        }
        !is_unframed && socket.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// A time in milliseconds that a segment of the path states after a name. With `waits-MS`, an answer begins so much later, and with
/// `second-waits-MS` those of later attempts do.
fn millis(request: &Message, name: &str) -> Option<Duration> {
    let mut segments = request.path().split('/');
    let value = segments.find_map(|it| it.strip_prefix(name))?;
    Some(Duration::from_millis(value.parse().unwrap()))
}

/// An answer that is longer than the buffers of a connection whose receiver reads nothing.
fn large(head: impl Fn(&str, &str) -> String) -> String {
    let body = "x".repeat(1_000_000);
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    head("200 OK", &length) + &body
}

/// The rejection of a request that has not run.
fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 X\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a rejection and, some milliseconds later, a copy of it.
fn refuse_twice(stream: &mut BufReader<TcpStream>, id: &str, copy: &str) -> bool {
    if stream.get_mut().write_all(refusal(id).as_bytes()).is_err() {
        return false;
    }
    std::thread::sleep(Duration::from_millis(3 * (id.len() as u64 % 3)));
    stream.get_mut().write_all(copy.as_bytes()).is_ok()
}

/// A response that continues no stream, by a segment of the path, and whether the connection stays open after it. The body looks
/// like events.
fn unusable(request: &Message, head: &str) -> Option<(String, bool)> {
    const BODY: &str = "id: 5\ndata: oops\n\nid: 6\ndata: oops\n\n";
    let name = request
        .path()
        .split('/')
        .find_map(|it| it.strip_prefix("then-"))?;
    let (status, rest) = match name {
        "gone" => {
            let rest = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
            return Some((format!("{head}{rest}"), false));
        }
        "text" => ("200 OK", "Content-Type: text/plain\r\n"),
        "untyped" => ("200 OK", ""),
        "503" => ("503", "X-Comfreyroad-Not-Executed: 1\r\n"),
        status => (status, ""),
    };
    let body = if name == "204" { "" } else { BODY };
    let head = head.replacen("200 OK", status, 1);
    let length = body.len();
    Some((
        format!("{head}{rest}Content-Length: {length}\r\n\r\n{body}"),
        true,
    ))
}

/// Sends the fault of that name, if there is one.
fn send_fault(
    stream: &mut BufReader<TcpStream>,
    name: &str,
    head: impl Fn(&str, &str) -> String,
) -> bool {
    if let Some((start, text)) = endless(name, &head) {
        send_endlessly(stream, &start, &text);
    } else if let Some(flood) = Flood::of(name, &head) {
        flood.send(stream.get_mut());
    } else if let Some(cut) = Cut::of(name, &head) {
        cut.send(stream.get_mut());
    } else {
        return false;
    }
    true
}

/// The start of a response without end, and the text that follows again and again.
fn endless(name: &str, head: impl Fn(&str, &str) -> String) -> Option<(String, String)> {
    let block = "x".repeat(4096);
    Some(match name {
        "endless-head" => (head("200 OK", ""), "X-More: and more\r\n".into()),
        "endless-line" => (head("200 OK", "X-More: "), "and more ".into()),
        "endless-1xx" => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".into()),
        "endless-body" => (head("200 OK", "Connection: close\r\n\r\n"), block),
        "endless-chunks" => {
            let head = head("200 OK", "Transfer-Encoding: chunked\r\n\r\n");
            (head, format!("1000\r\n{block}\r\n"))
        }
        _ => return None,
    })
}

/// Sends a head and then the same text until the peer closes the connection.
fn send_endlessly(stream: &mut BufReader<TcpStream>, head: &str, text: &str) {
    let socket = stream.get_mut();
    if socket.write_all(head.as_bytes()).is_ok() {
        while socket.write_all(text.as_bytes()).is_ok() {}
    }
}

/// What a stream that stalls after its third event sends instead of events, and how often.
fn stall(name: &str) -> Option<(&'static str, Duration)> {
    match name {
        "comments" => Some((":\n\n", Duration::from_millis(100))),
        "repeats" => Some(("id: 2\ndata: event 2\n\n", Duration::from_millis(100))),
        "drip" => Some(("d", Duration::from_millis(100))),
        "flood" => Some((": more\n\n: and more\n\n", Duration::ZERO)),
        _ => None,
    }
}
