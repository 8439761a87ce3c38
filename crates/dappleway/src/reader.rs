//! Reads the platform while this node has the duty to, and what peers know of it.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{FetchError, FetchFailure, Fetched, Keys, NodeInfo, Reads};
use rand::RngExt;
use resources::{Document, Position, Published, Source, SourceError};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};

use crate::event::Event;

/// Shortest time between two calls: changes that come in quick succession are read together.
const BETWEEN_CALLS: Duration = Duration::from_millis(120);
/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a call that failed. Calls have a price also while the platform is away, and
/// whoever finds it first tells the others of its failure domain.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);
/// The nodes of a failure domain that find the platform away try again this often, all together: the first that is
/// answered tells the others, and a node that is alone waits for nobody.
const PAUSE_PER_NODE: Duration = Duration::from_millis(200);

/// Nodes that would all read everything at once do so by turns of this length on average: what the first one
/// finds out reaches the others before most of them begin. At 586 nodes and 6,000 endpoints all at once are a gigabyte.
const SHARE_OF_TURN: Duration = Duration::from_millis(60);

/// What the control thread wants read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// What this node is to read.
    pub reads: Reads,
    /// Up to where the registry is known here.
    pub known: Position,
    /// Other nodes of the failure domain that may read it too.
    pub others: usize,
}

impl Wanted {
    /// Of a node that has just started.
    pub const NOTHING: Self = Self { reads: Reads::Nothing, known: Position::START, others: 0 };
}

/// Where reading goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum From {
    /// From nothing, because the platform has forgotten what came in between.
    Start,
    /// From what is known here, which peers may have told; from nothing if nothing is.
    Copy,
    /// From this node's last read.
    LastRead,
}

/// Reads of the platform what `wanted` says, and reports to `events`.
pub async fn read_platform<S: Source>(
    source: S,
    wanted: watch::Receiver<Wanted>,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
) {
    let from = From::Copy;
    let reader = Reader { source, events, log, from, pause: FIRST_PAUSE, lost: None };
    reader.run(wanted).await;
}

struct Reader<S> {
    source: S,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
    from: From,
    pause: Duration,
    /// Calls that have failed since the last answer, and the time of the first.
    lost: Option<(u32, Instant)>,
}

impl<S: Source> Reader<S> {
    async fn run(mut self, mut wanted: watch::Receiver<Wanted>) {
        loop {
            let next_call = Instant::now() + BETWEEN_CALLS;
            let Wanted { reads, known, others } = *wanted.borrow_and_update();
            let read = match reads {
                Reads::Everything => tokio::select! {
                    it = self.read_on(known) => it,
                    changed = wanted.wait_for(|it| it.reads != reads) => match changed {
                        Ok(_) => continue,
                        Err(_) => return,
                    },
                },
                Reads::Configuration => {
                    self.read_configuration().await;
                    // If it is still lacked after that, the platform does not have it yet.
                    let pause = self.next_pause(others);
                    let _ = timeout(pause, wanted.wait_for(|it| it.reads != reads)).await;
                    continue;
                }
                Reads::Nothing => match wanted.changed().await {
                    Ok(()) => {
                        self.pause = FIRST_PAUSE;
                        self.from = From::Copy;
                        continue;
                    }
                    // The control thread has ended.
                    Err(_) => return,
                },
            };
            match read {
                Ok(published) => {
                    self.note_answer();
                    self.pause = FIRST_PAUSE;
                    self.from = From::LastRead;
                    send(&self.events, Event::Read(published, self.source.calls()));
                    sleep_until(next_call).await;
                }
                Err(SourceError::HistoryLost) => {
                    info!(self.log, "platform has forgotten changes: all is read anew");
                    // Who stands in for a silent reader is one of many that do.
                    if self.from == From::Copy {
                        let turn = SHARE_OF_TURN * others as u32;
                        let turn = turn.mul_f64(rand::rng().random_range(0.0..1.0));
                        if let Ok(Err(_)) =
                            timeout(turn, wanted.wait_for(|it| it.reads != reads)).await
                        {
                            return;
                        }
                    }
                    self.from = From::Start;
                }
                Err(SourceError::Unavailable(reason)) => {
                    self.note_failure(&reason);
                    let pause = self.next_pause(others);
                    if let Ok(Err(_)) =
                        timeout(pause, wanted.wait_for(|it| it.reads != reads)).await
                    {
                        return;
                    }
                }
            }
        }
    }

    /// Reads all that changes. Whoever takes over reads the configuration first: peers may have the registry up to a
    /// position and lack a configuration before it, and it is in force also where the next call fails.
    async fn read_on(&mut self, known: Position) -> Result<Published, SourceError> {
        match self.from {
            From::LastRead => self.source.next().await,
            From::Copy if known.is_known() => {
                let document = self.source.configuration().await?;
                self.take_configuration(document);
                self.source.resume(known).await
            }
            From::Copy | From::Start => self.source.read().await,
        }
    }

    /// Reads the configuration alone: one call, where everything takes a call for each page.
    async fn read_configuration(&mut self) {
        match self.source.configuration().await {
            Ok(document) => self.take_configuration(document),
            Err(error) => self.note_failure(&error.to_string()),
        }
    }

    fn take_configuration(&mut self, document: Option<Document>) {
        self.note_answer();
        send(&self.events, Event::ConfigurationRead(document, self.source.calls()));
    }

    fn note_answer(&mut self) {
        if let Some((failed, since)) = self.lost.take() {
            info!(self.log, "platform regained"; "calls" => self.source.calls(),
                "failed_calls" => failed, "ms" => since.elapsed().as_millis() as u64);
        }
    }

    fn note_failure(&mut self, reason: &str) {
        let (failed, _) = self.lost.get_or_insert_with(|| (0, Instant::now()));
        *failed += 1;
        if *failed == 1 {
            warn!(self.log, "platform lost: serving with what is known"; "reason" => reason,
                "reading_from" => ?self.from);
        }
        send(&self.events, Event::ReadFailed);
    }

    /// The pause after a call that failed, beside so many others that may try as well.
    fn next_pause(&mut self, others: usize) -> Duration {
        let longest = (PAUSE_PER_NODE * (others as u32 + 1)).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        let jitter = rand::rng().random_range(0.7..1.3);
        let pause = self.pause.min(longest).mul_f64(jitter);
        self.pause = (self.pause * 2).min(longest);
        pause
    }
}

/// Fetches from a peer what it knows beyond the copy of `asker`, which is this node.
pub async fn fetch_from_peer(
    addr: SocketAddr,
    keys: Keys,
    asker: NodeInfo,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
) {
    let since = Instant::now();
    let took = || since.elapsed().as_millis() as u64;
    let fetched = match fleet::fetch(addr, &keys, asker).await {
        Ok(it) => it,
        Err(error) => {
            info!(log, "fetch from a peer failed"; "peer" => %addr, "ms" => took(),
                "reason" => %error);
            let why = match error {
                FetchError::Busy => FetchFailure::Busy,
                _ => FetchFailure::Lost,
            };
            return send(&events, Event::FetchFailed(why));
        }
    };
    let Fetched { bundle, bytes } = fetched;
    info!(log, "fetched from a peer"; "peer" => %addr, "ms" => took(), "bytes" => bytes,
        "has_config" => bundle.document.is_some(), "has_registry" => bundle.registry.is_some());
    let members = bundle.members.clone();
    match bundle.decode() {
        Ok(published) => send(&events, Event::Fetched(published, members)),
        Err(error) => {
            warn!(log, "a peer's configuration cannot be read: upgrade the older node";
                "peer" => %addr, "reason" => %error);
            send(&events, Event::FetchFailed(FetchFailure::Lost));
        }
    }
}

fn send(events: &mpsc::UnboundedSender<Event>, event: Event) {
    // The control thread ends after the last request.
    let _ = events.send(event);
}
