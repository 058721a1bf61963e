//! The stand-in for a plain service as a process: `service --listen ADDRESS --name NAME [--seed N]`.

use std::{net::SocketAddr, process::ExitCode, sync::Arc};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_core::ids::BackendId;
use mustardgate_standins::{http::serve_process, service::ServiceServer};

#[derive(Debug)]
struct Arguments {
    listen: Vec<SocketAddr>,
    name: BackendId,
    seed: u64,
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        listen: Vec::new(),
        name: "service".into(),
        seed: 1,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => arguments.listen.push(parser.value()?.parse()?),
            Long("name") => arguments.name = parser.value()?.string()?.into(),
            Long("seed") => arguments.seed = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(arguments)
}

#[tokio::main]
async fn main() -> ExitCode {
    match parse_arguments() {
        Ok(arguments) => {
            let service = Arc::new(ServiceServer::new(arguments.name.clone(), arguments.seed));
            serve_process(&arguments.name, &arguments.listen, service).await
        }
        Err(error) => {
            eprintln!("service: {error}");
            ExitCode::from(2)
        }
    }
}
