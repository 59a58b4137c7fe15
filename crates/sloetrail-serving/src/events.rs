//! What a node writes down: one typed event for each decision.
//!
//! Each event is one JSON line. The lines go through a bounded queue to one writer
//! thread, so that a reader of standard output that stops does not stop the node;
//! what does not fit is counted and said in a later line. Ordinary successes are
//! thinned by a limit a second, and so are refusals of unknown keys; other failures and
//! refusals are not.

mod part;
mod rate_limiter;
mod writer;

pub use writer::{LoggingError, flush, start, start_with};

use rate_limiter::RateLimiter;
use serde::Serialize;

/// A decision, or a change of what the node believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The node started.
    NodeStarted {
        /// Its name.
        node: &'a str,
        /// Its zone.
        zone: &'a str,
        /// This life's id.
        instance: &'a str,
        /// The program's version.
        version: &'a str,
    },
    /// The node was told to stop.
    NodeStopping {
        /// Requests that are being answered.
        requests: usize,
        /// Connections that are open.
        connections: usize,
    },
    /// The node has stopped.
    NodeStopped {
        /// Requests that were cut.
        requests: usize,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Whether they could be taken in.
        outcome: &'a str,
        /// What was wrong with them.
        detail: &'a str,
    },
    /// A connection stayed silent, and those kept to the same address before were closed.
    ConnectionsCondemned {
        /// The address.
        address: &'a str,
        /// What showed the silence.
        cause: &'a str,
        /// How many were closed.
        connections: usize,
    },
    /// Something that the node relies on does not answer.
    DependencyLost {
        /// What.
        dependency: &'a str,
    },
    /// It answers again.
    DependencyRegained {
        /// What.
        dependency: &'a str,
    },
    /// The table does not answer this node; another one carries its calls.
    RelayBegan {
        /// The node that carries them.
        peer: &'a str,
    },
    /// The node that carried calls for this one does so no more.
    RelayEnded {
        /// The node that carried them.
        peer: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        /// Its revision.
        revision: u64,
        /// How many routes it has.
        routes: usize,
    },
    /// A route and a tenant of the configuration in force have no region in common.
    RegionsExclude {
        /// The route.
        route: &'a str,
        /// The tenant.
        tenant: &'a str,
        /// The revision of the configuration.
        revision: u64,
    },
    /// A configuration cannot be put in force; the one before stays.
    ConfigurationRefused {
        /// The version of its row.
        row_version: u64,
        /// Why.
        detail: &'a str,
    },
    /// A row that others write cannot be read; it is left out.
    RowUnreadable {
        /// Its table.
        table: &'a str,
        /// Its key.
        key: &'a str,
        /// Why.
        detail: &'a str,
    },
    /// A trainer has published a version.
    VersionPublished {
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
    },
    /// The operator asked that nothing further be sent to the back ends of a zone, or
    /// withdrew that.
    EvacuationChanged {
        /// The zone.
        zone: &'a str,
        /// True if it is asked for, false if it was withdrawn.
        evacuated: bool,
    },
    /// Nothing that this node sent to the back ends of an evacuated zone runs there any more.
    EvacuationSettled {
        /// The zone.
        zone: &'a str,
        /// How long after the evacuation was in force here, in milliseconds.
        after_ms: u64,
    },
    /// The configuration binds batches to regions, and this node does not know in which one it
    /// lies: it owns none of them.
    OwnRegionUnknown {
        /// Its zone.
        zone: &'a str,
        /// How many sets of bound batches there are.
        sets: usize,
    },
    /// A back end joined, left or changed its state.
    BackEndChanged {
        /// The back end.
        back_end: &'a str,
        /// Its service.
        service: &'a str,
        /// `ready`, `cold`, `draining` or `gone`.
        state: &'a str,
        /// The version of the directory.
        directory_version: u64,
    },
    /// A live request has its final answer.
    RequestAnswered {
        /// The request.
        request: &'a str,
        /// Its route.
        route: &'a str,
        /// The status given.
        status: u16,
        /// The back end that answered.
        back_end: &'a str,
        /// Back ends that it was sent to.
        attempts: usize,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The revision of the configuration that routed it.
        revision: u64,
    },
    /// A live request was refused or failed by the node.
    RequestFailed {
        /// The request.
        request: &'a str,
        /// Its route, or its host and path.
        route: &'a str,
        /// The status given.
        status: u16,
        /// The result code.
        code: u16,
        /// Back ends that it was sent to.
        attempts: usize,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// How much time was left, in milliseconds.
        left_ms: u64,
        /// The revision of the configuration that routed it.
        revision: u64,
        /// The regions that it may be served in, `everywhere` or `nowhere`; `-` if it was
        /// refused before they were known.
        regions: &'a str,
        /// A short sentence.
        detail: &'a str,
    },
    /// One attempt at a back end ended without an answer to pass on.
    AttemptFailed {
        /// The request or item.
        request: &'a str,
        /// The back end.
        back_end: &'a str,
        /// How it ended.
        outcome: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The version of the directory that named the back end.
        directory_version: u64,
        /// The digest of the request, which it keeps when it comes again under another id;
        /// `-` if it has not run.
        digest: &'a str,
    },
    /// The directory was read anew, or more of it than before.
    DirectoryRead {
        /// Rows that are held.
        rows: usize,
        /// True if these are all.
        whole: bool,
    },
    /// Another life of a back end has begun under the same name: what ran in the one before is
    /// lost.
    BackEndRestarted {
        /// The life that began.
        back_end: &'a str,
        /// The life before.
        before: &'a str,
        /// True if that one had said that it leaves.
        planned: bool,
    },
    /// A back end that took work has crashed while requests of this node were there.
    BackEndCrashed {
        /// The back end.
        back_end: &'a str,
        /// Its service.
        service: &'a str,
        /// The digests of the requests; told again if there are more.
        digests: &'a [String],
    },
    /// A request is kept from the back ends of a service, since they crash under it.
    RequestHeld {
        /// Its digest.
        digest: &'a str,
        /// The service.
        service: &'a str,
        /// Back ends that crashed under it.
        crashes: usize,
        /// False if another request explains the crashes as well: both may be tried.
        clear: bool,
    },
    /// A request is no longer kept from the back ends of a service.
    RequestReleased {
        /// Its digest.
        digest: &'a str,
        /// The service.
        service: &'a str,
    },
    /// A request is tried at one back end of a service.
    RequestTried {
        /// Its digest.
        digest: &'a str,
        /// The service.
        service: &'a str,
    },
    /// What became of a keyed request could not be written to the claim of its key: repeats
    /// are told that the outcome is not known.
    ClaimLeft {
        /// The request.
        request: &'a str,
        /// What was to be written: `released` or `answered`.
        state: &'a str,
        /// Why it was not.
        cause: &'a str,
    },
    /// Claims of idempotency keys were deleted after their time.
    ClaimsDeleted {
        /// How many.
        claims: usize,
    },
    /// A batch was accepted, or found accepted before.
    BatchAccepted {
        /// The batch.
        batch: &'a str,
        /// The service that runs it.
        service: &'a str,
        /// Its items.
        items: usize,
        /// True if it was accepted before.
        repeated: bool,
        /// The regions that it is bound to, or `everywhere`.
        regions: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// A batch that is submitted waits, since the table does not answer.
    BatchWaits {
        /// The batch.
        batch: &'a str,
    },
    /// A batch was not accepted.
    BatchRefused {
        /// The batch.
        batch: &'a str,
        /// The result code.
        code: u16,
        /// A short sentence.
        detail: &'a str,
    },
    /// A batch was ended by its trainer.
    BatchEnded {
        /// The batch.
        batch: &'a str,
        /// Items that were not listed.
        unfinished: usize,
    },
    /// The owner has taken in a batch.
    BatchOpened {
        /// The batch.
        batch: &'a str,
        /// Its items.
        items: usize,
        /// Results that are listed already.
        listed: usize,
        /// The owner's epoch.
        epoch: u64,
        /// Its age by the table's clock, in milliseconds.
        age_ms: u64,
        /// The regions that it is bound to, or `everywhere`.
        regions: &'a str,
    },
    /// An item was sent to an engine.
    ItemStarted {
        /// The item.
        item: &'a str,
        /// Its batch.
        batch: &'a str,
        /// The engine.
        back_end: &'a str,
        /// The number of the last event that is held.
        last_event: u64,
        /// The version that the engine is believed to use.
        version: u64,
        /// Items that wait in the batch.
        waiting: usize,
    },
    /// A run of an item ended without its whole text.
    ItemInterrupted {
        /// The item.
        item: &'a str,
        /// Its batch.
        batch: &'a str,
        /// The engine.
        back_end: &'a str,
        /// How it ended.
        outcome: &'a str,
        /// Events that are held.
        events: usize,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// An item's run is closed to go on at a faster engine.
    ItemMoved {
        /// The item.
        item: &'a str,
        /// Its batch.
        batch: &'a str,
        /// The engine that it ran on.
        from: &'a str,
        /// The engine that it goes on at.
        to: &'a str,
        /// Events that are still expected.
        remaining_events: u64,
        /// The time that this is expected to save, in milliseconds.
        gain_ms: u64,
    },
    /// An item is given up.
    ItemDead {
        /// The item.
        item: &'a str,
        /// Its batch.
        batch: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// An item's result was committed.
    ItemListed {
        /// The item.
        item: &'a str,
        /// Its batch.
        batch: &'a str,
        /// Its position.
        position: usize,
        /// The versions that made it.
        versions: &'a [u64],
        /// How long the commit took, in milliseconds.
        commit_ms: u64,
    },
    /// A reader was told of results without their texts, which are older than it takes.
    ResultsTooOld {
        /// The batch.
        batch: &'a str,
        /// The position from which it read.
        position: usize,
        /// How many of the results.
        results: usize,
        /// The oldest version that it takes.
        oldest_version: u64,
    },
    /// The groups that a trainer waits for are whole. The parts of the age, which add
    /// up to it, are those of the item that was listed last.
    StepWhole {
        /// The batch.
        batch: &'a str,
        /// The groups that are waited for.
        groups: usize,
        /// The age of the batch, in milliseconds.
        age_ms: u64,
        /// Its age when this owner opened it.
        opened_ms: u64,
        /// The item that was listed last.
        item: &'a str,
        /// True if its group was expected to be among those waited for.
        wanted: bool,
        /// From the opening to the item's first run.
        waiting_ms: u64,
        /// At engines.
        running_ms: u64,
        /// At no engine, between two runs.
        between_runs_ms: u64,
        /// Being scored.
        scoring_ms: u64,
        /// Being committed.
        committing_ms: u64,
        /// The item's runs under this owner.
        runs: usize,
        /// Events that these have made, those made again included.
        events_made: usize,
        /// The most events of an item of a whole group.
        longest_events: usize,
        /// What these take on the fastest engine: no step could be shorter.
        least_ms: u64,
        /// The owner's epoch.
        epoch: u64,
    },
    /// A reward call did not give a score.
    RewardFailed {
        /// The item.
        item: &'a str,
        /// The call.
        reward: &'a str,
        /// Answers of failure so far.
        failures: usize,
        /// What happened.
        outcome: &'a str,
    },
    /// This node has become the owner of a service.
    LeaseTaken {
        /// The service.
        service: &'a str,
        /// The epoch.
        epoch: u64,
        /// The owner before.
        previous: &'a str,
        /// How long the lease was unchanged, in milliseconds.
        unchanged_ms: u64,
    },
    /// A watcher has found the owner of a service gone and competes for its lease.
    OwnerFoundGone {
        /// The owner.
        holder: &'a str,
        /// What was seen last.
        seen: &'a str,
        /// How long it took since the last sign of life, in milliseconds.
        silent_ms: u64,
    },
    /// This node is no longer the owner of a service.
    LeaseLost {
        /// The service.
        service: &'a str,
        /// The epoch that it had.
        epoch: u64,
        /// How it found out.
        cause: &'a str,
    },
    /// An engine was ordered to use a version.
    OrderGiven {
        /// The engine.
        back_end: &'a str,
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// The epoch under which it was given.
        epoch: u64,
        /// The engine's answer.
        outcome: &'a str,
    },
    /// An engine uses a version that it did not use before.
    VersionInForce {
        /// The engine.
        back_end: &'a str,
        /// The model.
        model: &'a str,
        /// The version.
        version: u64,
        /// How the node knows.
        source: &'a str,
    },
    /// An engine is much slower than the others, or no longer is.
    PaceChanged {
        /// The engine.
        back_end: &'a str,
        /// True if it is slow.
        slow: bool,
        /// Microseconds an event.
        pace_us: u64,
        /// The median of all engines.
        median_us: u64,
    },
    /// The owner of bound batches told what these take of the engines.
    DemandTold {
        /// The name of its lease.
        service: &'a str,
        /// Places that they took on average since the last time.
        busy: usize,
        /// Places that they would take if there were enough.
        wanted: usize,
        /// The longest step since then, in percent of its time.
        step_percent: Option<u32>,
        /// The epoch of the owner.
        epoch: u64,
        /// What became of the row.
        outcome: &'a str,
    },
    /// A number of engines was ordered for a zone.
    EnginesOrdered {
        /// The service.
        service: &'a str,
        /// The zone.
        zone: &'a str,
        /// How many engines it is to have.
        engines: usize,
        /// The epoch under which it was ordered.
        epoch: u64,
        /// What became of the order.
        outcome: &'a str,
        /// The status, if it was refused.
        status: Option<u16>,
    },
    /// A report of what tenants used was sent.
    UsageReported {
        /// The window.
        window: u64,
        /// Tenants with a request in it.
        tenants: usize,
        /// Requests of all tenants.
        requests: u64,
        /// The epoch under which it was sent.
        epoch: u64,
        /// How long after the end of the window, in milliseconds.
        after_end_ms: u64,
        /// What became of it.
        outcome: &'a str,
        /// The status, if it was refused for good.
        status: Option<u16>,
    },
    /// Counts of windows that were reported before were found: they came too late, or they
    /// were reported and could not be deleted then.
    UsageLeft {
        /// The window that is reported now.
        window: u64,
        /// Requests that are in no report, or in one already.
        requests: u64,
    },
    /// The nodes' wall clock was set: how far it is ahead of the table's clock.
    WallClockAgreed {
        /// The lead, in milliseconds.
        lead_ms: i64,
        /// Nodes whose clocks were compared.
        nodes: usize,
    },
    /// The process did not run for a while.
    ProcessPaused {
        /// How long, in milliseconds.
        paused_ms: u64,
    },
    /// Lines that were not written.
    LinesDropped {
        /// How many did not fit into the queue.
        overflow: u64,
        /// How many were thinned out.
        thinned: u64,
    },
}

/// Writes an event down, without waiting.
pub fn emit(event: &Event<'_>) {
    let part = event.part();
    debug_assert!(writer::PARTS.contains(&part), "{part} is written by nobody");
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
