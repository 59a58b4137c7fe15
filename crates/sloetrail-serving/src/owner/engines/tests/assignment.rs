//! Which engine serves which model.

use super::{MODELS, directory, fast_engines, models, of_model, pool, share};
use crate::owner::engines::EnginePool;
use sloetrail_types::{ServiceName, WeightVersion};

#[test]
fn engines_are_shared_out_evenly_and_few_are_moved() {
    let mut pool = pool(9);
    assert!(fast_engines(&pool).values().all(|count| *count == 3));
    let before = MODELS.map(|model| of_model(&pool, model));
    pool.apply_directory(&directory(9, &[0]), &ServiceName::from("models"));
    pool.assign(&models());
    let after = MODELS.map(|model| of_model(&pool, model));
    let kept = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.iter().filter(|id| before.contains(id)).count());
    assert_eq!(
        kept.sum::<usize>(),
        8,
        "only the leaving engine is taken away"
    );
}

fn engines_of(pool: &EnginePool) -> [usize; 3] {
    MODELS.map(|model| of_model(pool, model).len())
}

#[test]
fn models_get_engines_by_the_work_of_their_batches() {
    let mut pool = pool(35);
    let shares = [share("a", 1, 1.0), share("b", 1, 2.0), share("c", 1, 2.0)];
    pool.assign(&shares);
    assert_eq!(engines_of(&pool), [7, 14, 14]);
    let before = MODELS.map(|model| of_model(&pool, model));
    let nearly = [share("a", 1, 1.02), share("b", 1, 1.99), share("c", 1, 2.0)];
    pool.assign(&nearly);
    let after = MODELS.map(|model| of_model(&pool, model));
    assert_eq!(before, after, "small differences move nothing");
}

#[test]
fn a_new_owner_leaves_each_engine_the_model_that_it_has_kept_up() {
    let mut first = pool(9);
    first.apply_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    first.assign(&models());
    let kept = MODELS.map(|model| of_model(&first, model));
    let mut second = EnginePool::default();
    second.apply_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    for (model, ids) in MODELS.iter().zip(&kept) {
        for id in ids {
            let engine = second.get_mut(id).expect("known");
            engine.record_version(model, WeightVersion(7), "test");
        }
    }
    second.assign(&MODELS.map(|model| share(model, 8, 1.0)));
    let after = MODELS.map(|model| of_model(&second, model));
    assert_eq!(kept, after);
}
