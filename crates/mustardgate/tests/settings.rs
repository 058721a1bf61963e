//! Settings files: valid ones are accepted, and the error for an invalid one names line and key.

use std::path::Path;

use mustardgate::settings::NodeSettings;

const VALID: &str = r#"
[node]
name = "entry-a"
domain = "th-a"
region = "th-central"

[callers]
listen = "127.0.0.1:7001"
max_headers = 40

[operators]
listen = "127.0.0.1:7002"
key_file = "operator.key"

[peers]
listen = "127.0.0.1:7003"
key_file = "peer.key"

[platform]
address = "127.0.0.1:7004"
"#;

fn parse_error(text: &str) -> String {
    let error = NodeSettings::parse(text, Path::new("node.toml")).expect_err("the settings must be refused");
    error.to_string()
}

#[test]
fn accepts_settings_with_defaults() {
    let settings = NodeSettings::parse(VALID, Path::new("node.toml")).expect("the settings are valid");
    assert_eq!(settings.callers.max_headers, 40);
    assert_eq!(settings.callers.max_body_bytes, 1 << 20);
    assert_eq!(settings.drain.limit_ms, 60_000);
}

#[test]
fn refuses_wrong_settings_with_line_and_key() {
    let cases = [
        (
            VALID.replace("max_headers = 40", "max_header = 40"),
            "line 9",
            "max_header",
        ),
        (
            VALID.replace("max_headers = 40", "max_headers = 4"),
            "node.toml:9",
            "callers.max_headers is 4",
        ),
        (
            VALID.replace("max_headers = 40", "max_headers = \"4\""),
            "line 9",
            "max_headers",
        ),
        (
            VALID.replace("name = \"entry-a\"", "name = \" \""),
            "node.toml:3",
            "node.name is empty",
        ),
        (
            VALID.replace("127.0.0.1:7004", "platform.local:7004"),
            "line 20",
            "address",
        ),
        (VALID.replace("region = \"th-central\"", ""), "node", "region"),
        (format!("{VALID}list_ms = 1\n"), "node.toml:21", "platform.list_ms is 1"),
    ];
    for (text, line, key) in cases {
        let message = parse_error(&text);
        assert!(message.contains(line), "{message} lacks {line}");
        assert!(message.contains(key), "{message} lacks {key}");
    }
}

#[test]
fn every_key_is_on_the_settings_page() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let sources = [
        include_str!("../src/settings/node.rs"),
        include_str!("../src/settings/callers.rs"),
        include_str!("../src/settings/operators.rs"),
        include_str!("../src/settings/peers.rs"),
        include_str!("../src/settings/platform.rs"),
        include_str!("../src/settings/backends.rs"),
        include_str!("../src/settings/drain.rs"),
        include_str!("../src/settings/keys.rs"),
        include_str!("../src/settings/logging.rs"),
    ];
    let fields = sources.iter().flat_map(|source| source.lines()).filter_map(|line| {
        let field = line.strip_prefix("    pub ")?;
        field.split_once(": ").map(|(name, _)| name)
    });
    let mut count = 0;
    for field in fields.filter(|field| !field.contains('(')) {
        assert!(
            page.contains(&format!("| `{field}` |")),
            "docs/SETTINGS.md lacks {field}"
        );
        count += 1;
    }
    assert!(count > 25, "only {count} keys were found in the sources");
}
