//! Exit codes.

use waxwing_types::common_derives;

common_derives! {
    key
    /// How a command ended. `--help` lists the codes.
    pub enum Exit {
        /// Done, or nothing to do.
        Done,
        /// The store or the daemon cannot be reached, or a file cannot be read.
        Failed,
        /// The command line or the environment is faulty.
        Usage,
        /// A record is faulty. Nothing was written.
        Invalid,
        /// Another operator changed a record first. Other records may have been written.
        Conflict,
        /// A write was sent and its outcome could not be found out.
        Unknown,
        /// There is no such record.
        Absent,
    }
}

impl Exit {
    /// Every code.
    pub const ALL: &'static [Self] = &[
        Self::Done,
        Self::Failed,
        Self::Usage,
        Self::Invalid,
        Self::Conflict,
        Self::Unknown,
        Self::Absent,
    ];

    /// The number that the process returns.
    pub const fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Invalid => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::Absent => 6,
        }
    }

    /// What `--help` says of the code.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done, or nothing to do",
            Self::Failed => "the store or the daemon cannot be reached, or a file cannot be read",
            Self::Usage => "the command line or the environment is faulty",
            Self::Invalid => "a record is faulty; nothing was written",
            Self::Conflict => "another operator changed a record first",
            Self::Unknown => "a write was sent and its outcome could not be found out",
            Self::Absent => "there is no such record",
        }
    }
}
