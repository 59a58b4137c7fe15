//! Sample lengths with a heavy tail, alike within a group.

use super::settings::ExperimentSettings;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sloetrail_types::digest;

const TAIL_FACTOR_MIN: f64 = 10.0;
const TAIL_FACTOR_MAX: f64 = 30.0;
const SPREAD_WITHIN_GROUP: f64 = 0.3;

/// The length of one sample, in tokens; it depends on nothing but the seed and
/// the sample's place, so that every policy has the same work.
pub(super) fn length(settings: &ExperimentSettings, seed: u64, step: u64, index: usize) -> f64 {
    let group = index / settings.group_size;
    // Prompts recur from step to step, so a group's lengths can be learnt.
    let mut of_group = seeded(&format!("{seed}/{group}"));
    let mut of_sample = seeded(&format!("{seed}/{step}/{group}/{index}"));
    let body = settings.median_tokens * of_group.random_range(0.5..1.5);
    let factor = match of_group.random_bool(settings.tail_share) {
        true => of_group.random_range(TAIL_FACTOR_MIN..TAIL_FACTOR_MAX),
        false => 1.0,
    };
    let within = of_sample.random_range(1.0 - SPREAD_WITHIN_GROUP..1.0 + SPREAD_WITHIN_GROUP);
    (body * factor * within).max(1.0)
}

fn seeded(text: &str) -> StdRng {
    StdRng::seed_from_u64(digest(text.as_bytes()))
}
