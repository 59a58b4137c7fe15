//! Calls about batches that were submitted before: their results, the bodies of their
//! items, and their end.

use super::caller::{self, KeyDemand};
use super::headers;
use super::message::{CallerResponse, problem_response};
use super::{read, submit};
use crate::context::NodeContext;
use http::request::Parts;
use http::{HeaderMap, Method};
use sloetrail_routing::ServingConfiguration;
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
        let caller = match caller::identify(context, configuration, headers, KeyDemand::Needed) {
            Ok(caller) => caller,
            Err(problem) => return problem_response(&problem),
        };
        let caller = caller.as_deref();
        match self {
            BatchCall::End { id } => submit::end(context, id, caller).await,
            BatchCall::Results { id, position, wait } => {
                read::results(context, id, caller, position, wait).await
            }
            BatchCall::ItemBody { id, item } => read::item_body(context, id, caller, item).await,
        }
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
