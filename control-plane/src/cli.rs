//! The command line.

use bpaf::Bpaf;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, descr("otterwinch: a central planner for a layer of plain proxies"))]
pub enum Command {
    /// Run one supervisor on the config that GW_CONFIG names, until it is told to end
    #[bpaf(command)]
    Serve,
    /// Check the config and name every fault in it, without starting anything
    #[bpaf(command)]
    Check {
        /// The file to check; without it the one that GW_CONFIG names
        #[bpaf(positional("FILE"), optional)]
        file: Option<String>,
    },
    /// Tell the version
    #[bpaf(command)]
    Version,
}
