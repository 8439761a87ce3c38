//! `dappleway explain --logs`: collects the log lines about one request from the logs of any number of nodes.

use std::collections::BTreeSet;
use std::path::PathBuf;

use serde_json::Value;

/// Fields that are not printed as `name=value`: fields that every line has, and fields for programs.
const LEFT_OUT: [&str; 8] = ["msg", "level", "ts", "node", "request_id", "trace", "span", "parent"];

/// One log line.
#[derive(Debug)]
struct Line {
    ts: String,
    node: String,
    msg: String,
    record: Value,
}

impl Line {
    /// Parses a log line; returns `None` for text that is not a log record, such as other output of a program.
    fn parse(text: &str) -> Option<Self> {
        // A log collector may put a prefix before the record.
        let record: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let field = |name: &str| Some(record.get(name)?.as_str()?.to_owned());
        Some(Self { ts: field("ts")?, node: field("node")?, msg: field("msg")?, record })
    }

    fn has(&self, name: &str, value: &str) -> bool {
        self.record.get(name).and_then(Value::as_str) == Some(value)
    }

    fn show(&self) -> String {
        let fields = self.record.as_object().into_iter().flatten();
        let fields = fields.filter(|(name, _)| !LEFT_OUT.contains(&name.as_str()));
        let shown: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
        format!("{} {} {}: {}", self.ts, self.node, self.msg, shown.join(" "))
    }
}

/// Returns the lines about a request in the order of their time, together with the state changes of its endpoints
/// between the first and the last of these lines. Returns `None` if no line is about the request.
pub fn explain(files: &[PathBuf], id: &str) -> Result<Option<Vec<String>>, String> {
    let mut lines = Vec::new();
    for path in files {
        let text =
            std::fs::read_to_string(path).map_err(|it| format!("{}: {it}", path.display()))?;
        lines.extend(text.lines().filter_map(Line::parse));
    }
    Ok(story(lines, id))
}

fn story(mut lines: Vec<Line>, id: &str) -> Option<Vec<String>> {
    lines.sort_by(|a, b| a.ts.cmp(&b.ts));
    let own: Vec<&Line> = lines.iter().filter(|it| it.has("request_id", id)).collect();
    let (first, last) = (own.first()?, own.last()?);
    let span = first.ts.as_str()..=last.ts.as_str();
    let endpoints: BTreeSet<&str> =
        own.iter().filter_map(|it| it.record.get("endpoint")?.as_str()).collect();
    let speaks_of_endpoint = |it: &&Line| {
        it.msg == "endpoint state"
            && span.contains(&it.ts.as_str())
            && endpoints.iter().any(|endpoint| it.has("endpoint", endpoint))
    };
    let told = lines.iter().filter(|it| it.has("request_id", id) || speaks_of_endpoint(it));
    Some(told.map(Line::show).collect())
}

#[cfg(test)]
pub(crate) fn story_of(text: &str, id: &str) -> Option<Vec<String>> {
    story(text.lines().filter_map(Line::parse).collect(), id)
}
