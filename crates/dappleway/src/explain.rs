//! `dappleway explain --logs`: collects the log lines about one request from the logs of any number of nodes.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde_json::Value;

/// Fields that are not printed as `name=value`: fields that every line has, and fields for programs.
const OMITTED_FIELDS: [&str; 8] =
    ["msg", "level", "ts", "node", "request_id", "trace", "span", "parent"];

/// One log line.
#[derive(Debug)]
struct LogLine {
    ts: String,
    node: String,
    msg: String,
    record: Value,
}

impl LogLine {
    /// Parses a log line; returns `None` for text that is not a log record, such as other output of a program.
    fn parse(text: &str) -> Option<Self> {
        // A log collector may put a prefix before the record.
        let record: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let field = |name: &str| Some(record.get(name)?.as_str()?.to_owned());
        Some(Self { ts: field("ts")?, node: field("node")?, msg: field("msg")?, record })
    }

    fn has_field(&self, name: &str, value: &str) -> bool {
        self.record.get(name).and_then(Value::as_str) == Some(value)
    }

    fn render(&self) -> String {
        let fields = self.record.as_object().into_iter().flatten();
        let fields = fields.filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
        let pairs: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{} {} {}: {}", self.ts, self.node, self.msg, pairs.join(" "))
    }
}

/// Returns the lines about a request in the order of their time, together with the state changes of its endpoints
/// between the first and the last of these lines. Returns `None` if no line is about the request.
pub fn explain(files: &[PathBuf], id: &str) -> Result<Option<Vec<String>>, String> {
    let mut lines = Vec::new();
    for path in files {
        let text =
            std::fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    Ok(lines_about(lines, id))
}

fn lines_about(mut lines: Vec<LogLine>, id: &str) -> Option<Vec<String>> {
    lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    let about_request: Vec<&LogLine> =
        lines.iter().filter(|it| it.has_field("request_id", id)).collect();
    let (first, last) = (about_request.first()?, about_request.last()?);
    let time_range = first.ts.as_str()..=last.ts.as_str();
    let endpoints: BTreeSet<&str> =
        about_request.iter().filter_map(|it| it.record.get("endpoint")?.as_str()).collect();
    let is_endpoint_state = |it: &&LogLine| {
        it.msg == "endpoint state"
            && time_range.contains(&it.ts.as_str())
            && endpoints.iter().any(|endpoint| it.has_field("endpoint", endpoint))
    };
    let selected =
        lines.iter().filter(|it| it.has_field("request_id", id) || is_endpoint_state(it));
    Some(selected.map(LogLine::render).collect())
}

#[cfg(test)]
pub(crate) fn explain_text(text: &str, id: &str) -> Option<Vec<String>> {
    lines_about(text.lines().filter_map(LogLine::parse).collect(), id)
}
