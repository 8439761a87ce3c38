//! Reads the platform while this node has the duty to, and what peers know of it.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Facts, Fetched, Keys};
use rand::RngExt;
use resources::{Document, Published, Source, SourceError};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::event::Event;

/// Shortest time between two calls: changes that come in quick succession are read together.
const BETWEEN_CALLS: Duration = Duration::from_millis(120);
/// First pause after a call that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a call that failed. Calls have a price also while the platform is away, and
/// whoever finds it first tells the others of its failure domain.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);

/// Reads the platform, once at the start and then while `reads` is true, and reports to `events`.
pub async fn read_platform<S: Source>(
    mut source: S,
    mut reads: watch::Receiver<bool>,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
) {
    let mut has_all = false;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    loop {
        let next_call = Instant::now() + BETWEEN_CALLS;
        if has_all && reads.wait_for(|it| *it).await.is_err() {
            return;
        }
        let read = match has_all {
            false => source.read().await,
            true => tokio::select! {
                it = source.next() => it,
                _ = reads.wait_for(|it| !it) => continue,
            },
        };
        match read {
            Ok(published) => {
                if std::mem::take(&mut is_lost) {
                    info!(log, "platform regained"; "calls" => source.calls());
                }
                has_all = true;
                pause = FIRST_PAUSE;
                send(&events, Event::Read(published, source.calls()));
                sleep_until(next_call).await;
            }
            Err(SourceError::Forgotten) => {
                info!(log, "platform has forgotten changes: all is read anew");
                has_all = false;
            }
            Err(SourceError::Unavailable(reason)) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(log, "platform lost: serving with what is known"; "reason" => reason);
                }
                send(&events, Event::ReadFailed);
                let jitter = rand::rng().random_range(0.7..1.3);
                sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
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
    let Fetched { bundle, bytes } = match fleet::fetch(addr, &keys, have).await {
        Ok(it) => it,
        Err(error) => {
            info!(log, "fetch from a peer failed"; "peer" => %addr, "ms" => took(),
                "reason" => %error);
            return;
        }
    };
    info!(log, "fetched from a peer"; "peer" => %addr, "ms" => took(), "bytes" => bytes,
        "has_config" => bundle.document.is_some(), "revision" => bundle.revision);
    let document = bundle.document.and_then(|it| match serde_json::from_slice::<Document>(&it) {
        Ok(it) => Some(it),
        Err(error) => {
            warn!(log, "a peer's configuration cannot be read: upgrade the older node";
                "peer" => %addr, "reason" => %error);
            None
        }
    });
    let published = Published {
        after: None,
        revision: bundle.revision,
        complete_to: bundle.complete_to,
        document,
        endpoints: bundle.endpoints,
    };
    send(&events, Event::Fetched(published));
}

fn send(events: &mpsc::UnboundedSender<Event>, event: Event) {
    // The control thread ends after the last request.
    let _ = events.send(event);
}
