//! `cargo xtask plot`: plots the worth of a site's days by version from the entries in `journal/`, and prints the
//! table of versions that belongs to the plot.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, ensure};
use plotters::prelude::*;
use serde::Deserialize;

/// Minimum number of days of a version: a mean over fewer days is too uncertain.
const MIN_DAYS: usize = 24;
/// Prefixes of the reasons of runs that do not measure a version: trials on scratch copies, runs with a mechanism
/// switched off, and runs made for their logs.
const EXCLUDED_PREFIXES: [&str; 4] = ["trial", "ablation", "reading", "days of our own"];
/// Size of the plot in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Names of the components of a day's worth in the journal, and their colours in the plot.
const PARTS: [(&str, RGBColor); 4] = [
    ("whole day", RGBColor(31, 119, 180)),
    ("worst windows", RGBColor(214, 39, 40)),
    ("worst class", RGBColor(44, 160, 44)),
    ("nines", RGBColor(148, 103, 189)),
];

/// Fields of a journal entry that the plot uses.
#[derive(Debug, Deserialize)]
struct Entry {
    cmd: String,
    why: Option<String>,
    at: (String, String),
    site: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

/// Fields of a day in a journal entry that the plot uses.
#[derive(Debug, Deserialize)]
struct Day {
    #[serde(rename = "G")]
    worth: Option<f64>,
    #[serde(default)]
    parts: Vec<(String, f64, f64)>,
}

/// Days of a version.
#[derive(Debug, Default)]
struct Version {
    label: String,
    since: String,
    worth: Vec<f64>,
    parts: [Vec<f64>; 4],
}

/// Plots the versions of a site into `docs/measurements/SITE.svg` and prints their table.
pub fn run(site: &str) -> Result<()> {
    let versions = versions(Path::new("journal"), site)?;
    ensure!(!versions.is_empty(), "no version of {site} has {MIN_DAYS} days: name another site");
    let path = PathBuf::from(format!("docs/measurements/{site}.svg"));
    draw(&path, site, &versions)?;
    print_table(&versions);
    Ok(())
}

/// Returns the versions in the order of their first runs.
fn versions(journal: &Path, site: &str) -> Result<Vec<Version>> {
    let mut versions_by_label: BTreeMap<String, Version> = BTreeMap::new();
    for file in
        fs::read_dir(journal).context("reading journal/: run this command at the project root")?
    {
        let path = file?.path();
        if path.extension().is_none_or(|it| it != "json") {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        // Entries of other commands may lack required fields.
        let Ok(entry) = serde_json::from_str::<Entry>(&text) else { continue };
        if entry.cmd == "run" && entry.site.as_deref() == Some(site) {
            add(&mut versions_by_label, &entry);
        }
    }
    let mut all: Vec<_> =
        versions_by_label.into_values().filter(|it| it.worth.len() >= MIN_DAYS).collect();
    all.sort_by(|a, b| a.since.cmp(&b.since));
    Ok(all)
}

/// Adds the days of an entry to its version. The reason of a run has the form `VERSION: DAY seed N`.
fn add(versions_by_label: &mut BTreeMap<String, Version>, entry: &Entry) {
    let Some((label, _)) = entry.why.as_deref().and_then(|it| it.rsplit_once(": ")) else { return };
    if EXCLUDED_PREFIXES.iter().any(|it| label.starts_with(it)) {
        return;
    }
    let version = versions_by_label.entry(label.to_owned()).or_default();
    version.label = label.to_owned();
    if version.since.is_empty() || entry.at.0 < version.since {
        version.since.clone_from(&entry.at.0);
    }
    for day in &entry.days {
        version.worth.extend(day.worth);
        for (part, (name, _)) in version.parts.iter_mut().zip(PARTS) {
            part.extend(day.parts.iter().filter(|it| it.0 == name).map(|it| it.2));
        }
    }
}

fn draw(path: &Path, site: &str, versions: &[Version]) -> Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let n = versions.len() as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{site}: worth of a day and its parts by version"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.5..n + 0.5, 0.4..1.0)?;
    chart
        .configure_mesh()
        .x_labels(versions.len())
        .x_label_formatter(&|it| format!("{it:.0}"))
        .x_desc("version, as numbered in the table")
        .draw()?;
    for (i, (name, colour)) in PARTS.into_iter().enumerate() {
        let points = versions.iter().zip(1..).map(|(it, x)| (f64::from(x), mean(&it.parts[i])));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour);
        chart.draw_series(LineSeries::new(points, colour))?.label(name).legend(legend);
    }
    let bars = versions.iter().zip(1..).map(|(it, x)| {
        let (mean, error) = (mean(&it.worth), standard_error(&it.worth));
        ErrorBar::new_vertical(f64::from(x), mean - error, mean, mean + error, BLACK.filled(), 6)
    });
    let legend = |(x, y)| Circle::new((x + 8, y), 3, BLACK.filled());
    chart.draw_series(bars)?.label("worth, with its standard error").legend(legend);
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

fn print_table(versions: &[Version]) {
    println!("| | version | days | worth | whole day | worst windows | worst kind | nines |");
    println!("|---|---|---|---|---|---|---|---|");
    for (it, n) in versions.iter().zip(1..) {
        let [whole, windows, kind, nines] = it.parts.each_ref().map(|it| mean(it));
        println!(
            "| {n} | {} | {} | {:.4} | {whole:.3} | {windows:.3} | {kind:.3} | {nines:.3} |",
            it.label,
            it.worth.len(),
            mean(&it.worth)
        );
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn standard_error(values: &[f64]) -> f64 {
    let (mean, n) = (mean(values), values.len() as f64);
    let squares: f64 = values.iter().map(|it| (it - mean).powi(2)).sum();
    (squares / (n - 1.0).max(1.0) / n.max(1.0)).sqrt()
}
