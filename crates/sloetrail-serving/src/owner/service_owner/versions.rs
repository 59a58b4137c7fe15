//! Orders to engines, and what their answers and events tell of their versions.

use super::ServiceOwner;
use crate::back_end::{OrderAnswer, VersionChange};
use crate::leases::OrderWindow;
use crate::owner::assignment::ModelShare;
use crate::owner::engine::VersionChangeUnderWay;
use crate::owner::event::{OrderEnd, OwnerEvent};
use crate::owner::weight_update_plan::{ModelTarget, max_concurrent_changes, plan};
use crate::owner::weights::OrderTask;
use sloetrail_batch::{Batch, BatchHeader};
use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::sync::Arc;
use std::time::Duration;

const ORDER_RETRY: Duration = Duration::from_millis(150);
const ORDER_RETRY_UNANSWERED: Duration = Duration::from_millis(700);
const ORDER_SEND_TIME: Duration = Duration::from_millis(140);

/// How far samples may be behind the newest version until a batch has told.
const LAG_DEFAULT: u64 = 1;

/// Weight of a batch in what is known of its model's work.
const WORK_SMOOTHING: f64 = 0.3;

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
    pub(super) fn drive_weights(&mut self) {
        if !self.set.is_in_charge_of_engines() {
            return;
        }
        let least = self.context.settings.bounds.concurrent_loads;
        let concurrent = max_concurrent_changes(self.engines.len(), least);
        let targets = self.model_targets();
        let orders = plan(&self.engines, &targets, concurrent, BootInstant::now());
        if orders.is_empty() {
            return;
        }
        if !self.window.is_open() {
            self.open_window();
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
                send_before: BootInstant::now() + ORDER_SEND_TIME,
                events: self.sender.clone(),
            };
            tokio::spawn(task.run());
        }
    }

    /// Has a window opened without waiting for the table, which may be slow or down.
    pub(super) fn open_window(&mut self) {
        if std::mem::replace(&mut self.window_is_opening, true) {
            return;
        }
        let mut window = self.window.clone();
        let context = Arc::clone(&self.context);
        let term = self.term.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            window.open(&context, &term).await;
            // The owner may be gone; then nobody needs it.
            let _ = sender.send(OwnerEvent::WindowAnswered(window));
        });
    }

    pub(super) fn window_answered(&mut self, window: OrderWindow) {
        self.window = window;
        self.window_is_opening = false;
        self.weights_due = true;
    }

    fn model_targets(&mut self) -> Vec<ModelTarget> {
        let published = Arc::clone(&self.context.in_force.borrow().published);
        let models = self.models().into_iter();
        models
            .filter_map(|model| {
                let published = *published.get(&model)?;
                Some(self.model_target(model, published))
            })
            .collect()
    }

    fn model_target(&mut self, model: String, published: WeightVersion) -> ModelTarget {
        let now = BootInstant::now();
        self.publications.note(&model, published, now);
        let (ready_share, newest_share) = match self.publications.stays(&model, now) {
            true => (1.0, 1.0),
            false => (
                self.usage.ready_share(&model),
                self.usage.newest_share(&model),
            ),
        };
        ModelTarget {
            min_usable: self.needed_version(&model, published),
            model,
            published,
            ready_share,
            newest_share,
        }
    }

    /// The oldest version that the newest batch of a model can use, or the next one
    /// that its trainer submits if it keeps its distance from the newest version.
    fn needed_version(&self, model: &str, published: WeightVersion) -> WeightVersion {
        let lag = self.lags.get(model).copied().unwrap_or(LAG_DEFAULT);
        let expected = published.0.saturating_sub(lag);
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        let demanded = of_model.map(|open| open.batch.oldest_version).max();
        let by_others = self.others.demanded_version(model);
        let demanded = demanded.max(by_others).unwrap_or_default();
        WeightVersion(expected).max(demanded)
    }

    /// What the engines are shared out by. A model of which no batch was seen counts as
    /// the others do on average.
    pub(super) fn model_shares(&self) -> Vec<ModelShare> {
        let published = Arc::clone(&self.context.in_force.borrow().published);
        let models = self.models();
        let known: Vec<f64> = models
            .iter()
            .filter_map(|model| self.work.get(model).copied())
            .collect();
        let usual = match known.is_empty() {
            true => 1.0,
            false => known.iter().sum::<f64>() / known.len() as f64,
        };
        let models = models.into_iter();
        models
            .map(|model| ModelShare {
                published: published.get(&model).copied().unwrap_or_default(),
                work: self.work.get(&model).copied().unwrap_or(usual),
                model,
            })
            .collect()
    }

    /// Notes that a batch has come, and how far behind the newest version it allows its
    /// samples to be.
    pub(super) fn note_demand(
        &mut self,
        model: &str,
        oldest_version: WeightVersion,
        header: &BatchHeader,
    ) {
        self.weights_due = true;
        self.supply.record_batch(model, header);
        let published = Arc::clone(&self.context.in_force.borrow().published);
        if let Some(published) = published.get(model) {
            let lag = published.0.saturating_sub(oldest_version.0);
            self.lags.insert(model.to_owned(), lag);
        }
    }

    /// Notes what a batch demands, and how much work it is.
    pub(super) fn record_batch(&mut self, batch: &Batch) {
        let Some(model) = &batch.model else {
            return;
        };
        self.note_demand(model, batch.oldest_version, &batch.header);
        let tokens: u64 = batch.items().iter().map(|item| item.expected_length).sum();
        let work = (tokens as f64).max(1.0);
        let known = self.work.entry(model.clone()).or_insert(work);
        *known += (work - *known) * WORK_SMOOTHING;
        self.assign_models();
    }

    /// Running samples go on under new weights, unless a route of the service wants
    /// each sample from one version.
    fn version_change(&self) -> VersionChange {
        let configuration = self.context.configuration();
        let wants_one = configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| {
                let serves =
                    |part: &sloetrail_routing::WeightedService| part.service == self.service;
                route.single_version && route.services.iter().any(serves)
            })
        });
        match wants_one {
            true => VersionChange::Wait,
            false => VersionChange::Continue,
        }
    }

    pub(super) fn order_ended(&mut self, end: OrderEnd) {
        let now = BootInstant::now();
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
