use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use fleet::Reads;
use parking_lot::Mutex;
use resources::{Document, Position, Published, Source, SourceError};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::{
    MAX_KNOWN_AGE, MAX_RETRY_DELAY, MIN_CALL_INTERVAL, ReadPlan, WATCH_WAIT, read_platform,
};
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
    /// The waits that were asked for.
    waits: Arc<Mutex<Vec<Duration>>>,
    /// Answers to the next watches. All others end without changes after the wait that was asked for.
    watches: VecDeque<Watch>,
}

/// The answer to a watch, and how long it takes.
enum Watch {
    Change(Duration),
    NoChange(Duration),
}

fn unchanged() -> Published {
    Published { after: Some(KNOWN_POSITION), complete_to: KNOWN_POSITION, ..Published::default() }
}

fn changed() -> Published {
    let complete_to = Position { revision: KNOWN_POSITION.revision + 1, ..KNOWN_POSITION };
    Published { complete_to, ..unchanged() }
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

    async fn next(&mut self, wait: Duration) -> Result<Published, SourceError> {
        self.waits.lock().push(wait);
        let (takes, published) = match self.watches.pop_front() {
            Some(Watch::Change(after)) => (after, changed()),
            Some(Watch::NoChange(after)) => (after, unchanged()),
            None => (wait, unchanged()),
        };
        tokio::time::sleep(takes).await;
        self.answer(Call::Next, published)
    }

    fn calls(&self) -> u64 {
        self.calls.lock().len() as u64
    }
}

struct TestReader {
    calls: Calls,
    waits: Arc<Mutex<Vec<Duration>>>,
    plan: watch::Sender<ReadPlan>,
    events: mpsc::UnboundedReceiver<Event>,
}

fn start(plan: ReadPlan, failing: impl IntoIterator<Item = Call>) -> TestReader {
    start_watching(plan, failing, [])
}

fn start_watching(
    plan: ReadPlan,
    failing: impl IntoIterator<Item = Call>,
    watches: impl IntoIterator<Item = Watch>,
) -> TestReader {
    let (calls, waits) = (Calls::default(), Arc::<Mutex<Vec<Duration>>>::default());
    let script = Script {
        calls: calls.clone(),
        failing: failing.into_iter().collect(),
        waits: waits.clone(),
        watches: watches.into_iter().collect(),
    };
    let (plan, rx) = watch::channel(plan);
    let (tx, events) = mpsc::unbounded_channel();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::spawn(read_platform(script, rx, tx, log));
    TestReader { calls, waits, plan, events }
}

/// Registry position that is known from peers.
const KNOWN_POSITION: Position = Position { era: 1, revision: 7 };

fn plan(known_position: Position, other_nodes: usize) -> ReadPlan {
    ReadPlan { reads: Reads::Everything, known_position, other_nodes }
}

#[tokio::test(start_paused = true)]
async fn whoever_takes_over_has_the_configuration_also_where_the_next_call_fails() {
    let mut reader = start(plan(KNOWN_POSITION, 0), [Call::Resume]);
    assert!(matches!(reader.events.recv().await, Some(Event::ConfigurationRead(Some(_), ..))));
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

impl TestReader {
    /// The time for which the next answer speaks.
    async fn next_as_of(&mut self) -> Moment {
        loop {
            match self.events.recv().await {
                Some(Event::Read(_, as_of, _)) => return as_of,
                Some(_) => {}
                None => panic!("the reader has ended"),
            }
        }
    }
}

/// Starts a reader; returns it when it has read everything and is about to send its first watch.
async fn start_watch(watch: Watch) -> TestReader {
    let mut reader = start_watching(plan(Position::START, 0), [], [watch]);
    reader.next_as_of().await;
    reader
}

const MARGIN: Duration = Duration::from_millis(300);

/// Other tests simulate suspensions, and an answer may meet one.
#[tokio::test]
async fn an_answer_without_changes_speaks_for_the_end_of_its_wait() {
    let mut reader = start_watch(Watch::NoChange(WATCH_WAIT)).await;
    let mut youngest = Duration::MAX;
    for _ in 0..3 {
        youngest = youngest.min(reader.next_as_of().await.elapsed());
    }
    assert!(youngest < MARGIN, "{youngest:?}");
}

/// Guards against answers that were held up on their way and counted from their arrival.
#[tokio::test]
async fn an_answer_with_changes_or_before_the_end_of_its_wait_speaks_for_the_time_of_its_call() {
    let takes = Duration::from_millis(400);
    for watch in [Watch::Change(takes), Watch::NoChange(takes)] {
        let mut reader = start_watch(watch).await;
        assert!(reader.next_as_of().await.elapsed() >= takes);
    }
}

/// Guards against a paused reader that took the answer to a watch for one that came when it continued.
#[tokio::test]
async fn an_answer_that_waited_for_a_paused_process_speaks_for_the_time_of_its_call() {
    let (soon, pause) = (Duration::from_millis(200), Duration::from_millis(1_000));
    for watch in [Watch::Change(soon), Watch::NoChange(soon), Watch::NoChange(WATCH_WAIT)] {
        let mut reader = start_watch(watch).await;
        // By now the watch has begun. The reader runs on this thread.
        tokio::time::sleep(MIN_CALL_INTERVAL + Duration::from_millis(20)).await;
        std::thread::sleep(pause);
        assert!(reader.next_as_of().await.elapsed() >= pause);
    }
}

/// Guards against a reader whose word is old because changes end its watches.
#[tokio::test]
async fn the_watch_after_a_change_waits_no_longer_than_the_known_state_may_age() {
    let takes = Duration::from_millis(500);
    let mut reader = start_watch(Watch::Change(takes)).await;
    reader.next_as_of().await;
    reader.next_as_of().await;
    let waits = reader.waits.lock().clone();
    assert!(waits[1] <= MAX_KNOWN_AGE - takes, "{waits:?}");
}
