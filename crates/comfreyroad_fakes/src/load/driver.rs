use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use compio::time::sleep_until;
use serde_json::Value;

use super::{Balancer, Caller, Job, Options, Outcome, Session, Tally, Verdict};
use crate::{Error, Result};

/// Conversations of one customer in one profile that wait for their next turn.
type Idle = Rc<RefCell<Vec<Session>>>;

/// Sends requests at seeded times, whatever becomes of the earlier ones.
pub struct Driver {
    options: Options,
    rng: fastrand::Rng,
    caller: Rc<Caller>,
    balancer: Rc<Balancer>,
    idle: Vec<Idle>,
    number: u64,
    begin: Instant,
}

impl Driver {
    /// A driver that begins now.
    pub fn new(options: Options) -> Result<Self> {
        let balancer = Rc::new(Balancer::new(options.to.clone()));
        let caller = Caller::new(Rc::clone(&balancer), options.retries)?
            .with_delay(options.delay)
            .with_retries_of_broken(options.retries_broken);
        let conversations = options.profiles.len() * options.customers.len();
        Ok(Self {
            rng: fastrand::Rng::with_seed(options.seed),
            caller: Rc::new(caller),
            balancer,
            idle: (0..conversations).map(|_| Idle::default()).collect(),
            number: 0,
            begin: Instant::now(),
            options,
        })
    }

    /// Runs to the end and gives the counts.
    pub async fn run(mut self) -> Result<Value> {
        let end = self.begin + self.options.duration;
        // Dropped, and so ended, with this run.
        let _watch = self.options.health.map(|interval| {
            let balancer = Rc::clone(&self.balancer);
            compio::runtime::spawn(balancer.watch(interval))
        });
        let mut due = self.begin;
        let mut running: Vec<JoinHandle<Outcome>> = Vec::new();
        loop {
            due += self.gap();
            if due >= end || self.number >= self.options.max_requests {
                break;
            }
            sleep_until(due).await;
            let (job, idle) = self.next_job();
            let caller = Rc::clone(&self.caller);
            running.push(compio::runtime::spawn(one(caller, job, idle, self.begin)));
        }
        let mut outcomes = Vec::with_capacity(running.len());
        for handle in running {
            outcomes.extend(handle.await.ok());
        }
        self.trace(&outcomes)?;
        let mut tally = Tally::new().map_err(|err| Error::Settings(vec![err.to_string()]))?;
        for outcome in &outcomes {
            tally.add(outcome);
        }
        Ok(tally.json())
    }

    /// Time to the next arrival of a Poisson process.
    fn gap(&mut self) -> Duration {
        let draw = -(1.0 - self.rng.f64()).ln();
        Duration::from_secs_f64(draw / self.options.rate)
    }

    fn next_job(&mut self) -> (Job, Idle) {
        self.number += 1;
        let customer = self.rng.usize(..self.options.customers.len());
        let profile = self.profile_of(customer);
        let idle = Rc::clone(&self.idle[profile * self.options.customers.len() + customer]);
        let id = format!("load-{}-{}", self.options.seed, self.number);
        let customer = self.options.customers[customer].clone();
        let profile = &self.options.profiles[profile];
        // A generator of its own: what one request draws changes nothing for the later ones.
        let mut rng = self.rng.fork();
        let job = profile.job(id, customer, &mut idle.borrow_mut(), &mut rng);
        (job, idle)
    }

    /// Draws one of the profiles whose requests a customer sends.
    fn profile_of(&mut self, customer: usize) -> usize {
        let customer = &self.options.customers[customer];
        let sends = |index: &usize| customer.sends(&self.options.profiles[*index]);
        let fitting: Vec<usize> = (0..self.options.profiles.len()).filter(sends).collect();
        // The options are only taken with one for each customer.
        self.rng.choice(fitting).unwrap_or_default()
    }

    fn trace(&self, outcomes: &[Outcome]) -> Result<()> {
        let Some(path) = &self.options.trace else {
            return Ok(());
        };
        let fail = |source| Error::File {
            path: path.clone(),
            source,
        };
        let mut file = std::io::BufWriter::new(std::fs::File::create(path).map_err(fail)?);
        for outcome in outcomes {
            let line = serde_json::to_string(outcome).map_err(|err| fail(err.into()))?;
            writeln!(file, "{line}").map_err(fail)?;
        }
        file.flush().map_err(fail)
    }
}

async fn one(caller: Rc<Caller>, job: Job, idle: Idle, begin: Instant) -> Outcome {
    let is_chat = job.is_chat();
    let outcome = caller.run(job, begin).await;
    if is_chat && outcome.verdict == Verdict::Whole && outcome.session.turns > 0 {
        idle.borrow_mut().push(outcome.session.clone());
    }
    outcome
}
