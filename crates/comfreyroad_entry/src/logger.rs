//! Log lines on standard error, as text or JSON.

use std::time::SystemTime;

use comfreyroad::note::{self, Note};
use log::LevelFilter;
use serde_json::json;

/// Log target of numbered events, which have fields of their own.
const TARGET: &str = "comfreyroad";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs, one object per line.
    Json,
}

/// Minimum level of log lines; `None` means info.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Level(pub Option<LevelFilter>);

impl Format {
    /// Parses the name of a format.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

impl Level {
    /// Parses the name of a level.
    pub fn parse(text: &str) -> Option<Self> {
        let level: LevelFilter = text.parse().ok()?;
        (level <= LevelFilter::Debug && level != LevelFilter::Off).then_some(Self(Some(level)))
    }
}

/// Installs the logger of the process.
pub fn init(format: Format, level: Level) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(TARGET, level.0.unwrap_or(LevelFilter::Info))
        .format(move |out, message, record| {
            let at = humantime::format_rfc3339_millis(SystemTime::now());
            match format {
                Format::Text => out.finish(format_args!("{at} {} {message}", record.level())),
                // The message of a numbered event is a JSON object: the first fields replace its opening brace.
                Format::Json if record.target() == TARGET => {
                    let rest = message.to_string();
                    let rest = rest.strip_prefix('{').unwrap_or(&rest);
                    out.finish(format_args!(
                        "{{\"at\":\"{at}\",\"level\":\"{}\",{rest}",
                        record.level()
                    ));
                }
                Format::Json => {
                    let line = json!({"at": at.to_string(), "level": record.level().as_str(),
                        "title": message.to_string()});
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
}

/// Writes a numbered event.
pub fn write(note: &Note, format: Format) {
    let level = match note.kind.level {
        note::Level::Error => log::Level::Error,
        note::Level::Warn => log::Level::Warn,
        note::Level::Info => log::Level::Info,
        note::Level::Debug => log::Level::Debug,
    };
    match format {
        Format::Text => log::log!(target: TARGET, level, "{note}"),
        Format::Json => log::log!(target: TARGET, level, "{}", to_json(note)),
    }
}

fn to_json(note: &Note) -> serde_json::Value {
    let mut object = json!({"event": note.kind.number, "title": note.kind.title});
    for (name, value) in &note.fields {
        object[*name] = value.as_str().into();
    }
    object
}
