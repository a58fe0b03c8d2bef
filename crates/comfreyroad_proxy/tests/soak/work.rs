//! The work of an engine on one request, which it records step by step.

use std::io::ErrorKind::{TimedOut, WouldBlock};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::engine::{self, EVENTS, Engine, Run, event, head};
use super::http::Message;
use super::pause::{Pause, Step};

/// Interval at which an engine checks its connection while it works or pauses.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Why an engine stops before the end of its response.
#[derive(Debug)]
enum Stop {
    /// The engine breaks off.
    BrokenOff,
    /// The connection was closed at the other end.
    Closed,
}

/// Work on one request.
#[derive(Debug)]
pub(super) struct Work<'a> {
    engine: &'a Engine,
    stream: &'a mut TcpStream,
    run: usize,
    pause: Option<Pause>,
    breaks_off: bool,
}

impl<'a> Work<'a> {
    pub(super) fn new(
        engine: &'a Engine,
        stream: &'a mut TcpStream,
        run: usize,
        pause: Option<Pause>,
        breaks_off: bool,
    ) -> Self {
        Self {
            engine,
            stream,
            run,
            pause,
            breaks_off,
        }
    }

    /// Responds to the request. Returns whether the connection stays open.
    pub(super) fn respond(mut self, request: &Message) -> bool {
        let stopped = self.run(request);
        let now = Instant::now();
        self.record(|run| match stopped {
            Ok(()) => run.finished = Some(now),
            Err(Stop::BrokenOff) => run.is_cut = true,
            Err(Stop::Closed) => {
                run.note_silence(now);
                run.closed = Some(now);
            }
        });
        stopped.is_ok() && self.stream.set_read_timeout(None).is_ok()
    }

    fn run(&mut self, request: &Message) -> Result<(), Stop> {
        let id = request.header("x-comfreyroad-request-id");
        let (_, millis) = request.path().rsplit_once('/').unwrap_or_default();
        let duration = Duration::from_millis(millis.parse().unwrap_or(0));
        self.pause_at(Step::Start)?;
        self.record(|run| run.began = Some(Instant::now()));
        if request.path().starts_with("/events/") {
            let after = request.header("last-event-id").parse().unwrap_or(0);
            return self.stream(id, after, duration / EVENTS as u32);
        }
        // A plain response is paused as a stream without its events.
        for number in 1..=EVENTS {
            self.pause_at(Step::Event(number))?;
            self.work(duration / EVENTS as u32)?;
        }
        if self.breaks_off {
            return Err(Stop::BrokenOff);
        }
        let body = format!("ok {id}");
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.send(&head(id, "200 OK", &length))
    }

    /// Sends the events after the one with the given number.
    fn stream(&mut self, id: &str, after: u64, interval: Duration) -> Result<(), Stop> {
        let headers = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.write(&head(id, "200 OK", headers))?;
        for number in after + 1..=EVENTS {
            if self.breaks_off && number > EVENTS / 2 {
                return Err(Stop::BrokenOff);
            }
            self.work(interval)?;
            self.pause_at(Step::Event(number - after))?;
            let event = event(id, number);
            self.send(&format!("{:x}\r\n{event}\r\n", event.len()))?;
        }
        self.send("0\r\n\r\n")
    }

    fn work(&mut self, duration: Duration) -> Result<(), Stop> {
        let until = Instant::now() + duration;
        loop {
            self.record(|run| run.last_worked = Some(Instant::now()));
            if !self.wait(until)? {
                return Ok(());
            }
        }
    }

    /// Pauses if the pause is due at this step.
    fn pause_at(&mut self, step: Step) -> Result<(), Stop> {
        let Some(pause) = self.pause.take_if(|it| it.step == step) else {
            return Ok(());
        };
        let until = Instant::now() + pause.duration;
        while self.wait(until)? {}
        Ok(())
    }

    /// Waits for an interval, while watching the connection. Returns whether time is left.
    fn wait(&mut self, until: Instant) -> Result<bool, Stop> {
        if self.engine.is_crashed() {
            return Err(Stop::BrokenOff);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(false);
        }
        let timeout = left.min(CHECK_INTERVAL);
        let set = self.stream.set_read_timeout(Some(timeout));
        match set.and_then(|()| self.stream.peek(&mut [0])) {
            Ok(0) => Err(Stop::Closed),
            Ok(_) => {
                std::thread::sleep(timeout);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), WouldBlock | TimedOut) => Ok(true),
            Err(_) => Err(Stop::Closed),
        }
    }

    /// Sends a part of the response that is visible to the caller: an event or the end.
    fn send(&mut self, text: &str) -> Result<(), Stop> {
        self.write(text)?;
        self.record(Run::send);
        Ok(())
    }

    fn write(&mut self, text: &str) -> Result<(), Stop> {
        if self.engine.is_crashed() {
            return Err(Stop::BrokenOff);
        }
        if engine::send(self.stream, text) {
            Ok(())
        } else {
            Err(Stop::Closed)
        }
    }

    fn record(&self, update: impl FnOnce(&mut Run)) {
        update(&mut self.engine.runs.lock().unwrap()[self.run]);
    }
}
