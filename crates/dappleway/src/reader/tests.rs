use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fleet::Reads;
use parking_lot::Mutex;
use resources::{Document, Position, Published, Source, SourceError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{LONGEST_PAUSE, Wanted, read_platform};
use crate::event::Event;

/// Kind of call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Everything,
    Configuration,
    Resume,
    Next,
}

type Calls = Arc<Mutex<Vec<(Call, Instant)>>>;

/// A source whose calls fail in the order of `failing`; every other call succeeds.
struct Script {
    calls: Calls,
    failing: VecDeque<Call>,
}

impl Script {
    fn answer<T>(&mut self, call: Call, it: T) -> Result<T, SourceError> {
        self.calls.lock().push((call, Instant::now()));
        match self.failing.pop_front_if(|it| *it == call) {
            Some(_) => Err(SourceError::Unavailable("away".into())),
            None => Ok(it),
        }
    }
}

impl Source for Script {
    async fn read(&mut self) -> Result<Published, SourceError> {
        self.answer(Call::Everything, Published::default())
    }

    async fn configuration(&mut self) -> Result<Option<Document>, SourceError> {
        self.answer(Call::Configuration, Some(Document::default()))
    }

    async fn resume(&mut self, _known: Position) -> Result<Published, SourceError> {
        self.answer(Call::Resume, Published::default())
    }

    async fn next(&mut self) -> Result<Published, SourceError> {
        tokio::time::sleep(Duration::from_millis(700)).await;
        self.answer(Call::Next, Published::default())
    }

    fn calls(&self) -> u64 {
        self.calls.lock().len() as u64
    }
}

struct Bed {
    calls: Calls,
    wanted: watch::Sender<Wanted>,
    events: mpsc::UnboundedReceiver<Event>,
}

fn start(wanted: Wanted, failing: impl IntoIterator<Item = Call>) -> Bed {
    let calls = Calls::default();
    let script = Script { calls: calls.clone(), failing: failing.into_iter().collect() };
    let (wanted, rx) = watch::channel(wanted);
    let (tx, events) = mpsc::unbounded_channel();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(read_platform(script, rx, tx, log));
    Bed { calls, wanted, events }
}

/// Registry position that is known from peers.
const KNOWN: Position = Position { era: 1, revision: 7 };

fn wanted(known: Position, others: usize) -> Wanted {
    Wanted { reads: Reads::Everything, known, others }
}

#[tokio::test(start_paused = true)]
async fn whoever_takes_over_has_the_configuration_also_where_the_next_call_fails() {
    let mut bed = start(wanted(KNOWN, 0), [Call::Resume]);
    assert!(matches!(bed.events.recv().await, Some(Event::ConfigurationRead(Some(_), _))));
    assert!(matches!(bed.events.recv().await, Some(Event::ReadFailed)));
}

/// Longest delay between two calls of a node while the platform is down.
async fn longest_pause(others: usize) -> Duration {
    let bed = start(wanted(Position::START, others), [Call::Everything; 12]);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let calls = bed.calls.lock().clone();
    let pauses = calls.windows(2).take(11).map(|it| it[1].1 - it[0].1);
    pauses.max().unwrap()
}

#[tokio::test(start_paused = true)]
async fn the_fewer_nodes_try_the_sooner_each_tries_again() {
    assert!(longest_pause(0).await <= Duration::from_millis(270));
    assert!(longest_pause(3).await <= Duration::from_millis(1_100));
    assert!(longest_pause(300).await > LONGEST_PAUSE.mul_f64(0.7));
}

#[tokio::test(start_paused = true)]
async fn a_pause_ends_when_another_node_reads() {
    let bed = start(wanted(Position::START, 300), [Call::Everything; 12]);
    tokio::time::sleep(Duration::from_secs(9)).await;
    bed.wanted.send_replace(Wanted { reads: Reads::Nothing, ..wanted(KNOWN, 300) });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let before = bed.calls.lock().len();
    bed.wanted.send_replace(wanted(KNOWN, 300));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let calls: Vec<Call> = bed.calls.lock()[before..].iter().map(|it| it.0).collect();
    assert_eq!(calls[..2], [Call::Configuration, Call::Resume]);
}
