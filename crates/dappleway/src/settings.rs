//! Settings of a process, in TOML. All settings are checked before anything starts.

mod check;
mod defaults;
mod keys;
mod model;
mod secrets;

use std::fmt;
use std::path::Path;

pub use check::parse;
pub use keys::changed_keys;
pub use model::{Fleet, Level, Log, Mode, Node, Operator, Platform, Settings, Traffic};

/// A reason why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The key, such as `traffic.listen`, or `(file)`, `(syntax)` or `(value)` if no key is known.
    pub key: String,
    /// How to correct the problem.
    pub remedy: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.remedy)
    }
}

/// Reads and checks a settings file; returns all problems at once.
pub fn load(path: &Path) -> Result<Settings, Vec<SettingsProblem>> {
    let text = std::fs::read_to_string(path).map_err(|it| {
        vec![problem("(file)", format!("{}: {it}: name a file that can be read", path.display()))]
    })?;
    parse(&text)
}

fn problem(key: &str, remedy: String) -> SettingsProblem {
    SettingsProblem { key: key.to_owned(), remedy }
}
