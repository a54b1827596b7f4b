//! What was seen, line by line, with the time since the start of the case.

use std::path::PathBuf;
use std::time::Instant;

pub struct Record {
    path: PathBuf,
    start: Instant,
    lines: Vec<(Instant, String)>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            path,
            start: Instant::now(),
            lines: Vec::new(),
        }
    }

    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&mut self, at: Instant, text: &str) {
        self.lines.push((at, text.to_owned()));
    }

    /// Writes the lines in the order of their times.
    pub fn write(&mut self) {
        self.lines.sort_by_key(|(at, _)| *at);
        let lines = self.lines.iter().map(|(at, text)| {
            let secs = at.saturating_duration_since(self.start).as_secs_f64();
            format!("{secs:9.3} s  {text}\n")
        });
        let text: String = lines.collect();
        if let Err(error) = std::fs::write(&self.path, &text) {
            eprintln!("{}: {error}", self.path.display());
        }
        if let Some((_, last)) = self.lines.last() {
            println!("{last}");
        }
    }
}
