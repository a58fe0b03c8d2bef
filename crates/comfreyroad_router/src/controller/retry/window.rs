use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of buckets in a window. The attempts of one bucket expire together.
const BUCKETS: u32 = 20;

/// Counts first and extra attempts in a sliding time window.
#[derive(Debug, Default)]
pub(super) struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    extra: u32,
}

impl Window {
    /// Counts the first attempt of a request.
    pub(super) fn add_first_attempt(&mut self, now: Instant, window_length: Duration) {
        self.current_bucket(now, window_length).requests += 1;
    }

    /// Counts an extra attempt of a request.
    pub(super) fn add_extra_attempt(&mut self, now: Instant, window_length: Duration) {
        self.current_bucket(now, window_length).extra += 1;
    }

    /// Number of first attempts and of extra attempts in the window.
    pub(super) fn totals(&self, now: Instant, window_length: Duration) -> (f64, f64) {
        let live = self
            .buckets
            .iter()
            .filter(|it| it.is_live(now, window_length));
        let sum = |(requests, extra): (u32, u32), bucket: &Bucket| {
            (requests + bucket.requests, extra + bucket.extra)
        };
        let (requests, extra) = live.fold((0, 0), sum);
        (f64::from(requests), f64::from(extra))
    }

    /// The bucket that counts attempts made now. Expired buckets are dropped.
    fn current_bucket(&mut self, now: Instant, window_length: Duration) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|it| !it.is_live(now, window_length))
        {
            self.buckets.pop_front();
        }
        let last = self.buckets.back();
        if last.is_none_or(|bucket| bucket.started_at + window_length / BUCKETS <= now) {
            self.buckets.push_back(Bucket {
                started_at: now,
                requests: 0,
                extra: 0,
            });
        }
        let index = self.buckets.len() - 1;
        &mut self.buckets[index]
    }
}

impl Bucket {
    /// Whether part of the bucket may lie within the window.
    fn is_live(&self, now: Instant, window_length: Duration) -> bool {
        self.started_at + window_length + window_length / BUCKETS > now
    }
}
