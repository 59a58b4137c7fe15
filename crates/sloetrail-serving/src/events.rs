//! Typed events of the node's log, one for each decision.
//!
//! Each event is one JSON line. Lines go through a bounded queue to a writer thread, so that a
//! blocked reader of standard output does not block the node. Lines that do not fit into the
//! queue are counted and reported in a later line. Frequent events, such as successful requests
//! and refused keys, are limited per second; other failures and refusals are not.

mod part;
mod rate_limiter;
mod writer;

pub use writer::{LoggingError, flush, start, start_with};

use rate_limiter::RateLimiter;
use serde::Serialize;

/// A decision of the node, or a change of its state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    NodeStarted {
        node: &'a str,
        zone: &'a str,
        /// The incarnation of the node.
        instance: &'a str,
        version: &'a str,
    },
    /// The node was asked to stop.
    NodeStopping {
        /// Requests in flight.
        requests: usize,
        connections: usize,
    },
    /// A request that was not finished when the node stopped.
    RequestEndedByStop {
        request: &'a str,
        status: u16,
        code: u16,
        took_ms: u64,
    },
    /// A stage of the node's stop has been reached.
    NodeStopStage {
        stage: &'a str,
        /// Time since the node was asked to stop.
        after_ms: u64,
        /// Requests in flight.
        requests: usize,
        connections: usize,
    },
    NodeStopped {
        /// Requests in flight, which are cut off.
        requests: usize,
    },
    /// A number of the settings is outside its range and is not used as written.
    SettingsNumberHeld {
        /// The path of the field.
        field: &'a str,
        given: &'a str,
        used: &'a str,
    },
    /// A task of the node has panicked.
    TaskPanicked {
        task: &'a str,
        /// The source location; empty if unknown.
        at: &'a str,
    },
    /// The settings file was read again.
    SettingsReloaded {
        outcome: &'a str,
        /// The error; empty if the settings are valid.
        detail: &'a str,
    },
    /// A connection was unresponsive; the pooled connections to its address were closed.
    ConnectionsCondemned {
        address: &'a str,
        /// The sign of unresponsiveness.
        cause: &'a str,
        /// The number of closed connections.
        connections: usize,
    },
    /// A dependency does not answer.
    DependencyLost {
        /// The name of the dependency.
        dependency: &'a str,
    },
    /// A dependency answers again.
    DependencyRegained {
        /// The name of the dependency.
        dependency: &'a str,
    },
    /// The table does not answer this node; a peer relays its calls.
    RelayBegan {
        /// The name of the relaying node.
        peer: &'a str,
    },
    /// The peer no longer relays the calls of this node.
    RelayEnded {
        /// The name of the relaying node.
        peer: &'a str,
        cause: &'a str,
    },
    /// A view of a table has not been confirmed for a part of its maximum age.
    ViewOverdue {
        table: &'a str,
        /// The time since the request that confirmed the view; None before the first one.
        age_ms: Option<u64>,
        /// The time since the pending read was sent.
        pending_ms: u64,
        /// How long the pending read may wait for a change.
        long_poll_ms: u64,
        /// How long a read may take in addition, derived from earlier latencies.
        timeout_ms: u64,
        /// The time since the table answered any call of this node; None before the first answer.
        last_answer_ms: Option<u64>,
    },
    /// An overdue view is confirmed again.
    ViewConfirmed {
        table: &'a str,
        /// The age of the view when it was confirmed; None for the first confirmation.
        age_ms: Option<u64>,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        revision: u64,
        /// The number of routes.
        routes: usize,
        /// The configuration was written at most this long ago, because an earlier read did not
        /// return it; None for the first one.
        written_within_ms: Option<u64>,
    },
    /// A route and a tenant of the configuration in force have no region in common.
    RegionsExclude {
        route: &'a str,
        tenant: &'a str,
        revision: u64,
    },
    /// A number of the configuration in force is outside its range and is not used as written.
    ConfigurationNumberHeld {
        /// The path of the field.
        field: &'a str,
        given: &'a str,
        used: &'a str,
        revision: u64,
    },
    /// A configuration is not newer than the one in force, which stays in force.
    ConfigurationOutdated {
        revision: u64,
        /// The revision in force.
        in_force: u64,
    },
    /// A configuration is invalid; the previous one stays in force.
    ConfigurationRefused {
        /// The version of the row that contains the configuration.
        row_version: u64,
        detail: &'a str,
    },
    /// A row of another writer cannot be decoded and is ignored.
    RowUnreadable {
        table: &'a str,
        key: &'a str,
        detail: &'a str,
    },
    /// A trainer has published a weight version.
    VersionPublished {
        /// The name of the model.
        model: &'a str,
        version: u64,
    },
    /// The operator started or withdrew the evacuation of a zone.
    EvacuationChanged {
        zone: &'a str,
        /// True if the evacuation was started, false if it was withdrawn.
        evacuated: bool,
    },
    /// No work of this node runs in an evacuated zone any more.
    EvacuationSettled {
        zone: &'a str,
        /// The time since the evacuation took effect on this node.
        after_ms: u64,
    },
    /// The configuration binds batches to regions, but the region of this node is unknown: it owns
    /// no bound batch.
    OwnRegionUnknown {
        zone: &'a str,
        /// The number of sets of bound batches.
        sets: usize,
    },
    /// A back end joined, left or changed its state.
    BackEndChanged {
        back_end: &'a str,
        service: &'a str,
        /// `ready`, `cold`, `draining` or `gone`.
        state: &'a str,
        directory_version: u64,
    },
    /// A request was lost at a back end whose address does not refuse connections, so that it does
    /// not count as crashed.
    CrashNotConfirmed {
        back_end: &'a str,
        service: &'a str,
        /// What the last probe of the address found.
        seen: &'a str,
        /// The time since the first probe.
        probed_ms: u64,
    },
    /// A live request has its final answer.
    RequestAnswered {
        request: &'a str,
        route: &'a str,
        status: u16,
        back_end: &'a str,
        attempts: usize,
        took_ms: u64,
        revision: u64,
    },
    /// The node refused a live request or failed to get an answer for it.
    RequestFailed {
        request: &'a str,
        /// The route, or host and path if no route matches.
        route: &'a str,
        status: u16,
        code: u16,
        attempts: usize,
        took_ms: u64,
        /// The time left until the deadline.
        left_ms: u64,
        revision: u64,
        /// The regions that may serve the request, `everywhere` or `nowhere`; `-` if they are
        /// unknown.
        regions: &'a str,
        detail: &'a str,
    },
    /// An attempt at a back end ended without an answer to return.
    AttemptFailed {
        /// The request or item.
        request: &'a str,
        back_end: &'a str,
        outcome: &'a str,
        took_ms: u64,
        /// The version of the directory that lists the back end.
        directory_version: u64,
        /// The digest of the request without its id, so that repeats match; `-` if it has not run.
        digest: &'a str,
    },
    /// An event of a stream was refused, which ends the stream of this back end.
    EventRefused {
        /// The request or item.
        request: &'a str,
        back_end: &'a str,
        cause: &'a str,
        /// The number of the event; None if it has none.
        number: Option<u64>,
        /// The number of the last event that was accepted.
        last_event: Option<u64>,
        /// Events before it that were accepted but not passed on.
        dropped: usize,
    },
    /// The directory was read again, or a larger subset of it.
    DirectoryRead {
        /// The number of rows in memory.
        rows: usize,
        /// True if these are all rows of the directory.
        whole: bool,
    },
    /// A new incarnation of a back end has started; the work of the previous one is lost.
    BackEndRestarted {
        /// The new incarnation.
        back_end: &'a str,
        /// The previous incarnation.
        before: &'a str,
        /// True if the previous incarnation had announced that it was leaving.
        planned: bool,
    },
    /// A back end crashed while requests of this node ran there.
    BackEndCrashed {
        back_end: &'a str,
        service: &'a str,
        /// The digests of the requests. The event is repeated when more are found.
        digests: &'a [String],
        /// For each digest, the number of the last event that the request had received.
        last_events: &'a [Option<u64>],
        /// How many of them may have caused the crash. The others are those of batches.
        suspects: usize,
    },
    /// A request is quarantined, because back ends of the service crash while running it.
    RequestHeld {
        digest: &'a str,
        service: &'a str,
        /// The number of back ends that crashed while running the request.
        crashes: usize,
        /// False if another request explains the crashes as well; both may then be tried.
        clear: bool,
        /// `sole_suspect`, `several_suspects`, `other_cause` or `trials_exhausted`. The event is
        /// repeated when it changes.
        reason: &'a str,
    },
    /// A request is released from quarantine for a service.
    RequestReleased {
        /// The digest of the request.
        digest: &'a str,
        service: &'a str,
    },
    /// A quarantined request is tried at one back end of the service.
    RequestTried {
        /// The digest of the request.
        digest: &'a str,
        service: &'a str,
    },
    /// A quarantined request is not tried, because another trial of the service is in progress.
    TrialRefused {
        /// The digest of the request.
        digest: &'a str,
        service: &'a str,
        /// The digest of the request on trial.
        on_trial: &'a str,
        /// The time until that trial ends at the latest.
        remaining_ms: u64,
    },
    /// The outcome of a keyed request could not be written to its claim. Repeats are answered that
    /// the outcome is unknown.
    ClaimLeft {
        request: &'a str,
        /// The state to be written: `released` or `answered`.
        state: &'a str,
        cause: &'a str,
    },
    /// Expired claims of idempotency keys were deleted.
    ClaimsDeleted {
        /// The number of deleted claims.
        claims: usize,
    },
    /// A batch was accepted, now or by an earlier submission.
    BatchAccepted {
        batch: &'a str,
        service: &'a str,
        items: usize,
        /// True if an earlier submission was accepted.
        repeated: bool,
        /// The regions that the batch is bound to, or `everywhere`.
        regions: &'a str,
        took_ms: u64,
    },
    /// The submission of a batch waits because the table does not answer.
    BatchWaits {
        /// The id of the batch.
        batch: &'a str,
    },
    BatchRefused {
        batch: &'a str,
        code: u16,
        detail: &'a str,
    },
    /// A batch was ended by its trainer.
    BatchEnded {
        batch: &'a str,
        /// Items without a listed result.
        unfinished: usize,
    },
    /// The owner has loaded a batch.
    BatchOpened {
        batch: &'a str,
        items: usize,
        /// Results already listed.
        listed: usize,
        epoch: u64,
        /// The age of the batch by the table's clock.
        age_ms: u64,
        /// The regions that the batch is bound to, or `everywhere`.
        regions: &'a str,
    },
    /// An item was sent to an engine.
    ItemStarted {
        item: &'a str,
        batch: &'a str,
        back_end: &'a str,
        /// The number of the last event received so far.
        last_event: u64,
        /// The version that the engine last reported.
        version: u64,
        /// Waiting items of the batch.
        waiting: usize,
        /// How long the item was at no engine since its last run. None for the first run.
        interrupted_ms: Option<u64>,
    },
    /// An interrupted item has been at no engine for a while. Logged at most once a second, for the
    /// item that has been interrupted for longest.
    ItemUnplaced {
        item: &'a str,
        batch: &'a str,
        interrupted_ms: u64,
        /// Its runs so far.
        runs: usize,
        /// Interrupted items that are at no engine.
        items: usize,
        /// Engines that take work.
        engines: usize,
        /// Those that get no item for some time after a loss or a refusal.
        backing_off: usize,
        /// Those without a free slot.
        full: usize,
        /// Those that are changing the version of the item's model.
        changing: usize,
        /// Those whose version of the item's model is too old.
        outdated: usize,
        /// Those that could take the item now.
        able: usize,
    },
    /// A run of an item ended before its text was complete.
    ItemInterrupted {
        item: &'a str,
        batch: &'a str,
        back_end: &'a str,
        outcome: &'a str,
        /// Events received so far.
        events: usize,
        took_ms: u64,
    },
    /// The run of an item was closed to continue on a faster engine.
    ItemMoved {
        item: &'a str,
        batch: &'a str,
        from: &'a str,
        to: &'a str,
        /// The expected number of further events.
        remaining_events: u64,
        /// The expected saving of time.
        gain_ms: u64,
    },
    /// An item has failed for good.
    ItemDead {
        item: &'a str,
        batch: &'a str,
        cause: &'a str,
    },
    /// An item's result was committed.
    ItemListed {
        item: &'a str,
        batch: &'a str,
        /// The position among the results of the batch.
        position: usize,
        /// The weight versions that produced the text.
        versions: &'a [u64],
        commit_ms: u64,
    },
    /// Results older than the reader's oldest accepted version were returned without their texts.
    ResultsTooOld {
        batch: &'a str,
        /// The position of the first result read.
        position: usize,
        /// The number of results returned without texts.
        results: usize,
        /// The oldest version that the reader accepts.
        oldest_version: u64,
    },
    /// Items of a model wait for slots.
    ItemsWaiting {
        service: &'a str,
        model: &'a str,
        waiting: usize,
        running: usize,
        /// Free slots of the engines assigned to the model.
        free: usize,
        /// Free slots of the engines assigned to other models.
        free_of_others: usize,
    },
    /// The groups that a trainer requires are complete. The parts of the age add up to it and are
    /// those of the item that was listed last.
    StepWhole {
        batch: &'a str,
        /// The number of required groups.
        groups: usize,
        /// The age of the batch.
        age_ms: u64,
        /// The age of the batch when this owner opened it.
        opened_ms: u64,
        /// The item that was listed last.
        item: &'a str,
        /// True if the group of the item was expected to be among the required ones.
        wanted: bool,
        /// From the opening of the batch to the item's first run.
        waiting_ms: u64,
        /// Time in which items of the batch waited while only engines of other models had free
        /// slots.
        waited_while_others_free_ms: u64,
        /// The time on engines.
        running_ms: u64,
        /// The time between runs.
        between_runs_ms: u64,
        scoring_ms: u64,
        committing_ms: u64,
        /// The item's runs under this owner.
        runs: usize,
        /// The events of these runs, including repeated ones.
        events_made: usize,
        /// The largest number of events of an item in a complete group.
        longest_events: usize,
        /// The duration of that item on the fastest engine: a lower bound for the step.
        least_ms: u64,
        epoch: u64,
    },
    /// A reward call returned no score.
    RewardFailed {
        item: &'a str,
        /// The reward call.
        reward: &'a str,
        /// The number of failed answers so far.
        failures: usize,
        outcome: &'a str,
    },
    /// This node competes for a lease from now on.
    LeaseManagerStarted {
        /// The name of the lease.
        service: &'a str,
        /// Why the lease is needed: `configuration`, `table` or `settings`.
        cause: &'a str,
        /// The revision of the configuration in force; zero before the first one.
        revision: u64,
    },
    /// This node no longer competes for a lease, which is not needed.
    LeaseManagerStopped {
        /// The name of the lease.
        service: &'a str,
    },
    /// The lease of a batch set was deleted: the set is not configured and has no batches.
    BatchSetRetired {
        /// The name of the lease.
        service: &'a str,
        /// The last epoch.
        epoch: u64,
    },
    /// This node has become the owner of a service.
    LeaseTaken {
        service: &'a str,
        epoch: u64,
        previous: &'a str,
        /// How long the lease was unchanged.
        unchanged_ms: u64,
    },
    /// A watcher has found the owner of a service unreachable and competes for its lease.
    OwnerFoundGone {
        holder: &'a str,
        /// The last observed state of the owner.
        seen: &'a str,
        /// The time since the last sign of life.
        silent_ms: u64,
    },
    /// This node is no longer the owner of a service.
    LeaseLost {
        service: &'a str,
        /// The epoch that has ended.
        epoch: u64,
        cause: &'a str,
    },
    /// An engine was ordered to use a weight version.
    OrderGiven {
        back_end: &'a str,
        model: &'a str,
        version: u64,
        /// The epoch of the owner.
        epoch: u64,
        /// The engine's answer.
        outcome: &'a str,
    },
    /// An engine uses a new weight version.
    VersionInForce {
        back_end: &'a str,
        model: &'a str,
        version: u64,
        /// The source of this knowledge.
        source: &'a str,
    },
    /// An engine was reassigned to a model that finishes its work later, while slots are scarce.
    EngineReassigned {
        service: &'a str,
        back_end: &'a str,
        from: &'a str,
        to: &'a str,
        /// Time that the previous model now takes to finish its work.
        from_finish_ms: u64,
        /// Time that the new model now takes to finish its work.
        to_finish_ms: u64,
    },
    /// An engine became much slower than the others, or caught up with them.
    PaceChanged {
        back_end: &'a str,
        /// True if the engine is slow now.
        slow: bool,
        /// The event interval of the engine.
        pace_us: u64,
        /// The median event interval of all engines.
        median_us: u64,
    },
    /// The required work of a model no longer fits before it is due, or fits again.
    TriageChanged {
        /// The name of the lease.
        service: &'a str,
        model: &'a str,
        /// True if groups are classified from now on.
        active: bool,
        /// Batches with a due time.
        batches: usize,
        /// Incomplete required groups that are expected to be complete when due.
        in_time: usize,
        /// Incomplete required groups that are not.
        late: usize,
    },
    /// The owner of bound batches reported their slot demand.
    DemandTold {
        /// The name of the lease.
        service: &'a str,
        /// Slots used on average since the last report.
        busy: usize,
        /// Slots that the batches could use.
        wanted: usize,
        /// The longest step since the last report, in percent of its target.
        step_percent: Option<u32>,
        epoch: u64,
        /// The outcome of the write.
        outcome: &'a str,
    },
    /// The owner of batches reported how long their open work takes.
    BacklogReported {
        /// The name of the lease.
        service: &'a str,
        /// The number of models whose open work is long.
        models: usize,
        /// The longest time to finish of a model.
        max_ms: u64,
        epoch: u64,
        /// The outcome of the write.
        outcome: &'a str,
    },
    /// A number of engines was ordered for a zone.
    EnginesOrdered {
        service: &'a str,
        zone: &'a str,
        /// The ordered number of engines.
        engines: usize,
        /// The epoch of the owner.
        epoch: u64,
        outcome: &'a str,
        /// The HTTP status of a refusal.
        status: Option<u16>,
    },
    /// A report of tenant usage was sent.
    UsageReported {
        window: u64,
        /// Tenants with at least one request in the window.
        tenants: usize,
        /// Requests of all tenants.
        requests: u64,
        /// The epoch of the reporter.
        epoch: u64,
        /// The time since the end of the window.
        after_end_ms: u64,
        outcome: &'a str,
        /// The HTTP status of a final refusal.
        status: Option<u16>,
    },
    /// Counts of an earlier window were found: they arrived after its report, or were reported but
    /// not deleted.
    UsageLeft {
        /// The window that is reported now.
        window: u64,
        /// Requests that are in no report, or in one already.
        requests: u64,
    },
    /// The nodes' wall clock was set relative to the table's clock.
    WallClockAgreed {
        /// How far the wall clock is ahead of the table's clock.
        lead_ms: i64,
        /// The number of nodes whose clocks were compared.
        nodes: usize,
    },
    /// The process did not run for a while.
    ProcessPaused {
        /// The duration of the pause.
        paused_ms: u64,
    },
    /// Lines were dropped from the log.
    LinesDropped {
        /// Lines that did not fit into the queue.
        overflow: u64,
        /// Lines over a rate limit.
        thinned: u64,
    },
}

/// Queues an event for the log without blocking. Events over their rate limit are dropped.
pub fn emit(event: &Event<'_>) {
    let part = event.part();
    debug_assert!(writer::PARTS.contains(&part), "{part} is missing in PARTS");
    if !log::log_enabled!(target: part, log::Level::Info) {
        return;
    }
    let admitted = event.limiter().is_none_or(RateLimiter::admit);
    if !admitted {
        return;
    }
    if let Ok(json) = serde_json::to_string(event) {
        log::info!(target: part, "{json}");
    }
}
