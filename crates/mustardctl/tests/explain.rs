//! Trace of a request from the logs of several nodes.

use mustardctl::trace::trace_request;

const LOGS: &str = r#"
  1.2891 node-b {"msg":"placement planned","level":"INFO","ts":"2026-06-10T05:11:51.2Z","node":"node-b","demand":"menu:97.6/1","event":622}
{"msg":"routes in force","level":"INFO","ts":"2026-06-10T05:11:40.1Z","node":"node-a","version":4,"event":610}
{"msg":"routes in force","level":"INFO","ts":"2026-06-10T05:11:41.1Z","node":"node-a","version":7,"event":610}
{"msg":"routes in force","level":"INFO","ts":"2026-06-10T05:11:42.1Z","node":"node-c","version":9,"event":610}
{"msg":"runner changed","level":"INFO","ts":"2026-06-10T05:11:50.1Z","node":"node-a","backend":"r-1","models":"menu","event":613}
{"msg":"request not served","level":"INFO","ts":"2026-06-10T05:11:52.4Z","node":"node-a","request":"q1","status":503,"event":601}
{"msg":"attempt at a runner failed","level":"INFO","ts":"2026-06-10T05:11:52.1Z","node":"node-a","request":"q1","backend":"r-1","reason":"not_run_421","event":603}
{"msg":"attempt at a runner failed","level":"INFO","ts":"2026-06-10T05:11:52.3Z","node":"node-a","request":"q1","backend":"none","cause":"overloaded","event":603}
{"msg":"request answered","level":"INFO","ts":"2026-06-10T05:11:52.2Z","node":"node-a","request":"q2","event":604}
{"msg":"routes in fo
not a log line
"#;

#[test]
fn each_step_follows_the_state_it_is_based_on() {
    let trace = trace_request("q1", LOGS.lines());
    let shown: Vec<(&str, &str)> = trace
        .steps
        .iter()
        .map(|step| (step.kind, step.message.as_str()))
        .collect();
    let expected = [
        ("belief", "routes in force"),
        ("belief", "runner changed"),
        ("step", "attempt at a runner failed"),
        ("belief", "placement planned"),
        ("step", "attempt at a runner failed"),
        ("step", "request not served"),
    ];
    assert_eq!(shown, expected);
    assert_eq!(trace.steps[0].details, "version=7");
    assert_eq!(trace.steps[5].details, "status=503");
}

#[test]
fn unparsable_lines_are_skipped_and_counted() {
    assert_eq!(trace_request("q1", LOGS.lines()).skipped, 2);
    let trace = trace_request("q9", LOGS.lines());
    assert!(trace.steps.is_empty());
}
