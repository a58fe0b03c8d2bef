use std::time::Duration;

use super::{Customer, Job, Kind, Session};
use crate::chat::{Chat, Message};

/// Probability that a chat request continues an earlier conversation, if one awaits its next turn.
const NEXT_TURN_PROBABILITY: f64 = 0.6;

/// Mix of requests of one firm.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name of the firm.
    pub name: &'static str,
    /// Percentage of bookings among all requests.
    pub bookings: u32,
    /// Percentage of lookups among all requests.
    pub lookups: u32,
    /// Percentage of streamed requests among the chat requests.
    pub drafts: u32,
    /// Models for streamed answers, drawn with equal probability.
    pub draft_models: Vec<String>,
    /// Models for unstreamed answers, drawn with equal probability.
    pub whole_models: Vec<String>,
    /// Paths of bookings, drawn with equal probability.
    pub booking_paths: Vec<&'static str>,
    /// Path prefix of lookups.
    pub lookup_path: &'static str,
    /// Minimum and maximum number of tokens of a streamed answer.
    pub draft_tokens: (u32, u32),
    /// Minimum and maximum number of tokens of an unstreamed answer.
    pub whole_tokens: (u32, u32),
    /// Minimum size in bytes of the context that begins each conversation.
    pub context_bytes: usize,
    /// Maximum number of turns of a conversation.
    pub turns: u32,
    /// Timeout of a streamed answer.
    pub draft_timeout: Duration,
    /// Timeout of an unstreamed answer.
    pub whole_timeout: Duration,
    /// Timeout of bookings and lookups.
    pub plain_timeout: Duration,
}

impl Profile {
    /// The commission studio, which mostly requests long streamed drafts.
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
            draft_timeout: Duration::from_secs(30),
            whole_timeout: Duration::from_secs(10),
            plain_timeout: Duration::from_secs(2),
        }
    }

    /// The fitting franchise, which sends long prompts and expects short answers.
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
            draft_timeout: Duration::from_secs(8),
            whole_timeout: Duration::from_secs(5),
            plain_timeout: Duration::from_secs(2),
        }
    }

    /// Draws the next request; `idle` holds the conversations that await their next turn.
    pub fn job(
        &self,
        id: String,
        customer: Customer,
        idle: &mut Vec<Session>,
        rng: &mut fastrand::Rng,
    ) -> Job {
        let kind = self.draw_kind(rng);
        let mut job = Job {
            id,
            kind,
            customer,
            chat: Chat::default(),
            path: self.lookup_path,
            session: Session::default(),
            timeout: self.plain_timeout,
        };
        match kind {
            Kind::Draft | Kind::Whole => self.fill_chat(&mut job, idle, rng),
            Kind::Booking => {
                job.path = rng.choice(&self.booking_paths).copied().unwrap_or_default();
            }
            Kind::Lookup => {}
        }
        job
    }

    fn draw_kind(&self, rng: &mut fastrand::Rng) -> Kind {
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

    fn fill_chat(&self, job: &mut Job, idle: &mut Vec<Session>, rng: &mut fastrand::Rng) {
        let (models, (low, high), timeout) = match job.kind {
            Kind::Draft => (&self.draft_models, self.draft_tokens, self.draft_timeout),
            _ => (&self.whole_models, self.whole_tokens, self.whole_timeout),
        };
        let model = &models[rng.usize(..models.len())];
        // Drawn before anything that depends on earlier answers, so that runs with the same seed draw the same values.
        let max_tokens = rng.u32(low..=high);
        let candidates = (0..idle.len()).filter(|index| idle[*index].model == *model);
        let earlier = rng
            .choice(candidates.collect::<Vec<_>>())
            .filter(|_| rng.f64() < NEXT_TURN_PROBABILITY);
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
        job.timeout = timeout;
        job.chat = Chat {
            model: model.clone(),
            messages: session.messages.clone(),
            max_tokens,
            stream: job.kind == Kind::Draft,
        };
        job.session = session;
    }

    /// Context that is the same for all conversations of a customer, so that engines can cache it.
    fn context(&self, customer: &str) -> String {
        let line = format!("{} context of {customer}. ", self.name);
        line.repeat(self.context_bytes / line.len() + 1)
    }
}
