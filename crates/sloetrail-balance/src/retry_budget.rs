//! Limits retries to a percentage of first attempts.

/// Retries that a service may make before first attempts have earned any.
const RESERVE_RETRIES: f64 = 5.0;

/// Token bucket for retries: a first attempt deposits `percent / 100` of a retry and a retry
/// withdraws one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    balance: f64,
}

impl RetryBudget {
    /// Allows `percent` retries per hundred first attempts, plus a small reserve so that a
    /// service with little traffic can retry. Zero percent allows no retries.
    pub fn new(percent: u32) -> Self {
        let balance = if percent == 0 { 0.0 } else { RESERVE_RETRIES };
        Self { percent, balance }
    }

    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        let earned = f64::from(self.percent) / 100.0;
        let ceiling = RESERVE_RETRIES + f64::from(self.percent);
        self.balance = (self.balance + earned).min(ceiling);
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
