//! What can be wrong with a configuration, each with the text that `check` prints.

use otterwinch_adapter_support::JsonFieldError;

/// One fault of a configuration. All faults of a file are reported together.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// Neither the command line nor the environment names a file.
    #[error("GW_CONFIG names no file")]
    NoFile,
    /// The file can't be read.
    #[error("{path} can't be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The file does not hold a JSON value.
    #[error("{path} is not JSON: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// Where it stops being JSON.
        source: serde_json::Error,
    },
    /// A field is missing or of the wrong type.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// An environment variable says something else than the file.
    #[error("config: field '{field}' is '{value}' but {variable} says '{expected}'")]
    ContradictsEnvironment {
        /// The field of the file.
        field: &'static str,
        /// What the file says.
        value: String,
        /// The environment variable.
        variable: &'static str,
        /// What the environment says.
        expected: String,
    },
    /// A field is no IP address with a port.
    #[error("config: field '{field}' is no address with a port: '{value}'")]
    NotAnAddress {
        /// The field.
        field: &'static str,
        /// What it is.
        value: String,
    },
    /// The seed is no hexadecimal number of up to 64 bits.
    #[error("config: field 'seed' is not hexadecimal: '{value}'")]
    SeedNotHexadecimal {
        /// What it is.
        value: String,
    },
    /// A list of the settings that must have entries has none.
    #[error("config: field 'settings.{list}' holds nothing")]
    EmptySetting {
        /// The list.
        list: &'static str,
    },
    /// There are more request classes than a command can name.
    #[error("config: field 'settings.classes' holds more than {limit}")]
    TooManyRequestClasses {
        /// How many a command can name.
        limit: usize,
    },
    /// The settings ask for shards, which the relay does not have.
    #[error("config: field 'settings.familyInfo.slices' is above 0: the relay has no slices")]
    ShardsNotSupported,
    /// The endpoint list of the file, or one of its entries, can't be used.
    #[error("config: field 'known': {reason}")]
    KnownEndpoints {
        /// Why not.
        reason: String,
    },
    /// A reloaded file changes what only a restart can.
    #[error("config: field '{field}' can't change while the control plane runs")]
    NeedsRestart {
        /// The field.
        field: &'static str,
    },
}
