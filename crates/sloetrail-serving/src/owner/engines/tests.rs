mod assignment;
mod cold;
mod orders;
mod pace;
mod picking;

use super::{EnginePool, EnginePreference};
use crate::back_end::BackEnd;
use crate::directory::Directory;
use crate::owner::assignment::ModelShare;
use crate::owner::engine::Demand;
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
        cold_left: Duration::ZERO,
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
    pool.take_directory(&directory(engines, &[]), &ServiceName::from("models"));
    pool.assign(&models());
    pool
}

/// How many engines that are not slow each model has.
fn fast_engines(pool: &EnginePool) -> BTreeMap<&'static str, usize> {
    let count = |model: &str| {
        let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
        assigned.filter(|(_, engine)| !engine.is_slow()).count()
    };
    MODELS.iter().map(|model| (*model, count(model))).collect()
}

fn set_pace(pool: &EnginePool, id: &EngineId, milliseconds: u64) {
    let pace = &pool.get(id).expect("known").pace;
    pace.reset();
    for _ in 0..12 {
        pace.note(Duration::from_millis(milliseconds));
    }
}

/// No connection rests at any engine.
fn unconnected(_: &BackEnd) -> bool {
    false
}

fn any_item<'a>() -> Demand<'a> {
    Demand {
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
    }
}

fn of_model(pool: &EnginePool, model: &str) -> Vec<EngineId> {
    let assigned = pool.iter().filter(|(_, engine)| engine.is_assigned(model));
    assigned.map(|(id, _)| id.clone()).collect()
}
