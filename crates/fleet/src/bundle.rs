//! What a node hands to another one that lacks something: the configuration and the registry, in the form
//! in which they travel.

use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use resources::{Document, Position, Published, RegistryChange};
use serde::{Deserialize, Serialize};

use crate::replica::{Facts, Replica};
use crate::wire::NodeInfo;

/// What a peer knows that the asker lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The configuration, if it is newer.
    pub document: Option<EncodedDocument>,
    /// The registry, if something has changed there.
    pub registry: Option<RegistryCopy>,
    /// The nodes, for an asker that has just started.
    pub members: Vec<NodeInfo>,
}

/// Largest configuration that is unpacked, in bytes. The platform's values hold a megabyte, of which nodes
/// make up to three.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

/// A configuration as packed JSON. It is encoded once for all that fetch it. Packed at the fastest level, 4,200
/// routes with random names take 94 KB instead of 1.0 MB, for 3 ms of a whole core at the sender and 1.5 ms at
/// the receiver: a link of 10 Mbit/s carries them in 0.08 s instead of 0.8.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EncodedDocument(Arc<[u8]>);

/// The registry, or what has changed in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegistryCopy {
    /// It has the changes after this position alone; nothing if it has all endpoints.
    pub after: Option<Position>,
    /// The latest change that is known.
    pub latest: Position,
    /// Up to where the endpoints are complete.
    pub complete_to: Position,
    /// The endpoints.
    pub endpoints: Vec<RegistryChange>,
}

impl EncodedDocument {
    /// Encodes a configuration.
    pub fn new(document: &Document) -> Self {
        let json = serde_json::to_vec(document).expect("keys are strings");
        // In one piece: each small write to the packer costs as much as a long one.
        let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
        packed.write_all(&json).expect("a vector takes all");
        Self(packed.finish().expect("a vector takes all").into())
    }

    fn decode(&self) -> Result<Document, serde_json::Error> {
        let mut json = Vec::new();
        let mut unpacked = DeflateDecoder::new(&self.0[..]).take(MAX_DOCUMENT_BYTES);
        unpacked.read_to_end(&mut json).map_err(serde_json::Error::io)?;
        serde_json::from_slice(&json)
    }
}

impl Bundle {
    /// What a copy knows beyond `have`. `document` encodes its configuration if that is asked for.
    pub(crate) fn beyond(
        replica: &Replica,
        have: Facts,
        document: impl FnOnce(&Document) -> EncodedDocument,
    ) -> Self {
        let mine = replica.facts();
        let newer = replica.document().filter(|it| it.version > have.version);
        let registry = (mine.registry > have.registry).then(|| {
            let it = replica.since(have.registry).unwrap_or_else(|| replica.whole());
            RegistryCopy {
                after: it.after,
                latest: it.latest,
                complete_to: it.complete_to,
                endpoints: it.endpoints,
            }
        });
        Self { document: newer.map(|it| document(it)), registry, members: Vec::new() }
    }

    /// Its length in bytes as it travels.
    pub fn encoded_len(&self) -> usize {
        postcard::to_stdvec(self).map_or(0, |it| it.len())
    }

    /// The same as news of the platform.
    pub fn decode(self) -> Result<Published, serde_json::Error> {
        let document = self.document.map(|it| it.decode()).transpose()?;
        Ok(match self.registry {
            Some(it) => Published {
                after: it.after,
                latest: it.latest,
                complete_to: it.complete_to,
                document,
                unreadable: None,
                endpoints: it.endpoints,
            },
            None => Published::configuration_only(document),
        })
    }
}
