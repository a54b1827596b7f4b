//! Reports of commands, for people and as JSON.

use std::fmt::{Display, Write as _};
use std::io::Write;

use serde::Serialize;
use serde_json::Value;

use crate::Exit;

/// Where a command writes to.
pub(crate) struct Console<'a> {
    pub(crate) json: bool,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
}

impl Console<'_> {
    /// Prints a report: as text, or as one line of JSON.
    ///
    /// A closed standard output is not an error of the command.
    pub(crate) fn report<R: Serialize + Display>(&mut self, report: &R) {
        let _ = if self.json {
            match serde_json::to_string(report) {
                Ok(json) => writeln!(self.out, "{json}"),
                Err(error) => writeln!(self.err, "cannot print as JSON: {error}"),
            }
        } else {
            writeln!(self.out, "{report}")
        };
        let _ = self.out.flush();
    }

    /// Prints why a command fails, each reason on its line, and returns the exit code.
    pub(crate) fn fail(&mut self, exit: Exit, reasons: &[String]) -> Exit {
        if self.json {
            let json = serde_json::json!({"error": exit.meaning(), "reasons": reasons});
            let _ = writeln!(self.err, "{json}");
        } else {
            for reason in reasons {
                let _ = writeln!(self.err, "{reason}");
            }
        }
        exit
    }

    /// Prints a remark that is not part of the report.
    pub(crate) fn note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{text}");
    }
}

/// Prints rows in columns of equal width, the first row being the title.
pub(crate) fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|row| row.get(i));
        cells.map(|c| c.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells.map(|(c, w)| format!("{c:<w$}")).collect();
        cells.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Prints a JSON value as indented `name: value` lines.
pub(crate) fn outline(value: &Value, depth: usize, out: &mut String) {
    let indent = "  ".repeat(depth);
    let entries: Vec<(String, &Value)> = match value {
        Value::Object(fields) => fields.iter().map(|(n, v)| (n.clone(), v)).collect(),
        Value::Array(items) => items.iter().map(|v| ("-".to_owned(), v)).collect(),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {
            let _ = writeln!(out, "{indent}{}", scalar(value));
            return;
        }
    };
    for (name, value) in entries {
        let label = if name == "-" {
            name
        } else {
            format!("{name}:")
        };
        match value {
            Value::Object(fields) if !fields.is_empty() => {
                let _ = writeln!(out, "{indent}{label}");
                outline(value, depth + 1, out);
            }
            Value::Array(items) if items.iter().any(|v| v.is_object() || v.is_array()) => {
                let _ = writeln!(out, "{indent}{label}");
                outline(value, depth + 1, out);
            }
            value => {
                let _ = writeln!(out, "{indent}{label} {}", scalar(value));
            }
        }
    }
}

/// A value on one line, texts without quotes.
pub(crate) fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::Array(items) => items.iter().map(scalar).collect::<Vec<_>>().join(", "),
        Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
