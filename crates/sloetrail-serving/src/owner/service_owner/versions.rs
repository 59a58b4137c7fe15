//! Orders to engines, and what their answers and events tell of their versions.

use super::ServiceOwner;
use crate::back_end::{OrderAnswer, VersionChange};
use crate::owner::engines::VersionChangeUnderWay;
use crate::owner::event::OrderEnd;
use crate::owner::rollout_plan::{ModelTarget, concurrent_changes, plan};
use crate::owner::weights::OrderTask;
use sloetrail_types::WeightVersion;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const ORDER_RETRY: Duration = Duration::from_millis(150);
const ORDER_RETRY_UNANSWERED: Duration = Duration::from_millis(700);
const ORDER_SEND_TIME: Duration = Duration::from_millis(140);

/// How far samples may be behind the newest version until a batch has told.
const LAG_DEFAULT: u64 = 1;

impl ServiceOwner {
    pub(super) fn note_versions_of_runs(&mut self) {
        for open in self.batches.values() {
            let Some(model) = &open.batch.model else {
                continue;
            };
            for run in open.runs.values() {
                if let Some(version) = run.progress.version()
                    && let Some(engine) = self.engines.get_mut(&run.engine)
                    && engine.version(model) < version
                {
                    engine.note_version(model, version, "answer");
                }
            }
        }
    }

    /// Gives the orders that are due, within a window that was committed before.
    pub(super) async fn drive_weights(&mut self) {
        let least = self.context.settings.bounds.concurrent_loads;
        let concurrent = concurrent_changes(self.engines.iter().count(), least);
        let targets = self.model_targets();
        let orders = plan(&self.engines, &targets, concurrent, Instant::now());
        if orders.is_empty() {
            return;
        }
        let is_open = self.window.is_open() || self.window.open(&self.context, &self.term).await;
        if !is_open {
            return;
        }
        let change = self.version_change();
        for order in orders {
            let Some(engine) = self.engines.get_mut(&order.engine) else {
                continue;
            };
            engine.is_being_ordered = true;
            let task = OrderTask {
                context: Arc::clone(&self.context),
                term: self.term.clone(),
                back_end: Arc::clone(&engine.back_end),
                order,
                change,
                send_before: Instant::now() + ORDER_SEND_TIME,
                events: self.sender.clone(),
            };
            tokio::spawn(task.run());
        }
    }

    fn model_targets(&self) -> Vec<ModelTarget> {
        let published = Arc::clone(&self.context.in_force.borrow().published);
        let models = self.models().into_iter();
        models
            .filter_map(|model| {
                let published = *published.get(&model)?;
                let needed = self.needed_version(&model, published);
                Some(ModelTarget {
                    model,
                    published,
                    needed,
                })
            })
            .collect()
    }

    /// The oldest version that the newest batch of a model can use, or the next one
    /// that its trainer submits if it keeps its distance from the newest version.
    fn needed_version(&self, model: &str, published: WeightVersion) -> WeightVersion {
        let lag = self.lags.get(model).copied().unwrap_or(LAG_DEFAULT);
        let expected = published.0.saturating_sub(lag);
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        let demanded = of_model.map(|open| open.batch.oldest_version).max();
        WeightVersion(expected).max(demanded.unwrap_or_default())
    }

    /// Notes how far behind the newest version a batch allows its samples to be.
    pub(super) fn note_lag(&mut self, model: Option<&str>, oldest: WeightVersion) {
        let published = Arc::clone(&self.context.in_force.borrow().published);
        if let Some(model) = model
            && let Some(published) = published.get(model)
        {
            let lag = published.0.saturating_sub(oldest.0);
            self.lags.insert(model.to_owned(), lag);
        }
    }

    /// Running samples go on under new weights, unless a route of the service wants
    /// each sample from one version.
    fn version_change(&self) -> VersionChange {
        let configuration = self.context.configuration();
        let wants_one = configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| {
                let serves =
                    |part: &sloetrail_routing::WeightedService| part.service == self.term.service;
                route.single_version && route.services.iter().any(serves)
            })
        });
        match wants_one {
            true => VersionChange::Wait,
            false => VersionChange::Continue,
        }
    }

    pub(super) fn order_ended(&mut self, end: OrderEnd) {
        let now = Instant::now();
        let Some(engine) = self.engines.get_mut(&end.order.engine) else {
            return;
        };
        engine.is_being_ordered = false;
        let model = &end.order.model;
        let is_busy = end.status.as_ref().is_some_and(|status| status.busy);
        if let Some(status) = &end.status
            && let Some(version) = status.versions.get(model)
            && !is_busy
        {
            engine.note_version(model, *version, "status");
        }
        match end.answer {
            Some(OrderAnswer::Accepted) => {
                engine.change = Some(VersionChangeUnderWay {
                    model: model.clone(),
                    version: end.order.version,
                    accepted_at: now,
                });
            }
            Some(OrderAnswer::AlreadyInForce) => {
                engine.note_version(model, end.order.version, "order");
            }
            Some(OrderAnswer::Fenced) => self.term.ended.cancel(),
            Some(OrderAnswer::Conflict | OrderAnswer::Refused) => {
                engine.order_not_before = now + ORDER_RETRY;
            }
            None if is_busy => engine.order_not_before = now + ORDER_RETRY,
            None => engine.order_not_before = now + ORDER_RETRY_UNANSWERED,
        }
    }
}
