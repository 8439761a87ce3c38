use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fleet::Reads;
use parking_lot::Mutex;
use resources::{Document, Position, Published, Source, SourceError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{MAX_RETRY_DELAY, ReadPlan, read_platform};
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

struct TestReader {
    calls: Calls,
    plan: watch::Sender<ReadPlan>,
    events: mpsc::UnboundedReceiver<Event>,
}

fn start(plan: ReadPlan, failing: impl IntoIterator<Item = Call>) -> TestReader {
    let calls = Calls::default();
    let script = Script { calls: calls.clone(), failing: failing.into_iter().collect() };
    let (plan, rx) = watch::channel(plan);
    let (tx, events) = mpsc::unbounded_channel();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(read_platform(script, rx, tx, log));
    TestReader { calls, plan, events }
}

/// Registry position that is known from peers.
const KNOWN_POSITION: Position = Position { era: 1, revision: 7 };

fn plan(known_position: Position, other_nodes: usize) -> ReadPlan {
    ReadPlan { reads: Reads::Everything, known_position, other_nodes }
}

#[tokio::test(start_paused = true)]
async fn whoever_takes_over_has_the_configuration_also_where_the_next_call_fails() {
    let mut reader = start(plan(KNOWN_POSITION, 0), [Call::Resume]);
    assert!(matches!(reader.events.recv().await, Some(Event::ConfigurationRead(Some(_), _))));
    assert!(matches!(reader.events.recv().await, Some(Event::ReadFailed)));
}

/// Longest delay between two calls of a node while the platform is down.
async fn longest_delay(other_nodes: usize) -> Duration {
    let reader = start(plan(Position::START, other_nodes), [Call::Everything; 12]);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let calls = reader.calls.lock().clone();
    let delays = calls.windows(2).take(11).map(|it| it[1].1 - it[0].1);
    delays.max().unwrap()
}

#[tokio::test(start_paused = true)]
async fn the_fewer_nodes_try_the_sooner_each_tries_again() {
    assert!(longest_delay(0).await <= Duration::from_millis(270));
    assert!(longest_delay(3).await <= Duration::from_millis(1_100));
    assert!(longest_delay(300).await > MAX_RETRY_DELAY.mul_f64(0.7));
}

#[tokio::test(start_paused = true)]
async fn a_retry_delay_ends_when_another_node_reads() {
    let reader = start(plan(Position::START, 300), [Call::Everything; 12]);
    tokio::time::sleep(Duration::from_secs(9)).await;
    reader.plan.send_replace(ReadPlan { reads: Reads::Nothing, ..plan(KNOWN_POSITION, 300) });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let before = reader.calls.lock().len();
    reader.plan.send_replace(plan(KNOWN_POSITION, 300));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let calls: Vec<Call> = reader.calls.lock()[before..].iter().map(|it| it.0).collect();
    assert_eq!(calls[..2], [Call::Configuration, Call::Resume]);
}
