//! Frames between nodes: a version byte, a keyed hash, and a message in postcard encoding.
//!
//! A frame that fails any check is dropped and counted. Replayed frames do no harm: known versions
//! only increase, and permits carry identities.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{
    Ask, DomainLoad, Kind, NodeId, Notice, Observation, PermitId, Rejection, Reply, RequestKey,
    RunEnd,
};
use resources::{Name, Position, RegistryChange};
use serde::{Deserialize, Serialize};

use crate::allowances::AllowanceMessage;
use crate::replica::Versions;

/// Largest frame in bytes; fits into one datagram on usual networks.
pub const MAX_FRAME_BYTES: usize = 1_200;
/// Maximum number of nodes in one gossip message; with the header this keeps a frame at about 400
/// bytes.
pub(crate) const NODES_PER_FRAME: usize = 10;
/// Version of the protocol. A node drops frames of other versions.
pub(crate) const VERSION: u8 = 11;
/// Length of the keyed hash in a frame, in bytes.
pub(crate) const TAG_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Longest encoding of a message number.
pub(crate) const MAX_NUMBER_BYTES: usize = 10;
/// Space for the messages of a batch: a frame without its header, sender, stream and numbers.
pub(crate) const MAX_BATCH_BYTES: usize = MAX_FRAME_BYTES - 100;

/// The fleet's secret key; `Debug` output does not show it.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the operators' secret, which may have any length and form.
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

/// The key in use and, during a key change, one more key that is accepted.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Signs frames and is accepted.
    pub current: Key,
    /// Is accepted, but does not sign.
    pub also_accepted: Option<Key>,
}

impl Keys {
    pub(crate) fn sign(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.current.tag(body).as_bytes()[..TAG_BYTES]);
        tag
    }

    pub(crate) fn verify(&self, tag: &[u8], body: &[u8]) -> bool {
        let is_signed_by =
            |key: &Key| equal_in_constant_time(&key.tag(body).as_bytes()[..TAG_BYTES], tag);
        is_signed_by(&self.current) || self.also_accepted.as_ref().is_some_and(is_signed_by)
    }
}

/// Phase of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Does not yet know the configuration in force.
    Starting,
    /// Serves, but started recently and has too few observations to hand out slots for others.
    Fresh,
    /// Serves.
    Ready,
    /// Is shutting down.
    Leaving,
}

/// Resources of a node's VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: u32,
}

/// Optional parts of the protocol that a node supports. Messages of an optional part go only to
/// nodes that support it, because a node drops a frame with a message that it does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features(u8);

impl Features {
    /// No optional part, as for builds that know none.
    pub const NONE: Self = Self(0);
    /// Slots of a service are granted by one node in each failure domain.
    pub const DOMAIN_DISPATCH: Self = Self(1);
    /// Connections to endpoints lead through the node if it is asked.
    pub const TUNNELS: Self = Self(2);
    /// Not a part of the protocol but the state of the node: it reaches no endpoint now, so that no
    /// tunnel should lead through it.
    pub const CUT_OFF: Self = Self(4);
    /// The node's registry position is the one up to which its copy is complete, and an update of
    /// the platform without changes states that there are none after its `after`.
    pub const COMPLETE_POSITIONS: Self = Self(8);

    /// The encoding of the features of `nodes`, in their order.
    pub(crate) fn of(nodes: &[NodeInfo]) -> impl Iterator<Item = u8> {
        nodes.iter().map(|it| it.features.0)
    }

    /// Sets the features of `nodes` from their encoding; nodes without one keep theirs.
    pub(crate) fn apply(nodes: &mut [NodeInfo], encoded: &[u8]) {
        for (node, features) in nodes.iter_mut().zip(encoded) {
            node.features = Self(*features);
        }
    }

    /// These features and the others.
    pub fn with(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// These features without the others.
    pub fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether all of these optional parts are supported.
    pub fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }
}

/// State of a node as sent to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Address of the node's exchange.
    pub addr: SocketAddr,
    /// Hash of its failure domain.
    pub failure_domain: u64,
    /// Start time of its process; a later start has a larger value.
    pub incarnation: u64,
    /// Increases with every gossip message of the node.
    pub version: u32,
    /// Resources of its VM.
    pub capacity: Capacity,
    /// Phase of its process.
    pub phase: Phase,
    /// Versions of its copy of the state published by the platform.
    pub versions: Versions,
    /// Optional parts of the protocol that it supports. Travels behind the message of a frame, where
    /// builds that know no optional parts ignore it.
    #[serde(skip)]
    pub features: Features,
}

/// Marks an endpoint that its dispatching node uses last or has ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// How long the verdict stays valid, in milliseconds.
    pub valid_ms: u32,
}

/// Contents of a gossip round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Nodes, the sender first.
    pub nodes: Vec<NodeInfo>,
    /// Verdicts that are still valid.
    pub verdicts: Vec<Verdict>,
    /// Requests that crash endpoints.
    pub rejections: Vec<Rejection>,
    /// Whether the receiver has to reply with its own gossip.
    pub wants_reply: bool,
}

/// Announcement of a reader: what it has read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// The sender, which may still be unknown to some receivers.
    pub sender: NodeInfo,
    /// Versions that a copy reaches with these changes and all changes before them.
    pub versions: Versions,
    /// The changes are complete after this position of the platform.
    pub after: Position,
    /// Changes of the registry; empty if there were none after `after`. Nodes without
    /// [`Features::COMPLETE_POSITIONS`] also leave out changes that are too many to send.
    pub changes: Vec<RegistryChange>,
    /// The last answer of the platform to the sender.
    pub last_answer: LastAnswer,
}

/// The last answer of the platform to a reader. Ages are in milliseconds and refer to the time of
/// sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LastAnswer {
    /// The platform did not answer.
    Lost,
    /// The platform had nothing newer than the versions in the frame.
    Read {
        /// Time since the answer.
        age_ms: u32,
    },
    /// The platform answered, but its newest configuration cannot be read.
    Unreadable {
        /// Time since the answer.
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
        /// The ask.
        ask: Ask,
    },
    /// Answers an ask; one ask may get several answers.
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
        /// Result and duration of the request; `None` if they say nothing about the endpoint.
        outcome: Option<(Kind, Duration)>,
    },
    /// Reports that a request is stalled.
    Stalled {
        /// Identity of the permit.
        id: PermitId,
        /// Time since the request was sent.
        elapsed: Duration,
    },
    /// Reports a failed request to the successors of the dispatching node.
    Observed {
        /// Hash of the service's name.
        service: u64,
        /// Identity of the endpoint.
        endpoint: Name,
        /// What was observed, and by which node.
        observation: Observation,
    },
    /// Extends the lifetime of permits.
    Renew {
        /// Identities of the permits.
        ids: Vec<PermitId>,
    },
    /// Reports that a long answer has begun.
    AnswerBegan {
        /// Identity of the permit.
        id: PermitId,
        /// Time from sending the request to the beginning of the answer.
        elapsed: Duration,
    },
    /// Forwards a notice that an endpoint has sent with an answer.
    Noticed {
        /// Hash of the service's name.
        service: u64,
        /// Identity of the endpoint.
        endpoint: Name,
        /// Start time of the endpoint's current incarnation, in Unix milliseconds.
        started_ms: u64,
        /// The notice.
        notice: Notice,
    },
    /// Reports the end of a request that is evidence for or against the suspicion that the request
    /// crashes endpoints. Receivers are the nodes that may hand out slots for the request.
    RunEnded {
        /// Hash of the service's name.
        service: u64,
        /// The request.
        request: RequestKey,
        /// How the request ended.
        end: RunEnd,
        /// Time from sending the request to its end.
        elapsed: Duration,
    },
    /// Reports requests on routes to this service that another service did not serve.
    UnservedElsewhere {
        /// Hash of the service's name.
        service: u64,
        /// Number of requests since the last message.
        requests: u32,
        /// Number of requests that were refused before any service was asked.
        refused: u32,
    },
    /// Asks for a slot of a service that is dispatched by failure domain. Only for nodes with
    /// [`Features::DOMAIN_DISPATCH`].
    DomainAsk {
        /// Hash of the service's name.
        service: u64,
        /// Hash of the failure domain whose endpoints are asked for.
        failure_domain: u64,
        /// Whether the answer may be [`Reply::Elsewhere`].
        may_redirect: bool,
        /// The ask.
        ask: Ask,
    },
    /// Load of a service in failure domains for which the sender grants slots; sent once. Only for
    /// nodes with [`Features::DOMAIN_DISPATCH`].
    DomainLoads {
        /// Hash of the service's name.
        service: u64,
        /// Load by failure domain.
        loads: Vec<DomainLoad>,
    },
}

impl PermitMessage {
    /// Whether the message needs reliable delivery, which passes it on exactly once in spite of
    /// lost datagrams. An ask is repeated by its sender until an answer arrives, and every repeated
    /// ask is answered again. Loads are sent ten times a second, and a late one is outdated.
    pub fn is_reliable(&self) -> bool {
        !matches!(
            self,
            Self::Ask { .. }
                | Self::DomainAsk { .. }
                | Self::Answer { .. }
                | Self::DomainLoads { .. }
        )
    }

    /// Encoded length in a frame, in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        // No message can fail to encode; one that did would be refused as too long.
        postcard::to_stdvec(self).map_or(usize::MAX / 2, |it| it.len())
    }
}

/// Messages that are sent again until they are acknowledged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifies the process of the sender that assigned the numbers.
    pub stream: u32,
    /// Lowest number that the sender may still send again.
    pub oldest: u64,
    /// Messages with their numbers, which increase by one for each message to the receiver.
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
    /// One gossip round or the reply to it.
    Gossip(Gossip),
    /// Announcement of a reader to its failure domain.
    PlatformUpdate(PlatformUpdate),
    /// Message about slots, sent once.
    Permit(PermitMessage),
    /// Messages about slots, sent until they are acknowledged.
    Reliable(Batch),
    /// Acknowledges messages about slots.
    Ack(Ack),
    /// Message about allowances of organisations.
    Allowance(AllowanceMessage),
}

impl Message {
    /// The node states that the message carries, in the order of their features behind it.
    fn nodes_mut(&mut self) -> &mut [NodeInfo] {
        match self {
            Self::Gossip(it) => &mut it.nodes,
            Self::PlatformUpdate(it) => std::slice::from_mut(&mut it.sender),
            Self::Permit(_) | Self::Reliable(_) | Self::Ack(_) | Self::Allowance(_) => &mut [],
        }
    }

    fn nodes(&self) -> &[NodeInfo] {
        match self {
            Self::Gossip(it) => &it.nodes,
            Self::PlatformUpdate(it) => std::slice::from_ref(&it.sender),
            Self::Permit(_) | Self::Reliable(_) | Self::Ack(_) | Self::Allowance(_) => &[],
        }
    }

    /// Whether the message belongs to the handling of requests, whose traffic is counted apart from
    /// control traffic.
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

/// Reason for which a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame is shorter than a header or longer than a datagram may be.
    #[error("a frame of {0} bytes was dropped: no valid frame has this length")]
    Length(usize),
    /// The frame has another protocol version.
    #[error("a frame of version {0} was dropped: upgrade the older node")]
    Version(u8),
    /// The keyed hash does not match.
    #[error("a frame with an invalid signature was dropped: check that all nodes use the same key")]
    Forged,
    /// The body cannot be decoded.
    #[error("a malformed frame was dropped: upgrade the older node")]
    Malformed,
}

impl Frame {
    /// Encodes and signs the frame; returns `None` if it is too long for a datagram.
    pub fn encode(&self, keys: &Keys) -> Option<Vec<u8>> {
        let mut body = postcard::to_stdvec(self).ok()?;
        body.extend(Features::of(self.message.nodes()));
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
        if !keys.verify(tag, body) {
            return Err(WireError::Forged);
        }
        let (mut frame, features): (Self, _) =
            postcard::take_from_bytes(body).map_err(|_| WireError::Malformed)?;
        Features::apply(frame.message.nodes_mut(), features);
        Ok(frame)
    }
}

/// Compares in constant time, so that the duration reveals nothing about the tag.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}
