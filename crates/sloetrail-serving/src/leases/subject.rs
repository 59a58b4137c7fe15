//! What a lease is for.

use super::Term;
use futures_util::future::BoxFuture;
use sloetrail_types::ServiceName;

/// What a lease is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LeaseSubject {
    /// The batches of a service, and the weights of its engines.
    Batches(ServiceName),
    /// The reports of what tenants use.
    UsageReports,
}

impl LeaseSubject {
    /// The name in the keys of rows, in log lines and in metrics. No service has a name
    /// that begins with a star.
    pub(crate) fn name(&self) -> &str {
        match self {
            LeaseSubject::Batches(service) => service.as_str(),
            LeaseSubject::UsageReports => "*usage-reports",
        }
    }
}

/// What the holder of a lease does.
pub(crate) trait TermWork: Send + Sync {
    /// Works until the term is over, or puts the work down in an orderly way when it is
    /// told to.
    fn run(&self, term: Term) -> BoxFuture<'static, ()>;

    /// True if the work waits for news of back ends, which the directory is then asked
    /// for as often as in a small fleet.
    fn waits_for_back_ends(&self) -> bool {
        false
    }
}
