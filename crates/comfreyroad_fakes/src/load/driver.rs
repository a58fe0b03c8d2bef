use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;
use compio::time::sleep_until;
use serde_json::Value;

use super::{Balancer, Caller, Job, Options, Outcome, Session, Tally, Verdict};
use crate::{Error, Result};

/// Conversations of one customer in one profile that await their next turn.
type Idle = Rc<RefCell<Vec<Session>>>;

/// Open-loop load generator: sends requests at times drawn from a seed, independent of earlier answers.
pub struct Driver {
    options: Options,
    rng: fastrand::Rng,
    caller: Rc<Caller>,
    balancer: Rc<Balancer>,
    idle: Vec<Idle>,
    job_count: u64,
    started_at: Instant,
}

impl Driver {
    /// Creates a driver whose run begins now.
    pub fn new(options: Options) -> Result<Self> {
        let balancer = Rc::new(Balancer::new(options.to.clone()));
        let caller = Caller::new(Rc::clone(&balancer), options.retries)?
            .with_delay(options.delay)
            .with_broken_retries(options.retry_broken);
        let conversations = options.profiles.len() * options.customers.len();
        Ok(Self {
            rng: fastrand::Rng::with_seed(options.seed),
            caller: Rc::new(caller),
            balancer,
            idle: (0..conversations).map(|_| Idle::default()).collect(),
            job_count: 0,
            started_at: Instant::now(),
            options,
        })
    }

    /// Sends all requests, waits for their outcomes and returns the counts.
    pub async fn run(mut self) -> Result<Value> {
        let end = self.started_at + self.options.duration;
        // Dropping the handle at the end of the run cancels the task.
        let _watch = self.options.health.map(|interval| {
            let balancer = Rc::clone(&self.balancer);
            compio::runtime::spawn(balancer.watch(interval))
        });
        let mut due = self.started_at;
        let mut running: Vec<JoinHandle<Outcome>> = Vec::new();
        loop {
            due += self.draw_interval();
            if due >= end || self.job_count >= self.options.max_requests {
                break;
            }
            sleep_until(due).await;
            let (job, idle) = self.next_job();
            let caller = Rc::clone(&self.caller);
            running.push(compio::runtime::spawn(run_job(
                caller,
                job,
                idle,
                self.started_at,
            )));
        }
        let mut outcomes = Vec::with_capacity(running.len());
        for handle in running {
            outcomes.extend(handle.await.ok());
        }
        self.write_trace(&outcomes)?;
        let mut tally = Tally::new().map_err(|err| Error::Settings(vec![err.to_string()]))?;
        for outcome in &outcomes {
            tally.add(outcome);
        }
        Ok(tally.json())
    }

    /// Draws the time until the next arrival of a Poisson process.
    fn draw_interval(&mut self) -> Duration {
        let draw = -(1.0 - self.rng.f64()).ln();
        Duration::from_secs_f64(draw / self.options.rate)
    }

    fn next_job(&mut self) -> (Job, Idle) {
        self.job_count += 1;
        let customer = self.rng.usize(..self.options.customers.len());
        let profile = self.draw_profile(customer);
        let idle = Rc::clone(&self.idle[profile * self.options.customers.len() + customer]);
        let id = format!("load-{}-{}", self.options.seed, self.job_count);
        let customer = self.options.customers[customer].clone();
        let profile = &self.options.profiles[profile];
        // Each job has its own generator, so that the number of its draws does not affect later jobs.
        let mut rng = self.rng.fork();
        let job = profile.job(id, customer, &mut idle.borrow_mut(), &mut rng);
        (job, idle)
    }

    /// Draws one of the profiles whose requests this customer sends.
    fn draw_profile(&mut self, customer: usize) -> usize {
        let customer = &self.options.customers[customer];
        let sends = |index: &usize| customer.sends(&self.options.profiles[*index]);
        let matching: Vec<usize> = (0..self.options.profiles.len()).filter(sends).collect();
        // `Options::parse` rejects a customer without a matching profile.
        self.rng.choice(matching).unwrap_or_default()
    }

    fn write_trace(&self, outcomes: &[Outcome]) -> Result<()> {
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

async fn run_job(caller: Rc<Caller>, job: Job, idle: Idle, started_at: Instant) -> Outcome {
    let is_chat = job.is_chat();
    let outcome = caller.run(job, started_at).await;
    if is_chat && outcome.verdict == Verdict::Whole && outcome.session.turns > 0 {
        idle.borrow_mut().push(outcome.session.clone());
    }
    outcome
}
