//! A fake server on 127.0.0.1 for the log service, the VM list and an entry, and a function to run the command.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use comfreyroad::record::Record;
use comfreyroad_cli::Exit;
use comfreyroad_wire::platform::{self, Append, Appended, Page};
use data_encoding::BASE64;

/// How the fake server handles an append.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Stores it and closes the connection without a response.
    Lost,
    /// Closes the connection without storing it.
    Dropped,
    /// Responds with status 503.
    Refused,
    /// Stores another record before it.
    Overtaken(Record),
}

/// State of the fake server.
#[derive(Default)]
pub(crate) struct State {
    /// Records of the rules stream.
    pub(crate) rules: Vec<Record>,
    /// Records of the ledger stream.
    pub(crate) ledger: Vec<Record>,
    /// Faults of the next appends, in order.
    pub(crate) faults: Vec<Fault>,
    /// Offset before which records have expired.
    pub(crate) oldest: usize,
    /// Number of append requests.
    pub(crate) appends: usize,
    /// JSON response of `GET /status`; status 404 if empty.
    pub(crate) status: String,
    /// JSON response of `GET /v1/vms`; status 404 if empty.
    pub(crate) vms: String,
}

/// A running fake server.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
}

impl Fake {
    pub(crate) fn start(state: State) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Self { address, state }
    }

    pub(crate) fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().expect("the state"));
    }
}

/// Runs a command line and returns its exit status, standard output and standard error.
pub(crate) fn run_command(line: &str) -> (Exit, String, String) {
    let args: Vec<String> = line.split_whitespace().map(String::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = comfreyroad_cli::run(&args, |_| None, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (exit, text(out), text(err))
}

fn serve(stream: &TcpStream, shared: &Mutex<State>) -> Option<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut head = String::new();
        reader.read_line(&mut head).ok().filter(|read| *read > 0)?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let line = line.to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let path = head.split(' ').nth(1)?;
        let mut state = shared.lock().ok()?;
        let response = respond(path, &body, &mut state);
        drop(state);
        let (status, body) = response?;
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = stream;
        stream.write_all((head + &body).as_bytes()).ok()?;
    }
}

/// Status and body of the response; `None` closes the connection without one.
fn respond(path: &str, body: &[u8], state: &mut State) -> Option<(u16, String)> {
    let or_missing = |text: &String| match text.as_str() {
        "" => (404, String::new()),
        text => (200, text.to_owned()),
    };
    let rest = match path {
        "/status" => return Some(or_missing(&state.status)),
        "/v1/vms" => return Some(or_missing(&state.vms)),
        "/explain/r%201" => return Some((200, r#"{"request":"r 1"}"#.into())),
        _ => path.strip_prefix("/v1/streams/"),
    };
    let Some((stream, action)) = rest.and_then(|rest| rest.split_once('/')) else {
        return Some((404, String::new()));
    };
    if action == "append" {
        return append(body, state);
    }
    let from = action.split(['=', '&']).nth(1)?.parse().ok()?;
    let records = if stream == "rules" {
        &state.rules
    } else {
        &state.ledger
    };
    Some((
        200,
        serde_json::to_string(&page(records, state.oldest, from)).ok()?,
    ))
}

fn page(records: &[Record], oldest: usize, from: usize) -> Page {
    let stored = |(offset, record)| platform::Record {
        offset: offset as u64,
        at_ms: 1000,
        body: BASE64.encode(&comfreyroad_wire::record::encode(record)),
    };
    // Pages of two records, so that a read takes several pages.
    let wanted = records.iter().enumerate().skip(from.max(oldest)).take(2);
    Page {
        oldest: oldest as u64,
        next: records.len() as u64,
        records: wanted.map(stored).collect(),
    }
}

fn append(body: &[u8], state: &mut State) -> Option<(u16, String)> {
    state.appends += 1;
    let fault = (!state.faults.is_empty()).then(|| state.faults.remove(0));
    match &fault {
        Some(Fault::Refused) => return Some((503, String::new())),
        Some(Fault::Dropped) => return None,
        Some(Fault::Overtaken(record)) => state.rules.push(record.clone()),
        _ => {}
    }
    let append: Append = serde_json::from_slice(body).ok()?;
    let first = state.rules.len() as u64;
    for body in &append.records {
        let bytes = BASE64.decode(body.as_bytes()).ok()?;
        state
            .rules
            .push(comfreyroad_wire::record::decode(&bytes).ok()?);
    }
    let next = state.rules.len() as u64;
    let is_lost = matches!(fault, Some(Fault::Lost));
    (!is_lost).then(|| {
        (
            200,
            serde_json::to_string(&Appended { first, next }).unwrap_or_default(),
        )
    })
}
