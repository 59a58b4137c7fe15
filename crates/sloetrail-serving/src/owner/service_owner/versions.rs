//! Orders weight versions from engines and tracks the versions that engines report.

use super::ServiceOwner;
use crate::back_end::{OrderAnswer, VersionChange};
use crate::leases::OrderWindow;
use crate::owner::assignment::ModelShare;
use crate::owner::engine::VersionChangeInFlight;
use crate::owner::event::{OwnerEvent, WeightOrderOutcome};
use crate::owner::order_task::OrderTask;
use crate::owner::weight_update_plan::{
    ModelTarget, max_concurrent_changes, plan, scarce_newest_share,
};
use sloetrail_batch::{Batch, BatchHeader};
use sloetrail_clock::BootInstant;
use sloetrail_types::WeightVersion;
use std::sync::Arc;
use std::time::Duration;

const ORDER_RETRY_DELAY: Duration = Duration::from_millis(150);
const UNANSWERED_ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);
const ORDER_SEND_TIMEOUT: Duration = Duration::from_millis(140);

/// Assumed lag of a model's samples behind the newest version until its first batch.
const DEFAULT_VERSION_LAG: u64 = 1;

/// Weight of a new batch in the moving average of its model's expected tokens.
const TOKENS_SMOOTHING: f64 = 0.3;

impl ServiceOwner {
    pub(super) fn record_run_versions(&mut self) {
        for open in self.batches.values() {
            let Some(model) = &open.batch.model else {
                continue;
            };
            for run in open.runs.values() {
                if let Some(version) = run.progress.version()
                    && let Some(engine) = self.engines.get_mut(&run.engine)
                    && engine.version(model) < version
                {
                    engine.record_version(model, version, "answer");
                }
            }
        }
    }

    /// Sends the weight orders that are due within a committed order window.
    pub(super) fn order_weight_changes(&mut self) {
        if !self.set.controls_engine_count() {
            return;
        }
        let min_concurrent = self.context.settings.bounds.concurrent_loads;
        let concurrent = max_concurrent_changes(self.engines.len(), min_concurrent);
        let targets = self.model_targets();
        let bound_demands = self.other_batches.bound_demands();
        let now = BootInstant::now();
        let orders = plan(&self.engines, &targets, &bound_demands, concurrent, now);
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
            engine.has_order_in_flight = true;
            let task = OrderTask {
                context: Arc::clone(&self.context),
                term: self.term.clone(),
                back_end: Arc::clone(&engine.back_end),
                order,
                change,
                send_before: BootInstant::now() + ORDER_SEND_TIMEOUT,
                events: self.sender.clone(),
            };
            self.term.spawn("weight order", task.run());
        }
    }

    /// Opens an order window in the background, since the table may be slow or down.
    pub(super) fn open_window(&mut self) {
        if std::mem::replace(&mut self.is_opening_window, true) {
            return;
        }
        let mut window = self.window.clone();
        let context = Arc::clone(&self.context);
        let term = self.term.clone();
        let sender = self.sender.clone();
        self.term.spawn("order window", async move {
            window.open(&context, &term).await;
            // The receiver is gone if the term has ended.
            let _ = sender.send(OwnerEvent::WindowOpenEnded(window));
        });
    }

    pub(super) fn window_open_ended(&mut self, window: OrderWindow) {
        self.window = window;
        self.is_opening_window = false;
        self.weights_due = true;
    }

    /// Returns the models whose versions engines are kept up to date with: those that the
    /// configuration names, and others of open batches that an engine has.
    pub(super) fn models(&self) -> Vec<String> {
        let mut models = self.configured_models();
        for model in self
            .open_headers()
            .filter_map(|header| header.model.as_ref())
        {
            if !models.contains(model) && self.engines.any_has_model(model) {
                models.push(model.clone());
            }
        }
        models
    }

    /// Returns the headers of the open batches of this and other owners of the service.
    fn open_headers(&self) -> impl Iterator<Item = &BatchHeader> {
        let own = self.batches.values().map(|open| &open.batch.header);
        own.chain(self.other_batches.headers())
    }

    /// Returns the models of the service; none if the configuration does not name the service.
    fn configured_models(&self) -> Vec<String> {
        let configuration = self.context.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(&self.service));
        let model = service.and_then(|service| service.model.as_ref());
        model.map(|model| model.models.clone()).unwrap_or_default()
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
        self.publications.record(&model, published, now);
        let policy = self.context.settings.policies.assign_by_backlog;
        let slots_are_scarce = policy && self.usage.is_scarce(Some(&model));
        let is_long_lived = self.publications.is_long_lived(&model, now);
        let (ready_share, newest_share) = match (is_long_lived, slots_are_scarce) {
            (true, _) => (1.0, 1.0),
            (false, true) => (1.0, scarce_newest_share(self.version_lag(&model))),
            (false, false) => (
                self.usage.ready_share(&model),
                self.usage.newest_share(&model),
            ),
        };
        let waiting = match slots_are_scarce {
            true => self.waiting_items(&model),
            false => 0,
        };
        ModelTarget {
            waiting,
            min_usable: self.needed_version(&model, published),
            model,
            published,
            ready_share,
            newest_share,
            slots_are_scarce,
        }
    }

    fn waiting_items(&self, model: &str) -> usize {
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        of_model.map(|open| open.batch.waiting()).sum()
    }

    /// How many versions behind the newest the last batch of a model allowed.
    fn version_lag(&self, model: &str) -> u64 {
        let lag = self.version_lags.get(model).copied();
        lag.unwrap_or(DEFAULT_VERSION_LAG)
    }

    /// The oldest version that both the open batches of a model and its next batch can use. The
    /// next batch is expected to allow the same lag as the last one.
    fn needed_version(&self, model: &str, published: WeightVersion) -> WeightVersion {
        let expected = published.0.saturating_sub(self.version_lag(model));
        let open = self.batches.values();
        let of_model = open.filter(|open| open.batch.model.as_deref() == Some(model));
        let demanded = of_model.map(|open| open.batch.oldest_version).max();
        let by_other_batches = self.other_batches.demanded_version(model);
        let demanded = demanded.max(by_other_batches).unwrap_or_default();
        WeightVersion(expected).max(demanded)
    }

    /// The shares by which engines are assigned to models. A model without batches so far gets the
    /// mean of the others.
    pub(super) fn model_shares(&self) -> Vec<ModelShare> {
        let published = Arc::clone(&self.context.in_force.borrow().published);
        let models = self.models();
        let known_tokens: Vec<f64> = models
            .iter()
            .filter_map(|model| self.expected_tokens.get(model).copied())
            .collect();
        let mean_tokens = match known_tokens.is_empty() {
            true => 1.0,
            false => known_tokens.iter().sum::<f64>() / known_tokens.len() as f64,
        };
        let models = models.into_iter();
        models
            .map(|model| ModelShare {
                published: published.get(&model).copied().unwrap_or_default(),
                work: self
                    .expected_tokens
                    .get(&model)
                    .copied()
                    .unwrap_or(mean_tokens),
                model,
            })
            .collect()
    }

    /// Records a new batch and how far its samples may lag behind the newest version.
    pub(super) fn record_version_demand(
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
            self.version_lags.insert(model.to_owned(), lag);
        }
    }

    /// Records the version demand and the expected tokens of a batch.
    pub(super) fn record_batch(&mut self, batch: &Batch) {
        let Some(model) = &batch.model else {
            return;
        };
        self.record_version_demand(model, batch.oldest_version, &batch.header);
        let tokens: u64 = batch.items().iter().map(|item| item.expected_length).sum();
        let new = (tokens as f64).max(1.0);
        let smoothed = self.expected_tokens.entry(model.clone()).or_insert(new);
        *smoothed += (new - *smoothed) * TOKENS_SMOOTHING;
        self.backlog.arrivals.record(batch);
        self.assign_models();
    }

    /// Running samples continue under new weights, unless a route to the service or an open batch
    /// requires each sample to come from a single version.
    fn version_change(&self) -> VersionChange {
        let configuration = self.context.configuration();
        let by_route = configuration.is_some_and(|configuration| {
            let mut routes = configuration.routes.iter();
            routes.any(|route| route.single_version && route.routes_to(&self.service))
        });
        let by_batch = self.open_headers().any(|header| header.single_version);
        match by_route || by_batch {
            true => VersionChange::Wait,
            false => VersionChange::Continue,
        }
    }

    pub(super) fn order_ended(&mut self, end: WeightOrderOutcome) {
        let now = BootInstant::now();
        let Some(engine) = self.engines.get_mut(&end.order.engine) else {
            return;
        };
        engine.has_order_in_flight = false;
        let model = &end.order.model;
        let is_busy = end.status.as_ref().is_some_and(|status| status.busy);
        if let Some(status) = &end.status
            && let Some(version) = status.versions.get(model)
            && !is_busy
        {
            engine.record_version(model, *version, "status");
        }
        match end.answer {
            Some(OrderAnswer::Accepted) => {
                engine.change = Some(VersionChangeInFlight {
                    model: model.clone(),
                    version: end.order.version,
                    accepted_at: now,
                });
            }
            Some(OrderAnswer::AlreadyInForce) => {
                engine.record_version(model, end.order.version, "order");
            }
            Some(OrderAnswer::Fenced) => self.term.ended.cancel(),
            Some(OrderAnswer::Conflict | OrderAnswer::Refused) => {
                engine.order_not_before = now + ORDER_RETRY_DELAY;
            }
            None if is_busy => engine.order_not_before = now + ORDER_RETRY_DELAY,
            None => engine.order_not_before = now + UNANSWERED_ORDER_RETRY_DELAY,
        }
    }
}
