//! Comparison of settings by key: changed keys and unknown keys.

use super::{Settings, SettingsProblem, problem};

/// Returns the keys, such as `log.level`, whose values differ.
pub fn changed_keys(old: &Settings, new: &Settings) -> Vec<String> {
    let table = |it: &Settings| toml::Table::try_from(it).expect("settings are plain data");
    let (old, new) = (table(old), table(new));
    let section = |table: &toml::Table, name: &str| {
        table.get(name).and_then(toml::Value::as_table).cloned().unwrap_or_default()
    };
    let mut changed = Vec::new();
    for name in new.keys() {
        let (old, new) = (section(&old, name), section(&new, name));
        let keys = old.keys().chain(new.keys().filter(|it| !old.contains_key(*it)));
        changed.extend(
            keys.filter(|it| old.get(*it) != new.get(*it)).map(|it| format!("{name}.{it}")),
        );
    }
    changed
}

/// Reports keys that do not exist, each with the nearest existing key.
pub(super) fn unknown_keys(table: &toml::Table) -> Vec<SettingsProblem> {
    let known = toml::Table::try_from(Settings::example()).expect("the example is plain data");
    let mut problems = Vec::new();
    for (section, value) in table {
        let Some(known_section) = known.get(section).and_then(toml::Value::as_table) else {
            problems.push(unknown_key(section, known.keys()));
            continue;
        };
        for key in value.as_table().into_iter().flat_map(toml::Table::keys) {
            if !known_section.contains_key(key) {
                let mut it = unknown_key(key, known_section.keys());
                it.key = format!("{section}.{key}");
                problems.push(it);
            }
        }
    }
    problems
}

fn unknown_key<'a>(key: &str, known: impl Iterator<Item = &'a String>) -> SettingsProblem {
    let nearest = known.min_by_key(|it| edit_distance(key, it)).map_or("", String::as_str);
    problem(key, format!("is no setting: did you mean `{nearest}`?"))
}

/// Levenshtein distance.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let substitute = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitute.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}
