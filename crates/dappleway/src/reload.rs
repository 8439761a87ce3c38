//! Reloads the settings file on SIGHUP, and when its content changes without a signal. Settings that can change in
//! a running process take effect at once; the others are logged as waiting for a restart.

use std::path::PathBuf;
use std::time::Duration;

use operator::Token;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::event::Event;
use crate::logging::LevelSwitch;
use crate::settings::{self, Settings};

/// Interval at which the file is checked for a change without a signal. The file is small, so the check is cheap.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Settings that take effect in a running process.
const RELOADABLE: [&str; 10] = [
    "log.level",
    "fleet.seeds",
    "operator.token_file",
    "dispatch.repeat_ratio",
    "dispatch.repeat_extra",
    "dispatch.repeat_window_ms",
    "dispatch.doubtful_slots",
    "dispatch.concurrency_limits",
    "dispatch.near_first",
    "dispatch.contention",
];

/// The task that reloads the settings file.
pub struct Reload {
    /// Path of the settings file.
    pub path: PathBuf,
    /// Receives SIGHUP.
    pub hangup: Signal,
    /// The settings in force.
    pub settings: Settings,
    /// Switch for the lowest severity that is logged.
    pub level: LevelSwitch,
    /// The token of the operator API.
    pub token: watch::Sender<Option<Token>>,
    /// Sends changed settings to the control thread.
    pub events: mpsc::UnboundedSender<Event>,
    /// Logger of the task.
    pub log: Logger,
}

impl Reload {
    /// Runs until the runtime stops.
    pub async fn run(mut self) {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_text = std::fs::read_to_string(&self.path).unwrap_or_default();
        loop {
            let is_signalled = tokio::select! {
                _ = self.hangup.recv() => true,
                _ = checks.tick() => false,
            };
            let Ok(text) = std::fs::read_to_string(&self.path) else {
                if is_signalled {
                    warn!(self.log, "settings file cannot be read, the settings in force stay");
                }
                continue;
            };
            if is_signalled || text != last_text {
                self.apply(&text);
                last_text = text;
            }
            self.reload_token();
        }
    }

    /// Reloads the token, whose file may change while the settings file does not.
    fn reload_token(&self) {
        match self.settings.token() {
            Ok(new) => {
                let has_changed = self.token.send_if_modified(|it| {
                    let has_changed = *it != new;
                    *it = new;
                    has_changed
                });
                if has_changed {
                    info!(self.log, "the token of the operator API was replaced");
                }
            }
            Err(problems) => {
                let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
                warn!(self.log, "token refused, the one in force stays"; "reason" => lines.join("; "));
            }
        }
    }

    fn apply(&mut self, text: &str) {
        let new = match settings::parse(text) {
            Ok(it) => it,
            Err(problems) => {
                let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
                warn!(self.log, "settings refused, the settings in force stay"; "reason" => lines.join("; "));
                return;
            }
        };
        let changed = settings::changed_keys(&self.settings, &new);
        let (applied, deferred): (Vec<_>, Vec<_>) =
            changed.into_iter().partition(|it| RELOADABLE.contains(&it.as_str()));
        info!(self.log, "settings reloaded";
            "changed" => applied.join(", "), "waiting_for_restart" => deferred.join(", "));
        self.level.set(new.log.level);
        self.settings = new.clone();
        // The control thread may have ended already.
        let _ = self.events.send(Event::Settings(Box::new(new)));
    }
}
