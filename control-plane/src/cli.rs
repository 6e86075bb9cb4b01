//! The command line.

use bpaf::Bpaf;

/// The sub-commands.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, descr("otterwinch: a central control plane for a layer of plain proxies"))]
pub enum Command {
    /// Run the control plane on the config that GW_CONFIG names, until SIGTERM or SIGINT
    #[bpaf(command)]
    Serve,
    /// Check the config and name every fault in it, without starting anything
    #[bpaf(command)]
    Check {
        /// The file to check; without it the one that GW_CONFIG names
        #[bpaf(positional("FILE"), optional)]
        file: Option<String>,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}
