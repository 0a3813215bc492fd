//! Checks the pages against the code: links, settings, source paths, headers and metrics.

use std::fs;
use std::path::{Path, PathBuf};

use laburnumdeal_model::Settings;
use laburnumdeal_tests::{Caller, CallerRequest, Cluster, Plan};

/// Pages that may be linked although they are missing. Remove an entry once its page exists.
const UNWRITTEN_PAGES: [&str; 0] = [];

/// Headers that only instances send to each other; pages for callers leave them out.
const PEER_HEADERS: [&str; 6] = [
    "laburnum-role",
    "laburnum-caller",
    "laburnum-configuration",
    "laburnum-customer-checked",
    "laburnum-peer",
    "laburnum-proof",
];

/// Folders of the packages, with which paths of source files start.
const PACKAGES: [&str; 9] = [
    "model/",
    "policy/",
    "control/",
    "language/",
    "daemon/",
    "cli/",
    "platform/",
    "launcher/",
    "tests/",
];

struct Page {
    path: PathBuf,
    text: String,
}

fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.parent().expect("the package has a folder").to_owned()
}

/// Returns the pages at the root and all below `docs/`.
fn pages() -> Vec<Page> {
    let mut paths: Vec<PathBuf> = markdown_in(&root());
    let mut folders = vec![root().join("docs")];
    while let Some(folder) = folders.pop() {
        paths.extend(markdown_in(&folder));
        folders.extend(entries(&folder).into_iter().filter(|path| path.is_dir()));
    }
    paths.into_iter().map(read).collect()
}

fn read(path: PathBuf) -> Page {
    let text = fs::read_to_string(&path).unwrap();
    Page { path, text }
}

fn entries(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

fn markdown_in(folder: &Path) -> Vec<PathBuf> {
    let mut paths = entries(folder);
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    paths
}

/// Returns the text without fenced and indented code blocks, whose brackets are not links.
fn prose(text: &str) -> String {
    let mut is_fenced = false;
    let kept = text.lines().filter(|line| {
        let is_fence = line.trim_start().starts_with("```");
        is_fenced ^= is_fence;
        !is_fence && !is_fenced && !line.starts_with("    ")
    });
    kept.collect::<Vec<_>>().join("\n")
}

/// Returns the relative targets of the links of a page.
fn links(text: &str) -> Vec<String> {
    let prose = prose(text);
    let targets = prose.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split_once(')'));
    targets
        .map(|(target, _)| target.to_owned())
        .filter(|target| !target.contains("://"))
        .collect()
}

/// Returns the anchors of the headings of a page.
fn anchors(text: &str) -> Vec<String> {
    let prose = prose(text);
    let headings = prose.lines().filter(|line| line.starts_with('#'));
    headings
        .map(|line| slug(line.trim_start_matches('#').trim()))
        .collect()
}

fn slug(heading: &str) -> String {
    let kept = heading
        .chars()
        .filter(|c| c.is_alphanumeric() || matches!(c, ' ' | '-' | '_'));
    kept.collect::<String>().to_lowercase().replace(' ', "-")
}

fn is_unwritten(path: &Path) -> bool {
    UNWRITTEN_PAGES.iter().any(|page| path.ends_with(page))
}

/// Returns an error text if the target of a link is missing.
fn link_problem(page: &Page, target: &str) -> Option<String> {
    let (file, anchor) = target.split_once('#').unwrap_or((target, ""));
    let folder = page.path.parent().expect("a page has a folder");
    let path = match file.is_empty() {
        true => page.path.clone(),
        false => folder.join(file),
    };
    if !path.exists() {
        let is_known = is_unwritten(&path);
        return (!is_known).then(|| format!("{} links missing file {target}", page.path.display()));
    }
    let is_missing = !anchor.is_empty() && !anchors(&read(path).text).contains(&anchor.to_owned());
    is_missing.then(|| format!("{} links missing heading {target}", page.path.display()))
}

#[test]
fn links_every_relative_one_has_a_target() {
    let mut problems = Vec::new();
    let mut count = 0;
    for page in pages() {
        for target in links(&page.text) {
            count += 1;
            problems.extend(link_problem(&page, &target));
        }
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
    assert!(count > 30, "only {count} links were found");
}

#[test]
fn links_broken_one_is_found() {
    let page = Page {
        path: root().join("docs/INTERFACE.md"),
        text: "see [this](no-such-page.md) and [that](GLOSSARY.md#no-such-heading)".to_owned(),
    };
    let found = links(&page.text);
    assert_eq!(found.len(), 2);
    assert!(
        found
            .iter()
            .all(|target| link_problem(&page, target).is_some())
    );
}

#[test]
fn index_every_operators_page_is_linked() {
    let folder = root().join("docs/operators");
    let index = read(folder.join("README.md"));
    let linked = links(&index.text);
    for path in markdown_in(&folder) {
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        assert!(name == "README.md" || linked.contains(&name), "{name}");
    }
}

#[test]
fn settings_every_example_is_accepted() {
    let mut count = 0;
    for page in pages() {
        let blocks = page.text.split("```jsonc settings\n").skip(1);
        for block in blocks {
            let text = block.split("```").next().unwrap_or_default();
            let parsed = Settings::parse(text);
            assert!(parsed.is_ok(), "{}: {parsed:?}", page.path.display());
            count += 1;
        }
    }
    assert!(count > 0, "no example of settings was found");
}

#[test]
fn paths_every_named_source_file_exists() {
    let mut count = 0;
    for page in pages() {
        let prose = prose(&page.text);
        let quoted = prose.split('`').skip(1).step_by(2);
        let is_source = |text: &&str| {
            let is_inside = PACKAGES.iter().any(|package| text.starts_with(package));
            is_inside && text.ends_with(".rs")
        };
        for path in quoted.filter(is_source) {
            assert!(
                root().join(path).exists(),
                "{}: {path}",
                page.path.display()
            );
            count += 1;
        }
    }
    assert!(count > 50, "only {count} paths were found");
}

#[test]
fn headers_every_public_one_is_on_the_page() {
    let source = read(root().join("daemon/src/header.rs")).text;
    let page = read(root().join("docs/INTERFACE.md")).text;
    let names = source.split("from_static(\"").skip(1);
    let names: Vec<&str> = names.filter_map(|rest| rest.split('"').next()).collect();
    assert!(names.len() > PEER_HEADERS.len());
    for name in names {
        let is_public = !PEER_HEADERS.contains(&name);
        assert_eq!(page.contains(&format!("`{name}`")), is_public, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_every_one_is_on_the_page() {
    let cluster = Cluster::spawn(Plan::default()).await;
    let request = CallerRequest::get("catalog", "/units");
    cluster.send("nasr-1", &request).await.unwrap();
    let address = cluster.instance("nasr-1").operator_address;
    let response = Caller
        .send(address, &CallerRequest::get("", "/metrics"))
        .await
        .unwrap();
    let page = read(root().join("docs/operators/install.md")).text;
    let text = response.text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut count = 0;
    for entry in types {
        let (name, kind) = entry.split_once(' ').unwrap();
        let suffix = if kind == "counter" { "_total" } else { "" };
        let row = format!("| `{name}{suffix}` | {kind} |");
        assert!(page.contains(&row), "{row}");
        count += 1;
    }
    assert!(count > 5, "only {count} metrics were found");
}
