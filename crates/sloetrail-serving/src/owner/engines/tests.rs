mod assignment;
mod bound_batches;
mod capacity;
mod cold;
mod lasting_speed;
mod orders;
mod picking;
mod reassignment;
mod scarce_orders;
mod shared_engines;
mod slow_engines;

use super::{EnginePool, EnginePreference};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::owner::assignment::ModelShare;
use crate::owner::engine::ModelRequirement;
use crate::owner::weight_update_plan::ModelTarget;
use sloetrail_types::{EngineId, ServiceName, WeightVersion, ZoneName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const FASTEST: EnginePreference = EnginePreference::Fastest;

const MODELS: [&str; 3] = ["a", "b", "c"];

fn share(model: &str, published: u64, work: f64) -> ModelShare {
    ModelShare {
        model: model.to_owned(),
        published: WeightVersion(published),
        work,
    }
}

fn models() -> Vec<ModelShare> {
    MODELS.map(|model| share(model, 1, 1.0)).into()
}

fn directory(engines: usize, draining: &[usize]) -> Directory {
    let back_end = |number: usize| BackEnd {
        software: None,
        instance: format!("e{number}"),
        started_ms: None,
        id: EngineId::new(format!("e{number}")),
        service: ServiceName::from("models"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::from("z"),
        slots: 8,
        draining: draining.contains(&number),
        cold_remaining: Duration::ZERO,
        versions: MODELS
            .iter()
            .map(|model| ((*model).to_owned(), WeightVersion(1)))
            .collect(),
    };
    let mut directory = Directory::default();
    for number in 0..engines {
        let back_end = back_end(number);
        directory
            .back_ends
            .insert(back_end.id.clone(), Arc::new(back_end));
    }
    directory
}

fn pool(engines: usize) -> EnginePool {
    let mut pool = EnginePool::default();
    pool.apply_directory(&directory(engines, &[]), &ServiceName::from("models"));
    pool.assign(&models());
    pool
}

/// The number of engines that are not slow, by model.
fn fast_engines(pool: &EnginePool) -> BTreeMap<&'static str, usize> {
    let count = |model: &str| {
        let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
        assigned.filter(|(_, engine)| !engine.is_slow()).count()
    };
    MODELS.iter().map(|model| (*model, count(model))).collect()
}

fn set_event_interval(pool: &EnginePool, id: &EngineId, interval_ms: u64) {
    let interval = &pool.get(id).expect("known").event_interval;
    interval.reset();
    for _ in 0..12 {
        interval.record(Duration::from_millis(interval_ms));
    }
}

fn not_connected(_: &BackEnd) -> bool {
    false
}

fn no_requirement<'a>() -> ModelRequirement<'a> {
    ModelRequirement {
        model: None,
        oldest_version: WeightVersion(0),
    }
}

fn target(model: &str, published: u64, needed: u64) -> ModelTarget {
    ModelTarget {
        model: model.to_owned(),
        published: WeightVersion(published),
        min_usable: WeightVersion(needed),
        ready_share: 1.0,
        newest_share: 1.0,
        slots_are_scarce: false,
        waiting: 0,
    }
}

fn engines_of_model(pool: &EnginePool, model: &str) -> Vec<EngineId> {
    let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
    assigned.map(|(id, _)| id.clone()).collect()
}
