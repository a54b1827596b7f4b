//! What is wrong with a record, collected with its place.

use std::fmt;

use waxwing_types::common_derives;

/// Most faults that are reported of one record; a faulty table of blocks has thousands.
pub(crate) const MAX_FINDINGS: usize = 100;

common_derives! {
    /// One fault of a record.
    pub struct Finding {
        /// Where the fault is, such as `service/confirm: spec.routes[2].method`.
        pub place: String,
        /// What is wrong and what was expected.
        pub message: String,
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All faults found in one pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a fault. Beyond [`MAX_FINDINGS`] faults only the fact that there are more is kept.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        if self.0.len() > MAX_FINDINGS {
            return;
        }
        if self.0.len() == MAX_FINDINGS {
            self.0.push(Finding {
                place: "record".into(),
                message: "further findings left out".into(),
            });
            return;
        }
        self.0.push(Finding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Returns `value` if nothing was found, else the findings.
    ///
    /// # Errors
    /// The findings themselves, if there are any.
    pub fn or_ok<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
