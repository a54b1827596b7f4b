//! Reading of flags and variables into typed values.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;
use waxwing_records::Findings;
use waxwing_types::Millis;

use super::LogFormat;
use super::table::{Fallback, Setting, variable};

/// Greatest length of a name in bytes, as for the names of records.
const MAX_NAME_BYTES: usize = 128;
/// Greatest span that a setting takes: one day.
const MAX_SPAN: u64 = 86_400_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Run,
    Check,
    Help,
    Version,
}

pub(crate) struct Flags {
    pub(crate) mode: Mode,
    pub(crate) values: BTreeMap<&'static str, OsString>,
}

/// Reads the flags. Goes on after a fault, so that all are found.
pub(crate) fn parse_flags(
    args: Vec<OsString>,
    table: &'static [Setting],
    findings: &mut Findings,
) -> Flags {
    let mut parser = Parser::from_args(args);
    let mut flags = Flags {
        mode: Mode::Run,
        values: BTreeMap::new(),
    };
    loop {
        let name = match parser.next() {
            Ok(None) => return flags,
            Ok(Some(Arg::Long(name))) => name.to_owned(),
            Ok(Some(Arg::Short('h'))) => "help".to_owned(),
            Ok(Some(Arg::Short(c))) => {
                findings.add(format!("-{c}"), "unknown option");
                continue;
            }
            Ok(Some(Arg::Value(value))) => {
                findings.add(value.to_string_lossy(), "expected an option");
                continue;
            }
            Err(error) => {
                findings.add("command line", error.to_string());
                continue;
            }
        };
        match name.as_str() {
            "help" => flags.mode = Mode::Help,
            "version" => flags.mode = Mode::Version,
            "check" if flags.mode == Mode::Run => flags.mode = Mode::Check,
            "check" => {}
            _ => value(&name, table, &mut parser, &mut flags, findings),
        }
    }
}

fn value(
    name: &str,
    table: &'static [Setting],
    parser: &mut Parser,
    flags: &mut Flags,
    findings: &mut Findings,
) {
    let place = format!("--{name}");
    let Some(setting) = table.iter().find(|s| s.name == name) else {
        findings.add(place, "unknown option");
        // Takes the value that may follow, so that it is not reported a second time.
        parser.optional_value();
        return;
    };
    match parser.value() {
        Ok(value) if flags.values.contains_key(setting.name) => {
            findings.add(place, format!("given twice, second {}", value.display()));
        }
        Ok(value) => {
            flags.values.insert(setting.name, value);
        }
        Err(error) => findings.add(place, error.to_string()),
    }
}

/// The texts of all settings with their places, and the faults found so far.
pub(crate) struct Values {
    texts: BTreeMap<&'static str, (String, String)>,
    pub(crate) findings: Findings,
}

impl Values {
    pub(crate) fn collect(
        mut flags: BTreeMap<&'static str, OsString>,
        table: &'static [Setting],
        env: impl Fn(&str) -> Option<OsString>,
        findings: Findings,
    ) -> Self {
        let mut values = Self {
            texts: BTreeMap::new(),
            findings,
        };
        for setting in table {
            let variable = variable(setting.name);
            let flag = flags.remove(setting.name);
            let given = flag.map(|v| (format!("--{}", setting.name), v));
            let given = given.or_else(|| env(&variable).map(|v| (variable.clone(), v)));
            match (given, setting.fallback) {
                (Some((place, text)), _) => values.insert(setting.name, place, text),
                (None, Fallback::Text(text)) => {
                    let place = format!("--{}", setting.name);
                    values.insert(setting.name, place, text.into());
                }
                (None, Fallback::Required) => values.findings.add(
                    format!("--{}", setting.name),
                    format!("required: {} ({variable})", setting.help),
                ),
            }
        }
        values
    }

    fn insert(&mut self, name: &'static str, place: String, text: OsString) {
        match text.string() {
            Ok(text) => {
                self.texts.insert(name, (place, text));
            }
            Err(error) => self.findings.add(place, error.to_string()),
        }
    }

    fn read<T>(
        &mut self,
        name: &str,
        expected: &str,
        read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (place, text) = self.texts.get(name)?;
        let value = read(text);
        if value.is_none() {
            let message = format!("expected {expected}, got \"{text}\"");
            self.findings.add(place.clone(), message);
        }
        value
    }

    pub(crate) fn parse<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        self.read(name, expected, |text| text.parse().ok())
    }

    pub(crate) fn name(&mut self, name: &str) -> Option<SmolStr> {
        let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
        let expected = format!("1 to {MAX_NAME_BYTES} letters, digits, \"-\" or \"_\"");
        self.read(name, &expected, |text| {
            let fits = (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(valid);
            fits.then(|| SmolStr::new(text))
        })
    }

    pub(crate) fn number(&mut self, name: &str, least: u64, most: u64) -> Option<u64> {
        self.read(name, &format!("{least} to {most}"), |text| {
            let number = text.parse().ok()?;
            (least..=most).contains(&number).then_some(number)
        })
    }

    pub(crate) fn size(&mut self, name: &str, least: u64, most: u64) -> Option<usize> {
        let number = self.number(name, least, most)?;
        usize::try_from(number).ok()
    }

    pub(crate) fn duration(&mut self, name: &str, least: u64) -> Option<Millis> {
        self.number(name, least, MAX_SPAN).map(Millis)
    }

    /// A list of pairs `A=B,...`.
    pub(crate) fn pairs(&mut self, name: &str) -> Option<Vec<(SmolStr, SmolStr)>> {
        self.read(name, "NAME=NAME,...", |text| {
            let pair = |part: &str| {
                let (one, two) = part.trim().split_once('=')?;
                (!one.is_empty() && !two.is_empty()).then(|| (one.into(), two.into()))
            };
            text.split(',').map(pair).collect()
        })
    }

    /// A part between 0 and 10, in thousandths.
    pub(crate) fn permille(&mut self, name: &str) -> Option<u32> {
        self.read(name, "a number from 0 to 10", |text| {
            let number: f64 = text.parse().ok()?;
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the range is checked"
            )]
            (0.0..=10.0)
                .contains(&number)
                .then_some((number * 1000.0) as u32)
        })
    }

    pub(crate) fn workers(&mut self) -> Option<usize> {
        self.read("workers", "auto or 1 to 256", |text| {
            if text == "auto" {
                return Some(std::thread::available_parallelism().map_or(1, usize::from));
            }
            let number = text.parse().ok()?;
            (1..=256).contains(&number).then_some(number)
        })
    }

    pub(crate) fn log_format(&mut self) -> Option<LogFormat> {
        self.read("log-format", "text or json", |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        })
    }
}
