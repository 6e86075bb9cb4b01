//! The records, as a program holds them.

/// What a file opens with. Records name products and halls by their places in these lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Start {
    pub products: Vec<String>,
    pub halls: Vec<String>,
    /// Unix time of the moment from which records count, in milliseconds; 0 where that means nothing.
    pub began_unix_ms: u64,
    /// Who wrote it, in words.
    pub source: String,
}

/// One txn, as it came to the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// When it was due, in microseconds from the file's beginning. Clocks that step back make it fall.
    pub at_us: i64,
    pub product: u32,
    pub hall: u32,
    /// Work on a core of speed 1, in microseconds, where it is known.
    pub work_us: Option<u64>,
    /// What its repeats have in common, as a hash; none where it carries no reference.
    pub key: Option<u64>,
    /// 0 for the first try, 1 for the first repeat.
    pub attempt: u32,
}

/// What forwarders of one hall met at one node over an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Met {
    pub at_us: i64,
    pub over_us: u64,
    pub hall: u32,
    pub node: String,
    pub tries: u64,
    pub voided: u64,
    /// The mean time of those that were answered, in microseconds.
    pub took_us: u64,
}

/// Txns of one product that reached one forwarder over an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asked {
    pub at_us: i64,
    pub over_us: u64,
    pub forwarder: u32,
    pub product: u32,
    pub txns: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Sum {
    Met(Met),
    Asked(Asked),
}
