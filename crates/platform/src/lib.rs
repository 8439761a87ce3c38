//! The reader of the platform: its configuration service and its list of VMs. Both are read only.
//!
//! The protocol is described in docs/PROTOCOL.md. This crate must not know what the configuration
//! means or how nodes decide; it only fetches.

mod client;
mod pacing;

use std::net::SocketAddr;

use resources::{Digest, Manifest, Name};
use serde::{Deserialize, Serialize};

pub use client::{Client, get};
pub use pacing::mean_interval;

/// One VM of the system as the platform lists it; the list lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the VM's exchange with other nodes.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: Name,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a read failed. The reader keeps what it has and tries again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer in time.
    #[error("the platform did not answer within {0:?}: check `platform.addr` and the network")]
    Timeout(std::time::Duration),
    /// The connection failed.
    #[error("the platform cannot be reached ({0}): check `platform.addr`")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("the platform broke off its answer ({0}): it will be asked again")]
    Http(#[from] hyper::Error),
    /// An answer other than success.
    #[error("the platform answered {0}: check that its protocol version is 1")]
    Status(u16),
    /// An answer that cannot be read.
    #[error("the platform's answer cannot be read ({0}): check that its protocol version is 1")]
    Syntax(#[from] serde_json::Error),
    /// Bytes that do not match the digest asked for.
    #[error("part {0} arrived damaged: it will be fetched again")]
    Damaged(Digest),
}

/// What the system reads from the platform.
pub trait Platform {
    /// The newest manifest that the platform knows; it may be stale.
    fn manifest(&self) -> impl Future<Output = Result<Manifest, Error>>;
    /// The bytes of a part, checked against the digest.
    fn part(&self, digest: Digest) -> impl Future<Output = Result<Vec<u8>, Error>>;
    /// The list of VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>>;
}
