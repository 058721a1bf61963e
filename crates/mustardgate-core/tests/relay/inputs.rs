//! Identities of requests.

use std::{collections::BTreeSet, net::IpAddr};

use mustardgate_core::relay::RequestContent;

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "kitchen.example",
    target: "/orders/7?a=1",
    account: b"Bearer k1",
    body: b"forty boxes",
};

#[test]
fn a_request_has_one_digest_on_all_nodes_and_builds() {
    assert_eq!(CONTENT.digest(None).to_string(), "03e8b1ac346a1db881471df81d6c06b8");
}

#[test]
fn each_field_distinguishes_a_request_and_none_continues_into_the_next() {
    let address = |text: &str| Some(text.parse::<IpAddr>().expect("an address"));
    let with = |target, account: &'static [u8], body: &'static [u8]| {
        RequestContent {
            target,
            account,
            body,
            ..CONTENT
        }
        .digest(None)
    };
    let digests = [
        CONTENT.digest(None),
        CONTENT.digest(address("10.0.0.1")),
        CONTENT.digest(address("10.0.0.2")),
        RequestContent {
            method: "PUT",
            ..CONTENT
        }
        .digest(None),
        RequestContent {
            host: "other.example",
            ..CONTENT
        }
        .digest(None),
        with("/orders/7", CONTENT.account, CONTENT.body),
        with(CONTENT.target, b"Bearer k2", CONTENT.body),
        with(CONTENT.target, CONTENT.account, b"forty-one boxes"),
        with(CONTENT.target, b"Bearer k1f", b"orty boxes"),
        with(CONTENT.target, b"", b"Bearer k1forty boxes"),
    ];
    assert_eq!(digests.iter().collect::<BTreeSet<_>>().len(), digests.len());
    assert_eq!(
        CONTENT.digest(address("::ffff:10.0.0.1")),
        CONTENT.digest(address("10.0.0.1"))
    );
}
