//! Parsing of flags and environment variables into typed values.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::str::FromStr;

use lexopt::{Arg, Parser, ValueExt};
use smol_str::SmolStr;
use waxwing_records::Findings;
use waxwing_types::Millis;

use super::LogFormat;
use super::table::{Requirement, Setting, env_variable};

/// Maximum length of the name of a VM, failure domain or region, in bytes. The names of configuration
/// records have the same limit.
const MAX_NAME_BYTES: usize = 128;
/// Maximum duration in a setting: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// What the command line asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Run,
    Check,
    Help,
    Version,
}

/// Parsed command line.
pub(crate) struct Flags {
    pub(crate) mode: Mode,
    /// Values of the flags, by the name of the setting.
    pub(crate) values: BTreeMap<&'static str, OsString>,
}

/// Parses the command line. Continues after an error, so that all errors are reported.
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
            _ => parse_flag_value(&name, table, &mut parser, &mut flags, findings),
        }
    }
}

/// Reads the value of the flag `name`.
fn parse_flag_value(
    name: &str,
    table: &'static [Setting],
    parser: &mut Parser,
    flags: &mut Flags,
    findings: &mut Findings,
) {
    let origin = format!("--{name}");
    let Some(setting) = table.iter().find(|s| s.name == name) else {
        findings.add(origin, "unknown option");
        // Skips a value that may follow, so that it is not reported as another error.
        parser.optional_value();
        return;
    };
    match parser.value() {
        Ok(value) if flags.values.contains_key(setting.name) => {
            findings.add(
                origin,
                format!("given twice; the second value is {}", value.display()),
            );
        }
        Ok(value) => {
            flags.values.insert(setting.name, value);
        }
        Err(error) => findings.add(origin, error.to_string()),
    }
}

/// Unparsed values of all settings, and the errors found so far.
pub(crate) struct Values {
    /// For each setting, the flag or variable that its value comes from, and the value.
    origins_and_values: BTreeMap<&'static str, (String, String)>,
    pub(crate) findings: Findings,
}

impl Values {
    /// Collects the value of each setting from its flag, its environment variable or its default, in
    /// this order of precedence.
    pub(crate) fn collect(
        mut flags: BTreeMap<&'static str, OsString>,
        table: &'static [Setting],
        env: impl Fn(&str) -> Option<OsString>,
        findings: Findings,
    ) -> Self {
        let mut values = Self {
            origins_and_values: BTreeMap::new(),
            findings,
        };
        for setting in table {
            let variable = env_variable(setting.name);
            let flag = flags.remove(setting.name);
            let given = flag.map(|value| (format!("--{}", setting.name), value));
            let given = given.or_else(|| env(&variable).map(|value| (variable.clone(), value)));
            match (given, setting.requirement) {
                (Some((origin, text)), _) => values.insert(setting.name, origin, text),
                (None, Requirement::Default(text)) => {
                    let origin = format!("--{}", setting.name);
                    values.insert(setting.name, origin, text.into());
                }
                (None, Requirement::Required) => values.findings.add(
                    format!("--{}", setting.name),
                    format!("required: {} ({variable})", setting.help),
                ),
            }
        }
        values
    }

    fn insert(&mut self, setting: &'static str, origin: String, text: OsString) {
        match text.string() {
            Ok(text) => {
                self.origins_and_values.insert(setting, (origin, text));
            }
            Err(error) => self.findings.add(origin, error.to_string()),
        }
    }

    /// Parses the setting with this name. Records an error with the expected form if `parse` returns
    /// `None`.
    fn parse_with<T>(
        &mut self,
        setting: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let (origin, text) = self.origins_and_values.get(setting)?;
        let value = parse(text);
        if value.is_none() {
            let message = format!("expected {expected}, got \"{text}\"");
            self.findings.add(origin.clone(), message);
        }
        value
    }

    /// A value of a type that implements [`FromStr`].
    pub(crate) fn parse<T: FromStr>(&mut self, setting: &str, expected: &str) -> Option<T> {
        self.parse_with(setting, expected, |text| text.parse().ok())
    }

    /// The name of a VM, failure domain or region.
    pub(crate) fn name(&mut self, setting: &str) -> Option<SmolStr> {
        let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        let expected = format!("1 to {MAX_NAME_BYTES} letters, digits, \"-\" or \"_\"");
        self.parse_with(setting, &expected, |text| {
            let valid =
                (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_name_byte);
            valid.then(|| SmolStr::new(text))
        })
    }

    /// An integer from `min` to `max`.
    pub(crate) fn number(&mut self, setting: &str, min: u64, max: u64) -> Option<u64> {
        self.parse_with(setting, &format!("{min} to {max}"), |text| {
            let number = text.parse().ok()?;
            (min..=max).contains(&number).then_some(number)
        })
    }

    /// An integer from `min` to `max`, as a size or count.
    pub(crate) fn size(&mut self, setting: &str, min: u64, max: u64) -> Option<usize> {
        let number = self.number(setting, min, max)?;
        usize::try_from(number).ok()
    }

    /// A duration in ms, from `min` to one day.
    pub(crate) fn duration(&mut self, setting: &str, min: u64) -> Option<Millis> {
        self.number(setting, min, MAX_DURATION_MS).map(Millis)
    }

    /// A comma-separated list of pairs, such as `A=B,C=D`.
    pub(crate) fn pairs(&mut self, setting: &str) -> Option<Vec<(SmolStr, SmolStr)>> {
        self.parse_with(setting, "NAME=NAME,...", |text| {
            let pair = |item: &str| {
                let (key, value) = item.trim().split_once('=')?;
                (!key.is_empty() && !value.is_empty()).then(|| (key.into(), value.into()))
            };
            text.split(',').map(pair).collect()
        })
    }

    /// A ratio from 0 to 10, converted to thousandths.
    pub(crate) fn permille(&mut self, setting: &str) -> Option<u32> {
        self.parse_with(setting, "a number from 0 to 10", |text| {
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

    /// The number of worker threads; `auto` means one per core.
    pub(crate) fn workers(&mut self) -> Option<usize> {
        self.parse_with("workers", "auto or 1 to 256", |text| {
            if text == "auto" {
                return Some(std::thread::available_parallelism().map_or(1, usize::from));
            }
            let number = text.parse().ok()?;
            (1..=256).contains(&number).then_some(number)
        })
    }

    /// The form of log lines.
    pub(crate) fn log_format(&mut self) -> Option<LogFormat> {
        self.parse_with("log-format", "text or json", |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        })
    }
}
