//! Reads the platform while this node has the duty to, and what peers know of it.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Facts, FetchError, FetchFailure, Fetched, Keys, Reads};
use rand::RngExt;
use resources::{Source, SourceError};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::event::Event;

/// Shortest time between two calls: changes that come in quick succession are read together.
const BETWEEN_CALLS: Duration = Duration::from_millis(120);
/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a call that failed. Calls have a price also while the platform is away, and
/// whoever finds it first tells the others of its failure domain.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);

/// Reads the platform, once at the start and then what `reads` says, and reports to `events`.
pub async fn read_platform<S: Source>(
    source: S,
    reads: watch::Receiver<Reads>,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
) {
    let reader = Reader { source, events, log, has_all: false, pause: FIRST_PAUSE, is_lost: false };
    reader.run(reads).await;
}

struct Reader<S> {
    source: S,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
    /// Everything was read, and nothing has been forgotten since.
    has_all: bool,
    pause: Duration,
    is_lost: bool,
}

impl<S: Source> Reader<S> {
    async fn run(mut self, mut reads: watch::Receiver<Reads>) {
        loop {
            let next_call = Instant::now() + BETWEEN_CALLS;
            let duty = *reads.borrow_and_update();
            let read = match duty {
                _ if !self.has_all => self.source.read().await,
                Reads::Everything => tokio::select! {
                    it = self.source.next() => it,
                    changed = reads.wait_for(|it| *it != duty) => match changed {
                        Ok(_) => continue,
                        Err(_) => return,
                    },
                },
                Reads::Configuration => {
                    self.read_configuration().await;
                    // If it is still lacked after that, the platform does not have it yet.
                    let pause = self.next_pause();
                    let _ = timeout(pause, reads.wait_for(|it| *it != duty)).await;
                    continue;
                }
                Reads::Nothing => match reads.changed().await {
                    Ok(()) => {
                        self.pause = FIRST_PAUSE;
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
                    self.has_all = true;
                    send(&self.events, Event::Read(published, self.source.calls()));
                    sleep_until(next_call).await;
                }
                Err(SourceError::Forgotten) => {
                    info!(self.log, "platform has forgotten changes: all is read anew");
                    self.has_all = false;
                }
                Err(SourceError::Unavailable(reason)) => {
                    self.note_failure(&reason);
                    sleep(self.next_pause()).await;
                }
            }
        }
    }

    /// Reads the configuration alone: one call, where everything takes a call for each page.
    async fn read_configuration(&mut self) {
        match self.source.configuration().await {
            Ok(document) => {
                self.note_answer();
                send(&self.events, Event::ConfigurationRead(document, self.source.calls()));
            }
            Err(error) => self.note_failure(&error.to_string()),
        }
    }

    fn note_answer(&mut self) {
        if std::mem::take(&mut self.is_lost) {
            info!(self.log, "platform regained"; "calls" => self.source.calls());
        }
    }

    fn note_failure(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.is_lost, true) {
            warn!(self.log, "platform lost: serving with what is known"; "reason" => reason);
        }
        send(&self.events, Event::ReadFailed);
    }

    fn next_pause(&mut self) -> Duration {
        let jitter = rand::rng().random_range(0.7..1.3);
        let pause = self.pause.mul_f64(jitter);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        pause
    }
}

/// Fetches from a peer what it knows beyond `have`.
pub async fn fetch_from_peer(
    addr: SocketAddr,
    keys: Keys,
    have: Facts,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
) {
    let since = Instant::now();
    let took = || since.elapsed().as_millis() as u64;
    let fetched = match fleet::fetch(addr, &keys, have).await {
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
    match bundle.decode() {
        Ok(published) => send(&events, Event::Fetched(published)),
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
