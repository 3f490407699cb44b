//! The command line.

use {
    crate::output::Output,
    bpaf::{Bpaf, Parser, long},
    catkin::{Code, Error, types::Span},
    std::{net::SocketAddr, path::PathBuf},
};

const PUBLISH_LIMIT: Span = Span::from_secs(30);

/// Operates a fleet of catkinhub gateways.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("catkinctl"), version, generate(command))]
pub(crate) enum Command {
    /// Checks a fleet configuration file without publishing it.
    #[bpaf(
        command,
        footer("Example:\n   catkinctl check fleet.yaml\n Exit codes: 0 valid, 1 not valid, 2 usage.")
    )]
    Check {
        #[bpaf(external(output))]
        output: Output,
        /// Fleet configuration, in YAML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a fleet configuration file and waits for the verdict.
    #[bpaf(
        command,
        footer(
            "Example:\n   catkinctl publish fleet.yaml --log 10.0.0.5:7000 --author ana\n Exit codes: 0 accepted, 1 refused or failed, 2 usage."
        )
    )]
    Publish {
        #[bpaf(external(log))]
        log: SocketAddr,
        /// Operator who publishes
        #[bpaf(argument("NAME"), guard(|a: &String| has_text(a), "the author is empty"))]
        author: String,
        /// Time to wait for the verdict, as in 30s
        #[bpaf(argument("SPAN"), fallback(PUBLISH_LIMIT), display_fallback)]
        limit: Span,
        #[bpaf(external(output))]
        output: Output,
        /// Fleet configuration, in YAML
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn output() -> impl Parser<Output> {
    long("output")
        .help("Form of the output: text or json")
        .argument::<Output>("FORM")
        .complete(|_| vec![("text", Some("lines for people")), ("json", Some("one JSON value"))])
        .fallback(Output::Text)
}

fn log() -> impl Parser<SocketAddr> {
    long("log").help("Address of the log service").argument::<String>("IP:PORT").parse(address)
}

fn address(text: String) -> Result<SocketAddr, Error> {
    text.parse().map_err(|_| {
        Error::new(Code::NotIp, format!("{text:?} is not an IP number with a port, as in 10.0.0.5:7000"))
    })
}

fn has_text(text: &str) -> bool {
    !text.trim().is_empty()
}
