//! Where the product keeps its own rows in the table.
//!
//! What an owner writes lies in one partition, since each of its transactions holds the
//! fence; what callers submit and end lies in another. A partition takes one transaction
//! after the other, so neither waits for the other while the table is slow. Claims of keys
//! lie in several partitions of their own.

use crate::table::{KeyRange, RowAddress};
use sloetrail_types::{NodeId, ServiceName};
use sloetrail_usage::WindowNumber;
use std::ops::Range;

/// The partition of what owners write.
pub const OWNERS: &str = "sloetrail";
/// The partition of what callers submit and end.
pub const CALLERS: &str = "sloetrail_callers";
/// Leases and their fences. Every node follows this table.
pub const LEASES: &str = "sloetrail_leases";
/// The order window of each lease, which only a new holder reads.
pub const ORDER_WINDOWS: &str = "sloetrail_order_windows";
/// The head of each batch; its presence means that the batch is accepted.
pub const BATCHES: &str = "sloetrail_batches";
/// The submissions, cut into rows.
pub const SUBMISSIONS: &str = "sloetrail_submissions";
/// A row for each batch that was ended.
pub const ENDS: &str = "sloetrail_ends";
/// The listed results, by batch and position.
pub const RESULTS: &str = "sloetrail_results";

/// Texts that are being made, by batch, item and offset.
pub const CHECKPOINTS: &str = "sloetrail_checkpoints";

/// Where nodes that carry calls for one another listen, by node.
pub const NODES: &str = "sloetrail_nodes";

/// What nodes have counted of the use of tenants and no report holds yet. Its partition is
/// the table's own: all nodes write there.
pub const USAGE_PIECES: &str = "sloetrail_usage_pieces";

/// The report of usage that was committed last.
pub const USAGE_REPORTS: &str = "sloetrail_usage_reports";

/// Which keys the directory of back ends has, in outline.
pub const DIRECTORY_INDEX: &str = "sloetrail_directory_index";

/// How many engines each service had before any were ordered.
pub const ENGINE_BASELINES: &str = "sloetrail_engine_floors";

/// The claims of idempotency keys, with the answers of their requests.
pub const CLAIMS: &str = "sloetrail_claims";

/// When each claim may be deleted, in the order of time. It holds nothing of a request, so
/// that whoever deletes old claims need not read them.
pub const CLAIM_TIMES: &str = "sloetrail_claim_times";

/// Partitions of claims. A partition takes one transaction after the other, each some
/// milliseconds; so many bear a few thousand keyed requests a second.
pub const CLAIM_PARTITIONS: u8 = 16;

/// What the keys of leases begin with.
const LEASE_KEYS: &str = "lease/";
/// What the keys of demands begin with.
const PLACE_DEMAND_KEYS: &str = "demand/";
/// What the keys of crashes and clearances begin with.
const CRASH_KEYS: &str = "crash/";
/// Digits of a window's number: keys sort as the windows follow one another.
const WINDOW_DIGITS: usize = 20;
/// Digits of a time in milliseconds and of a digest in hexadecimal.
const TIME_DIGITS: usize = 20;
const DIGEST_DIGITS: usize = 32;
/// What the keys of counts of failed runs end with.
const FAILED_RUNS: &str = "failed";
const POSITION_DIGITS: usize = 8;
const PART_DIGITS: usize = 3;

/// A lease, by the name of what it is for: renewed several times a second.
pub fn lease(subject: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{LEASE_KEYS}{subject}"))
}

/// What a lease is for, by its key; nothing if the key is of another row.
pub fn lease_name_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(LEASE_KEYS)
}

/// The fence of a lease: written only when the holder changes.
pub fn fence(subject: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("fence/{subject}"))
}

/// What the bound batches of a set take of the engines. It lies with the leases, which every
/// node follows.
pub fn place_demand(subject: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{PLACE_DEMAND_KEYS}{subject}"))
}

/// The lease whose batches a demand is of, by its key; nothing if the key is of another row.
pub fn subject_of_place_demand(key: &str) -> Option<&str> {
    key.strip_prefix(PLACE_DEMAND_KEYS)
}

/// A crash of a back end, as a life of a node has found it. It lies with the leases, which
/// every node follows; each has a row of its own, which is written once.
pub fn crash_report(instance: &NodeId, number: u64) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("{CRASH_KEYS}{instance}/{number}"))
}

/// A request that a life of a node has found to be answered, or that it lets go.
pub fn clearance(instance: &NodeId, number: u64) -> RowAddress {
    let key = format!("{CRASH_KEYS}{instance}/{number}/cleared");
    RowAddress::new(LEASES, OWNERS, key)
}

/// The keys of all crashes and clearances.
pub fn quarantine_key_range() -> Range<String> {
    // The sign after the slash: the range holds all keys that begin so.
    CRASH_KEYS.to_owned()..CRASH_KEYS.replace('/', "0")
}

/// A row among the leases, by its key.
pub fn lease_table_row(key: &str) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, key)
}

/// The request of a service that is being tried, after back ends have crashed under it.
pub fn trial(service: &ServiceName) -> RowAddress {
    RowAddress::new(LEASES, OWNERS, format!("trial/{service}"))
}

/// Until when the holder of a lease may give orders.
pub fn order_window(subject: &str) -> RowAddress {
    RowAddress::new(ORDER_WINDOWS, OWNERS, subject)
}

/// How far wall-clock time is ahead of the table's clock, as the nodes agree on it. It
/// lies with the leases, which every node follows.
pub fn wall_clock() -> RowAddress {
    RowAddress::new(LEASES, OWNERS, "wall-clock")
}

/// A piece of what a life of a node has counted in a window.
pub fn usage_piece(instance: &NodeId, window: WindowNumber, sequence: u64) -> RowAddress {
    let key = format!("{}/{instance}/{sequence}", window_key(window));
    RowAddress::new(USAGE_PIECES, USAGE_PIECES, key)
}

/// All pieces of a window, and those that earlier ones have left.
pub fn usage_pieces_until(window: WindowNumber) -> KeyRange {
    KeyRange {
        to: Some(window_key(window.next())),
        ..KeyRange::all(USAGE_PIECES, USAGE_PIECES)
    }
}

fn window_key(window: WindowNumber) -> String {
    format!("{:0WINDOW_DIGITS$}", window.0)
}

/// The index of the directory. Its partition is the table's own: any node may write it.
pub fn directory_index() -> RowAddress {
    RowAddress::new(DIRECTORY_INDEX, DIRECTORY_INDEX, "keys")
}

/// How many engines a service had before any were ordered.
pub fn engine_baseline(service: &ServiceName) -> RowAddress {
    RowAddress::new(ENGINE_BASELINES, OWNERS, service.as_str())
}

/// The report of usage that was committed last.
pub fn usage_report() -> RowAddress {
    RowAddress::new(USAGE_REPORTS, OWNERS, "last")
}

/// Where a node listens for others. Its partition is the table's own: all nodes write
/// there when they start.
pub fn node(name: &str) -> RowAddress {
    RowAddress::new(NODES, NODES, name)
}

/// The head of a batch.
pub fn batch(id: &str) -> RowAddress {
    RowAddress::new(BATCHES, CALLERS, id)
}

/// The mark that a batch was ended.
pub fn end(id: &str) -> RowAddress {
    RowAddress::new(ENDS, CALLERS, id)
}

/// A part of a submission.
pub fn submission_part(id: &str, part: usize) -> RowAddress {
    let key = format!("{id}/{part:0PART_DIGITS$}");
    RowAddress::new(SUBMISSIONS, CALLERS, key)
}

/// All parts of a submission.
pub fn submission_parts(id: &str) -> KeyRange {
    under(SUBMISSIONS, CALLERS, id)
}

/// A part of the result at a position.
pub fn result_part(id: &str, position: usize, part: usize) -> RowAddress {
    let key = format!("{id}/{position:0POSITION_DIGITS$}/{part:0PART_DIGITS$}");
    RowAddress::new(RESULTS, OWNERS, key)
}

/// The results from a position on.
pub fn results_from(id: &str, position: usize) -> KeyRange {
    KeyRange {
        from: format!("{id}/{position:0POSITION_DIGITS$}/"),
        ..under(RESULTS, OWNERS, id)
    }
}

/// A piece of the text of an item: by the item's place, the generation of its text
/// and the number of events before the piece.
pub fn checkpoint(id: &str, index: usize, generation: u32, offset: usize) -> RowAddress {
    let key = format!(
        "{id}/{index:0POSITION_DIGITS$}/{generation:0PART_DIGITS$}/{offset:0POSITION_DIGITS$}"
    );
    RowAddress::new(CHECKPOINTS, OWNERS, key)
}

/// How many runs of an item have failed. It lies with the pieces of texts: whoever takes the
/// batch over reads them, and whoever deletes them deletes it.
pub fn failed_runs(id: &str, index: usize) -> RowAddress {
    let key = format!("{id}/{index:0POSITION_DIGITS$}/{FAILED_RUNS}");
    RowAddress::new(CHECKPOINTS, OWNERS, key)
}

/// The item whose failed runs a row among the pieces counts; nothing for a piece.
pub fn failed_runs_item(key: &str) -> Option<usize> {
    let (item, last) = key.rsplit_once('/')?;
    let index = item.rsplit('/').next()?;
    (last == FAILED_RUNS).then(|| index.parse().ok())?
}

/// All pieces of the texts of a batch.
pub fn checkpoints(id: &str) -> KeyRange {
    under(CHECKPOINTS, OWNERS, id)
}

/// The claim of an idempotency key, by the key's digest.
pub fn claim(digest: u128) -> RowAddress {
    let partition = claim_partition((digest % u128::from(CLAIM_PARTITIONS)) as u8);
    RowAddress::new(CLAIMS, partition, format!("{digest:0DIGEST_DIGITS$x}"))
}

/// The row that tells when a claim may be deleted, by the table's clock.
pub fn claim_expiry(claim: &RowAddress, delete_at_ms: u64) -> RowAddress {
    let key = format!("{delete_at_ms:0TIME_DIGITS$}/{}", claim.key);
    RowAddress::new(CLAIM_TIMES, &claim.partition, key)
}

/// The times of the claims of a partition that may be deleted now.
pub fn expired_claims_until(partition: u8, now_ms: u64) -> KeyRange {
    KeyRange {
        to: Some(format!("{now_ms:0TIME_DIGITS$}")),
        ..KeyRange::all(CLAIM_TIMES, claim_partition(partition))
    }
}

/// The claim that a row of times speaks of; nothing if it is none.
pub fn claim_of_expiry(time: &RowAddress) -> Option<RowAddress> {
    let (_, key) = time.key.split_once('/')?;
    Some(RowAddress::new(CLAIMS, &time.partition, key))
}

fn claim_partition(number: u8) -> String {
    format!("{CLAIMS}/{number:x}")
}

/// The position that a result's key names.
pub fn result_position(key: &str) -> Option<usize> {
    key.split('/').nth(1)?.parse().ok()
}

fn under(table: &str, partition: &str, id: &str) -> KeyRange {
    KeyRange {
        table: table.to_owned(),
        partition: partition.to_owned(),
        from: format!("{id}/"),
        // The sign after the slash: the range holds all keys that begin with "ID/".
        to: Some(format!("{id}0")),
        limit: None,
    }
}
