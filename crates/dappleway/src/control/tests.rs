mod detours;
mod domain_dispatch;
mod stale_grants;

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use caller::SharedSnapshot;
use fleet::{
    Capacity, Directory, Exchange, Features, Frame, Gossip, Identity, Key, Keys, LastAnswer,
    Message, NodeInfo, PermitClient, Phase, PlatformUpdate, Transport,
};
use policy::{BudgetLimits, DispatchOptions, NodeId, Notice, Precedence, RateLimit, Time};
use prometheus::Registry;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Config, Document, Position, Published};
use slog::{Discard, Logger, o};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;

use super::{Control, ControlMetrics, ControlParams, Outputs, ServingNodes};
use crate::event::Event;
use crate::reader::ReadPlan;
use crate::services::name_hash;
use crate::settings::Mode;

/// Number of events that are queued when the control thread starts.
const QUEUED_EVENTS: usize = 20_000;
/// Number of times that a platform read or a fetch yields to the runtime: for connecting, writing and reading.
const YIELDS_PER_FETCH: usize = 8;

/// Guards against a busy control loop that starves the fetch tasks on its thread. A node that handed out slots for
/// a busy service needed half a second for one iteration of the loop, and the fetch tasks ran only after 128
/// iterations. Twelve fetches ended at the same moment, 12 s after the node had learned of a newer configuration,
/// and the node used the outdated one for six seconds.
#[tokio::test]
async fn a_busy_control_thread_takes_up_a_configuration_all_the_same() {
    let (events, received) = mpsc::unbounded_channel();
    let (urgent, urgent_received) = mpsc::unbounded_channel();
    let control = control(urgent.clone()).await;
    let mut reports = Vec::new();
    for _ in 0..QUEUED_EVENTS {
        let (tx, rx) = oneshot::channel();
        events.send(Event::Report(tx)).unwrap();
        reports.push(rx);
    }
    tokio::spawn(async move {
        for _ in 0..YIELDS_PER_FETCH {
            yield_now().await;
        }
        let document = Some(Document { version: 1, ..Document::default() });
        let read = Published::configuration_only(document);
        urgent.send(Event::Read(read, Moment::now(), 1)).unwrap();
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
    assert!(
        answered_before < QUEUED_EVENTS / 10,
        "in force after {answered_before} of {QUEUED_EVENTS} events"
    );
}

async fn control(urgent: mpsc::UnboundedSender<Event>) -> Control {
    control_with(urgent, Features::NONE).await
}

async fn control_with(urgent: mpsc::UnboundedSender<Event>, features: Features) -> Control {
    let keys = Keys { current: Key::new(b"k"), also_accepted: None };
    let transport = Transport::bind(([127, 0, 0, 1], 0).into(), keys.clone()).await.unwrap();
    let addr: SocketAddr = transport.addr().unwrap();
    let me = Identity {
        addr,
        failure_domain: 1,
        incarnation: 1,
        capacity: Default::default(),
        features,
    };
    let exchange = Exchange::new(Time(0), me, &[], &mut StdRng::seed_from_u64(1));
    let client =
        PermitClient::new(exchange.id(), Duration::from_millis(40), Duration::from_secs(10));
    let params = ControlParams {
        exchange,
        transport,
        keys,
        client,
        ask_timeout: Duration::from_millis(40),
        mode: Mode::Permits,
        failure_domain: "a".into(),
        budget: BudgetLimits { ratio: 0.2, extra: 58.0, window: Duration::from_secs(10) },
        options: DispatchOptions::default(),
        topology: Default::default(),
        metrics: ControlMetrics::register(&Registry::new()).unwrap(),
        outputs: Outputs {
            shared: SharedSnapshot::default(),
            published: watch::channel(Default::default()).0,
            services: watch::channel(Default::default()).0,
            not_ready: watch::channel(None).0,
            read_plan: watch::channel(ReadPlan::NOTHING).0,
        },
        urgent,
        rng: StdRng::seed_from_u64(1),
        log: Logger::root(Discard, o!()),
    };
    Control::new(Moment::now(), addr, params)
}

/// Guards against a paused node that confirms its copy with a frame that waited in its socket.
#[tokio::test]
async fn a_frame_that_waited_through_a_pause_is_as_old_as_the_pause() {
    let (urgent, _received) = mpsc::unbounded_channel();
    let (mut paused, mut reader) = (control(urgent.clone()).await, control(urgent).await);
    let to = paused.node_addr;
    let announce = async |reader: &mut Control| {
        let update = PlatformUpdate {
            sender: reader.exchange.info(),
            versions: Default::default(),
            after: Position::START,
            changes: Vec::new(),
            last_answer: LastAnswer::Read { age_ms: 0 },
        };
        let frame = reader.exchange.frame(Message::PlatformUpdate(update));
        // A new socket is not known to be writable yet.
        while reader.transport.send(to, &frame) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let at = |s| Time(0) + Duration::from_secs(s);
    let age = |it: &Control, now| it.exchange.reader_election().time_since_confirmation(now);
    paused.receive_frames(at(5));
    announce(&mut reader).await;
    paused.transport.readable().await.unwrap();
    paused.receive_frames(at(9));
    assert_eq!(age(&paused, at(9)), Duration::from_secs(4));
    announce(&mut reader).await;
    paused.transport.readable().await.unwrap();
    paused.receive_frames(at(9));
    assert_eq!(age(&paused, at(9)), Duration::ZERO);
}

/// The monotonic clock stops while the VM is suspended. With that clock, permits, repeat credits and freshness
/// confirmations would count as younger than they are by the length of the suspension.
#[tokio::test]
async fn a_suspension_of_the_vm_is_a_pause() {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control(urgent).await;
    let before = control.now();
    control.tick(before);
    clock::simulate_suspension(Duration::from_secs(5));
    let now = control.now();
    control.detect_pause(now);
    assert!(now.since(before) >= Duration::from_secs(5));
    assert_eq!(control.resumed_at, now, "evidence from before the suspension is dropped");
}

const LIMITED: &str = r#"{"version": 1, "resources": [{"kind": "Service", "name": "s", "slots": 1, "connections": 9,
    "floor": "50%", "bias": "speed",
    "endpoints": [{"id": "e", "addr": "127.0.0.1:9", "failure_domain": "a"}]}]}"#;

/// A gossip frame of another serving node, whose VM has more CPU than this node.
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
async fn only_the_first_choice_of_all_nodes_has_the_full_rate_limit() {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control(urgent).await;
    let config = Config::compile(serde_json::from_str(LIMITED).unwrap()).unwrap();
    control.services.reconfigure(Time(0), &config);
    control.exchange.set_phase(Phase::Ready);
    let service = name_hash("s");
    let limit = Notice::RateLimit(RateLimit::from_per_second(1.0));
    let own = control.services.fleet_dispatcher(Time(0), service, None).unwrap();
    own.noticed(Time(0), NodeId(1), "e", 0, limit);
    let precedence = |it: &mut Control| {
        it.set_precedences(it.now());
        it.services.fleet_dispatcher(it.now(), service, None).unwrap().precedence()
    };
    assert_eq!(precedence(&mut control), Precedence::First, "no other node is known");
    let frame = strong_node(&control);
    let NodeInfo { addr, .. } = control.exchange.info();
    control.receive_frame(control.now(), addr, frame, 1);
    assert_eq!(
        precedence(&mut control),
        Precedence::OneOfMany,
        "the stronger node is first choice"
    );
}
