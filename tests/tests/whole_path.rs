//! A request goes caller, box, prefill engine, transfer, decode engine, caller, in separate
//! processes.

use hollyspoke_standin::answer;
use hollyspoke_tests::cluster::{Cluster, Plan, SOON};
use hollyspoke_tests::process::run_cli;
use hollyspoke_tests::request::{CallerRequest, read_stream};

/// One answer is streamed through prefill and decode on different engines.
#[tokio::test]
async fn streamed_answer() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    let prompt = "which bylaw applies to the hall";
    let sending = CallerRequest::generate(prompt, 40, true);
    for member in &cluster.boxes {
        let response = sending.begin(member.address()).await?;
        let (text, ended) = read_stream(response).await;
        assert!(ended, "the stream says its end");
        assert_eq!(text, answer::whole(prompt, 40));
    }
    let ledgers = cluster.engines().await;
    assert_eq!(ledgers[0].prefills, 2, "the prefill engine has computed both prompts");
    assert_eq!(ledgers[0].decodes, 0, "the prefill engine has generated nothing");
    let decodes: u64 = ledgers[1..].iter().map(|it| it.finished).sum();
    assert_eq!(decodes, 2, "the decode engines have generated both answers");
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// The tool applies, shows, names addresses and calls.
#[tokio::test]
async fn operators_tool() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan::default()).await?;
    let address = cluster.boxes[0].address();
    let (exit, printed) = run_cli(&["addresses", "--box", address, "--caller", "clerk"]).await?;
    assert_eq!(exit, 0);
    for member in &cluster.boxes {
        assert!(printed.contains(&member.incarnation), "{printed}");
    }
    let prompt = "proof this page";
    let arguments =
        ["call", "--box", address, "--model", "m", "--prompt", prompt, "--max-tokens", "12"];
    let (exit, printed) = run_cli(&arguments).await?;
    assert_eq!((exit, printed.trim_end()), (0, answer::whole(prompt, 12).trim_end()));
    let (exit, printed) = run_cli(&["show", "--box", address]).await?;
    assert_eq!(exit, 0);
    assert_eq!(printed.matches("version 1 of test").count(), 2, "{printed}");
    let (exit, printed) = run_cli(&["status", "--box", address]).await?;
    assert_eq!(exit, 0);
    assert!(printed.contains("pool llm part 0"), "{printed}");
    Ok(())
}
