use std::time::Duration;

use super::{Customer, Job, Kind, Session};
use crate::chat::{Chat, Message};

/// Share of the sessions' requests that go on with an earlier conversation.
const NEXT_TURN: f64 = 0.6;

/// Mix of requests of one firm.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Its name.
    pub name: &'static str,
    /// Percent of all requests that are bookings.
    pub bookings: u32,
    /// Percent of all requests that are lookups.
    pub lookups: u32,
    /// Percent of the chat requests that are streamed.
    pub drafts: u32,
    /// Models asked for streamed answers, drawn evenly.
    pub draft_models: Vec<String>,
    /// Models asked for answers in one piece, drawn evenly.
    pub whole_models: Vec<String>,
    /// Paths of bookings, drawn evenly.
    pub booking_paths: Vec<&'static str>,
    /// Start of the paths of lookups.
    pub lookup_path: &'static str,
    /// Tokens of a streamed answer, from and to.
    pub draft_tokens: (u32, u32),
    /// Tokens of an answer in one piece, from and to.
    pub whole_tokens: (u32, u32),
    /// Bytes of the text with which each conversation of a customer begins.
    pub context_bytes: usize,
    /// Turns of a conversation at most.
    pub turns: u32,
    /// Time given to a streamed answer.
    pub draft_patience: Duration,
    /// Time given to an answer in one piece.
    pub whole_patience: Duration,
    /// Time given to bookings and lookups.
    pub plain_patience: Duration,
}

impl Profile {
    /// The commission studio: many long drafts.
    #[must_use]
    pub fn inkwell() -> Self {
        Self {
            name: "inkwell",
            bookings: 15,
            lookups: 20,
            drafts: 70,
            draft_models: vec!["draft".to_owned(), "sheet".to_owned()],
            whole_models: vec!["brief".to_owned()],
            booking_paths: vec!["/bookings", "/payments"],
            lookup_path: "/orders",
            draft_tokens: (60, 160),
            whole_tokens: (15, 40),
            context_bytes: 1200,
            turns: 4,
            draft_patience: Duration::from_secs(30),
            whole_patience: Duration::from_secs(10),
            plain_patience: Duration::from_secs(2),
        }
    }

    /// The fitting franchise: long prompts, and short questions.
    #[must_use]
    pub fn tahtiaskel() -> Self {
        Self {
            name: "tahtiaskel",
            bookings: 10,
            lookups: 20,
            drafts: 40,
            draft_models: vec!["plan".to_owned()],
            whole_models: vec!["sizing".to_owned(), "tag".to_owned()],
            booking_paths: vec!["/reservations"],
            lookup_path: "/stock",
            draft_tokens: (40, 80),
            whole_tokens: (8, 20),
            context_bytes: 4000,
            turns: 3,
            draft_patience: Duration::from_secs(8),
            whole_patience: Duration::from_secs(5),
            plain_patience: Duration::from_secs(2),
        }
    }

    /// Draws the next request; `idle` are conversations that wait for their next turn.
    pub fn job(
        &self,
        id: String,
        customer: Customer,
        idle: &mut Vec<Session>,
        rng: &mut fastrand::Rng,
    ) -> Job {
        let kind = self.kind(rng);
        let mut job = Job {
            id,
            kind,
            customer,
            chat: Chat::default(),
            path: self.lookup_path,
            session: Session::default(),
            patience: self.plain_patience,
        };
        match kind {
            Kind::Draft | Kind::Whole => self.fill(&mut job, idle, rng),
            Kind::Booking => {
                job.path = rng.choice(&self.booking_paths).copied().unwrap_or_default();
            }
            Kind::Lookup => {}
        }
        job
    }

    fn kind(&self, rng: &mut fastrand::Rng) -> Kind {
        let draw = rng.u32(0..100);
        if draw < self.bookings {
            return Kind::Booking;
        }
        if draw < self.bookings + self.lookups {
            return Kind::Lookup;
        }
        if rng.u32(0..100) < self.drafts {
            Kind::Draft
        } else {
            Kind::Whole
        }
    }

    fn fill(&self, job: &mut Job, idle: &mut Vec<Session>, rng: &mut fastrand::Rng) {
        let (models, (low, high), patience) = match job.kind {
            Kind::Draft => (&self.draft_models, self.draft_tokens, self.draft_patience),
            _ => (&self.whole_models, self.whole_tokens, self.whole_patience),
        };
        let model = &models[rng.usize(..models.len())];
        // Drawn before anything that hangs on earlier answers, so that runs with one seed are alike.
        let max_tokens = rng.u32(low..=high);
        let same = (0..idle.len()).filter(|index| idle[*index].model == *model);
        let earlier = rng
            .choice(same.collect::<Vec<_>>())
            .filter(|_| rng.f64() < NEXT_TURN);
        let mut session = if let Some(index) = earlier {
            idle.swap_remove(index)
        } else {
            let context = self.context(&job.customer.name);
            Session::new(
                model,
                vec![Message::new("system", context)],
                rng.u32(1..=self.turns),
            )
        };
        session.turns -= 1;
        let question = format!("{} asks {}", job.customer.name, job.id);
        session.messages.push(Message::new("user", question));
        job.patience = patience;
        job.chat = Chat {
            model: model.clone(),
            messages: session.messages.clone(),
            max_tokens,
            stream: job.kind == Kind::Draft,
        };
        job.session = session;
    }

    /// The same for all conversations of a customer, so that engines can cache it.
    fn context(&self, customer: &str) -> String {
        let line = format!("{} context of {customer}. ", self.name);
        line.repeat(self.context_bytes / line.len() + 1)
    }
}
