//! Faults in a configuration, with the texts that `check` and `serve` print.

use otterwinch_adapter_support::JsonFieldError;

/// A fault in a configuration. All faults in a file are reported together.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// Neither the command line nor GW_CONFIG names a file.
    #[error("no config file given: GW_CONFIG is not set")]
    NoFile,
    /// The file can't be read.
    #[error("config file {path} can't be read: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("config file {path} is not valid JSON: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// A field is missing or of the wrong type.
    #[error(transparent)]
    Field(#[from] JsonFieldError),
    /// An environment variable contradicts the file.
    #[error("config: field '{field}' is '{value}' but {variable} is '{expected}'")]
    ContradictsEnvironment {
        /// The field in the file.
        field: &'static str,
        /// The value in the file.
        value: String,
        /// The environment variable.
        variable: &'static str,
        /// The value of the environment variable.
        expected: String,
    },
    /// A field is not an IP address with a port.
    #[error("config: field '{field}' is not an IP address with a port: '{value}'")]
    NotAnAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is not a hexadecimal number of up to 64 bits.
    #[error("config: field 'seed' is not a hexadecimal number of up to 64 bits: '{value}'")]
    SeedNotHexadecimal {
        /// Its value.
        value: String,
    },
    /// A list in the settings that must have entries is empty.
    #[error("config: field 'settings.{list}' is missing or empty")]
    EmptySetting {
        /// Name of the list.
        list: &'static str,
    },
    /// There are more request classes than a command can refer to.
    #[error("config: field 'settings.classes' has more than {limit} entries")]
    TooManyRequestClasses {
        /// The greatest number of request classes.
        limit: usize,
    },
    /// The settings ask for shards, which the relay does not support.
    #[error("config: field 'settings.familyInfo.slices' must be 0: the relay does not support slices")]
    ShardsNotSupported,
    /// The endpoint list in the file, or one of its entries, is invalid.
    #[error("config: field 'known': {reason}")]
    KnownEndpoints {
        /// Why it is invalid.
        reason: String,
    },
    /// A reloaded file changes a field that can only be changed by a restart.
    #[error("config: changing field '{field}' requires a restart")]
    NeedsRestart {
        /// The field.
        field: &'static str,
    },
}
