//! Transfer of session caches from one chain to another.

use core::time::Duration;

use derive_more::Display;
use derive_more::Error;
use futures::future::try_join_all;

use crate::Progress;
use crate::hold::Guard;
use agatemill_engine::Client;
use agatemill_engine::transfer::Cache;
use agatemill_engine::transfer::Name;
use agatemill_routing::Stage;

/// Why the sessions of a chain were not copied.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// The chains have different layer ranges or model versions.
    #[display("the chains divide the layers differently")]
    Shape,
    /// An export or import failed.
    #[display("{_0}")]
    Engine(agatemill_engine::Error),
    /// The exported cache belongs to another session, or its position count differs from what the session ran.
    #[display("the exported cache belongs to another session or position")]
    Mismatched,
}

/// Copies the cache of every stage from the chain `old` to `new`, all stages concurrently. `limit` is the timeout of
/// each call.
///
/// # Errors
///
/// [`Failure`]; some sessions of the new chain may exist afterwards.
pub async fn copy(
    client: &Client,
    old: &Guard,
    new: &Guard,
    progress: &Progress,
    limit: Duration,
) -> Result<(), Failure> {
    let from = old.chain().stages();
    let to = new.chain().stages();
    let ranges = |stages: &[Stage]| stages.iter().map(|stage| stage.layers).collect::<Vec<_>>();
    if ranges(from) != ranges(to) || old.chain().version() != new.chain().version() {
        return Err(Failure::Shape);
    }
    let stages = from.iter().zip(to).map(async |(from, to)| {
        let name = Name {
            session: old.sessions().name().clone(),
        };
        let cache = client.export(from.address, &name, limit).await;
        let cache = cache.map_err(Failure::Engine)?;
        let position = progress.cached_positions(from.layers.start());
        if cache.session != name.session || cache.position != position {
            return Err(Failure::Mismatched);
        }
        let cache = Cache {
            session: new.sessions().name().clone(),
            attempt: progress.attempt(),
            ..cache
        };
        let import = client.import(to.address, &cache, limit).await;
        import.map_err(Failure::Engine)
    });
    try_join_all(stages).await.map(drop)
}
