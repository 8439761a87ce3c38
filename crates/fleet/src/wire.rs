//! Frames between nodes: a version byte, a keyed hash, and a message in postcard encoding.
//!
//! A frame that fails any check is dropped and counted. Replaying a frame does no harm: facts only
//! move forward, and permits carry identities.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{
    Ask, Kind, NodeId, Notice, Observation, PermitId, Rejection, Reply, RequestKey, RunEnd,
};
use resources::{Name, Position, RegistryChange};
use serde::{Deserialize, Serialize};

use crate::allowances::AllowanceMessage;
use crate::replica::Facts;

/// Largest frame in bytes; it fits one datagram on usual networks.
pub const MAX_FRAME_BYTES: usize = 1_200;
/// Nodes told of in one round; with the header this keeps a frame at about 400 bytes.
pub(crate) const NODES_PER_FRAME: usize = 10;
/// Version of the protocol. A node drops frames of other versions.
pub(crate) const VERSION: u8 = 11;
/// Bytes of the keyed hash that a frame carries.
pub(crate) const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Longest encoding of the number of a message.
pub(crate) const MAX_NUMBER_BYTES: usize = 10;
/// Room for the messages of a batch: a frame less its header, the sender, the stream and numbers.
pub(crate) const MAX_BATCH_BYTES: usize = MAX_FRAME_BYTES - 100;

/// The fleet's key; its text never appears in logs.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the operators' secret, whose length and form do not matter.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("dappleway fleet frames v1", secret))
    }

    fn tag(&self, body: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, body)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The key that is used, and one more that is accepted while the key is replaced.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Signs and is accepted.
    pub current: Key,
    /// Is accepted.
    pub also: Option<Key>,
}

impl Keys {
    pub(crate) fn sign(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.current.tag(body).as_bytes()[..TAG_BYTES]);
        tag
    }

    pub(crate) fn accept(&self, tag: &[u8], body: &[u8]) -> bool {
        let is_signed_by =
            |key: &Key| equal_in_constant_time(&key.tag(body).as_bytes()[..TAG_BYTES], tag);
        is_signed_by(&self.current) || self.also.as_ref().is_some_and(is_signed_by)
    }
}

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Does not know yet what the fleet has in force.
    Starting,
    /// Serves, but has started lately: it has seen too little to hand out slots for others.
    Fresh,
    /// Serves.
    Ready,
    /// Is ending its work.
    Leaving,
}

/// What a node's VM has for its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Thousandths of a core.
    pub millicores: u32,
    /// What the link carries, in Mbit/s.
    pub link_mbps: u32,
}

/// What is known of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Address of its exchange.
    pub addr: SocketAddr,
    /// Hash of its failure domain.
    pub failure_domain: u64,
    /// Start of its process; a later start is larger.
    pub incarnation: u64,
    /// Grows with each of its frames.
    pub version: u32,
    /// What its VM has.
    pub capacity: Capacity,
    /// What it is doing.
    pub phase: Phase,
    /// How new its copy of what the platform published is.
    pub facts: Facts,
}

/// An endpoint that the node which dispatches it uses last or has taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The endpoint.
    pub endpoint: SocketAddr,
    /// How long the verdict is to be believed, in milliseconds.
    pub valid_ms: u32,
}

/// What a node tells a random peer in each round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Nodes, the sender first.
    pub nodes: Vec<NodeInfo>,
    /// Verdicts that are still valid.
    pub verdicts: Vec<Verdict>,
    /// Requests that endpoints end under.
    pub rejections: Vec<Rejection>,
    /// Whether the receiver is to answer with what it knows.
    pub wants_reply: bool,
}

/// What a node has read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The sender, who may not be known yet to all that it knows.
    pub sender: NodeInfo,
    /// How new a copy is that has these changes and all before them.
    pub facts: Facts,
    /// The changes are all those after this position of the platform.
    pub after: Position,
    /// Changes of the registry; none if there were none or too many for a frame.
    pub changes: Vec<RegistryChange>,
    /// What the platform last said to the sender.
    pub last_answer: LastAnswer,
}

/// What the platform last said to a node that reads it. Ages are those at the time of the frame, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LastAnswer {
    /// It did not answer.
    Lost,
    /// It had nothing newer than the facts of the frame.
    Read {
        /// Time since its answer.
        age_ms: u32,
    },
    /// It answered, and its newest configuration cannot be read.
    Unreadable {
        /// Time since its answer.
        age_ms: u32,
    },
}

/// Messages about slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Asks for a slot.
    Ask {
        /// Hash of the service's name.
        service: u64,
        /// What is asked for.
        ask: Ask,
    },
    /// Answers an ask, perhaps more than once.
    Answer {
        /// Identity of the permit.
        id: PermitId,
        /// The answer.
        reply: Reply,
    },
    /// Gives a slot back.
    Release {
        /// Identity of the permit.
        id: PermitId,
        /// How the request ended; nothing if it proves nothing.
        outcome: Option<(Kind, Duration)>,
    },
    /// Says that a request is stalled.
    Stalled {
        /// Identity of the permit.
        id: PermitId,
        /// How long it has been open.
        elapsed: Duration,
    },
    /// Tells those that would dispatch next of a request that went wrong.
    Observed {
        /// Hash of the service's name.
        service: u64,
        /// Identity of the endpoint.
        endpoint: Name,
        /// What was seen, and by whom.
        observation: Observation,
    },
    /// Keeps permits alive.
    Renew {
        /// Their identities.
        ids: Vec<PermitId>,
    },
    /// Says that a long answer has begun.
    AnswerBegan {
        /// Identity of the permit.
        id: PermitId,
        /// Time from the send to its beginning.
        elapsed: Duration,
    },
    /// Tells what an endpoint has said of itself in an answer.
    Noticed {
        /// Hash of the service's name.
        service: u64,
        /// Identity of the endpoint.
        endpoint: Name,
        /// When its life began, in Unix milliseconds.
        started_ms: u64,
        /// What it has said.
        notice: Notice,
    },
    /// Tells how a request ended that speaks for or against it, to those that may hand out slots for it.
    Ran {
        /// Hash of the service's name.
        service: u64,
        /// The request.
        request: RequestKey,
        /// How its run ended.
        end: RunEnd,
        /// Time from the send to that.
        elapsed: Duration,
    },
    /// Tells of requests on routes that lead to a service and that another one did not serve.
    UnservedElsewhere {
        /// Hash of the service's name.
        service: u64,
        /// Requests since the last message.
        requests: u32,
        /// Requests that were refused before any service was asked.
        refused: u32,
    },
}

impl PermitMessage {
    /// Whether it is to arrive once, whatever datagrams are lost. An ask is said again by whoever asked until it is
    /// answered, and each is answered anew.
    pub fn is_reliable(&self) -> bool {
        !matches!(self, Self::Ask { .. } | Self::Answer { .. })
    }

    /// Bytes that it takes in a frame.
    pub(crate) fn encoded_len(&self) -> usize {
        // Nothing in a message can fail to encode; one that did would be refused as too long.
        postcard::to_stdvec(self).map_or(usize::MAX / 2, |it| it.len())
    }
}

/// Messages that are sent again until they are acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The numbers are those of this life of the sender.
    pub stream: u32,
    /// No message of a lower number is sent any more.
    pub oldest: u64,
    /// Messages with their numbers, which rise by one for each message to the receiver.
    pub messages: Vec<(u64, PermitMessage)>,
}

/// Acknowledges messages of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    /// Stream of the batch.
    pub stream: u32,
    /// Numbers of the messages that have arrived.
    pub numbers: Vec<u64>,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// One round of the exchange.
    Gossip(Gossip),
    /// What a node that reads the platform tells those of its failure domain.
    News(News),
    /// About slots, sent once.
    Permit(PermitMessage),
    /// About slots, sent until it is acknowledged.
    Reliable(Batch),
    /// Acknowledges messages about slots.
    Ack(Ack),
    /// About allowances of organisations.
    Allowance(AllowanceMessage),
}

impl Message {
    /// Whether it is about requests, a cost of these and not of control.
    pub fn is_about_requests(&self) -> bool {
        matches!(self, Self::Permit(_) | Self::Reliable(_) | Self::Ack(_) | Self::Allowance(_))
    }
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: NodeId,
    /// The message.
    pub message: Message,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Shorter than a header or longer than a datagram may be.
    #[error("a frame of {0} bytes was dropped: it is not one of ours")]
    Length(usize),
    /// Another version.
    #[error("a frame of version {0} was dropped: upgrade the older node")]
    Version(u8),
    /// The keyed hash does not match.
    #[error("a forged or foreign frame was dropped: check that all nodes hold the same key")]
    Forged,
    /// The body cannot be read.
    #[error("a malformed frame was dropped: upgrade the older node")]
    Malformed,
}

impl Frame {
    /// Encodes and signs the frame; nothing if it would be too long for a datagram.
    pub fn encode(&self, keys: &Keys) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(self).ok()?;
        if HEADER_BYTES + body.len() > MAX_FRAME_BYTES {
            return None;
        }
        let mut buf = Vec::with_capacity(HEADER_BYTES + body.len());
        buf.push(VERSION);
        buf.extend_from_slice(&keys.sign(&body));
        buf.extend_from_slice(&body);
        Some(buf)
    }

    /// Checks and decodes a frame.
    pub fn decode(buf: &[u8], keys: &Keys) -> Result<Self, WireError> {
        if buf.len() <= HEADER_BYTES || buf.len() > MAX_FRAME_BYTES {
            return Err(WireError::Length(buf.len()));
        }
        if buf[0] != VERSION {
            return Err(WireError::Version(buf[0]));
        }
        let (tag, body) = buf[1..].split_at(TAG_BYTES);
        if !keys.accept(tag, body) {
            return Err(WireError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| WireError::Malformed)
    }
}

/// Compares without leaving early, so that the time tells nothing about the tag.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
