//! A revision as it is published: a manifest that names its parts by digest.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Resource;

/// Largest part in bytes; the platform holds values up to a megabyte.
pub const MAX_PART_BYTES: usize = 1_000_000;

/// BLAKE3 digest of a part's bytes, written as lower-case hexadecimal.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of `buf`.
    pub fn of(buf: &[u8]) -> Self {
        Self(*blake3::hash(buf).as_bytes())
    }

    /// The digest's bytes.
    pub fn bytes(&self) -> [u8; 32] {
        self.0
    }

    /// The first eight bytes, for compact comparison between nodes.
    pub fn prefix(&self) -> u64 {
        let mut buf = [0; 8];
        buf.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(buf)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let hash = blake3::Hash::from_hex(&text)
            .map_err(|_| format!("digest `{text}`: write 64 hexadecimal digits"))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

/// Reference to one part of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// Digest of the part's bytes.
    pub digest: Digest,
    /// Length of the part in bytes.
    pub bytes: u32,
}

/// What a revision consists of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Revision, assigned by the platform alone; a later one is larger.
    pub revision: u64,
    /// The parts in order.
    pub parts: Vec<PartRef>,
}

/// Bytes of one part together with their digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of `bytes`.
    pub digest: Digest,
    /// A JSON array of resources.
    pub bytes: Vec<u8>,
}

/// Why a manifest and its parts do not form a revision.
#[derive(Debug, thiserror::Error)]
pub enum ManifestError {
    /// A part is absent.
    #[error("part {0} is missing: publish it before the manifest")]
    Missing(Digest),
    /// A part is larger than the platform carries.
    #[error("part {digest} has {bytes} bytes: split it, a part holds at most {MAX_PART_BYTES}")]
    TooLarge {
        /// The part.
        digest: Digest,
        /// Its length.
        bytes: usize,
    },
    /// A part is not a JSON array of resources.
    #[error("part {digest} is not a list of resources ({error}): run `dappleway check` on it")]
    Syntax {
        /// The part.
        digest: Digest,
        /// The parser's message.
        error: serde_json::Error,
    },
}

impl Manifest {
    /// A manifest of the given parts.
    pub fn new(revision: u64, parts: &[Part]) -> Self {
        let refs = parts
            .iter()
            .map(|it| PartRef { digest: it.digest, bytes: it.bytes.len() as u32 })
            .collect();
        Self { revision, parts: refs }
    }

    /// Digest of the whole content: equal for equal parts, whatever the revision.
    pub fn digest(&self) -> Digest {
        let text: String = self.parts.iter().map(|it| it.digest.to_string()).collect();
        Digest::of(text.as_bytes())
    }

    /// Parses all parts, which `part` looks up by digest.
    pub fn resources<'a>(
        &self,
        part: impl Fn(&Digest) -> Option<&'a [u8]>,
    ) -> Result<Vec<Resource>, ManifestError> {
        let mut all = Vec::new();
        for it in &self.parts {
            let Some(bytes) = part(&it.digest) else {
                return Err(ManifestError::Missing(it.digest));
            };
            all.extend(parse_part(it.digest, bytes)?);
        }
        Ok(all)
    }
}

impl Part {
    /// Encodes resources canonically: equal resources give equal bytes.
    pub fn encode(resources: &[Resource]) -> Self {
        let bytes = serde_json::to_vec(resources).expect("resources have string keys only");
        Self { digest: Digest::of(&bytes), bytes }
    }
}

fn parse_part(digest: Digest, bytes: &[u8]) -> Result<Vec<Resource>, ManifestError> {
    if bytes.len() > MAX_PART_BYTES {
        return Err(ManifestError::TooLarge { digest, bytes: bytes.len() });
    }
    serde_json::from_slice(bytes).map_err(|error| ManifestError::Syntax { digest, error })
}
