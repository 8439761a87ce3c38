//! The platform's store comes back from a copy some seconds old: what a reader and its copy make of it.
//!
//! By the users' page: what was written since that copy is gone, revisions are given out again, and a header counts the
//! times. Cause of what failed: a position in the store was a revision alone, so that all it says after its return
//! counted as old until its revisions had passed those known before.

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
/// Longer than an endpoint counts as missing, and shorter than one that an older copy names is believed to be gone.
const GONE: Duration = Duration::from_secs(3);

/// A store, a reader of it, and the copy that a node makes of what is read.
struct World {
    platform: Platform,
    reader: Reader,
    replica: Replica,
    now: Time,
}

impl World {
    async fn new() -> Self {
        let platform = Platform::default();
        platform.publish(&documents());
        let listener = server::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(platform.clone().serve(listener));
        let defaults = ServiceDefaults { floor: Floor::Percent(70), bias: Bias::Balanced };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let reader = Reader::new(Store::new(addr), defaults, log);
        let mut world = Self { platform, reader, replica: Replica::default(), now: Time(0) };
        world.take(true).await;
        world
    }

    /// Reads everything, or what has changed, as often as the store sends the reader on.
    async fn take(&mut self, mut everything: bool) {
        loop {
            let read = match everything {
                true => self.reader.read().await,
                false => self.reader.next().await,
            };
            match read {
                Ok(news) => {
                    if let Some(it) = &news.document {
                        self.replica.accept(Arc::new(it.clone()));
                    }
                    self.replica.update(self.now, &news);
                    return;
                }
                Err(SourceError::HistoryLost) => everything = true,
                Err(error) => panic!("{error}"),
            }
        }
    }

    async fn follow(&mut self) {
        self.take(false).await;
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        self.replica.tick(self.now);
    }

    /// Endpoints that may get work, with how they stand.
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

/// Lets `id` announce itself.
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
    let mut world = World::new().await;
    let copy = world.platform.revision();
    for id in ["i-7", "i-8", "i-9"] {
        register(&world.platform, id);
    }
    world.follow().await;
    world.platform.come_back(copy);
    world.platform.leave("i-1");
    world.follow().await;
    assert_eq!(world.standing("i-1"), Some(Standing::Leaving));
}

#[tokio::test]
async fn an_endpoint_that_the_older_copy_lacks_keeps_its_work_until_it_writes_again_or_is_gone() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    register(&world.platform, "i-7");
    register(&world.platform, "i-8");
    world.follow().await;
    world.platform.come_back(copy);
    world.follow().await;
    assert_eq!(world.standing("i-7"), Some(Standing::Missing));
    register(&world.platform, "i-8");
    world.follow().await;
    assert_eq!(world.standing("i-8"), Some(Standing::Present));
    world.pass(GONE);
    assert_eq!((world.standing("i-7"), world.standing("i-8")), (None, Some(Standing::Present)));
}

#[tokio::test]
async fn an_endpoint_that_left_gets_no_work_again_because_an_older_copy_names_it() {
    for is_told in [true, false] {
        let mut world = World::new().await;
        let copy = world.platform.revision();
        if is_told {
            world.platform.leave("i-1");
        }
        world.platform.remove("i-1");
        world.follow().await;
        world.pass(GONE);
        assert_eq!(world.standing("i-1"), None);
        world.platform.come_back(copy);
        world.follow().await;
        assert_eq!(world.standing("i-1"), None, "told: {is_told}");
        // Its entry lapses there too.
        world.platform.remove("i-1");
        world.follow().await;
        world.pass(GONE * 10);
        assert_eq!(world.standing("i-1"), None, "told: {is_told}");
        // It may come back all the same, if it writes.
        register(&world.platform, "i-1");
        world.follow().await;
        assert_eq!(world.standing("i-1"), Some(Standing::Present));
    }
}

/// Its entry lapsed while it lived, the older copy has it, and nothing more is written because nothing changes.
#[tokio::test]
async fn an_endpoint_that_an_older_copy_goes_on_naming_is_there_again() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    world.platform.remove("i-1");
    world.follow().await;
    world.pass(GONE);
    world.platform.come_back(copy);
    world.follow().await;
    world.pass(GONE * 10);
    assert_eq!(world.standing("i-1"), Some(Standing::Present));
}

#[tokio::test]
async fn a_drain_that_the_older_copy_lacks_stays_a_drain() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    world.platform.leave("i-1");
    world.follow().await;
    world.platform.come_back(copy);
    world.follow().await;
    assert_eq!(world.standing("i-1"), Some(Standing::Leaving));
}

/// The older copy has given out so many revisions again that the reader's own position is among them.
#[tokio::test]
async fn a_return_is_noticed_even_where_the_revision_is_known_again() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    register(&world.platform, "i-7");
    world.follow().await;
    world.platform.come_back(copy);
    world.platform.leave("i-2");
    register(&world.platform, "i-8");
    register(&world.platform, "i-9");
    world.follow().await;
    world.pass(GONE);
    let known = world.known().into_iter().map(|(id, _)| id).collect::<Vec<_>>();
    assert_eq!(known, ["i-1", "i-2", "i-3", "i-8", "i-9"]);
    assert_eq!(world.standing("i-2"), Some(Standing::Leaving));
}

#[tokio::test]
async fn a_configuration_stays_in_force_until_a_newer_one_is_written() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    world.platform.publish(&documents());
    world.follow().await;
    assert_eq!(world.replica.facts().version, 2);
    world.platform.come_back(copy);
    world.follow().await;
    assert_eq!(world.replica.facts().version, 2, "the copy has version 1");
    world.platform.publish(&documents());
    world.follow().await;
    assert_eq!(world.replica.facts().version, 3);
}

#[tokio::test]
async fn a_return_during_a_return_is_one_more() {
    let mut world = World::new().await;
    let copy = world.platform.revision();
    register(&world.platform, "i-7");
    let later = world.platform.revision();
    register(&world.platform, "i-8");
    world.follow().await;
    world.platform.come_back(later);
    world.platform.come_back(copy);
    world.platform.leave("i-3");
    world.follow().await;
    world.pass(GONE);
    let known = world.known().into_iter().map(|(id, _)| id).collect::<Vec<_>>();
    assert_eq!(known, ["i-1", "i-2", "i-3"]);
    assert_eq!(world.standing("i-3"), Some(Standing::Leaving));
}
