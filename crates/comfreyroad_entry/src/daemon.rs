//! The loop: the next event, the decision, the actions.

use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use comfreyroad::clock::Now;
use comfreyroad::controller::lifecycle::Phase;
use comfreyroad::{Action, Entry, Event};
use comfreyroad_net::{listener::Listener, runtime, server, signal};
use futures_channel::mpsc::{
    Receiver, Sender, UnboundedReceiver, UnboundedSender, channel, unbounded,
};
use futures_util::StreamExt;
use futures_util::future::select;

use crate::http::{Calls, Handler};
use crate::logger;
use crate::metrics::Metrics;
use crate::outside::Outside;
use crate::settings::Settings;

/// Time between two ticks while there is work.
const TICK: Duration = Duration::from_millis(50);
/// Time between two ticks while there is none.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// An entry that could not start, or whose loop broke.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {source}")]
pub struct Error {
    step: &'static str,
    peer: String,
    source: std::io::Error,
}

/// What the loop's tasks share. They queue events; only the loop lets the entry decide.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The decisions, read by status pages and changed by the loop alone.
    pub entry: Rc<RefCell<Entry>>,
    /// What is counted.
    pub metrics: Rc<Metrics>,
    /// Calls whose answers are under way.
    pub calls: Rc<RefCell<Calls>>,
    /// The settings.
    pub settings: Rc<Settings>,
    events: UnboundedSender<Event>,
    work: Rc<RefCell<Sender<()>>>,
}

impl Shared {
    /// Queues an event.
    pub fn queue(&self, event: Event) {
        if matches!(event, Event::Call(_) | Event::Shutdown) {
            // One word of work is enough until the ticks have heard it.
            let _ = self.work.borrow_mut().try_send(());
        }
        // The loop is gone only when the process ends.
        let _ = self.events.unbounded_send(event);
    }

    /// When the last connection is cut.
    fn last_moment(&self) -> Instant {
        let soon = Instant::now() + TICK;
        match self.entry.borrow().state().lifecycle.phase() {
            Phase::Gone(gone) => gone.until.max(soon),
            _ => soon,
        }
    }
}

/// Runs an entry until it is told to end.
pub fn run(settings: Settings) -> Result<(), Error> {
    let fail = |source| Error {
        step: "run",
        peer: "loop".into(),
        source,
    };
    runtime::run(serve(settings)).map_err(fail)?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let fail = |source| Error {
        step: "listen",
        peer: settings.listen.to_string(),
        source,
    };
    let listener = Listener::bind(settings.listen).map_err(fail)?;
    let (events, mut queue) = unbounded();
    let (work, worked) = channel(1);
    let shared = Shared {
        entry: Rc::new(RefCell::new(Entry::new(&settings.core))),
        metrics: Rc::default(),
        calls: Rc::default(),
        settings: Rc::new(settings),
        events,
        work: Rc::new(RefCell::new(work)),
    };
    let server = server::Server::new(listener);
    let handle = server.handle();
    let handler = Handler::new(shared.clone());
    let served = compio::runtime::spawn(
        server.serve(move |request, peer| handler.clone().answer(request, peer)),
    );
    compio::runtime::spawn(ticks(shared.clone(), worked)).detach();
    compio::runtime::spawn(signals(shared.clone())).detach();
    shared.queue(Event::Started);
    let mut outside = Outside::new(shared.clone());
    turn(&shared, &mut queue, &mut outside).await;
    // What has been answered reaches slow callers too, and late ones are told that they are late.
    handle.stop(shared.last_moment());
    let rest = pin!(turn(&shared, &mut queue, &mut outside));
    // Whatever became of the last connections, the process ends.
    let _ = select(served, rest).await;
    Ok(())
}

/// Ticks, and less often while there is no work.
async fn ticks(shared: Shared, mut worked: Receiver<()>) {
    loop {
        if shared.entry.borrow().is_idle() {
            let sleep = pin!(compio::time::sleep(IDLE_TICK));
            select(sleep, worked.next()).await;
        } else {
            compio::time::sleep(TICK).await;
        }
        shared.queue(Event::Tick);
    }
}

async fn signals(shared: Shared) {
    while signal::shutdown().await.is_ok() {
        shared.queue(Event::Shutdown);
    }
}

/// Turns until the entry says that it is at its end.
async fn turn(shared: &Shared, queue: &mut UnboundedReceiver<Event>, outside: &mut Outside) {
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
                    shared.calls.borrow_mut().pass(action);
                }
                action => outside.carry_out(action),
            }
        }
    }
}
