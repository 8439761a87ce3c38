//! State shared by all requests of a listener.

use slog::Logger;
use upstream::Pool;

use crate::body::RequestBody;
use crate::body_memory::BodyMemory;
use crate::unreachable::UnreachableEndpoints;
use crate::{HeaderNames, Limits, Metrics, PlannedStop, SharedSnapshot};

/// State shared by all requests of a listener.
pub(crate) struct Cx<D> {
    pub(crate) shared: SharedSnapshot,
    pub(crate) dispatch: D,
    pub(crate) pool: Pool<RequestBody>,
    pub(crate) unreachable: UnreachableEndpoints,
    /// Memory budget for long request bodies that are kept for a repeat.
    pub(crate) body_memory: BodyMemory,
    /// Memory budget for long answers that are buffered until they are complete.
    pub(crate) answer_memory: BodyMemory,
    pub(crate) names: HeaderNames,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    /// The planned stop. Once it has begun, answers ask callers to close the connection.
    pub(crate) stop: PlannedStop,
    pub(crate) log: Logger,
}
