//! A stand-in of an engine, which does as the path of a request says.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::http::{self, Message};

/// What an engine has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    seen: Arc<Mutex<Seen>>,
}

#[derive(Debug, Default)]
struct Seen {
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
        self.seen.lock().unwrap().requests.clone()
    }

    pub(super) fn cancelled(&self) -> usize {
        self.seen.lock().unwrap().cancelled
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = http::read(&mut stream) {
            let times = {
                let mut seen = self.seen.lock().unwrap();
                seen.requests.push(request.clone());
                let id = request.header("x-comfreyroad-request-id");
                let same = |it: &&Message| it.header("x-comfreyroad-request-id") == id;
                seen.requests.iter().filter(same).count()
            };
            if !self.act(&mut stream, &request, times) {
                return;
            }
        }
    }

    /// Answers; returns whether the connection goes on.
    fn act(&self, stream: &mut BufReader<TcpStream>, request: &Message, times: usize) -> bool {
        let id = request.header("x-comfreyroad-request-id").to_owned();
        let head = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Comfreyroad-Request-Id: {id}\r\nX-Comfreyroad-Server-Signature: s\r\n{more}"
            )
        };
        let whole = head("200 OK", "Content-Length: 2\r\n\r\nok");
        let path = request.path().split('?').next().unwrap_or_default();
        let answer = match path.rsplit('/').next().unwrap_or_default() {
            "ok" => whole,
            "slow" => {
                std::thread::sleep(Duration::from_millis(700));
                whole
            }
            "crossed" => whole.replace(&id, "another"),
            "unsigned" => whole.replace("X-Comfreyroad-Server-Signature: s\r\n", ""),
            "full" => {
                "HTTP/1.1 503 X\r\nX-Comfreyroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .into()
            }
            "bare" => head("503 X", "Content-Length: 0\r\n\r\n"),
            "failed" => head("500 X", "Content-Length: 4\r\n\r\noops"),
            "closed" => return false,
            "extra" => format!("{whole}{whole}"),
            "unframed" => {
                let _ = stream
                    .get_mut()
                    .write_all(head("200 OK", "Connection: close\r\n\r\nok").as_bytes());
                return false;
            }
            "hang" => {
                let end = stream.read(&mut [0; 64]);
                if matches!(end, Ok(0) | Err(_)) {
                    self.seen.lock().unwrap().cancelled += 1;
                }
                return false;
            }
            "stream" => return self.stream(stream, request, &head("200 OK", ""), times),
            _ => "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n".into(),
        };
        stream.get_mut().write_all(answer.as_bytes()).is_ok()
    }

    /// Ten events. The first time it stops in the middle of the fifth, if the query says so.
    fn stream(
        &self,
        stream: &mut BufReader<TcpStream>,
        request: &Message,
        head: &str,
        times: usize,
    ) -> bool {
        let from: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let breaks =
            request.path().contains("breaks") && times == 1 || request.path().contains("always");
        let socket = stream.get_mut();
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in from + 1..=10 {
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let event = if breaks && number == 5 {
                &event[..9]
            } else {
                &event
            };
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if socket.write_all(chunk.as_bytes()).is_err() {
                self.seen.lock().unwrap().cancelled += 1;
                return false;
            }
            if breaks && number == 5 {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        socket.write_all(b"0\r\n\r\n").is_ok()
    }
}
