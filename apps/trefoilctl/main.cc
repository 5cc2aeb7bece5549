#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "audit.h"
#include "commands.h"
#include "data_centre.h"
#include "explain.h"
#include "release.h"

namespace {

namespace ctl = trefoilbend::ctl;
namespace http = trefoilbend::http;

std::string CheckAddress(const std::string& text) {
  return http::ParseAddress(text)
             ? ""
             : "expected an IP number and a port, such as 10.0.0.1:8080";
}

std::string OrEnvironment(const std::string& value, const char* variable) {
  const char* fallback = std::getenv(variable);
  return value.empty() && fallback != nullptr ? fallback : value;
}

std::string FirstLine(const std::string& path) {
  std::string line;
  if (!path.empty()) {
    std::ifstream file{path};
    std::getline(file, line);
  }
  return line;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Operators' command line of the trefoilbend load balancer."};
  app.set_version_flag("--version", "trefoilctl " TREFOILBEND_VERSION);
  app.require_subcommand(1);
  ctl::Common common;
  std::string entry;
  std::string output = "text";
  const CLI::Validator address{CheckAddress, "ADDRESS", "address"};
  const auto add_common = [&](CLI::App* command) {
    command->add_option("--entry", entry, "Operations address of any entry")
        ->check(address);
    command->add_option("--output", output, "text or json")
        ->check(CLI::IsMember({"text", "json"}));
  };

  ctl::ApplyOptions files;
  std::size_t wait_seconds = 9;
  CLI::App* check =
      app.add_subcommand("check", "Checks an asset register and rules");
  CLI::App* apply = app.add_subcommand(
      "apply", "Puts an asset register and rules into force");
  for (CLI::App* command : {check, apply}) {
    command
        ->add_option("--inventory", files.inventory,
                     "INI file of the asset register")
        ->required();
    command->add_option("--rules", files.rules, "INI file of the rules")
        ->required();
  }
  std::string token_file;
  ctl::ChangeOptions change;
  const auto add_change = [&](CLI::App* command) {
    add_common(command);
    command
        ->add_option("--token-file", token_file,
                     "File whose first line is the operator's token")
        ->check(CLI::ExistingFile);
    command->add_option("--who", change.who,
                        "Person on whose behalf the token's operator asks");
    command->add_option("--why", change.why, "Reason for the audit trail");
    command->add_option("--id", change.change_id,
                        "Change id of an earlier attempt");
    command->add_option("--wait", wait_seconds,
                        "Seconds to wait for all entries");
  };
  add_change(apply);
  ctl::DataCentreOptions data_centre;
  CLI::App* data_centre_command = app.add_subcommand(
      "data-centre", "Takes a data centre out of service or back");
  data_centre_command->require_subcommand(1);
  CLI::App* out = data_centre_command->add_subcommand(
      "out", "Gives a data centre no new work");
  CLI::App* in = data_centre_command->add_subcommand(
      "in", "Takes a data centre back into service");
  for (CLI::App* command : {out, in}) {
    command->add_option("name", data_centre.name, "Name of the data centre")
        ->required();
    add_change(command);
  }
  out->add_flag("--force", data_centre.force,
                "Even if the others cannot bear the load");
  const ctl::ReleaseCommands release{app, add_common, add_change};
  ctl::AuditOptions audit;
  std::size_t watch_seconds = 0;
  CLI::App* audit_command =
      app.add_subcommand("audit", "Shows the audit trail");
  CLI::App* watch =
      app.add_subcommand("watch", "Shows each change as it is accepted");
  for (CLI::App* command : {audit_command, watch}) {
    add_common(command);
    command->add_option("--who", audit.filters["who"], "Operator who asked");
    command->add_option("--object", audit.filters["object"],
                        "Changed object, as kind/name or its name");
    command->add_option("--by", audit.filters["by"],
                        "Entry that accepted the change");
    command->add_option("--id", audit.filters["id"], "Change id");
    command->add_option("--after", audit.after,
                        "Revision after which to begin");
  }
  audit_command->add_option("--since", audit.filters["since"],
                            "Earliest time, such as 2026-12-04T10");
  audit_command->add_option("--until", audit.filters["until"],
                            "Latest time, such as 2026-12-04");
  audit_command->add_option("--limit", audit.limit, "Most entries to show");
  watch->add_option("--seconds", watch_seconds, "Seconds to watch; 0 for ever");
  std::string request_id;
  std::vector<std::string> log_files;
  CLI::App* explain = app.add_subcommand(
      "explain", "Tells the story of one request from entries' logs");
  explain->add_option("--id", request_id, "Identity of the request")
      ->required();
  explain->add_option("logs", log_files, "Files with logs; - is standard input")
      ->required();
  CLI::App* show =
      app.add_subcommand("show", "Shows the configuration in force");
  add_common(show);
  CLI::App* status = app.add_subcommand("status", "Shows an entry's revision");
  add_common(status);

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : ctl::kMistake;
  }
  entry = OrEnvironment(entry, "TREFOILCTL_ENTRY");
  if (explain->parsed()) {
    return ctl::ExplainFiles(request_id, log_files);
  }
  if (!check->parsed() && !http::ParseAddress(entry)) {
    std::fprintf(stderr,
                 "trefoilctl: give an entry's operations address by --entry or "
                 "TREFOILCTL_ENTRY, %s\n",
                 CheckAddress(entry).c_str());
    return ctl::kMistake;
  }
  common.entry = http::ParseAddress(entry).value_or(http::Address{});
  common.json = output == "json";
  files.wait = std::chrono::seconds{wait_seconds};
  files.who = change.who;
  files.why = change.why;
  files.change_id = change.change_id;
  change.wait = files.wait;
  common.token = FirstLine(OrEnvironment(token_file, "TREFOILCTL_TOKEN_FILE"));
  if (check->parsed()) {
    return ctl::Check(files.inventory, files.rules);
  }
  if (apply->parsed()) {
    return ctl::Apply(common, files);
  }
  if (data_centre_command->parsed()) {
    data_centre.out = out->parsed();
    data_centre.change = change;
    return ctl::ChangeDataCentre(common, data_centre);
  }
  if (release.Parsed()) {
    return release.Run(common, change);
  }
  if (audit_command->parsed()) {
    return ctl::Audit(common, audit);
  }
  if (watch->parsed()) {
    audit.duration = std::chrono::seconds{watch_seconds};
    return ctl::Watch(common, audit);
  }
  if (show->parsed()) {
    return ctl::Show(common);
  }
  return ctl::Status(common);
}
