use std::time::Duration;

use comfreyroad::action::Action;
use comfreyroad::{Entry, Event, Settings};

use super::journal::Enacted;
use super::{Bench, Outcome, Step, TICK};

/// An entry's VM.
pub(crate) struct Node {
    pub(crate) entry: Option<Entry>,
    pub(crate) settings: Settings,
    pub(crate) boot: u32,
    /// Whether the balancer sends work.
    pub(crate) ready: bool,
    held: Option<Vec<Held>>,
}

/// What waits until a paused entry goes on.
enum Held {
    Event(Event),
    Action(Action),
}

/// One start of one entry; what is meant for another start gets lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Post {
    pub(crate) node: usize,
    pub(crate) boot: u32,
}

impl Node {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            entry: None,
            settings,
            boot: 0,
            ready: false,
            held: None,
        }
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.held.is_some()
    }
}

impl Bench {
    /// Starts an entry anew; it knows nothing. One that runs is left alone.
    pub(crate) fn start(&mut self, node: usize) {
        let new = &mut self.nodes[node];
        if new.entry.is_some() {
            return;
        }
        new.boot += 1;
        new.settings.boot = format!("boot-{}", new.boot).into();
        new.entry = Some(Entry::new(&new.settings));
        new.held = None;
        let post = self.post(node);
        self.deliver(post, Event::Started);
        self.tick(post);
    }

    pub(crate) fn post(&self, node: usize) -> Post {
        let boot = self.nodes[node].boot;
        Post { node, boot }
    }

    pub(crate) fn is_up(&self, post: Post) -> bool {
        let node = &self.nodes[post.node];
        node.boot == post.boot && node.entry.is_some()
    }

    fn tick(&mut self, post: Post) {
        if !self.is_up(post) {
            return;
        }
        if !self.nodes[post.node].is_paused() {
            self.deliver(post, Event::Tick);
        }
        self.after(TICK, move |bench| bench.tick(post));
    }

    /// Hands an event to an entry, if it is still the same start.
    pub(crate) fn deliver(&mut self, post: Post, event: Event) {
        if !self.is_up(post) {
            return;
        }
        if !self.nodes[post.node].is_paused()
            && let Some((step, call)) = Step::before(&event)
        {
            self.reached(step, post.node, None, call);
        }
        if !self.is_up(post) {
            return;
        }
        let node = &mut self.nodes[post.node];
        if let Some(held) = &mut node.held {
            held.push(Held::Event(event));
            return;
        }
        let Some(entry) = &mut node.entry else { return };
        let arrived = match &event {
            Event::Call(request) => Some(request.head().call as usize),
            _ => None,
        };
        let actions = entry.handle(self.now, event);
        self.note_generation(post);
        if let Some(call) = arrived
            && !actions
                .iter()
                .any(|action| matches!(action, Action::Send(_) | Action::Refuse { .. }))
        {
            self.reached(Step::Waiting, post.node, None, Some(call));
        }
        for action in actions {
            self.perform_or_hold(post, action);
        }
    }

    fn perform_or_hold(&mut self, post: Post, action: Action) {
        if !self.is_up(post) {
            return;
        }
        match &mut self.nodes[post.node].held {
            Some(held) => held.push(Held::Action(action)),
            None => self.perform(post, action),
        }
    }

    fn note_generation(&mut self, post: Post) {
        let generation = self.generation(post.node);
        let known = self.journal.enacted.iter().rev();
        let known = known.clone().find(|enacted| enacted.post == post);
        if known.map_or(0, |enacted| enacted.generation) != generation {
            self.journal.enacted.push(Enacted { post, generation });
            self.reached(Step::InForce, post.node, None, None);
        }
    }

    /// The generation in force at an entry.
    pub(crate) fn generation(&self, node: usize) -> u64 {
        let entry = self.nodes[node].entry.as_ref();
        entry.map_or(0, |entry| entry.state().rules.generation())
    }

    /// Ends an entry at once; all that it knew is lost.
    pub(crate) fn kill(&mut self, node: usize) {
        self.end(node, Outcome::Lost);
    }

    /// An entry has ended by itself; what it still had is cut.
    pub(crate) fn exit(&mut self, node: usize) {
        self.end(node, Outcome::Cut);
    }

    fn end(&mut self, node: usize, outcome: Outcome) {
        let post = self.post(node);
        if self.nodes[node].entry.take().is_none() {
            return;
        }
        self.nodes[node].held = None;
        self.nodes[node].ready = false;
        for upstream in self.upstreams.values_mut() {
            upstream.hang_up(post);
        }
        let open = |call: &usize| self.calls[*call].is_open_at(post);
        let open: Vec<usize> = (0..self.calls.len()).filter(open).collect();
        for call in open {
            self.end_call(call, outcome);
        }
    }

    /// Stops an entry's loop; what comes for it waits.
    pub(crate) fn pause(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if node.entry.is_some() {
            node.held.get_or_insert_default();
        }
    }

    /// Whether an entry is paused.
    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].held.is_some()
    }

    /// Lets a paused entry go on.
    pub(crate) fn resume(&mut self, node: usize) {
        let post = self.post(node);
        for held in self.nodes[node].held.take().unwrap_or_default() {
            match held {
                Held::Event(event) => self.deliver(post, event),
                Held::Action(action) => self.perform_or_hold(post, action),
            }
        }
    }

    /// Asks an entry to end in good order.
    pub(crate) fn shut_down(&mut self, node: usize) {
        let post = self.post(node);
        self.deliver(post, Event::Shutdown);
    }

    /// Kills an entry and starts it anew after a while.
    pub(crate) fn restart_after(&mut self, node: usize, wait: Duration) {
        self.kill(node);
        self.after(wait, move |bench| bench.start(node));
    }
}
