//! Digests of API keys.

use std::fmt;

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use zeroize::Zeroizing;

/// Prefix of a digest in text form.
const PREFIX: &str = "blake3:";
/// Domain separation: hashed before the key so that digests of keys differ from digests of other data.
const CONTEXT: &[u8] = b"dappleway api key\0";

/// Digest of an API key. A published document contains a key or its digest. Stored data, messages to peers and output
/// contain only the digest.
///
/// Keys are long and random, so a plain hash without salt or stretching cannot be reversed by guessing.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Computes the digest of a key as a caller sends it.
    pub fn of(key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(CONTEXT);
        hasher.update(key);
        Self(hasher.finalize())
    }

    /// Parses a digest in text form.
    fn parse(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text.strip_prefix(PREFIX)?).ok().map(Self)
    }

    /// Returns the first bytes of the digest, which serve as a hash-table key.
    pub(crate) fn prefix(self) -> u64 {
        let (first, _) = self.0.as_bytes().split_first_chunk().expect("a digest has 32 bytes");
        u64::from_le_bytes(*first)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{}", self.0.to_hex())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    /// Accepts a digest or a key. The text of a key is wiped after hashing, and errors never contain the input.
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from).map(Zeroizing::new);
        let text = text.map_err(|_| D::Error::custom("a key must be a string: quote it"))?;
        match text.as_str() {
            "" => Err(D::Error::custom("a key is empty: remove it")),
            it if it.starts_with(PREFIX) => Self::parse(it).ok_or_else(|| {
                D::Error::custom(
                    "the digest of a key is invalid: create it again with `dappleway key`",
                )
            }),
            it => Ok(Self::of(it.as_bytes())),
        }
    }
}

impl JsonSchema for KeyDigest {
    fn schema_name() -> String {
        "KeyDigest".to_owned()
    }

    fn json_schema(generator: &mut schemars::r#gen::SchemaGenerator) -> schemars::schema::Schema {
        String::json_schema(generator)
    }
}
