//! How fast a service's answers come on one node.

use std::time::{Duration, Instant};

const SMOOTHING: f64 = 0.05;

/// Smoothed times of a service's answers.
#[derive(Debug, Default)]
pub(super) struct Throughput {
    last_finish: Option<Instant>,
    seconds_per_finish: f64,
    seconds_per_answer: f64,
}

impl Throughput {
    /// Takes in an answer. The gap since the one before counts at most as long as
    /// the answer took: what is longer was a time without work.
    pub(super) fn finished(&mut self, started: Instant, now: Instant) {
        let answer = now.duration_since(started).as_secs_f64();
        if let Some(last) = self.last_finish {
            let gap = now.duration_since(last).as_secs_f64().min(answer);
            self.seconds_per_finish = smoothed(self.seconds_per_finish, gap);
        }
        self.last_finish = Some(now);
        self.seconds_per_answer = smoothed(self.seconds_per_answer, answer);
    }

    /// Time until a request behind `waiting` others would have its answer.
    pub(super) fn expected_time(&self, waiting: usize) -> Duration {
        let wait = self.seconds_per_finish * waiting as f64;
        Duration::from_secs_f64(wait + self.seconds_per_answer)
    }
}

fn smoothed(value: f64, new: f64) -> f64 {
    value * (1.0 - SMOOTHING) + new * SMOOTHING
}
