//! `cargo xtask faults`: injects every fault at every step of a request and of a configuration change.
//!
//! Each cell of the fault matrix starts node processes against stand-ins, brings requests to the step, injects the
//! fault, waits for all answers and checks the invariants. The matrix is written into docs/PROOFS.md.

mod cell;

use anyhow::Context;

use crate::ci::root;
use crate::demo::build;
use cell::{FAULTS, STEPS, run_cell};

const PROOFS: &str = "docs/PROOFS.md";
const BEGIN: &str = "<!-- fault matrix: written by `cargo xtask faults` -->";
const END: &str = "<!-- end of the fault matrix -->";

/// Runs all cells and writes the table. Fails if an invariant was violated in a cell.
pub fn run() -> anyhow::Result<()> {
    let bin = build()?.join("dappleway");
    let runtime = tokio::runtime::Runtime::new()?;
    let mut table = format!("| fault | {} |\n", STEPS.map(|it| it.name).join(" | "));
    table += &format!("|---{}|\n", "|---".repeat(STEPS.len()));
    let mut failures = Vec::new();
    for fault in &FAULTS {
        let mut row = format!("| {} |", fault.name);
        for step in &STEPS {
            let violations = runtime.block_on(run_cell(&bin, fault, step))?;
            println!("{} / {}: {violations:?}", fault.name, step.name);
            row += if violations.is_empty() { " holds |" } else { " **broken** |" };
            failures.extend(
                violations.iter().map(|it| format!("{} / {}: {it}", fault.name, step.name)),
            );
        }
        table += &row;
        table.push('\n');
    }
    write_table(&table)?;
    anyhow::ensure!(failures.is_empty(), "broken cells:\n{}", failures.join("\n"));
    Ok(())
}

fn write_table(table: &str) -> anyhow::Result<()> {
    let path = root().join(PROOFS);
    let text = std::fs::read_to_string(&path)?;
    let (before, rest) = text.split_once(BEGIN).context("docs/PROOFS.md lacks the begin marker")?;
    let (_, after) = rest.split_once(END).context("docs/PROOFS.md lacks the end marker")?;
    std::fs::write(&path, format!("{before}{BEGIN}\n\n{table}\n{END}{after}"))?;
    Ok(())
}
