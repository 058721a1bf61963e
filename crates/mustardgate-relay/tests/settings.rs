//! Validation of relay node settings: each field is checked, and the error names it.

use std::time::Duration;

use mustardgate_relay::settings::{RelaySettings, StatedBounds};

const VALID: &str = r#"
[node]
name = "node-1"
domain = "east"
region = "home"
max_descriptors = 1000
[listen]
callers = "127.0.0.1:8080"
readiness = "127.0.0.1:8081"
[log]
address = "127.0.0.1:9000"
[bounds]
config_apply_ms = 2000
drain_ms = 2000
contact_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_extra = 54
budget_window_s = 10
lease_ms = 3000
load_window_s = 5
load_overage = 1.1
load_extra = 3
require_fencing = true
"#;

#[test]
fn valid_settings_pass_and_unknown_fields_are_ignored() {
    let settings = RelaySettings::parse(VALID).expect("the settings are valid");
    assert_eq!(settings.listen.peers, None);
    assert_eq!(settings.logging.sample_one_in, 16);
    let with_unknown = format!("{VALID}\n[unknown_table]\nfield = 1\n");
    assert_eq!(RelaySettings::parse(&with_unknown).unwrap(), settings);
}

#[test]
fn each_invalid_field_is_named() {
    for (from, to, named) in [
        ("name = \"node-1\"", "name = \"\"", "node.name"),
        ("max_descriptors = 1000", "max_descriptors = 0", "node.max_descriptors"),
        (
            "max_descriptors = 1000",
            "max_descriptors = \"many\"",
            "max_descriptors",
        ),
        ("callers = \"127.0.0.1:8080\"", "callers = \"nowhere\"", "callers"),
        ("address = \"127.0.0.1:9000\"", "", "address"),
        (
            "config_apply_ms = 2000",
            "config_apply_ms = 0",
            "bounds.config_apply_ms",
        ),
        ("drain_ms = 2000", "drain_ms = 0", "bounds.drain_ms"),
        ("contact_ms = 3000", "contact_ms = 0", "bounds.contact_ms"),
        ("grace_s = 8", "grace_s = -1", "bounds.grace_s"),
        ("grace_s = 8", "grace_s = nan", "bounds.grace_s"),
        (
            "retry_budget_ratio = 0.2",
            "retry_budget_ratio = 2.0",
            "bounds.retry_budget_ratio",
        ),
        (
            "retry_budget_extra = 54",
            "retry_budget_extra = -1",
            "bounds.retry_budget_extra",
        ),
        ("budget_window_s = 10", "budget_window_s = 0", "bounds.budget_window_s"),
        ("lease_ms = 3000", "lease_ms = 0", "bounds.lease_ms"),
        ("load_window_s = 5", "load_window_s = 0", "bounds.load_window_s"),
        ("load_overage = 1.1", "load_overage = -1", "bounds.load_overage"),
        ("require_fencing = true", "require_fencing = 1", "require_fencing"),
        (
            "max_descriptors = 1000",
            "max_descriptors = 1000\nmemory_mb = 63",
            "node.memory_mb",
        ),
        (
            "max_descriptors = 1000",
            "max_descriptors = 1000\nlink_mbps = 0",
            "node.link_mbps",
        ),
        (
            "require_fencing = true",
            "require_fencing = true\n[feed]\nlink_share = 0",
            "feed.link_share",
        ),
        (
            "require_fencing = true",
            "require_fencing = true\n[feed]\nburst_ms = -1",
            "feed.burst_ms",
        ),
        (
            "require_fencing = true",
            "require_fencing = true\n[feed]\ndelay_share = 0.9",
            "feed.delay_share",
        ),
    ] {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID, "{from}");
        let error = RelaySettings::parse(&text).expect_err(to).to_string();
        assert!(error.contains(named), "{to}: {error}");
    }
}

// Guards against keys that are refused although the operators did not ask for it.
#[test]
fn keys_expire_only_where_both_settings_say_so() {
    let revoke = |lines: &str| {
        let text = format!("{VALID}{lines}");
        let settings = RelaySettings::parse(&text).expect("the settings are valid");
        settings.bounds.key_bounds().revoke
    };
    for lines in [
        "",
        "revoke_ms = 5000\n",
        "revoke_fail_closed = true\n",
        "revoke_ms = 0\nrevoke_fail_closed = true\n",
    ] {
        assert_eq!(revoke(lines), None, "{lines}");
    }
    let both = revoke("revoke_ms = 5000\nrevoke_fail_closed = true\n");
    assert_eq!(both, Some(Duration::from_secs(5)));
}

#[test]
fn bounds_of_the_environment_hold_where_the_file_has_none() {
    let mut stated = StatedBounds::default();
    for (field, text) in [
        ("quota_slack", " 17000 "),
        ("quota_window_s", "8"),
        ("revoke_ms", ""),
        ("quota_overage", "null"),
    ] {
        stated.state(field, text).expect("a bound");
    }
    let bounds = |lines: &str| {
        let settings = RelaySettings::parse_with(&format!("{VALID}{lines}"), &stated);
        settings.expect("the settings are valid").bounds
    };
    let without = bounds("");
    assert_eq!((without.quota_slack, without.quota_window_s), (17_000.0, 8.0));
    assert_eq!((without.quota_overage, without.revoke_ms), (0.0, 0));
    let own = bounds("quota_slack = 5\n");
    assert_eq!((own.quota_slack, own.quota_window_s), (5.0, 8.0));
    let other = RelaySettings::parse_with(&format!("{VALID}grace_s = 9\n"), &stated);
    assert!(other.is_err(), "the file itself must be valid");
}

#[test]
fn a_variable_that_is_no_bound_is_refused() {
    let mut stated = StatedBounds::default();
    for text in ["many", "\"8\"", "[1]", "1\nother = 2", "{ a = 1 }"] {
        assert!(stated.state("quota_slack", text).is_err(), "{text}");
    }
    stated.state("quota_window_s", "0").expect("a number");
    let error = RelaySettings::parse_with(VALID, &stated).expect_err("out of range");
    assert!(error.to_string().contains("bounds.quota_window_s"), "{error}");
}
