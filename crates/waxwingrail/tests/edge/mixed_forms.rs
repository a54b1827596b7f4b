//! The forms in which targets in trouble answer, for the tests of both daemons.

use std::thread;
use std::time::Duration;

use super::early_target::Reaction;

/// Status lines with a status that is none, and an interim answer without a final one.
pub(crate) const NO_ANSWERS: [&str; 16] = [
    "HTTP/1.1 000 None",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 0 None",
    "HTTP/1.1 00200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other",
    "HTTP/1.1 102 Processing",
    "HTTP/1.1 103 Early Hints",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 1000 Long",
    "HTTP/1.1 -200 Negative",
    "HTTP/1.1 abc Letters",
    "HTTP/1.1 2 00 OK",
    "HTTP/1.1 600 High\r\nx-not-run: 1",
];

/// The answer with a status line, followed by the end of the connection if it has no length of its own.
pub(crate) fn no_answer(line: &str) -> Reaction {
    let stamp = super::early_target::STAMP;
    Reaction::Write(format!(
        "{line}\r\nx-request-id: ID\r\n{stamp}\r\ncontent-length: 2\r\n\r\nok"
    ))
}

/// Answers that are reset: parts below and above what a VM buffers, pauses before the reset.
pub(crate) fn resets() -> Vec<Reaction> {
    let mut resets = Vec::new();
    for (part, pause_ms) in [(1000, 0), (1000, 60), (400_000, 5), (400_000, 400)] {
        for announces_close in [false, true] {
            resets.push(Reaction::Reset {
                version: "HTTP/1.1",
                part,
                pause: Duration::from_millis(pause_ms),
                announces_close,
            });
        }
    }
    resets.push(Reaction::Reset {
        version: "HTTP/1.0",
        part: 400_000,
        pause: Duration::from_millis(400),
        announces_close: false,
    });
    resets
}

/// Runs a play for each item, all at the same time.
pub(crate) fn play_all<T: Send + 'static>(
    items: impl IntoIterator<Item = T>,
    play: impl Fn(T) + Clone + Send + 'static,
) {
    let plays = items.into_iter().map(|item| {
        let play = play.clone();
        thread::spawn(move || play(item))
    });
    for play in plays.collect::<Vec<_>>() {
        play.join().expect("no failed play");
    }
}

/// Length, framing and pause of uploads in ms.
pub(crate) const UPLOADS: [(usize, bool, u64); 6] = [
    (40_000, false, 0),
    (300_000, true, 20),
    (1_500_000, true, 0),
    (8_000_000, false, 0),
    (8_000_000, true, 5),
    (8_000_000, false, 20),
];
