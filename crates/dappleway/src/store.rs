//! The configuration that this node holds, as bytes for peers and compiled for itself.

use std::sync::{Arc, Mutex};

use fleet::{Bundle, Held};
use resources::{Config, Digest, Manifest, Part};
use rustc_hash::FxHashMap;

/// A revision that is whole and valid.
#[derive(Debug)]
pub struct Candidate {
    /// Its manifest.
    pub manifest: Manifest,
    /// Its parts.
    pub parts: Vec<Arc<Part>>,
    /// Compiled.
    pub config: Config,
}

/// A revision that is refused, by every node alike.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// The revision.
    pub revision: u64,
    /// All reasons.
    pub reason: String,
}

impl Candidate {
    /// Compiles a revision. This takes milliseconds at the size designed for, so it is done off the
    /// control thread.
    pub fn compile(manifest: Manifest, parts: Vec<Arc<Part>>) -> Result<Self, Rejected> {
        let reject = |reason: String| Rejected { revision: manifest.revision, reason };
        let resources = {
            let by_digest: FxHashMap<Digest, &[u8]> =
                parts.iter().map(|it| (it.digest, it.bytes.as_slice())).collect();
            manifest
                .resources(|it| by_digest.get(it).copied())
                .map_err(|it| reject(it.to_string()))?
        };
        let config = Config::compile(&manifest, resources).map_err(|problems| {
            let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
            reject(lines.join("; "))
        })?;
        Ok(Self { manifest, parts, config })
    }

    /// What peers are told of it.
    pub fn held(&self) -> Held {
        Held { revision: self.manifest.revision, digest: self.manifest.digest().prefix() }
    }
}

/// The parts that are here, shared with the tasks that fetch and serve them.
#[derive(Clone, Debug, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    manifest: Option<Manifest>,
    parts: FxHashMap<Digest, Arc<Part>>,
}

impl Store {
    /// Keeps the parts of a revision that is held and drops those of earlier ones.
    pub fn keep(&self, candidate: &Candidate) {
        let mut inner = self.lock();
        inner.manifest = Some(candidate.manifest.clone());
        inner.parts = candidate.parts.iter().map(|it| (it.digest, it.clone())).collect();
    }

    /// A part that is here.
    pub fn part(&self, digest: &Digest) -> Option<Arc<Part>> {
        self.lock().parts.get(digest).cloned()
    }

    /// Digests of the parts that are here.
    pub fn digests(&self) -> Vec<[u8; 32]> {
        self.lock().parts.keys().map(Digest::bytes).collect()
    }

    /// The revision that is held, without the parts in `have`.
    pub fn bundle(&self, have: &[[u8; 32]]) -> Bundle {
        let inner = self.lock();
        let Some(manifest) = &inner.manifest else { return Bundle::default() };
        let missing = inner.parts.values().filter(|it| !have.contains(&it.digest.bytes()));
        Bundle {
            manifest: serde_json::to_vec(manifest).expect("manifests have string keys only"),
            parts: missing.map(|it| it.bytes.clone()).collect(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while the store is held")
    }
}
