//! Parsing and validation of settings. All problems of a file are reported at once, each with its remedy.

use super::keys::unknown_keys;
use super::{Fleet, Node, Operator, Platform, Settings, SettingsProblem, Traffic, problem};

/// Parses and checks settings; returns all problems at once.
pub fn parse(text: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let table: toml::Table = text
        .parse()
        .map_err(|it: toml::de::Error| vec![problem("(syntax)", it.to_string().trim().into())])?;
    let mut problems = unknown_keys(&table);
    problems.extend(check_sections(&table));
    match table.try_into::<Settings>() {
        Ok(settings) => {
            problems.extend(settings.check());
            if problems.is_empty() {
                return Ok(settings);
            }
        }
        Err(it) if problems.is_empty() => problems.push(problem("(value)", one_line(&it))),
        Err(_) => {}
    }
    Err(problems)
}

/// Returns required sections that are missing, and sections with a value of the wrong type. Each section is
/// deserialized separately, so that the problems of all sections are reported.
fn check_sections(table: &toml::Table) -> Vec<SettingsProblem> {
    let mut problems = Vec::new();
    check_section::<Node>(table, "node", &mut problems);
    check_section::<Traffic>(table, "traffic", &mut problems);
    check_section::<Operator>(table, "operator", &mut problems);
    check_section::<Platform>(table, "platform", &mut problems);
    check_section::<Fleet>(table, "fleet", &mut problems);
    problems
}

fn check_section<T: serde::de::DeserializeOwned>(
    table: &toml::Table,
    section: &str,
    problems: &mut Vec<SettingsProblem>,
) {
    let Some(value) = table.get(section) else {
        problems.push(problem(section, format!("the section is missing: add [{section}]")));
        return;
    };
    // `unknown_keys` reports unknown keys together with the nearest known key.
    if let Err(it) = value.clone().try_into::<T>()
        && !it.message().starts_with("unknown field")
    {
        problems.push(problem(section, one_line(&it)));
    }
}

fn one_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

impl Settings {
    fn check(&self) -> Vec<SettingsProblem> {
        let mut problems = Vec::new();
        let mut require = |is_valid: bool, key: &str, remedy: &str| {
            if !is_valid {
                problems.push(problem(key, remedy.to_owned()));
            }
        };
        require(!self.node.failure_domain.is_empty(), "node.failure_domain", "name it");
        require(!self.node.addr.ip().is_unspecified(), "node.addr", "write the VM's own address");
        require(self.node.addr.port() != 0, "node.addr", "write a port that peers can know");
        let link = self.node.link_mbps;
        require(link > 0.0 && link.is_finite(), "node.link_mbps", "write more than 0.0");
        require(self.node.cores > 0.0, "node.cores", "write more than 0.0");
        let share = self.node.cpu_share;
        require(share > 0.0 && share <= 1.0, "node.cpu_share", "write more than 0.0, up to 1.0");
        require(self.node.memory_mb >= 32, "node.memory_mb", "write 32 or more");
        require((1..=64).contains(&self.traffic.threads), "traffic.threads", "write 1 to 64");
        require(self.traffic.max_body_bytes > 0, "traffic.max_body_bytes", "write 1 or more");
        require(self.traffic.max_in_flight > 0, "traffic.max_in_flight", "write 1 or more");
        require(self.traffic.read_timeout_ms > 0, "traffic.read_timeout_ms", "write 1 or more");
        require(
            self.traffic.connect_timeout_ms > 0,
            "traffic.connect_timeout_ms",
            "write 1 or more",
        );
        require(self.log.lines_per_s > 0, "log.lines_per_s", "write 1 or more");
        let drain = &self.drain;
        require(
            drain.kill_after_s.is_some() || drain.grace_ms > drain.lag_ms,
            "drain.grace_ms",
            "write more than `drain.lag_ms`",
        );
        let is_usable = |it: f64| (0.1..=86_400.0).contains(&it);
        require(
            drain.kill_after_s.is_none_or(is_usable),
            "drain.kill_after_s",
            "write 0.1 to 86400.0",
        );
        require(self.dispatch.ask_timeout_ms > 0, "dispatch.ask_timeout_ms", "write 1 or more");
        let (ratio, extra) = (self.dispatch.repeat_ratio, self.dispatch.repeat_extra);
        require((0.0..=1.0).contains(&ratio), "dispatch.repeat_ratio", "write 0.0 to 1.0");
        require((0.0..=1e6).contains(&extra), "dispatch.repeat_extra", "write 0.0 or more");
        require(
            self.dispatch.repeat_window_ms >= 100,
            "dispatch.repeat_window_ms",
            "write 100 or more",
        );
        problems
    }
}
