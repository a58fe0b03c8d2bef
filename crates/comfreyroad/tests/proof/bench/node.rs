use std::time::Duration;

use comfreyroad::action::Action;
use comfreyroad::{Entry, Event, Settings};

use super::journal::Applied;
use super::{Bench, Outcome, Step, TICK};

/// The VM of one entry.
pub(crate) struct Node {
    pub(crate) entry: Option<Entry>,
    pub(crate) settings: Settings,
    pub(crate) boot: u32,
    /// Whether the load balancer sends requests to the entry.
    pub(crate) ready: bool,
    deferred: Option<Vec<Deferred>>,
}

/// An event or action that is deferred while the entry is paused.
enum Deferred {
    Event(Event),
    Action(Action),
}

/// One run of an entry between two starts. Events for an earlier instance are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
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
            deferred: None,
        }
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.deferred.is_some()
    }
}

impl Bench {
    /// Starts an entry with empty state; does nothing if it is running.
    pub(crate) fn start(&mut self, node: usize) {
        let new = &mut self.nodes[node];
        if new.entry.is_some() {
            return;
        }
        new.boot += 1;
        new.settings.boot = format!("boot-{}", new.boot).into();
        new.entry = Some(Entry::new(&new.settings));
        new.deferred = None;
        let instance = self.instance(node);
        self.deliver(instance, Event::Started);
        self.tick(instance);
    }

    pub(crate) fn instance(&self, node: usize) -> Instance {
        let boot = self.nodes[node].boot;
        Instance { node, boot }
    }

    pub(crate) fn is_up(&self, instance: Instance) -> bool {
        let node = &self.nodes[instance.node];
        node.boot == instance.boot && node.entry.is_some()
    }

    fn tick(&mut self, instance: Instance) {
        if !self.is_up(instance) {
            return;
        }
        if !self.nodes[instance.node].is_paused() {
            self.deliver(instance, Event::Tick);
        }
        self.after(TICK, move |bench| bench.tick(instance));
    }

    /// Delivers an event if the instance is still running.
    pub(crate) fn deliver(&mut self, instance: Instance, event: Event) {
        if !self.is_up(instance) {
            return;
        }
        if !self.nodes[instance.node].is_paused()
            && let Some((step, call)) = Step::reached_by(&event)
        {
            self.reached(step, instance.node, None, call);
        }
        if !self.is_up(instance) {
            return;
        }
        let node = &mut self.nodes[instance.node];
        if let Some(deferred) = &mut node.deferred {
            deferred.push(Deferred::Event(event));
            return;
        }
        let Some(entry) = &mut node.entry else { return };
        let arrived = match &event {
            Event::Call(request) => Some(request.head().call as usize),
            _ => None,
        };
        let actions = entry.handle(self.now, event);
        self.note_generation(instance);
        if let Some(call) = arrived
            && !actions
                .iter()
                .any(|action| matches!(action, Action::Send(_) | Action::Refuse { .. }))
        {
            self.reached(Step::Waiting, instance.node, None, Some(call));
        }
        for action in actions {
            self.perform_or_defer(instance, action);
        }
    }

    fn perform_or_defer(&mut self, instance: Instance, action: Action) {
        if !self.is_up(instance) {
            return;
        }
        match &mut self.nodes[instance.node].deferred {
            Some(deferred) => deferred.push(Deferred::Action(action)),
            None => self.perform(instance, action),
        }
    }

    fn note_generation(&mut self, instance: Instance) {
        let generation = self.generation(instance.node);
        let last_applied = self.journal.applied.iter().rev();
        let last_applied = last_applied
            .clone()
            .find(|applied| applied.instance == instance);
        if last_applied.map_or(0, |applied| applied.generation) != generation {
            self.journal.applied.push(Applied {
                instance,
                generation,
            });
            self.reached(Step::InForce, instance.node, None, None);
        }
    }

    /// Returns the generation in force at an entry.
    pub(crate) fn generation(&self, node: usize) -> u64 {
        let entry = self.nodes[node].entry.as_ref();
        entry.map_or(0, |entry| entry.state().rules.generation())
    }

    /// Kills an entry; its state in memory is lost.
    pub(crate) fn kill(&mut self, node: usize) {
        self.end(node, Outcome::Lost);
    }

    /// Handles the exit of an entry; its open requests are cut.
    pub(crate) fn exit(&mut self, node: usize) {
        self.end(node, Outcome::Cut);
    }

    fn end(&mut self, node: usize, outcome: Outcome) {
        let instance = self.instance(node);
        if self.nodes[node].entry.take().is_none() {
            return;
        }
        self.nodes[node].deferred = None;
        self.nodes[node].ready = false;
        for upstream in self.upstreams.values_mut() {
            upstream.hang_up(instance);
        }
        let open = |call: &usize| self.calls[*call].is_open_at(instance);
        let open: Vec<usize> = (0..self.calls.len()).filter(open).collect();
        for call in open {
            self.end_call(call, outcome);
        }
    }

    /// Pauses an entry's loop; events for it are deferred.
    pub(crate) fn pause(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        if node.entry.is_some() {
            node.deferred.get_or_insert_default();
        }
    }

    /// Returns whether an entry is paused.
    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.nodes[node].deferred.is_some()
    }

    /// Resumes a paused entry and processes the deferred events.
    pub(crate) fn resume(&mut self, node: usize) {
        let instance = self.instance(node);
        for deferred in self.nodes[node].deferred.take().unwrap_or_default() {
            match deferred {
                Deferred::Event(event) => self.deliver(instance, event),
                Deferred::Action(action) => self.perform_or_defer(instance, action),
            }
        }
    }

    /// Starts a graceful shutdown of an entry.
    pub(crate) fn shut_down(&mut self, node: usize) {
        let instance = self.instance(node);
        self.deliver(instance, Event::Shutdown);
    }

    /// Kills an entry and restarts it after a delay.
    pub(crate) fn restart_after(&mut self, node: usize, wait: Duration) {
        self.kill(node);
        self.after(wait, move |bench| bench.start(node));
    }
}
