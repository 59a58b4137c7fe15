//! A budget that keeps retries to a share of first attempts.

const RESERVE: f64 = 5.0;

/// Each first attempt earns a part of a retry; each retry costs a whole one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    balance: f64,
}

impl RetryBudget {
    /// A budget of `percent` retries for a hundred first attempts, with a small
    /// reserve so that a quiet service can retry at all.
    pub fn new(percent: u32) -> Self {
        let balance = if percent == 0 { 0.0 } else { RESERVE };
        Self { percent, balance }
    }

    /// Changes the share.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
        if percent == 0 {
            self.balance = 0.0;
        }
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        let earned = f64::from(self.percent) / 100.0;
        let ceiling = RESERVE + f64::from(self.percent);
        self.balance = (self.balance + earned).min(ceiling);
    }

    /// Takes one retry out of the budget; false if none is left.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
