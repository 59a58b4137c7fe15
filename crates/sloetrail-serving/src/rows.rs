//! Addresses of the rows that serving nodes write to the table.
//!
//! Rows of owners share one partition, because each transaction of an owner includes the fence.
//! Rows written for callers are in another. The table runs the transactions of a partition one
//! after the other, so separate partitions keep owners and callers from blocking each other.
//! Claims of idempotency keys are spread over several partitions.

use crate::table::{KeyRange, RowAddress};
use sloetrail_types::{NodeId, ServiceName, Timestamp};
use sloetrail_usage::WindowNumber;
use std::ops::Range;

/// The partition of rows written by owners.
pub const OWNERS: &str = "sloetrail";
/// The partition of submitted and ended batches.
pub const CALLERS: &str = "sloetrail_callers";
/// Leases, fences, registered batch sets and other rows that every node follows.
pub const LEASES: &str = "sloetrail_leases";
/// The order window of each lease, read only by a new holder.
pub const ORDER_WINDOWS: &str = "sloetrail_order_windows";
/// The head of each batch; a batch is accepted once its head exists.
pub const BATCHES: &str = "sloetrail_batches";
/// Submissions, split into rows.
pub const SUBMISSIONS: &str = "sloetrail_submissions";
/// One row for each ended batch.
pub const ENDS: &str = "sloetrail_ends";
/// Listed results, by batch and position.
pub const RESULTS: &str = "sloetrail_results";

/// Checkpoints of unfinished texts, by batch, item and offset.
pub const CHECKPOINTS: &str = "sloetrail_checkpoints";

/// Listen addresses for relayed calls, by node.
pub const NODES: &str = "sloetrail_nodes";

/// Usage counts of tenants that are in no report yet. All nodes write to this partition.
pub const USAGE_PIECES: &str = "sloetrail_usage_pieces";

/// The last committed usage report.
pub const USAGE_REPORTS: &str = "sloetrail_usage_reports";

/// Index of the keys of the back end directory.
pub const DIRECTORY_INDEX: &str = "sloetrail_directory_index";

/// The number of engines of each service before the first order.
pub const ENGINE_BASELINES: &str = "sloetrail_engine_floors";

/// Claims of idempotency keys, with the answers to their requests.
pub const CLAIMS: &str = "sloetrail_claims";

/// The time at which each claim may be deleted, sorted by time. Expired claims can be found here
/// without reading the claims.
pub const CLAIM_TIMES: &str = "sloetrail_claim_times";

/// Number of partitions of claims, which bounds the rate of keyed requests. A partition runs its
/// transactions one after the other, at some milliseconds each, so these allow a few thousand keyed
/// requests per second.
pub const CLAIM_PARTITIONS: u8 = 16;

const LEASE_KEY_PREFIX: &str = "lease/";
const BATCH_SET_KEY_PREFIX: &str = "set/";
const BACKLOG_KEY_PREFIX: &str = "backlog/";
const SLOT_DEMAND_KEY_PREFIX: &str = "demand/";
/// Prefix of the keys of crashes and clearances.
const CRASH_KEY_PREFIX: &str = "crash/";
/// Padding of window numbers, so that keys sort by window.
const WINDOW_DIGITS: usize = 20;
/// Padding of times in milliseconds, so that keys sort by time.
const TIME_DIGITS: usize = 20;
/// Hexadecimal digits of a key's digest.
const DIGEST_DIGITS: usize = 32;
const FAILED_RUNS_KEY_SUFFIX: &str = "failed";
const POSITION_DIGITS: usize = 8;
const PART_DIGITS: usize = 3;

/// The lease of a resource, renewed several times a second.
pub fn lease(resource: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{LEASE_KEY_PREFIX}{resource}"))
}

/// Returns the resource name in the key of a lease; None for other keys.
pub fn lease_name_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEASE_KEY_PREFIX)
}

/// The registration of a batch set. It is in the lease table, which every node follows, and in the
/// partition of callers, as the batches that are accepted with it.
pub fn batch_set(lease: &str) -> RowAddress {
    RowAddress::new(LEASES, CALLERS, format!("{BATCH_SET_KEY_PREFIX}{lease}"))
}

/// Returns the lease name in the key of a registered batch set; None for other keys.
pub fn batch_set_name_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(BATCH_SET_KEY_PREFIX)
}

/// The fence of a lease, written only when the holder changes.
pub fn fence(resource: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("fence/{resource}"))
}

/// The name of the lease that was deleted last, written by each deletion. It is stored with the
/// leases, which every node follows.
pub fn last_deleted_lease() -> RowAddress {
    RowAddress::new(LEASES, OWNERS, "last-deleted")
}

/// The slot demand of a set of bound batches. It is stored with the leases, which every node
/// follows.
pub fn slot_demand(lease: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{SLOT_DEMAND_KEY_PREFIX}{lease}"))
}

/// Returns the lease name in the key of a slot demand; None for other keys.
pub fn subject_of_slot_demand(key: &str) -> Option<&str> {
    key.strip_prefix(SLOT_DEMAND_KEY_PREFIX)
}

/// The backlog of a batch set. It is stored with the leases, which every node follows.
pub fn backlog(lease: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{BACKLOG_KEY_PREFIX}{lease}"))
}

/// A crash of a back end, reported by an incarnation of a node. It is stored with the leases,
/// which every node follows; each crash is written once to its own row.
pub fn crash_report(instance: &NodeId, number: u64) -> RowAddress {
    RowAddress::new(
        LEASES,
        OWNERS,
        format!("{CRASH_KEY_PREFIX}{instance}/{number}"),
    )
}

/// The clearance of a request that was suspected of a crash: it was answered, or is released.
pub fn clearance(instance: &NodeId, number: u64) -> RowAddress {
    let key = format!("{CRASH_KEY_PREFIX}{instance}/{number}/cleared");
    RowAddress::new(LEASES, OWNERS, key)
}

/// The key range of all crashes and clearances.
pub fn quarantine_key_range() -> Range<String> {
    // '0' follows '/' in ASCII: the range contains all keys with the prefix.
    CRASH_KEY_PREFIX.to_owned()..CRASH_KEY_PREFIX.replace('/', "0")
}

/// A row of the lease table, by its key.
pub fn lease_table_row(key: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, key)
}

/// The quarantined request of a service that is being tried at a back end.
pub fn trial(service: &ServiceName) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("trial/{service}"))
}

/// The time until which the holder of a lease may give orders.
pub fn order_window(resource: &str) -> RowAddress {
    RowAddress::new(ORDER_WINDOWS, OWNERS, resource)
}

/// The agreed lead of the wall clock over the table's clock. It is stored with the leases, which
/// every node follows.
pub fn wall_clock() -> RowAddress {
    RowAddress::new(LEASES, OWNERS, "wall-clock")
}

/// Usage counts of a window, written by an incarnation of a node.
pub fn usage_piece(instance: &NodeId, window: WindowNumber, sequence: u64) -> RowAddress {
    let key = format!("{}/{instance}/{sequence}", window_key(window));
    RowAddress::new(USAGE_PIECES, USAGE_PIECES, key)
}

/// All usage counts of a window and remaining ones of earlier windows.
pub fn usage_pieces_until(window: WindowNumber) -> KeyRange {
    KeyRange {
        to: Some(window_key(window.next())),
        ..KeyRange::all(USAGE_PIECES, USAGE_PIECES)
    }
}

fn window_key(window: WindowNumber) -> String {
    format!("{:0WINDOW_DIGITS$}", window.0)
}

/// The index of the directory, which any node may write.
pub fn directory_index() -> RowAddress {
    RowAddress::new(DIRECTORY_INDEX, DIRECTORY_INDEX, "keys")
}

/// The number of engines of a service before the first order.
pub fn engine_baseline(service: &ServiceName) -> RowAddress {
    RowAddress::new(ENGINE_BASELINES, OWNERS, service.as_str())
}

/// The last committed usage report.
pub fn usage_report() -> RowAddress {
    RowAddress::new(USAGE_REPORTS, OWNERS, "last")
}

/// The listen address of a node for relayed calls, written when the node starts.
pub fn node(name: &str) -> RowAddress {
    RowAddress::new(NODES, NODES, name)
}

/// The head of a batch.
pub fn batch(id: &str) -> RowAddress {
    RowAddress::new(BATCHES, CALLERS, id)
}

/// The end marker of a batch.
pub fn end(id: &str) -> RowAddress {
    RowAddress::new(ENDS, CALLERS, id)
}

pub fn submission_part(id: &str, part: usize) -> RowAddress {
    let key = format!("{id}/{part:0PART_DIGITS$}");
    RowAddress::new(SUBMISSIONS, CALLERS, key)
}

pub fn submission_parts(id: &str) -> KeyRange {
    rows_of_id(SUBMISSIONS, CALLERS, id)
}

pub fn result_part(id: &str, position: usize, part: usize) -> RowAddress {
    let key = format!("{id}/{position:0POSITION_DIGITS$}/{part:0PART_DIGITS$}");
    RowAddress::new(RESULTS, OWNERS, key)
}

/// The results at and after a position.
pub fn results_from(id: &str, position: usize) -> KeyRange {
    KeyRange {
        from: format!("{id}/{position:0POSITION_DIGITS$}/"),
        ..rows_of_id(RESULTS, OWNERS, id)
    }
}

/// A checkpoint of an item's text, by the item's index in the batch, the generation of the text
/// and the number of events before it.
pub fn checkpoint(id: &str, index: usize, generation: u32, offset: usize) -> RowAddress {
    let key = format!(
        "{id}/{index:0POSITION_DIGITS$}/{generation:0PART_DIGITS$}/{offset:0POSITION_DIGITS$}"
    );
    RowAddress::new(CHECKPOINTS, OWNERS, key)
}

/// The number of failed runs of an item. It is stored with the checkpoints, so that it is loaded
/// and deleted together with them.
pub fn failed_runs(id: &str, index: usize) -> RowAddress {
    let key = format!("{id}/{index:0POSITION_DIGITS$}/{FAILED_RUNS_KEY_SUFFIX}");
    RowAddress::new(CHECKPOINTS, OWNERS, key)
}

/// Returns the item index in the key of a count of failed runs; None for checkpoints.
pub fn failed_runs_item(key: &str) -> Option<usize> {
    let (item, last) = key.rsplit_once('/')?;
    let index = item.rsplit('/').next()?;
    (last == FAILED_RUNS_KEY_SUFFIX).then(|| index.parse().ok())?
}

/// All checkpoints of a batch.
pub fn checkpoints(id: &str) -> KeyRange {
    rows_of_id(CHECKPOINTS, OWNERS, id)
}

/// The claim of an idempotency key, by the digest of the key.
pub fn claim(digest: u128) -> RowAddress {
    let partition = claim_partition((digest % u128::from(CLAIM_PARTITIONS)) as u8);
    RowAddress::new(CLAIMS, partition, format!("{digest:0DIGEST_DIGITS$x}"))
}

/// The row with the time, by the table's clock, at which a claim may be deleted.
pub fn claim_expiry(claim: &RowAddress, delete_at: Timestamp) -> RowAddress {
    let key = format!("{:0TIME_DIGITS$}/{}", delete_at.0, claim.key);
    RowAddress::new(CLAIM_TIMES, &claim.partition, key)
}

/// The expiry rows of the claims of a partition that may be deleted now.
pub fn expired_claims_until(partition: u8, now_ms: u64) -> KeyRange {
    KeyRange {
        to: Some(format!("{now_ms:0TIME_DIGITS$}")),
        ..KeyRange::all(CLAIM_TIMES, claim_partition(partition))
    }
}

/// Returns the claim of an expiry row; None if its key is malformed.
pub fn claim_of_expiry(time: &RowAddress) -> Option<RowAddress> {
    let (_, key) = time.key.split_once('/')?;
    Some(RowAddress::new(CLAIMS, &time.partition, key))
}

fn claim_partition(number: u8) -> String {
    format!("{CLAIMS}/{number:x}")
}

pub fn result_position(key: &str) -> Option<usize> {
    key.split('/').nth(1)?.parse().ok()
}

/// The rows whose keys begin with `id` and a slash.
fn rows_of_id(table: &str, partition: &str, id: &str) -> KeyRange {
    KeyRange {
        table: table.to_owned(),
        partition: partition.to_owned(),
        from: format!("{id}/"),
        // '0' follows '/' in ASCII.
        to: Some(format!("{id}0")),
        limit: None,
    }
}
