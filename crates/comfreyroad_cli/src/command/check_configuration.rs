use std::fs;
use std::io::{self, Write};
use std::path::Path;

use comfreyroad_platform::draft::Draft;
use comfreyroad_router::configuration::check::{self, Change, Finding};

use crate::{Error, Exit, Settings, text};

/// Prints what is wrong with a configuration, and what it changes if the one in force is given.
pub(super) fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let Some(path) = settings.arguments.first().map(Path::new) else {
        return Ok(Exit::Usage);
    };
    let draft = read(path)?;
    let Some(in_force_path) = &settings.in_force else {
        return Ok(print_findings(path, findings(&draft), out)?);
    };
    match (draft, read(in_force_path)?) {
        (Ok(new), Ok(old)) => {
            let (new, old, mut findings) = (new.configuration, old.configuration, new.findings);
            findings.extend(check::superseded(&new, &old));
            let exit = print_findings(path, &findings, out)?;
            print_changes(in_force_path, &check::changes(&old, &new), out)?;
            Ok(exit)
        }
        (draft, in_force) => {
            print_findings(path, findings(&draft), out)?;
            if let Err(findings) = in_force {
                print_findings(in_force_path, &findings, out)?;
            }
            writeln!(out, "changes: not compared, as a file cannot be decoded")?;
            Ok(Exit::Refused)
        }
    }
}

fn read(path: &Path) -> Result<Result<Draft, Vec<Finding>>, Error> {
    let bytes = fs::read(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    Ok(Draft::read(&bytes))
}

fn findings(draft: &Result<Draft, Vec<Finding>>) -> &[Finding] {
    draft
        .as_ref()
        .map_or_else(|findings| findings, |draft| &draft.findings)
}

fn print_changes(in_force: &Path, changes: &[Change], out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "changes from {}: {}",
        in_force.display(),
        changes.len()
    )?;
    for change in changes {
        writeln!(out, "    {}", text::sanitize(&change.to_string()))?;
    }
    Ok(())
}

/// Prints the findings, the errors first. Refuses if there are errors.
fn print_findings(path: &Path, findings: &[Finding], out: &mut dyn Write) -> io::Result<Exit> {
    let path = path.display();
    let (errors, warnings): (Vec<_>, Vec<_>) = findings.iter().partition(|it| it.is_error());
    for finding in errors.iter().chain(&warnings) {
        writeln!(out, "{path}: {}", text::sanitize(&finding.to_string()))?;
    }
    let (errors, warnings) = (errors.len(), warnings.len());
    writeln!(out, "{path}: errors: {errors}, warnings: {warnings}")?;
    Ok(if errors == 0 { Exit::Ok } else { Exit::Refused })
}
