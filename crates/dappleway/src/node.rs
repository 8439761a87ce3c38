//! Wires one node: the control thread, the traffic threads, the API and the planned stop.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, anyhow};
use caller::{Dispatch, Limits, ListenerBuilder, Metrics, Shared};
use clock::Moment;
use fleet::{
    Backlog, Bundle, Client, Edge, Exchange, Identity, Keys, NodeInfo, ServedFetch, serve_fetches,
};
use operator::{Access, ApiContext, Cut, Token};
use platform::{ServiceDefaults, Store, header_names};
use prometheus::Registry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::Service;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use crate::baselines::RoundRobin;
use crate::control::{Control, ControlMetrics, Outputs, Start};
use crate::event::Event;
use crate::handle::Handle;
use crate::logging::{self, Logging};
use crate::reader::{Wanted, read_platform};
use crate::reload::Reload;
use crate::services::name_hash;
use crate::settings::{Mode, Settings};

/// What is read from files beside the settings and stands in no log.
pub struct Secrets {
    /// The fleet's keys.
    pub keys: Keys,
    /// The token of the API for operators, if it has one.
    pub token: Option<Token>,
}

/// Runs a node until a planned stop has ended.
pub fn run(path: &Path, settings: Settings, secrets: Secrets) -> anyhow::Result<()> {
    let Secrets { keys, token } = secrets;
    let registry = Registry::new();
    let Logging { log, level, budget, guard } =
        Logging::new(&settings.log, &settings.node.addr.to_string(), &registry)?;
    let metrics = Metrics::register(&registry)?;
    let shared = Shared::default();
    let (events, received) = mpsc::unbounded_channel();
    let (services_tx, services) = watch::channel(Services::default());
    let (token, access) = watch::channel(token);
    let outlets =
        Outlets { shared: shared.clone(), services: services_tx, registry, token: access };
    let control = start_control(&settings, keys, outlets, (&events, received), &log)?;
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic.threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    traffic.spawn(logging::report_left_out(budget, log.clone()));
    traffic.spawn(
        Reload {
            path: path.to_owned(),
            settings: settings.clone(),
            level,
            token,
            events: events.clone(),
            log: log.clone(),
        }
        .run(),
    );
    let node =
        Traffic { settings: &settings, shared, services, metrics, events: events.clone(), log };
    let outcome = node.serve(&traffic, control.node);
    // Without the control thread nothing is left that could be told of a failure here.
    let _ = events.send(Event::Stop);
    let ended = control.thread.join().map_err(|_| anyhow!("the control thread has panicked"));
    logging::flush(guard);
    outcome.and(ended?)
}

/// The control thread once it has bound its sockets.
struct ControlThread {
    node: policy::NodeId,
    thread: std::thread::JoinHandle<anyhow::Result<()>>,
}

/// Services with their endpoints, as the baselines see them.
type Services = Arc<Vec<Arc<Service>>>;

/// What the control thread writes for others.
struct Outlets {
    shared: Shared,
    services: watch::Sender<Services>,
    registry: Registry,
    token: watch::Receiver<Option<Token>>,
}

type Events = (mpsc::UnboundedSender<Event>, mpsc::UnboundedReceiver<Event>);

fn start_control(
    settings: &Settings,
    keys: Keys,
    outlets: Outlets,
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
        let events = ControlEvents { all: channel.0, urgent };
        let started = runtime.block_on(bind_control(&settings, keys, outlets, events, &log));
        match started {
            Ok(control) => {
                let _ = bound_tx.send(Ok(()));
                runtime.block_on(control.run(channel.1, urgent_received));
                // Tasks of the API and of reads need not be waited for.
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

/// Where the control thread is told something.
struct ControlEvents {
    all: mpsc::UnboundedSender<Event>,
    /// What is read of the platform or fetched from peers.
    urgent: mpsc::UnboundedSender<Event>,
}

async fn bind_control(
    settings: &Settings,
    keys: Keys,
    outlets: Outlets,
    events: ControlEvents,
    log: &Logger,
) -> anyhow::Result<Control> {
    let ControlEvents { all: events, urgent } = events;
    let Outlets { shared, services, registry, token } = outlets;
    let addr = settings.node.addr;
    let mut rng = StdRng::from_rng(&mut rand::rng());
    let identity = Identity {
        addr,
        failure_domain: name_hash(&settings.node.failure_domain),
        capacity: settings.node.capacity(),
        incarnation: SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64,
    };
    let clock = Moment::now();
    let seeds = settings.fleet.seed_addrs();
    let exchange = Exchange::new(policy::Time(0), identity, &seeds, &mut rng);
    let edge = Edge::bind(addr, keys.clone())
        .await
        .with_context(|| format!("UDP {addr}: choose a free `node.addr`"))?;
    let fetches = TcpListener::bind(addr)
        .await
        .with_context(|| format!("TCP {addr}: choose a free `node.addr`"))?;
    let bundles = events.clone();
    let metrics = ControlMetrics::register(&registry)?;
    let (served, served_log) = (metrics.fetches_served(), log.clone());
    let on_served = move |it: ServedFetch| {
        served.note(&it);
        info!(served_log, "fetch served"; "peer" => %it.peer, "ms" => it.took.as_millis() as u64,
            "bytes" => it.bytes, "ending" => it.ending.name(), "under_way" => it.under_way);
    };
    let bundle = move |asker| bundle(bundles.clone(), asker);
    let backlog = Backlog::for_link(settings.node.link_mbps);
    tokio::spawn(serve_fetches(fetches, keys.clone(), backlog, bundle, on_served));
    let (published_tx, published) = watch::channel(Default::default());
    let (not_ready_tx, not_ready) = watch::channel(Some("the node is starting".to_owned()));
    let (wanted_tx, wanted) = watch::channel(Wanted::NOTHING);
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
    tokio::spawn(read_platform(source, wanted, urgent.clone(), log.clone()));
    let ask_timeout = Duration::from_millis(settings.dispatch.ask_timeout_ms);
    let client = Client::new(exchange.id(), ask_timeout, settings.dispatch.budget().window);
    let start = Start {
        exchange,
        edge,
        keys,
        client,
        ask_timeout,
        mode: settings.dispatch.mode,
        failure_domain: settings.node.failure_domain.clone(),
        budget: settings.dispatch.budget(),
        topology: settings.node.topology(),
        metrics,
        outputs: Outputs {
            shared,
            published: published_tx,
            services,
            not_ready: not_ready_tx,
            wanted: wanted_tx,
        },
        urgent,
        rng,
        log: log.clone(),
    };
    Ok(Control::new(clock, addr, start))
}

/// What the control thread knows beyond the copy of `asker`; nothing if it is ending.
async fn bundle(events: mpsc::UnboundedSender<Event>, asker: NodeInfo) -> Bundle {
    let (tx, rx) = oneshot::channel();
    // Without the control thread there is no answer either.
    let _ = events.send(Event::Bundle(asker, tx));
    rx.await.unwrap_or_default()
}

/// A sender of the API's messages to the control thread.
fn forward<T: Send + 'static>(
    events: mpsc::UnboundedSender<Event>,
    event: impl Fn(T) -> Event + Send + 'static,
) -> mpsc::UnboundedSender<T> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(it) = rx.recv().await {
            // The control thread ends after the API.
            let _ = events.send(event(it));
        }
    });
    tx
}

/// The traffic side of a node.
struct Traffic<'a> {
    settings: &'a Settings,
    shared: Shared,
    services: watch::Receiver<Services>,
    metrics: Metrics,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
}

impl Traffic<'_> {
    fn serve(self, runtime: &Runtime, node: policy::NodeId) -> anyhow::Result<()> {
        let mode = self.settings.dispatch.mode;
        match mode {
            Mode::Permits | Mode::Direct | Mode::Local => {
                let first = rand::rng().random::<u64>() >> 1;
                let handle = Handle::new(node, first, self.events.clone());
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
            connect_timeout: Duration::from_millis(traffic.connect_timeout_ms),
            held_body_bytes: self.settings.node.held_body_bytes(),
        };
        let (draining, is_draining) = watch::channel(false);
        let listener = ListenerBuilder::new(self.shared, dispatch, header_names(), self.metrics)
            .log(self.log.clone())
            .limits(limits)
            .draining(is_draining)
            .bind(traffic.listen)
            .await
            .with_context(|| format!("TCP {}: choose a free `traffic.listen`", traffic.listen))?;
        info!(self.log, "listening"; "traffic" => %listener.addr()?,
            "operator" => %self.settings.operator.listen);
        let mut signals = StopSignals::new()?;
        let (stop, stopped) = watch::channel(false);
        let serving = tokio::spawn(listener.serve(stopped));
        signals.next().await;
        info!(self.log, "planned stop: readiness is red, waiting for the balancer";
            "lag_ms" => self.settings.drain.lag_ms);
        let _ = self.events.send(Event::Drain);
        draining.send_replace(true);
        tokio::time::sleep(self.settings.lag()).await;
        info!(self.log, "no new connections; requests in flight end");
        stop.send_replace(true);
        let grace = self.settings.grace().saturating_sub(self.settings.lag());
        tokio::select! {
            done = serving => done.context("the listener has panicked")?,
            () = signals.next() => {
                warn!(self.log, "second signal: requests in flight are broken off");
            }
            () = tokio::time::sleep(grace) => {
                warn!(self.log, "the time for a planned stop is over: connections are closed");
            }
        }
        info!(self.log, "stopped");
        Ok(())
    }
}

/// The signals that ask for a planned stop.
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
