//! Bringing faults about and ending them.

use super::kind::FaultKind;
use crate::fleet::{Direction, PLATFORM_ZONE, ProcessFleet, ProcessFleetError, ServiceShape};
use crate::standins::Faults;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use sloetrail_history::EventBody;
use sloetrail_types::{EngineId, NodeId, ZoneName};
use std::collections::BTreeMap;

const SLOW_MS: u64 = 400;
const LOST_ANSWER_PERCENT: u32 = 30;
const FAILED_ORDER_PERCENT: u32 = 50;
const BAD_ANSWER_PERCENT: u32 = 20;

/// What must be done to end a fault.
enum Ending {
    Nothing,
    AddNode(ZoneName),
    AddEngine(ServiceShape, ZoneName),
    ThawNode(NodeId),
    ThawEngine(EngineId),
    Open(Vec<Direction>),
    HealStore,
    HealEngines,
    ReplaceEngine(EngineId),
}

/// Injects faults into a fleet, by a seed.
pub(super) struct Injector {
    random: StdRng,
    endings: Vec<Ending>,
    /// How often each kind truly happened.
    pub(super) counts: BTreeMap<FaultKind, u64>,
}

impl Injector {
    pub(super) fn new(random: StdRng) -> Self {
        Self {
            random,
            endings: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    /// Begins a fault.
    pub(super) async fn begin(
        &mut self,
        fleet: &mut ProcessFleet,
        kind: FaultKind,
    ) -> Result<(), ProcessFleetError> {
        fleet.history.record(EventBody::FaultInjected {
            fault: kind.name().to_owned(),
        });
        if let Some(ending) = self.inject(fleet, kind).await? {
            *self.counts.entry(kind).or_default() += 1;
            self.endings.push(ending);
        }
        Ok(())
    }

    /// Ends every fault that was begun.
    pub(super) async fn end_all(
        &mut self,
        fleet: &mut ProcessFleet,
    ) -> Result<(), ProcessFleetError> {
        for ending in std::mem::take(&mut self.endings) {
            self.end(fleet, ending).await?;
        }
        Ok(())
    }

    /// Brings a fault about; nothing if there is nothing left to strike.
    async fn inject(
        &mut self,
        fleet: &mut ProcessFleet,
        kind: FaultKind,
    ) -> Result<Option<Ending>, ProcessFleetError> {
        let ending = match kind {
            FaultKind::KillNode | FaultKind::ReplaceNode | FaultKind::StopNode => {
                return self.end_a_node(fleet, kind).await;
            }
            FaultKind::KillEngine => {
                let Some(engine) = self.any_engine(fleet) else {
                    return Ok(None);
                };
                let Some((shape, zone)) = fleet.shape_of_engine(&engine) else {
                    return Ok(None);
                };
                fleet.kill_engine(&engine).await;
                Ending::AddEngine(shape, zone)
            }
            FaultKind::FreezeNode => {
                let Some(node) = self.any_node(fleet) else {
                    return Ok(None);
                };
                fleet.freeze_node(&node, true);
                Ending::ThawNode(node)
            }
            FaultKind::FreezeEngine => {
                let Some(engine) = self.any_engine(fleet) else {
                    return Ok(None);
                };
                fleet.freeze_engine(&engine, true);
                Ending::ThawEngine(engine)
            }
            FaultKind::CutZone
            | FaultKind::CutZoneOneWay
            | FaultKind::CutPlatform
            | FaultKind::IsolateZone => self.cut(fleet, kind),
            FaultKind::StoreDown
            | FaultKind::StoreHang
            | FaultKind::StoreSlow
            | FaultKind::LostAnswers => {
                break_store(fleet, kind);
                Ending::HealStore
            }
            FaultKind::FailingSwaps | FaultKind::CrossedAnswers | FaultKind::CutAnswers => {
                break_engines(fleet, kind).await;
                Ending::HealEngines
            }
            FaultKind::DrainEngine | FaultKind::ListLeaving => {
                let Some(engine) = self.any_engine(fleet) else {
                    return Ok(None);
                };
                fleet.mark_engine_leaving(&engine);
                if kind == FaultKind::DrainEngine {
                    fleet.tell_engine_to_leave(&engine).await;
                }
                Ending::ReplaceEngine(engine)
            }
        };
        Ok(Some(ending))
    }

    async fn end_a_node(
        &mut self,
        fleet: &mut ProcessFleet,
        kind: FaultKind,
    ) -> Result<Option<Ending>, ProcessFleetError> {
        let Some(node) = self.any_node(fleet) else {
            return Ok(None);
        };
        let Some(zone) = fleet.zone_of_node(&node) else {
            return Ok(None);
        };
        match kind {
            FaultKind::StopNode => {
                fleet.stop_node(&node).await;
                Ok(Some(Ending::AddNode(zone)))
            }
            FaultKind::ReplaceNode => {
                fleet.kill_node(&node).await;
                fleet.add_node(zone).await?;
                Ok(Some(Ending::Nothing))
            }
            _ => {
                fleet.kill_node(&node).await;
                Ok(Some(Ending::AddNode(zone)))
            }
        }
    }

    fn cut(&mut self, fleet: &ProcessFleet, kind: FaultKind) -> Ending {
        let zones = &fleet.profile.zones;
        let zone = zones
            .choose(&mut self.random)
            .cloned()
            .expect("a profile has zones");
        let mut others: Vec<ZoneName> = match kind {
            FaultKind::CutPlatform => Vec::new(),
            _ => zones
                .iter()
                .filter(|other| **other != zone)
                .cloned()
                .collect(),
        };
        if matches!(kind, FaultKind::CutPlatform | FaultKind::IsolateZone) {
            others.push(ZoneName::from(PLATFORM_ZONE));
        }
        let outward = self.random.random_bool(0.5);
        let mut directions = Vec::new();
        for other in others {
            let out = Direction {
                from: zone.clone(),
                to: other.clone(),
            };
            let back = Direction {
                from: other,
                to: zone.clone(),
            };
            match kind {
                FaultKind::CutZoneOneWay if outward => directions.push(out),
                FaultKind::CutZoneOneWay => directions.push(back),
                _ => directions.extend([out, back]),
            }
        }
        for direction in &directions {
            fleet.cuts.cut(direction.clone());
        }
        Ending::Open(directions)
    }

    async fn end(
        &mut self,
        fleet: &mut ProcessFleet,
        ending: Ending,
    ) -> Result<(), ProcessFleetError> {
        match ending {
            Ending::Nothing => {}
            Ending::AddNode(zone) => drop(fleet.add_node(zone).await?),
            Ending::AddEngine(shape, zone) => drop(fleet.add_engine(&shape, zone).await?),
            Ending::ThawNode(node) => fleet.freeze_node(&node, false),
            Ending::ThawEngine(engine) => fleet.freeze_engine(&engine, false),
            Ending::Open(directions) => {
                directions
                    .iter()
                    .for_each(|direction| fleet.cuts.open(direction));
            }
            Ending::HealStore => {
                fleet.platform.table.faults.set(Faults::default());
                fleet.platform.objects.faults.set(Faults::default());
            }
            Ending::HealEngines => set_all_engines(fleet, &Faults::default()).await,
            Ending::ReplaceEngine(engine) => {
                // Its machine stays until the end of the run, so that late work is seen.
                if let Some((shape, zone)) = fleet.shape_of_engine(&engine) {
                    fleet.add_engine(&shape, zone).await?;
                }
            }
        }
        Ok(())
    }

    fn any_node(&mut self, fleet: &ProcessFleet) -> Option<NodeId> {
        fleet.node_ids().choose(&mut self.random).cloned()
    }

    fn any_engine(&mut self, fleet: &ProcessFleet) -> Option<EngineId> {
        let mut engines = fleet.engine_ids(&fleet.profile.model.service);
        engines.extend(fleet.engine_ids(&fleet.profile.application.service));
        engines.choose(&mut self.random).cloned()
    }
}

fn break_store(fleet: &ProcessFleet, kind: FaultKind) {
    let table = Faults {
        down: kind == FaultKind::StoreDown,
        hang: kind == FaultKind::StoreHang,
        delay_ms: match kind {
            FaultKind::StoreSlow => SLOW_MS,
            _ => 0,
        },
        lost_answer_percent: match kind {
            FaultKind::LostAnswers => LOST_ANSWER_PERCENT,
            _ => 0,
        },
        ..Faults::default()
    };
    fleet.platform.table.faults.set(table.clone());
    if kind != FaultKind::StoreHang {
        fleet.platform.objects.faults.set(table);
    }
}

async fn break_engines(fleet: &ProcessFleet, kind: FaultKind) {
    let share = |wanted: FaultKind, percent: u32| match kind == wanted {
        true => percent,
        false => 0,
    };
    let faults = Faults {
        failed_order_percent: share(FaultKind::FailingSwaps, FAILED_ORDER_PERCENT),
        crossed_answer_percent: share(FaultKind::CrossedAnswers, BAD_ANSWER_PERCENT),
        cut_answer_percent: share(FaultKind::CutAnswers, BAD_ANSWER_PERCENT),
        ..Faults::default()
    };
    set_all_engines(fleet, &faults).await;
}

async fn set_all_engines(fleet: &ProcessFleet, faults: &Faults) {
    let mut engines = fleet.engine_ids(&fleet.profile.model.service);
    engines.extend(fleet.engine_ids(&fleet.profile.application.service));
    for engine in engines {
        fleet.set_engine_faults(&engine, faults).await;
    }
}
