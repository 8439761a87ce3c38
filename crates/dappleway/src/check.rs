//! `dappleway check`: runs the checks of a node on files before they are published.

use std::path::{Path, PathBuf};

use resources::{Resource, validate};

use crate::settings;

/// Checks the files and returns all problems, each prefixed with the file it is in, or with all file names for
/// problems of the resources together.
pub fn check(files: &[PathBuf]) -> Vec<String> {
    let mut problems = Vec::new();
    let mut all = Vec::new();
    for path in files {
        match path.extension().and_then(|it| it.to_str()) {
            Some("toml") => problems.extend(check_settings(path)),
            Some("json") => match read_resources(path) {
                Ok(resources) => all.extend(resources),
                Err(problem) => problems.push(problem),
            },
            _ => problems.push(format!("{}: name a .toml or .json file", path.display())),
        }
    }
    let names: Vec<_> = files.iter().map(|it| it.display().to_string()).collect();
    let context = names.join(", ");
    problems.extend(validate(&all).iter().map(|it| format!("{context}: {it}")));
    problems
}

/// Reads a JSON array of resources.
pub fn read_resources(path: &Path) -> Result<Vec<Resource>, String> {
    let buf = std::fs::read(path).map_err(|it| format!("{}: {it}", path.display()))?;
    serde_json::from_slice(&buf).map_err(|it| format!("{}: {it}", path.display()))
}

fn check_settings(path: &Path) -> Vec<String> {
    let problems = settings::load(path).err().unwrap_or_default();
    problems.iter().map(|it| format!("{}: {it}", path.display())).collect()
}
