//! `key new`.

use std::fmt::{self, Write as _};
use std::fs::File;
use std::io::{self, Read};

use serde::Serialize;
use serde_json::Value;
use waxwing_records::{Document, KeyHash};

use crate::Exit;
use crate::report::Console;

/// The system's random source.
const RANDOM: &str = "/dev/urandom";
/// Random bytes of a secret: 256 bits cannot be guessed.
const SECRET_BYTES: usize = 32;
/// Random bytes of a public id that is not given.
const ID_BYTES: usize = 6;

#[derive(Serialize)]
struct Report {
    key: String,
    record: Value,
}

/// Makes a key and prints it with its record. Nothing keeps the key.
pub(crate) fn key_new(console: &mut Console<'_>, workspace: &str, id: Option<&str>) -> Exit {
    let made = match make(workspace, id) {
        Ok(made) => made,
        Err(error) => return console.fail(Exit::Failed, &[format!("{RANDOM}: {error}")]),
    };
    if let Err(findings) = Document::parse(made.record.to_string().as_bytes()) {
        let reasons: Vec<String> = findings.0.iter().map(ToString::to_string).collect();
        return console.fail(Exit::Invalid, &reasons);
    }
    console.report(&made);
    Exit::Done
}

fn make(workspace: &str, id: Option<&str>) -> io::Result<Report> {
    let id = match id {
        Some(id) => id.to_owned(),
        None => format!("k{}", random_hex(ID_BYTES)?),
    };
    let key = format!("{id}.{}", random_hex(SECRET_BYTES)?);
    let record = serde_json::json!({
        "schema": 1, "kind": "key", "name": id,
        "spec": {"workspace": workspace, "sha256": KeyHash::of(&key).to_string()},
    });
    Ok(Report { key, record })
}

fn random_hex(bytes: usize) -> io::Result<String> {
    let mut random = vec![0; bytes];
    File::open(RANDOM)?.read_exact(&mut random)?;
    let mut hex = String::with_capacity(2 * bytes);
    for byte in random {
        let _ = write!(hex, "{byte:02x}");
    }
    Ok(hex)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "key, shown only now: {}\nrecord for apply:\n{}",
            self.key, self.record
        )
    }
}
