//! String identifiers as newtypes.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

name_type!(
    /// A service that callers address, such as `caption-lm`.
    ServiceName
);
name_type!(
    /// A training run, whose trainer submits and pulls samples.
    RunName
);
name_type!(
    /// An incarnation of a node process. A restarted node has another id.
    NodeId
);
name_type!(
    /// An incarnation of an engine process.
    EngineId
);
name_type!(ZoneName);
name_type!(
    /// A region, which groups nearby zones.
    RegionName
);
name_type!(
    /// A sample, named by the trainer. Unique within its run.
    SampleId
);
name_type!(
    /// An attempt at a request, named by the sending node.
    RequestId
);
name_type!(
    /// A configuration apply, named by the operator's client.
    ApplyId
);
name_type!(
    /// A tenant, to which callers belong.
    TenantName
);
name_type!(
    /// A transaction on the table service, named by its writer.
    TransactionId
);

impl EngineId {
    /// Returns the id of an engine incarnation from its instance name and its start time on its
    /// own wall clock. An engine that reports no start time must use a new name at each start.
    pub fn of_incarnation(instance: &str, started_ms: Option<u64>) -> Self {
        match started_ms {
            Some(started_ms) => Self(format!("{instance}@{started_ms}")),
            None => Self(instance.to_owned()),
        }
    }
}
