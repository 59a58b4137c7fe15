//! The table's clock, as far as its answers tell it.
//!
//! An answer carries the table's time at the moment when it was made, and comes a little
//! later, or much later while the table is slow. The answer that was under way for the
//! shortest time tells most: the one by which the table's clock is furthest ahead.

use sloetrail_clock::BootInstant;
use std::time::Duration;

/// How long an answer is believed at least, and half of how long at most. Two clocks drift
/// apart by under 3 ms in this time.
const PERIOD: Duration = Duration::from_secs(30);

/// The table's clock against this process's own.
#[derive(Debug)]
pub struct TableClock {
    origin: BootInstant,
    period_began: BootInstant,
    /// By how much the table's clock is ahead of the own one at most, in this period and
    /// in the one before.
    leads: [Option<i64>; 2],
}

impl Default for TableClock {
    fn default() -> Self {
        let now = BootInstant::now();
        Self {
            origin: now,
            period_began: now,
            leads: [None; 2],
        }
    }
}

impl TableClock {
    /// Takes in an answer that came at a moment and tells the table's time.
    pub fn record(&mut self, table_ms: u64, at: BootInstant) {
        if at.saturating_duration_since(self.period_began) >= PERIOD {
            self.period_began = at;
            self.leads = [None, self.leads[0]];
        }
        let lead = table_ms as i64 - self.own_ms(at);
        self.leads[0] = self.leads[0].max(Some(lead));
    }

    /// The table's time at a moment; nothing before the first answer.
    pub fn at(&self, at: BootInstant) -> Option<u64> {
        let lead = self.leads[0].max(self.leads[1])?;
        Some((self.own_ms(at) + lead).max(0) as u64)
    }

    fn own_ms(&self, at: BootInstant) -> i64 {
        at.saturating_duration_since(self.origin).as_millis() as i64
    }
}

#[cfg(test)]
mod tests;
