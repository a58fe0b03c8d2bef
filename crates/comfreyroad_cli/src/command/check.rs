use std::fs;
use std::io::Write;
use std::path::Path;

use comfreyroad::rules::{Checked, Draft, Fault};

use crate::{Error, Exit, Settings, text};

/// Prints every fault of the rules files.
pub(super) fn run(settings: &Settings, out: &mut dyn Write) -> Result<Exit, Error> {
    let mut exit = Exit::Ok;
    for argument in &settings.arguments {
        match check_file(Path::new(argument), out) {
            Ok(Some(_)) => writeln!(out, "{argument}: no faults")?,
            Ok(None) => exit = Exit::Refused,
            Err(error @ Error::File { .. }) => {
                writeln!(out, "{error}")?;
                exit = Exit::Refused;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(exit)
}

/// Reads and checks a rules file. Prints its faults and returns `None` if there are any.
pub(super) fn check_file(
    path: &Path,
    out: &mut dyn Write,
) -> Result<Option<Draft<Checked>>, Error> {
    let bytes = fs::read(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    let text = match String::from_utf8(bytes) {
        Ok(text) => text,
        Err(error) => {
            let fault = not_utf8(error.as_bytes(), error.utf8_error().valid_up_to());
            writeln!(out, "{}:{fault}", path.display())?;
            return Ok(None);
        }
    };
    match Draft::new(text.as_str()).parse().and_then(Draft::check) {
        Ok(draft) => Ok(Some(draft)),
        Err(faults) => {
            for fault in &faults {
                print_fault(path, &text, fault, out)?;
            }
            Ok(None)
        }
    }
}

fn not_utf8(bytes: &[u8], valid: usize) -> Fault {
    let before = String::from_utf8_lossy(&bytes[..valid]);
    let last = before.rsplit('\n').next().unwrap_or_default();
    Fault {
        line: before.matches('\n').count() + 1,
        column: last.chars().count() + 1,
        found: "a byte that is not UTF-8".into(),
        expected: "text in UTF-8".into(),
    }
}

fn print_fault(path: &Path, text: &str, fault: &Fault, out: &mut dyn Write) -> Result<(), Error> {
    let line = text
        .lines()
        .nth(fault.line.saturating_sub(1))
        .unwrap_or_default();
    let line = text::sanitize(line);
    // Tabs are kept, so that the caret is aligned with its column.
    let indent = line.chars().take(fault.column.saturating_sub(1));
    let indent: String = indent
        .map(|char| if char == '\t' { '\t' } else { ' ' })
        .collect();
    writeln!(
        out,
        "{}:{}",
        path.display(),
        text::sanitize(&fault.to_string())
    )?;
    writeln!(out, "    {line}")?;
    writeln!(out, "    {indent}^")?;
    Ok(())
}
