use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use caller::Shared;
use fleet::{
    Capacity, Client, Edge, Exchange, Frame, Gossip, Identity, Key, Keys, Message, NodeInfo, Phase,
};
use policy::{BudgetLimits, NodeId, Notice, Precedence, RateLimit, Time};
use prometheus::Registry;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Config, Document, Published};
use slog::{Discard, Logger, o};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;

use super::{Control, ControlMetrics, Outputs, Start};
use crate::event::Event;
use crate::reader::Wanted;
use crate::services::name_hash;
use crate::settings::Mode;

/// Events that wait for the control thread when it begins.
const FLOOD: usize = 20_000;
/// Turns that a read of the platform or a fetch from a peer takes: connecting, writing, reading.
const TURNS_OF_A_FETCH: usize = 8;

/// A node that handed out slots for a busy service needed half a second for one turn of its control thread and
/// used an old configuration for six seconds. It had heard of the newer one, and its fetch had been started, but
/// tasks beside the loop got their turn only after 128 turns of the loop: twelve fetches ended at the same moment,
/// 12 s after the first word of the configuration.
#[tokio::test]
async fn a_busy_control_thread_takes_up_a_configuration_all_the_same() {
    let (events, received) = mpsc::unbounded_channel();
    let (urgent, urgent_received) = mpsc::unbounded_channel();
    let control = control(urgent.clone()).await;
    let mut reports = Vec::new();
    for _ in 0..FLOOD {
        let (tx, rx) = oneshot::channel();
        events.send(Event::Report(tx)).unwrap();
        reports.push(rx);
    }
    tokio::spawn(async move {
        for _ in 0..TURNS_OF_A_FETCH {
            yield_now().await;
        }
        let document = Some(Document { version: 1, ..Document::default() });
        urgent.send(Event::Read(Published::configuration_only(document), 1)).unwrap();
    });
    let running = tokio::spawn(control.run(received, urgent_received));
    let mut answered_before = 0;
    for it in reports {
        match it.await.unwrap().in_force {
            0 => answered_before += 1,
            _ => break,
        }
    }
    running.abort();
    assert!(answered_before < FLOOD / 10, "in force after {answered_before} of {FLOOD} events");
}

async fn control(urgent: mpsc::UnboundedSender<Event>) -> Control {
    let keys = Keys { current: Key::new(b"k"), also: None };
    let edge = Edge::bind(([127, 0, 0, 1], 0).into(), keys.clone()).await.unwrap();
    let addr: SocketAddr = edge.addr().unwrap();
    let me = Identity { addr, failure_domain: 1, incarnation: 1, capacity: Default::default() };
    let exchange = Exchange::new(Time(0), me, &[], &mut StdRng::seed_from_u64(1));
    let client = Client::new(exchange.id(), Duration::from_millis(40), Duration::from_secs(10));
    let start = Start {
        exchange,
        edge,
        keys,
        client,
        ask_timeout: Duration::from_millis(40),
        mode: Mode::Permits,
        failure_domain: "a".into(),
        budget: BudgetLimits { ratio: 0.2, extra: 58.0, window: Duration::from_secs(10) },
        topology: Default::default(),
        metrics: ControlMetrics::register(&Registry::new()).unwrap(),
        outputs: Outputs {
            shared: Shared::default(),
            published: watch::channel(Default::default()).0,
            services: watch::channel(Default::default()).0,
            not_ready: watch::channel(None).0,
            wanted: watch::channel(Wanted::NOTHING).0,
        },
        urgent,
        rng: StdRng::seed_from_u64(1),
        log: Logger::root(Discard, o!()),
    };
    Control::new(Moment::now(), addr, start)
}

/// While a machine is suspended its steady clock stands still. A node that went by it took permits, credits for
/// repeats and the proof that its copy is fresh for younger than they were, by the length of the suspension.
#[tokio::test]
async fn a_suspension_of_the_machine_is_a_pause() {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control(urgent).await;
    let before = control.now();
    control.tick(before);
    clock::simulate_suspension(Duration::from_secs(5));
    let now = control.now();
    control.notice_pause(now);
    assert!(now.since(before) >= Duration::from_secs(5));
    assert_eq!(control.woke, now, "evidence from before it is dropped");
}

const LIMITED: &str = r#"{"version": 1, "resources": [{"kind": "Service", "name": "s", "slots": 1, "connections": 9,
    "floor": "50%", "bias": "speed",
    "endpoints": [{"id": "e", "addr": "127.0.0.1:9", "failure_domain": "a"}]}]}"#;

/// A node of another address that serves, on a strong VM.
fn strong_node(control: &Control) -> Frame {
    let info = NodeInfo {
        addr: ([127, 0, 0, 2], 9).into(),
        incarnation: 2,
        version: 1,
        capacity: Capacity { millicores: 64_000, link_mbps: 1_000 },
        phase: Phase::Ready,
        ..control.exchange.info()
    };
    let gossip = Gossip { nodes: vec![info], ..Gossip::default() };
    Frame { from: NodeId(7), message: Message::Gossip(gossip) }
}

#[tokio::test]
async fn only_the_first_choice_of_all_nodes_has_the_whole_of_a_rate_limit() {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control(urgent).await;
    let config = Config::compile(serde_json::from_str(LIMITED).unwrap()).unwrap();
    control.services.reconfigure(Time(0), &config);
    control.exchange.set_phase(Phase::Ready);
    let service = name_hash("s");
    let limit = Notice::RateLimit(RateLimit::from_per_second(1.0));
    let own = control.services.own(Time(0), service).unwrap();
    own.noticed(Time(0), NodeId(1), "e", 0, limit);
    let precedence = |it: &mut Control| {
        it.set_precedences(it.now());
        it.services.own(it.now(), service).unwrap().precedence()
    };
    assert_eq!(precedence(&mut control), Precedence::First, "it is alone");
    let frame = strong_node(&control);
    let NodeInfo { addr, .. } = control.exchange.info();
    control.receive(control.now(), addr, frame, 1);
    assert_eq!(precedence(&mut control), Precedence::OneOfMany, "the strong one goes first");
}
