//! Weight updates that region-bound batches depend on.
//!
//! The plan of weight changes assigns engines to models without regard to regions, and updates no
//! slow engines. A bound batch runs only on engines in its regions, where all of them may be slow
//! or assigned to other models. One engine there is then updated, so that the batch can run.

use super::engine::Engine;
use super::engines::EnginePool;
use super::event::PlannedOrder;
use super::weight_update_plan::{ModelTarget, is_changing};
use sloetrail_clock::BootInstant;
use sloetrail_types::{AllowedRegions, EngineId, WeightVersion};

/// A model that open batches need in some regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BoundDemand {
    pub(super) model: String,
    pub(super) regions: AllowedRegions,
    /// The newest among the oldest versions that these batches accept.
    pub(super) oldest_version: WeightVersion,
}

impl BoundDemand {
    /// Returns the order that gives the batches an engine. None if they have one, or if no engine
    /// may change now. Engines in `ordered` count as changing to the model.
    pub(super) fn plan_order(
        &self,
        pool: &EnginePool,
        targets: &[ModelTarget],
        ordered: &[PlannedOrder],
        now: BootInstant,
    ) -> Option<PlannedOrder> {
        let mut targets = targets.iter();
        let target = targets.find(|target| target.model == self.model)?;
        let in_regions = || {
            let engines = pool.iter_in_regions(&self.regions);
            engines.filter(|(_, engine)| engine.takes_work())
        };
        let is_ordered = |id: &EngineId| ordered.iter().any(|order| order.engine == *id);
        let will_be_served =
            in_regions().any(|(id, engine)| is_ordered(id) || self.is_served_by(engine, now));
        if will_be_served {
            return None;
        }
        let candidates = in_regions().filter(|(_, engine)| {
            engine.may_be_ordered(now) && engine.version(&self.model) < target.published
        });
        let best = candidates.min_by_key(|(_, engine)| {
            let is_assigned = engine.is_assigned(&self.model);
            (engine.is_slow(), !is_assigned, engine.running)
        });
        best.map(|(id, _)| PlannedOrder {
            engine: id.clone(),
            model: self.model.clone(),
            version: target.published,
        })
    }

    /// True if the engine can run the batches, or may be able to after its change.
    fn is_served_by(&self, engine: &Engine, now: BootInstant) -> bool {
        let has_version = engine.version(&self.model) >= self.oldest_version;
        is_changing(engine) || has_version && engine.is_usable(now)
    }
}
