//! The event loop: takes the next event, lets the entry decide, and executes the actions.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::controller::lifecycle::Phase;
use comfreyroad::{Action, Entry, Event};
use comfreyroad_net::signal::{self, Signal};
use comfreyroad_net::{listener::Listener, runtime, server};
use futures_channel::mpsc::{
    Receiver, Sender, UnboundedReceiver, UnboundedSender, channel, unbounded,
};
use futures_util::StreamExt;
use futures_util::future::select;

use crate::executor::Executor;
use crate::http::{Calls, Handler};
use crate::logger;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Interval of ticks while the entry has work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of ticks while the entry is idle.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for answers to calls on connections that are established while the server stops accepting.
const LATE_CALL_TIME: Duration = Duration::from_millis(250);

/// The entry failed to start, or its event loop failed.
#[derive(Debug, thiserror::Error)]
#[error("{step} {subject}: {source}")]
pub struct Error {
    step: &'static str,
    subject: String,
    source: std::io::Error,
}

/// State shared by the tasks. They only queue events; the event loop passes them to the entry.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The entry that takes the decisions. Status pages read it; only the event loop changes it.
    pub entry: Rc<RefCell<Entry>>,
    /// Metrics of this process.
    pub metrics: Rc<Metrics>,
    /// Calls whose answers are not complete.
    pub calls: Rc<RefCell<Calls>>,
    /// The settings.
    pub settings: Rc<Settings>,
    events: UnboundedSender<Event>,
    wake_ticks: Rc<RefCell<Sender<()>>>,
}

impl Shared {
    /// Queues an event.
    pub fn queue(&self, event: Event) {
        if matches!(event, Event::Call(_) | Event::Shutdown) {
            // One queued wake-up is enough until the tick task receives it.
            let _ = self.wake_ticks.borrow_mut().try_send(());
        }
        // The receiver is dropped only when the process ends.
        let _ = self.events.unbounded_send(event);
    }

    /// Deadline after which the remaining connections are closed.
    fn connection_deadline(&self) -> Instant {
        let soon = Instant::now() + LATE_CALL_TIME;
        match self.entry.borrow().state().lifecycle.phase() {
            Phase::Gone(gone) => gone.until.max(soon),
            _ => soon,
        }
    }
}

/// Runs an entry until its shutdown is complete.
pub fn run(settings: Settings) -> Result<(), Error> {
    let to_error = |source| Error {
        step: "run",
        subject: "loop".into(),
        source,
    };
    runtime::run(serve(settings)).map_err(to_error)?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let signals = signal::Listener::new(&Signal::SHUTDOWN).map_err(|source| Error {
        step: "handle",
        subject: "signals".into(),
        source,
    })?;
    let to_error = |source| Error {
        step: "listen",
        subject: settings.listen.to_string(),
        source,
    };
    let listener = Listener::bind(settings.listen).map_err(to_error)?;
    let (events, mut queue) = unbounded();
    let (wake_ticks, wake) = channel(1);
    let shared = Shared {
        entry: Rc::new(RefCell::new(Entry::new(&settings.core))),
        metrics: Rc::default(),
        calls: Rc::default(),
        settings: Rc::new(settings),
        events,
        wake_ticks: Rc::new(RefCell::new(wake_ticks)),
    };
    let server = server::Server::new(listener);
    let handle = server.handle();
    let handler = Handler::new(shared.clone());
    let served = compio::runtime::spawn(
        server.serve(move |request, peer| handler.clone().answer(request, peer)),
    );
    compio::runtime::spawn(send_ticks(shared.clone(), wake)).detach();
    compio::runtime::spawn(forward_signals(shared.clone(), signals)).detach();
    shared.queue(Event::Started);
    let mut executor = Executor::new(shared.clone());
    process_events(&shared, &mut queue, &mut executor).await;
    // Until the deadline, slow callers can receive the rest of their answers, and late calls get a refusal.
    handle.stop(shared.connection_deadline());
    let late_events = pin!(process_events(&shared, &mut queue, &mut executor));
    // The process ends whether or not the last connections were closed without an error.
    let _ = select(served, late_events).await;
    Ok(())
}

/// Queues a tick at each interval, which is longer while the entry is idle.
async fn send_ticks(shared: Shared, mut wake: Receiver<()>) {
    loop {
        if shared.entry.borrow().is_idle() {
            let sleep = pin!(compio::time::sleep(IDLE_TICK_INTERVAL));
            select(sleep, wake.next()).await;
        } else {
            compio::time::sleep(TICK_INTERVAL).await;
        }
        shared.queue(Event::Tick);
    }
}

/// Queues a shutdown for each signal. A second one cuts the calls that are still open.
async fn forward_signals(shared: Shared, mut signals: signal::Listener) {
    loop {
        match signals.next().await {
            Ok(_) => shared.queue(Event::Shutdown),
            Err(error) => {
                log::error!("signals not received: {error}");
                compio::time::sleep(TICK_INTERVAL).await;
            }
        }
    }
}

/// Processes events until the entry asks to exit.
async fn process_events(
    shared: &Shared,
    queue: &mut UnboundedReceiver<Event>,
    executor: &mut Executor,
) {
    while let Some(event) = queue.next().await {
        let now = Now {
            instant: Instant::now(),
            system: SystemTime::now(),
        };
        let actions = shared.entry.borrow_mut().handle(now, event);
        for action in actions {
            shared.metrics.count(&action);
            match action {
                Action::Exit => return,
                Action::Ready(_) => {}
                Action::Note(note) => logger::write(&note, shared.settings.log_format),
                Action::Begin { .. }
                | Action::Deliver { .. }
                | Action::Finish { .. }
                | Action::Abort(_)
                | Action::Refuse { .. }
                | Action::Reply { .. } => {
                    shared.calls.borrow_mut().forward(action);
                }
                action => executor.execute(action),
            }
        }
    }
}
