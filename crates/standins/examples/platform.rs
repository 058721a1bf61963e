//! The stand-in for the platform as a process: `platform --listen ADDRESS... [--view NAME=ADDRESS]... [--seed N]
//! [--appends-per-second N] [--keep-records N] [--keep-seconds N] [--list-lag-ms N]`.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_standins::{
    http::serve_process,
    platform::{PlatformOptions, PlatformServer, PlatformView, RetentionPolicy},
};
use smol_str::SmolStr;

#[derive(Debug)]
struct Arguments {
    listen: Vec<SocketAddr>,
    views: Vec<ViewArgument>,
    options: PlatformOptions,
}

#[derive(Debug)]
struct ViewArgument {
    name: SmolStr,
    address: SocketAddr,
}

fn parse_view(text: &str) -> Result<ViewArgument, String> {
    let parsed = text.split_once('=').and_then(|(name, address)| {
        Some(ViewArgument {
            name: name.into(),
            address: address.parse().ok()?,
        })
    });
    parsed.ok_or_else(|| format!("--view is NAME=ADDRESS, not {text}"))
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let options = PlatformOptions {
        seed: 1,
        appends_per_second: 400.0,
        retention: RetentionPolicy::default(),
        list_lag: Duration::from_secs(1),
    };
    let mut arguments = Arguments {
        listen: Vec::new(),
        views: Vec::new(),
        options,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => arguments.listen.push(parser.value()?.parse()?),
            Long("view") => arguments.views.push(parser.value()?.parse_with(parse_view)?),
            Long("seed") => arguments.options.seed = parser.value()?.parse()?,
            Long("appends-per-second") => arguments.options.appends_per_second = parser.value()?.parse()?,
            Long("keep-records") => arguments.options.retention.max_records = Some(parser.value()?.parse()?),
            Long("keep-seconds") => {
                arguments.options.retention.max_age = Some(Duration::from_secs_f64(parser.value()?.parse()?));
            }
            Long("list-lag-ms") => arguments.options.list_lag = Duration::from_millis(parser.value()?.parse()?),
            other => return Err(other.unexpected()),
        }
    }
    if arguments.listen.is_empty() {
        return Err("--listen is missing".into());
    }
    Ok(arguments)
}

#[tokio::main]
async fn main() -> ExitCode {
    match parse_arguments() {
        Ok(arguments) => {
            let server = Arc::new(PlatformServer::new(arguments.options));
            for argument in arguments.views {
                let view = PlatformView {
                    server: Arc::clone(&server),
                    view: Some(argument.name),
                };
                tokio::spawn(async move { serve_process("platform", &[argument.address], Arc::new(view)).await });
            }
            let platform = PlatformView { server, view: None };
            serve_process("platform", &arguments.listen, Arc::new(platform)).await
        }
        Err(error) => {
            eprintln!("platform: {error}");
            ExitCode::from(2)
        }
    }
}
