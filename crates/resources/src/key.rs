//! API keys, known by their digest alone.

use std::fmt;

use schemars::JsonSchema;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use zeroize::Zeroizing;

/// What the text of a digest begins with.
const PREFIX: &str = "blake3:";
/// Keeps digests of keys apart from those of anything else.
const CONTEXT: &[u8] = b"dappleway api key\0";

/// Digest of an API key. A document holds a key or its digest; whatever is kept, told to peers or shown holds the digest.
///
/// Keys are long and random, so that a plain hash gives nobody a way back to them.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// Digest of a key as a caller shows it.
    pub fn of(key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(CONTEXT);
        hasher.update(key);
        Self(hasher.finalize())
    }

    /// Reads the text of a digest.
    fn parse(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text.strip_prefix(PREFIX)?).ok().map(Self)
    }

    /// The first bytes, by which a table finds it.
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
    /// Takes a digest, or a key, which is wiped once its digest is known. Errors never repeat what was written.
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from).map(Zeroizing::new);
        let text = text.map_err(|_| D::Error::custom("a key is a text: quote it"))?;
        match text.as_str() {
            "" => Err(D::Error::custom("a key is empty: remove it")),
            it if it.starts_with(PREFIX) => Self::parse(it).ok_or_else(|| {
                D::Error::custom("the digest of a key is broken: make it anew with `dappleway key`")
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
