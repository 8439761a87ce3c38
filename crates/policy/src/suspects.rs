//! Requests that may be what ends the endpoints which run them.

use serde::{Deserialize, Serialize};

/// What makes two requests the same one for an endpoint: a hash of method, host, path, caller and body that is equal
/// on every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);
