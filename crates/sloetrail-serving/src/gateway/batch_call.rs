//! Calls about submitted batches: reading results and item bodies, and ending a batch.

use super::caller::{self, ApiKeyRequirement};
use super::headers;
use super::response::{CallerResponse, problem_response};
use super::stop::CallProgress;
use super::{read, submit};
use crate::context::NodeContext;
use http::request::Parts;
use http::{HeaderMap, Method};
use sloetrail_batch::ReaderDemand;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::WeightVersion;
use std::time::Duration;

const AFTER: &str = "after";
const ITEM_ID: &str = "id";

/// A call about a submitted batch.
pub(super) enum BatchCall<'a> {
    /// Ends the batch: items without a listed result need not run any more.
    End { id: &'a str },
    /// Reads results from `position` on, waiting up to `wait` if there are none yet.
    Results {
        id: &'a str,
        position: usize,
        wait: Duration,
        /// The oldest weight version that the trainer accepts, not parsed yet.
        oldest_version: Option<&'a str>,
    },
    /// Reads the submitted body of an item.
    ItemBody { id: &'a str, item: &'a str },
}

impl<'a> BatchCall<'a> {
    /// Parses the head of a call. None if its method and path name no batch call.
    pub(super) fn read(context: &NodeContext, head: &'a Parts) -> Option<Self> {
        let path = head.uri.path();
        let query = head.uri.query().unwrap_or_default();
        let paths = context.dialect.paths();
        if let Some(id) = path.strip_prefix(&paths.batches) {
            if head.method == Method::DELETE {
                return Some(BatchCall::End { id });
            }
            if head.method == Method::GET {
                let position = query_value(query, AFTER).and_then(|text| text.parse().ok());
                let names = context.dialect.headers();
                let wait = headers::number(&head.headers, &names.wait_ms).unwrap_or_default();
                return Some(BatchCall::Results {
                    id,
                    position: position.unwrap_or_default(),
                    wait: Duration::from_millis(wait),
                    oldest_version: context
                        .dialect
                        .oldest_version_parameter()
                        .and_then(|name| query_value(query, name)),
                });
            }
        }
        if let Some(id) = path.strip_prefix(&paths.batch_items)
            && head.method == Method::GET
        {
            let item = query_value(query, ITEM_ID).unwrap_or_default();
            return Some(BatchCall::ItemBody { id, item });
        }
        None
    }

    /// Answers the call, provided that the caller may access the batch.
    pub(super) async fn answer(
        self,
        context: &NodeContext,
        configuration: &ServingConfiguration,
        headers: &HeaderMap,
        progress: &CallProgress,
    ) -> CallerResponse {
        let caller =
            match caller::identify(context, configuration, headers, ApiKeyRequirement::Required) {
                Ok(caller) => caller,
                Err(problem) => return problem_response(&problem),
            };
        let caller = caller.as_deref();
        match self {
            BatchCall::End { id } => submit::end(context, id, caller, progress).await,
            BatchCall::Results {
                id,
                position,
                wait,
                oldest_version,
            } => match reader_demand(context, oldest_version) {
                Ok(demand) => read::results(context, id, caller, position, wait, demand).await,
                Err(problem) => problem_response(&problem),
            },
            BatchCall::ItemBody { id, item } => read::item_body(context, id, caller, item).await,
        }
    }
}

/// Returns which results the reader accepts. A malformed version is an error: ignoring it would
/// return texts that the trainer must not use.
fn reader_demand(
    context: &NodeContext,
    oldest_version: Option<&str>,
) -> Result<ReaderDemand, Problem> {
    let oldest_version = oldest_version.map(parse_version).transpose()?;
    Ok(ReaderDemand {
        segments: context.dialect.lists_segments(),
        oldest_version,
    })
}

fn parse_version(text: &str) -> Result<WeightVersion, Problem> {
    text.parse().map(WeightVersion).map_err(|error| {
        let detail =
            format!("the oldest version must be a weight version number, got {text:?}: {error}");
        Problem::new(ResultCode::MalformedRequest, detail)
    })
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
