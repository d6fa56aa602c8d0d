//! The help text.

/// Text of `--help`.
pub const HELP: &str = "\
Submits change tickets and reads back what is in force

Usage: wisteria [FLAGS] COMMAND

Commands:
  submit FILE              submits the ticket in FILE (TOML, or JSON where it ends in .json)
  check FILE...            finds every fault of ticket files, without a network
  show [KIND[/NAME]]       shows what is in force; KIND is region, link, host, service or block
  tickets                  lists the tickets whose verdicts are kept, the highest number first
  ticket NUMBER            shows one ticket's verdict
  status                   shows the replicas and entry hosts, and which revision is in force where
  dump ADDRESS             shows the whole state of the process at ADDRESS as JSON

Flags of submit:
  --dry-run                tells what would be said, and changes nothing
  --wait                   waits until the ticket is in force on every entry host

Flags; each --name can be given as the variable WISTERIA_NAME:
  --controls ADDRESSES     operator addresses of the control replicas, with commas between them
  --token-file FILE        file that holds the access token; else it is read from WISTERIA_TOKEN
  --format FORMAT          table or json; table by default
  --timeout TIME           bound on the whole command, such as 10s; 10s by default
  --help                   shows this text
  --version                shows the version

Exit codes:
  0  done
  1  refused: the ticket, or a file has faults, or no such object or ticket
  2  wrong arguments or settings
  3  unknown: lost quorum or no answer; send the same ticket again, a resend is safe
";
