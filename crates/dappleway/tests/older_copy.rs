//! The platform's store is restored from a copy some seconds old. The tests check the behaviour of a reader and its
//! replica.
//!
//! A restore loses the writes since the copy was taken, revisions are assigned again, and a header counts the restores.
//! The tests guard against this failure: a position in the store was only a revision, so all updates after a restore
//! counted as old until the revisions exceeded those known before.

use std::sync::Arc;
use std::time::Duration;

use fleet::Replica;
use platform::{Reader, ServiceDefaults, Store};
use policy::Time;
use resources::{Bias, Endpoint, Floor, Resource, Source, SourceError, Standing};
use standin::platform::Platform;
use standin::server;

const DOCUMENTS: &str = r#"[
  {"kind":"Service","name":"slots","floor":"60%","slots":3,"endpoints":[
    {"id":"i-1","addr":"127.0.0.1:9001","failure_domain":"a"},
    {"id":"i-2","addr":"127.0.0.1:9002","failure_domain":"b"},
    {"id":"i-3","addr":"127.0.0.1:9003","failure_domain":"b"}]},
  {"kind":"Route","name":"lookup","path":"/slots","service":"slots","deadline_ms":500,"repeat":"anytime"}
]"#;
/// Longer than the time for which an endpoint counts as missing before it is dropped, and shorter than the time for
/// which an endpoint listed by an older copy is still considered gone.
const GONE: Duration = Duration::from_secs(3);

/// A store, its reader, and the replica that a node keeps of the data that is read.
struct Fixture {
    platform: Platform,
    reader: Reader,
    replica: Replica,
    now: Time,
}

impl Fixture {
    async fn new() -> Self {
        let platform = Platform::default();
        platform.publish(&documents());
        let listener = server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(platform.clone().serve(listener));
        let defaults = ServiceDefaults { floor: Floor::Percent(70), bias: Bias::Balanced };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let reader = Reader::new(Store::new(addr), defaults, log);
        let mut fixture = Self { platform, reader, replica: Replica::default(), now: Time(0) };
        fixture.read(true).await;
        fixture
    }

    /// Reads everything or the next changes into the replica. Reads everything if the store no longer has the changes.
    async fn read(&mut self, mut everything: bool) {
        loop {
            let read = match everything {
                true => self.reader.read().await,
                false => self.reader.next(Duration::from_millis(700)).await,
            };
            match read {
                Ok(published) => {
                    if let Some(it) = &published.document {
                        self.replica.accept(Arc::new(it.clone()));
                    }
                    self.replica.update(self.now, &published);
                    return;
                }
                Err(SourceError::HistoryLost) => everything = true,
                Err(error) => panic!("{error}"),
            }
        }
    }

    async fn read_changes(&mut self) {
        self.read(false).await;
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.replica.tick(self.now);
    }

    /// Endpoints that may get requests, with their standing.
    fn known(&self) -> Vec<(String, Standing)> {
        let all = self.replica.registrations();
        all.map(|it| (it.endpoint.id.to_string(), it.endpoint.standing)).collect()
    }

    fn standing(&self, id: &str) -> Option<Standing> {
        self.known().into_iter().find(|(it, _)| it == id).map(|(_, it)| it)
    }
}

fn documents() -> Vec<Resource> {
    serde_json::from_str(DOCUMENTS).unwrap()
}

/// Registers the endpoint `id`.
fn register(platform: &Platform, id: &str) {
    let endpoint = Endpoint {
        id: id.into(),
        addr: ([127, 0, 0, 1], 9_009).into(),
        failure_domain: "a".into(),
        slots: 3,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    };
    platform.register("slots", &endpoint);
}

#[tokio::test]
async fn an_endpoint_that_leaves_after_the_return_is_known_to_leave() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    for id in ["i-7", "i-8", "i-9"] {
        register(&fixture.platform, id);
    }
    fixture.read_changes().await;
    fixture.platform.restore(older_copy);
    fixture.platform.mark_draining("i-1");
    fixture.read_changes().await;
    assert_eq!(fixture.standing("i-1"), Some(Standing::Leaving));
}

#[tokio::test]
async fn an_endpoint_that_the_older_copy_lacks_keeps_its_work_until_it_writes_again_or_is_gone() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    register(&fixture.platform, "i-7");
    register(&fixture.platform, "i-8");
    fixture.read_changes().await;
    fixture.platform.restore(older_copy);
    fixture.read_changes().await;
    assert_eq!(fixture.standing("i-7"), Some(Standing::Missing));
    register(&fixture.platform, "i-8");
    fixture.read_changes().await;
    assert_eq!(fixture.standing("i-8"), Some(Standing::Present));
    fixture.advance(GONE);
    assert_eq!((fixture.standing("i-7"), fixture.standing("i-8")), (None, Some(Standing::Present)));
}

#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_again_because_an_older_copy_names_it() {
    for is_announced in [true, false] {
        let mut fixture = Fixture::new().await;
        let older_copy = fixture.platform.revision();
        if is_announced {
            fixture.platform.mark_draining("i-1");
        }
        fixture.platform.remove("i-1");
        fixture.read_changes().await;
        fixture.advance(GONE);
        assert_eq!(fixture.standing("i-1"), None);
        fixture.platform.restore(older_copy);
        fixture.read_changes().await;
        assert_eq!(fixture.standing("i-1"), None, "announced: {is_announced}");
        // The entry expires in the restored store too.
        fixture.platform.remove("i-1");
        fixture.read_changes().await;
        fixture.advance(GONE * 10);
        assert_eq!(fixture.standing("i-1"), None, "announced: {is_announced}");
        // The endpoint may return by registering again.
        register(&fixture.platform, "i-1");
        fixture.read_changes().await;
        assert_eq!(fixture.standing("i-1"), Some(Standing::Present));
    }
}

/// The endpoint's entry expired while the endpoint was running. The older copy contains the entry, and no further write
/// comes because nothing changes.
#[tokio::test]
async fn an_endpoint_that_an_older_copy_goes_on_naming_is_there_again() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    fixture.platform.remove("i-1");
    fixture.read_changes().await;
    fixture.advance(GONE);
    fixture.platform.restore(older_copy);
    fixture.read_changes().await;
    fixture.advance(GONE * 10);
    assert_eq!(fixture.standing("i-1"), Some(Standing::Present));
}

#[tokio::test]
async fn a_drain_that_the_older_copy_lacks_stays_a_drain() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    fixture.platform.mark_draining("i-1");
    fixture.read_changes().await;
    fixture.platform.restore(older_copy);
    fixture.read_changes().await;
    assert_eq!(fixture.standing("i-1"), Some(Standing::Leaving));
}

/// The restored store has assigned enough revisions again to include the reader's own position.
#[tokio::test]
async fn a_return_is_noticed_even_where_the_revision_is_known_again() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    register(&fixture.platform, "i-7");
    fixture.read_changes().await;
    fixture.platform.restore(older_copy);
    fixture.platform.mark_draining("i-2");
    register(&fixture.platform, "i-8");
    register(&fixture.platform, "i-9");
    fixture.read_changes().await;
    fixture.advance(GONE);
    let known = fixture.known().into_iter().map(|(id, _)| id).collect::<Vec<_>>();
    assert_eq!(known, ["i-1", "i-2", "i-3", "i-8", "i-9"]);
    assert_eq!(fixture.standing("i-2"), Some(Standing::Leaving));
}

#[tokio::test]
async fn a_configuration_stays_in_force_until_a_newer_one_is_written() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    fixture.platform.publish(&documents());
    fixture.read_changes().await;
    assert_eq!(fixture.replica.versions().config, 2);
    fixture.platform.restore(older_copy);
    fixture.read_changes().await;
    assert_eq!(fixture.replica.versions().config, 2, "the older copy has version 1");
    fixture.platform.publish(&documents());
    fixture.read_changes().await;
    assert_eq!(fixture.replica.versions().config, 3);
}

#[tokio::test]
async fn a_return_during_a_return_is_one_more() {
    let mut fixture = Fixture::new().await;
    let older_copy = fixture.platform.revision();
    register(&fixture.platform, "i-7");
    let later = fixture.platform.revision();
    register(&fixture.platform, "i-8");
    fixture.read_changes().await;
    fixture.platform.restore(later);
    fixture.platform.restore(older_copy);
    fixture.platform.mark_draining("i-3");
    fixture.read_changes().await;
    fixture.advance(GONE);
    let known = fixture.known().into_iter().map(|(id, _)| id).collect::<Vec<_>>();
    assert_eq!(known, ["i-1", "i-2", "i-3"]);
    assert_eq!(fixture.standing("i-3"), Some(Standing::Leaving));
}
