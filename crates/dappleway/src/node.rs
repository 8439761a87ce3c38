//! Sets up and runs one node: the control thread, the traffic threads, the operator API and the planned stop.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, anyhow};
use caller::{Dispatch, Limits, ListenerBuilder, Metrics, PlannedStop, SharedSnapshot};
use clock::Moment;
use fleet::{
    Backlog, Bundle, Exchange, Features, Identity, Keys, NodeInfo, PermitClient, ServedFetch,
    Transport, Tunnels, serve_peers,
};
use operator::{Access, ApiContext, Cut, Token};
use platform::{ServiceDefaults, Store, header_names};
use policy::StopTimes;
use prometheus::Registry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::Service;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use upstream::Connector;

use crate::baselines::RoundRobin;
use crate::control::{Control, ControlMetrics, ControlParams, Outputs};
use crate::event::Event;
use crate::gateway::EndpointGateway;
use crate::handle::{ControlHandle, TunnelParams};
use crate::logging::{self, Logging};
use crate::reader::{ReadPlan, read_platform};
use crate::reload::Reload;
use crate::services::name_hash;
use crate::settings::{Mode, Settings};

/// Least time for the last answers of a planned stop.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time limit for dropping what is left on the traffic threads when the process ends.
const TRAFFIC_END_TIMEOUT: Duration = Duration::from_millis(100);

/// Secrets, which are read from files of their own and never logged.
pub struct Secrets {
    /// Keys that authenticate frames between nodes.
    pub keys: Keys,
    /// Token of the operator API, if one is configured.
    pub token: Option<Token>,
}

/// Runs a node until a planned stop is complete.
pub fn run(path: &Path, settings: Settings, secrets: Secrets) -> anyhow::Result<()> {
    let Secrets { keys, token } = secrets;
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    // Handled from the start on: the default action of a signal would end the process.
    let (signals, hangup) = {
        let _context = traffic.enter();
        (StopSignals::new()?, signal(SignalKind::hangup())?)
    };
    let registry = Registry::new();
    let Logging { log, level, budget, guard } =
        Logging::new(&settings.log, &settings.node.addr.to_string(), &registry)?;
    let metrics = Metrics::register(&registry)?;
    let shared = SharedSnapshot::default();
    let (events, received) = mpsc::unbounded_channel();
    let (services_tx, services) = watch::channel(Services::default());
    let (token, access) = watch::channel(token);
    let connector = settings.traffic.connector().counting(metrics.connections.clone());
    let gateway = EndpointGateway::new(events.clone(), connector.clone());
    let tunnels = Tunnels::new(gateway, keys.clone(), traffic.handle().clone());
    let handles = SharedHandles {
        shared: shared.clone(),
        services: services_tx,
        registry,
        token: access,
        tunnels: tunnels.clone(),
    };
    let control = start_control(&settings, keys.clone(), handles, (&events, received), &log)?;
    traffic.spawn(report_cut_off(connector.watch_cut_off(), events.clone()));
    traffic.spawn(logging::report_left_out(budget, log.clone()));
    traffic.spawn(
        Reload {
            path: path.to_owned(),
            hangup,
            settings: settings.clone(),
            level,
            token,
            events: events.clone(),
            log: log.clone(),
        }
        .run(),
    );
    let server = TrafficServer {
        settings: &settings,
        keys,
        connector,
        tunnels,
        shared,
        services,
        metrics,
        events: events.clone(),
        signals,
        log,
    };
    let outcome = server.serve(&traffic, control.node);
    // Drops the requests that are still open, which logs them and releases their slots.
    traffic.shutdown_timeout(TRAFFIC_END_TIMEOUT);
    // Sending fails only if the control thread has already ended.
    let _ = events.send(Event::Stop);
    let ended = control.thread.join().map_err(|_| anyhow!("the control thread has panicked"));
    logging::flush(guard);
    outcome.and(ended?)
}

/// A control thread that has bound its sockets.
struct ControlThread {
    node: policy::NodeId,
    thread: std::thread::JoinHandle<anyhow::Result<()>>,
}

/// Services with their endpoints, for the baseline dispatch modes.
type Services = Arc<Vec<Arc<Service>>>;

/// State and channels that the control thread shares with the rest of the process.
struct SharedHandles {
    shared: SharedSnapshot,
    services: watch::Sender<Services>,
    registry: Registry,
    token: watch::Receiver<Option<Token>>,
    tunnels: Tunnels<EndpointGateway>,
}

type Events = (mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>);

fn start_control(
    settings: &Settings,
    keys: Keys,
    handles: SharedHandles,
    (events, received): (&mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>),
    log: &Logger,
) -> anyhow::Result<ControlThread> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (settings, log) = (settings.clone(), log.clone());
    let node = fleet::node_id(settings.node.addr);
    let channel: Events = (events.clone(), received);
    let (bound_tx, bound_rx) = std::sync::mpsc::channel();
    let thread = std::thread::Builder::new().name("control".into()).spawn(move || {
        let (urgent, urgent_received) = mpsc::unbounded_channel();
        let events = EventSenders { all: channel.0, urgent };
        let started = runtime.block_on(bind_control(&settings, keys, handles, events, &log));
        match started {
            Ok(control) => {
                let _ = bound_tx.send(Ok(()));
                runtime.block_on(control.run(channel.1, urgent_received));
                // Tasks of the operator API and of platform reads need not finish.
                runtime.shutdown_timeout(Duration::ZERO);
                Ok(())
            }
            Err(error) => {
                let _ = bound_tx.send(Err(error));
                Ok(())
            }
        }
    })?;
    bound_rx.recv().context("the control thread ended before it started")??;
    Ok(ControlThread { node, thread })
}

/// Senders of events to the control thread.
struct EventSenders {
    all: mpsc::UnboundedSender<Event>,
    /// For results of platform reads and of fetches from peers, which are handled first.
    urgent: mpsc::UnboundedSender<Event>,
}

async fn bind_control(
    settings: &Settings,
    keys: Keys,
    handles: SharedHandles,
    events: EventSenders,
    log: &Logger,
) -> anyhow::Result<Control> {
    let EventSenders { all: events, urgent } = events;
    let SharedHandles { shared, services, registry, token, tunnels } = handles;
    let addr = settings.node.addr;
    let mut rng = StdRng::from_rng(&mut rand::rng());
    let identity = Identity {
        addr,
        failure_domain: name_hash(&settings.node.failure_domain),
        capacity: settings.node.capacity(),
        incarnation: SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64,
        features: settings.dispatch.features().with(Features::TUNNELS),
    };
    let clock = Moment::now();
    let seeds = settings.fleet.seed_addrs();
    let exchange = Exchange::new(policy::Time(0), identity, &seeds, &mut rng);
    let transport = Transport::bind(addr, keys.clone())
        .await
        .with_context(|| format!("UDP {addr}: choose a free `node.addr`"))?;
    let fetches = TcpListener::bind(addr)
        .await
        .with_context(|| format!("TCP {addr}: choose a free `node.addr`"))?;
    let bundles = events.clone();
    let metrics = ControlMetrics::register(&registry)?;
    let (served, served_log) = (metrics.fetches_served(), log.clone());
    let on_served = move |it: ServedFetch| {
        served.record(&it);
        info!(served_log, "fetch served"; "peer" => %it.peer, "ms" => it.took.as_millis() as u64,
            "bytes" => it.bytes, "ending" => it.outcome.name(), "under_way" => it.in_flight);
    };
    let bundle = move |asker| bundle(bundles.clone(), asker);
    let backlog = Backlog::for_link(settings.node.link_mbps);
    tokio::spawn(serve_peers(fetches, keys.clone(), backlog, bundle, on_served, tunnels));
    let (published_tx, published) = watch::channel(Default::default());
    let (not_ready_tx, not_ready) = watch::channel(Some("the node is starting".to_owned()));
    let (read_plan_tx, read_plan) = watch::channel(ReadPlan::NOTHING);
    let faults = settings
        .operator
        .fault_injection
        .then(|| forward(events.clone(), |cut: Cut| Event::Cut(cut.to)));
    let reports = forward(events.clone(), Event::Report);
    let access = Access { token };
    let view = ApiContext { published, not_ready, reports, registry, access, faults };
    let server = operator::serve(settings.operator.listen, view, &log.new(slog::o!()))
        .map_err(|it| anyhow!("{it}: choose a free `operator.listen`"))?;
    tokio::spawn(server);
    let defaults = ServiceDefaults { floor: settings.platform.floor, bias: settings.platform.bias };
    let source = platform::Reader::new(Store::new(settings.platform.addr), defaults, log.clone());
    tokio::spawn(read_platform(source, read_plan, urgent.clone(), log.clone()));
    let ask_timeout = Duration::from_millis(settings.dispatch.ask_timeout_ms);
    let client = PermitClient::new(exchange.id(), ask_timeout, settings.dispatch.budget().window);
    let params = ControlParams {
        exchange,
        transport,
        keys,
        client,
        ask_timeout,
        mode: settings.dispatch.mode,
        failure_domain: settings.node.failure_domain.clone(),
        budget: settings.dispatch.budget(),
        options: settings.dispatch.options(),
        topology: settings.node.topology(),
        metrics,
        outputs: Outputs {
            shared,
            published: published_tx,
            services,
            not_ready: not_ready_tx,
            read_plan: read_plan_tx,
        },
        urgent,
        rng,
        log: log.clone(),
    };
    Ok(Control::new(clock, addr, params))
}

/// Asks the control thread for the data that is missing in the replica of `asker`. The bundle is empty if the
/// control thread is ending.
async fn bundle(events: mpsc::UnboundedSender<Event>, asker: NodeInfo) -> Bundle {
    let (tx, rx) = oneshot::channel();
    // If the control thread has ended, `rx` fails and the bundle is empty.
    let _ = events.send(Event::Bundle(asker, tx));
    rx.await.unwrap_or_default()
}

/// Passes changes of whether this node reaches endpoints on to the control thread.
async fn report_cut_off(mut cut_off: watch::Receiver<bool>, events: mpsc::UnboundedSender<Event>) {
    while cut_off.changed().await.is_ok() {
        let is_cut_off = *cut_off.borrow_and_update();
        // The control thread may have ended already.
        let _ = events.send(Event::CutOff(is_cut_off));
    }
}

/// Creates a channel whose messages are forwarded to the control thread as events.
fn forward<T: Send + 'static>(
    events: mpsc::UnboundedSender<Event>,
    event: impl Fn(T) -> Event + Send + 'static,
) -> mpsc::UnboundedSender<T> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(it) = rx.recv().await {
            // The control thread may have ended already.
            let _ = events.send(event(it));
        }
    });
    tx
}

/// The listener for callers with what it needs to serve.
struct TrafficServer<'a> {
    settings: &'a Settings,
    keys: Keys,
    connector: Connector,
    tunnels: Tunnels<EndpointGateway>,
    shared: SharedSnapshot,
    services: watch::Receiver<Services>,
    metrics: Metrics,
    events: mpsc::UnboundedSender<Event>,
    signals: StopSignals,
    log: Logger,
}

impl TrafficServer<'_> {
    fn serve(self, runtime: &Runtime, node: policy::NodeId) -> anyhow::Result<()> {
        let mode = self.settings.dispatch.mode;
        match mode {
            Mode::Permits | Mode::Direct | Mode::Local => {
                let first_seq = rand::rng().random::<u64>() >> 1;
                let timeout = self.connector.timeout() * 2;
                let tunnels = TunnelParams { keys: self.keys.clone(), timeout };
                let handle = ControlHandle::new(node, first_seq, self.events.clone(), tunnels);
                runtime.block_on(self.listen(handle))
            }
            Mode::RoundRobin => {
                let dispatch = RoundRobin::new(self.services.clone());
                runtime.block_on(self.listen(dispatch))
            }
            Mode::Consecutive => {
                let dispatch = RoundRobin::with_ejection(self.services.clone());
                runtime.block_on(self.listen(dispatch))
            }
        }
    }

    async fn listen<D: Dispatch>(self, dispatch: D) -> anyhow::Result<()> {
        let traffic = &self.settings.traffic;
        let limits = Limits {
            max_body_bytes: traffic.max_body_bytes,
            max_in_flight: traffic.max_in_flight,
            read_timeout: Duration::from_millis(traffic.read_timeout_ms),
            held_body_bytes: self.settings.node.held_body_bytes(),
            held_answer_bytes: self.settings.node.held_answer_bytes(),
        };
        let planned_stop = PlannedStop::new(self.settings.stop_times());
        let in_flight = self.metrics.in_flight.clone();
        let listener = ListenerBuilder::new(self.shared, dispatch, header_names(), self.metrics)
            .log(self.log.clone())
            .limits(limits)
            .connector(self.connector)
            .planned_stop(planned_stop.clone())
            .bind(traffic.listen)
            .await
            .with_context(|| format!("TCP {}: choose a free `traffic.listen`", traffic.listen))?;
        info!(self.log, "listening"; "traffic" => %listener.addr()?,
            "operator" => %self.settings.operator.listen);
        let mut signals = self.signals;
        let tunnels = self.tunnels;
        let serving = tokio::spawn(async move {
            listener.serve().await;
            tunnels.ended().await;
        });
        signals.next().await;
        planned_stop.begin();
        let _ = self.events.send(Event::Drain);
        let StopTimes { lag, answers, end } = planned_stop.times();
        info!(self.log, "planned stop: this node is not ready, waiting for the balancer to remove it";
            "lag_ms" => lag.as_millis() as u64, "answers_due_ms" => answers.as_millis() as u64,
            "end_ms" => end.as_millis() as u64, "in_flight" => in_flight.get());
        let log_phases = async {
            planned_stop.wait_until(lag).await;
            info!(self.log, "no new connections are accepted; waiting for requests in flight";
                "in_flight" => in_flight.get());
            planned_stop.wait_until(answers).await;
            warn!(self.log, "requests without an answer are given up"; "in_flight" => in_flight.get());
            std::future::pending::<()>().await;
        };
        // A stop in series with another one must not take time from the requests of the first.
        let ignore_signals = async {
            loop {
                signals.next().await;
                info!(self.log, "another stop signal: the planned stop goes on as announced";
                    "in_flight" => in_flight.get());
            }
        };
        let end_of_stop = async {
            planned_stop.wait_until(answers).await;
            // After a suspension both times may have passed at once.
            let answers_sent = tokio::time::sleep(ANSWER_TIME);
            tokio::join!(planned_stop.wait_until(end), answers_sent);
        };
        tokio::select! {
            done = serving => done.context("the listener has panicked")?,
            () = end_of_stop => {
                warn!(self.log, "the time of the planned stop is over: open connections are closed";
                    "in_flight" => in_flight.get());
            }
            () = log_phases => {}
            () = ignore_signals => {}
        }
        info!(self.log, "stopped");
        Ok(())
    }
}

/// The signals that start a planned stop: SIGTERM and SIGINT.
struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self { term: signal(SignalKind::terminate())?, int: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
