use super::{MODELS, directory, engines_of_model, fast_engines, models, pool, share};
use crate::owner::engines::EnginePool;
use sloetrail_types::{ServiceName, WeightVersion};

#[test]
fn engines_are_shared_evenly_with_few_moves() {
    let mut pool = pool(9);
    assert!(fast_engines(&pool).values().all(|count| *count == 3));
    let before = MODELS.map(|model| engines_of_model(&pool, model));
    pool.apply_directory(&directory(9, &[0]), &ServiceName::from("models"));
    pool.assign(&models());
    let after = MODELS.map(|model| engines_of_model(&pool, model));
    let kept = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.iter().filter(|id| before.contains(id)).count());
    assert_eq!(
        kept.sum::<usize>(),
        8,
        "only the draining engine is unassigned"
    );
}

fn engine_counts(pool: &EnginePool) -> [usize; 3] {
    MODELS.map(|model| engines_of_model(pool, model).len())
}

#[test]
fn models_get_engines_in_proportion_to_work() {
    let mut pool = pool(35);
    let shares = [share("a", 1, 1.0), share("b", 1, 2.0), share("c", 1, 2.0)];
    pool.assign(&shares);
    assert_eq!(engine_counts(&pool), [7, 14, 14]);
    let before = MODELS.map(|model| engines_of_model(&pool, model));
    let similar = [share("a", 1, 1.02), share("b", 1, 1.99), share("c", 1, 2.0)];
    pool.assign(&similar);
    let after = MODELS.map(|model| engines_of_model(&pool, model));
    assert_eq!(before, after, "small differences of work move no engine");
}

#[test]
fn new_owner_keeps_model_assignments() {
    let mut first = pool(9);
    first.apply_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    first.assign(&models());
    let kept = MODELS.map(|model| engines_of_model(&first, model));
    let mut second = EnginePool::default();
    second.apply_directory(&directory(9, &[0, 4]), &ServiceName::from("models"));
    for (model, ids) in MODELS.iter().zip(&kept) {
        for id in ids {
            let engine = second.get_mut(id).expect("known");
            engine.record_version(model, WeightVersion(7), "test");
        }
    }
    second.assign(&MODELS.map(|model| share(model, 8, 1.0)));
    let after = MODELS.map(|model| engines_of_model(&second, model));
    assert_eq!(kept, after);
}
