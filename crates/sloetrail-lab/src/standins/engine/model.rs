//! What the model says: lengths and tokens that depend on nothing but the prompt,
//! the place, the weights and the engine, so that a history can be judged.

use sloetrail_types::{EngineId, WeightVersion, digest};

const VOCABULARY: u64 = 50_000;
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR_MIN: f64 = 10.0;
const TAIL_FACTOR_SPREAD: f64 = 20.0;

fn unit(text: &str) -> f64 {
    (digest(text.as_bytes()) % 1_000_000) as f64 / 1_000_000.0
}

/// The length of the answer to a prompt: most lie round the median, a few are 10
/// to 30 times as long.
pub(super) fn answer_length(prompt: &str, median: u32, limit: u32) -> u32 {
    let median = f64::from(median);
    let body = median * (0.5 + unit(prompt));
    let is_tail = unit(&format!("tail/{prompt}")) < TAIL_SHARE;
    let factor = match is_tail {
        true => TAIL_FACTOR_MIN + TAIL_FACTOR_SPREAD * unit(&format!("factor/{prompt}")),
        false => 1.0,
    };
    ((body * factor) as u32).clamp(1, limit)
}

/// The token at a place.
pub fn token(engine: &EngineId, prompt: &str, version: WeightVersion, index: u32) -> u32 {
    let text = format!("{engine}/{version}/{index}/{prompt}");
    (digest(text.as_bytes()) % VOCABULARY) as u32
}
