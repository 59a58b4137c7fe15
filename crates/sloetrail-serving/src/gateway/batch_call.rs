//! Calls about batches that were submitted before: their results, the bodies of their
//! items, and their end.

use super::caller::{self, ApiKeyRequirement};
use super::headers;
use super::response::{CallerResponse, problem_response};
use super::{read, submit};
use crate::context::NodeContext;
use http::request::Parts;
use http::{HeaderMap, Method};
use sloetrail_batch::ReaderDemand;
use sloetrail_result::{Problem, ResultCode};
use sloetrail_routing::ServingConfiguration;
use sloetrail_types::WeightVersion;
use std::time::Duration;

/// Query parameters.
const AFTER: &str = "after";
const ITEM_ID: &str = "id";

/// A call about a batch that was submitted before.
pub(super) enum BatchCall<'a> {
    /// What is not listed need not be run any more.
    End { id: &'a str },
    /// The results from a position on, waiting for some if there are none yet.
    Results {
        id: &'a str,
        position: usize,
        wait: Duration,
        /// The oldest version that the reader's trainer takes now, as it wrote it.
        oldest_version: Option<&'a str>,
    },
    /// The body of an item.
    ItemBody { id: &'a str, item: &'a str },
}

impl<'a> BatchCall<'a> {
    /// Reads a call's head; nothing if it is about no batch.
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

    /// Answers the call, if its caller may know of the batch.
    pub(super) async fn answer(
        self,
        context: &NodeContext,
        configuration: &ServingConfiguration,
        headers: &HeaderMap,
    ) -> CallerResponse {
        let caller =
            match caller::identify(context, configuration, headers, ApiKeyRequirement::Required) {
                Ok(caller) => caller,
                Err(problem) => return problem_response(&problem),
            };
        let caller = caller.as_deref();
        match self {
            BatchCall::End { id } => submit::end(context, id, caller).await,
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

/// What a reader takes. A version that cannot be read is refused: without it the reader would
/// be handed texts that its trainer must not use.
fn reader_demand(
    context: &NodeContext,
    oldest_version: Option<&str>,
) -> Result<ReaderDemand, Problem> {
    let oldest_version = oldest_version.map(parse_version).transpose()?;
    Ok(ReaderDemand {
        segments: context.dialect.tells_segments(),
        oldest_version,
    })
}

fn parse_version(text: &str) -> Result<WeightVersion, Problem> {
    text.parse().map(WeightVersion).map_err(|error| {
        let detail = format!("the oldest version {text:?} is no number: {error}");
        Problem::new(ResultCode::MalformedRequest, detail)
    })
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
