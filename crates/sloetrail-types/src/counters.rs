//! Counters that only grow.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

counter_type!(
    /// The term of a lease; each new holder has a higher one.
    Epoch
);
counter_type!(
    /// A revision of the whole configuration.
    Revision
);
counter_type!(
    /// The version that the table service gives a row at each write.
    RowVersion
);
counter_type!(
    /// A sample's place in the order in which a run's samples are handed over.
    SequenceNumber
);
counter_type!(
    /// A training step.
    StepNumber
);
counter_type!(
    /// A version of a model's weights; trainers publish ascending ones.
    WeightVersion
);
