//! Commands and settings that README and the operators' pages show.

use azurenotch_cli::option;
use azurenotch_config::{document::Document, setting::Setting};
use bpaf::ParseFailure;
use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

/// A code block of a page; code within a line is a block of language `inline`.
struct Block {
    /// Page and line, for messages.
    place: String,
    language: String,
    lines: Vec<String>,
}

/// Returns README and the operators' pages.
fn pages() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = fs::read_dir(root.join("docs/operators")).expect("the folder exists");
    let mut pages = folder
        .map(|entry| entry.expect("it can be read").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "md"))
        .collect::<Vec<_>>();
    pages.push(root.join("README.md"));
    pages.sort();
    pages
}

/// Returns the code blocks of all pages.
fn blocks() -> Vec<Block> {
    let mut blocks = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("the page can be read");
        let name = page.file_name().expect("it has a name").to_string_lossy();
        let mut open = None::<Block>;
        for (number, line) in text.lines().enumerate() {
            let fence = line.trim_start().strip_prefix("```");
            match (fence, &mut open) {
                (Some(_), Some(_)) => blocks.extend(open.take()),
                (Some(language), None) => {
                    open = Some(Block {
                        place: format!("{name}:{}", number + 1),
                        language: language.trim().to_owned(),
                        lines: Vec::new(),
                    });
                }
                (None, Some(block)) => block.lines.push(line.to_owned()),
                (None, None) => blocks.push(Block {
                    place: format!("{name}:{}", number + 1),
                    language: "inline".to_owned(),
                    lines: line
                        .split('`')
                        .skip(1)
                        .step_by(2)
                        .map(str::to_owned)
                        .collect(),
                }),
            }
        }
        assert!(open.is_none(), "{name}: a code block does not end");
    }
    blocks
}

/// Returns the arguments of a command line up to a pipe, a redirection or the next command.
fn arguments(line: &str) -> Option<Vec<String>> {
    let line = line.strip_prefix("$ ").unwrap_or(line);
    // A command whose output a variable takes stands in `$(...)`.
    let line = match line.split_once("=$(") {
        Some((_, rest)) => rest.trim_end_matches(')'),
        None => line,
    };
    let mut words = line.split_whitespace();
    (words.next() == Some("azurenotch")).then(|| {
        let end = |word: &&str| !["|", ">", ">>", "&&", ";"].contains(word);
        words.take_while(end).map(str::to_owned).collect()
    })
}

/// Returns why the program does not take the arguments.
fn parse(arguments: &[&str]) -> Result<(), String> {
    if let [argument] = arguments
        && argument.starts_with("--bpaf-complete-style-")
    {
        // Only the arguments of a process can ask for the script of a shell.
        let program = Command::new(env!("CARGO_BIN_EXE_azurenotch"))
            .arg(argument)
            .output();
        let output = program.map_err(|error| error.to_string())?;
        return (output.status.success() && !output.stdout.is_empty())
            .then_some(())
            .ok_or_else(|| String::from_utf8_lossy(&output.stderr).into_owned());
    }
    match option::options().run_inner(arguments) {
        Ok(_) | Err(ParseFailure::Stdout(..) | ParseFailure::Completion(_)) => Ok(()),
        Err(ParseFailure::Stderr(message)) => Err(message.to_string()),
    }
}

/// Guards against pages that show a command or an argument that does not exist.
#[test]
fn every_command_line_parses() {
    let mut checked = 0;
    for block in blocks() {
        let shell = ["sh", "console", "inline"].contains(&block.language.as_str());
        for line in block.lines.iter().filter(|_| shell) {
            // Sessions in `console` mark commands with a prompt; the other lines are output.
            if block.language == "console" && !line.starts_with("$ ") {
                continue;
            }
            // The name of the program, and where the name of a command stands.
            if ["azurenotch", "azurenotch COMMAND --help"].contains(&line.as_str()) {
                continue;
            }
            let Some(arguments) = arguments(line) else {
                continue;
            };
            let arguments = arguments.iter().map(String::as_str).collect::<Vec<_>>();
            checked += 1;
            if let Err(message) = parse(&arguments) {
                panic!("{}: {line}: {message}", block.place);
            }
        }
    }
    // The pages have far more; a smaller number means that the lines were not found.
    assert!(checked >= 40, "only {checked} command lines were found");
}

/// Guards against pages that show settings or a document that are refused.
#[test]
fn every_ini_block_is_accepted() {
    let mut checked = 0;
    for block in blocks().iter().filter(|block| block.language == "ini") {
        let text = block.lines.join("\n");
        let result = if text.contains("[host]") {
            Setting::parse(&text).map(drop)
        } else {
            Document::parse(&text).map(drop)
        };
        if let Err(invalid) = result {
            panic!("{}: {invalid}", block.place);
        }
        checked += 1;
    }
    assert!(checked >= 2, "only {checked} INI blocks were found");
}
