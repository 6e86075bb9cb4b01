//! The command line.

use bpaf::Bpaf;

/// The sub-commands.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, descr("otterwinch: a central control plane for a layer of plain proxies"))]
pub enum Subcommand {
    /// Run the control plane with the config file that GW_CONFIG names, until SIGTERM or SIGINT
    #[bpaf(command)]
    Serve,
    /// Validate the config file and print every fault in it, without starting the control plane
    #[bpaf(command)]
    Check {
        /// The file to check; defaults to the one that GW_CONFIG names
        #[bpaf(positional("FILE"), optional)]
        file: Option<String>,
    },
    /// Print the version
    #[bpaf(command)]
    Version,
}
